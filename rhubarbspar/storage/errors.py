"""Errors of the platform clients."""

from rhubarbspar import exceptions
from rhubarbspar.core import events


class PlatformError(exceptions.RhubarbsparError):
    """Base of the errors of the platform clients."""


class UnavailableError(PlatformError):
    """No complete answer arrived in time; a write may have taken effect."""


class AnswerError(PlatformError):
    """The answer does not follow the protocol; a write may have taken effect."""


class RejectedError(PlatformError):
    """The service answered with an error.

    Attributes
    ----------
    status
        HTTP status.
    code
        gRPC status code, 0 if the answer has none.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        """Keep the status and code of the answer."""
        super().__init__(f'status {status}, code {code}: {message}')
        self.status = status
        self.code = code


class ConflictError(PlatformError):
    """A comparison of a transaction did not hold; nothing was written.

    Attributes
    ----------
    records
        The present records of the compared keys.
    revision
        Store revision of the answer.
    """

    def __init__(self, records: tuple[events.StoreRecord, ...], revision: int) -> None:
        """Keep the present records."""
        keys = ', '.join(record.key for record in records)
        super().__init__(f'present records differ from the comparison: {keys}')
        self.records = records
        self.revision = revision


class LeaseEndedError(PlatformError):
    """The lease has expired or was revoked."""
