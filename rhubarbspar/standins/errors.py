"""Errors of the stand-ins."""

from rhubarbspar import exceptions


class StandinError(exceptions.RhubarbsparError):
    """Base of the errors of the stand-ins."""


class ControlError(StandinError):
    """A control request is malformed."""


class AnswerError(StandinError):
    """An answer is incomplete or belongs to another request."""


class StoreCallError(StandinError):
    """The store refuses a call.

    Attributes
    ----------
    status
        HTTP status.
    code
        gRPC status code.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        """Keep the codes of the answer."""
        super().__init__(message)
        self.status = status
        self.code = code
