"""Errors of the instance daemon."""

from rhubarbspar import exceptions


class ServerError(exceptions.RhubarbsparError):
    """Base of the errors of the instance daemon."""


class ListenError(ServerError):
    """A listener cannot bind its address from the settings."""


class ResponseTooLargeError(ServerError):
    """The response of a backend server exceeds ``BODY_MAX_BYTES``."""
