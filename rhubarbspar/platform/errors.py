"""Errors of the platform adapter."""

from rhubarbspar import exceptions


class PlatformError(exceptions.RhubarbsparError):
    """Base class of the platform adapter's errors."""


class RecordError(PlatformError):
    """A record of the store is malformed."""


class StoreError(PlatformError):
    """A call to the store failed; a write may have taken effect."""


class StoreRejectedError(StoreError):
    """The store answered with another status than 200 and did nothing.

    Attributes
    ----------
    status
        HTTP status.
    """

    def __init__(self, status: int) -> None:
        """Store the status and put it into the message."""
        super().__init__(f'the store answered with status {status}')
        self.status = status


class MalformedAnswerError(StoreError):
    """An answer of the store has another form than the call asks for."""


class TooLargeError(StoreError):
    """An answer of the store, or all its records, exceed what it may hold."""


class CompactedError(StoreError):
    """The store has compacted changes after the requested revision; a new read is required."""


class RestoredError(CompactedError):
    """The store was restored from an older copy, so that the requested revision is not its own."""
