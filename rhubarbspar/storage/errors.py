"""Errors of the platform clients."""

from rhubarbspar import exceptions
from rhubarbspar.core import events


class PlatformError(exceptions.RhubarbsparError):
    """Base class of the errors of the platform clients."""


class UnavailableError(PlatformError):
    """No complete answer arrived before the timeout; a write may have taken effect."""


class AnswerError(PlatformError):
    """The answer violates the protocol; a write may have taken effect."""


class RejectedError(PlatformError):
    """The service answered with an error status.

    Attributes
    ----------
    status
        HTTP status.
    code
        gRPC status code, 0 if the answer has none.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        """Store the status and code of the answer."""
        super().__init__(f'status {status}, code {code}: {message}')
        self.status = status
        self.code = code


class ConflictError(PlatformError):
    """A compare of a transaction failed; nothing was written.

    Attributes
    ----------
    records
        Current records of the compared keys.
    revision
        Store revision at the time of the answer.
    """

    def __init__(self, records: tuple[events.StoreRecord, ...], revision: int) -> None:
        """Store the current records and name their keys in the message."""
        keys = ', '.join(record.key for record in records)
        super().__init__(f'current revisions differ from the expected ones: {keys}')
        self.records = records
        self.revision = revision


class LeaseEndedError(PlatformError):
    """The lease does not exist any more: it has expired or was revoked."""
