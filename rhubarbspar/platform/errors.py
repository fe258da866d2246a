"""Errors of the adapter."""

from rhubarbspar import exceptions


class PlatformError(exceptions.RhubarbsparError):
    """Base of the adapter's errors."""


class RecordError(PlatformError):
    """A record of the store cannot be read."""


class StoreError(PlatformError):
    """A call to the store failed; a write may have taken effect."""


class StoreRejectedError(StoreError):
    """The store answered with a status that says that nothing was done.

    Attributes
    ----------
    status
        HTTP status.
    """

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(f'the store answered with status {status}')
        self.status = status


class CompactedError(StoreError):
    """The store no longer has the changes after the revision asked for."""
