"""Errors of the operator command line."""

from rhubarbspar import exceptions


class OperatorError(exceptions.RhubarbsparError):
    """Base of the errors of the operator command line."""


class InputError(OperatorError):
    """An argument is invalid or contradicts the configuration; nothing was written."""


class StoreUnavailableError(OperatorError):
    """The request did not reach the store."""


class StoreAnswerLostError(StoreUnavailableError):
    """The request may have taken effect, but no valid response arrived."""


class StoreProtocolError(OperatorError):
    """The store rejected the request, or a stored record is malformed."""


class ConflictError(OperatorError):
    """Another change was written first; this one was not."""


class GuardError(OperatorError):
    """A record that the transaction compares, other than the configuration, changed.

    Nothing was written.
    """


class OutcomeUnknownError(OperatorError):
    """A response was lost, so it is unknown whether the change was or will be written."""


class InstanceListError(OperatorError):
    """The list of instances could not be read or is malformed."""


class PushError(OperatorError):
    """An instance could not be reached or rejected a pushed configuration."""
