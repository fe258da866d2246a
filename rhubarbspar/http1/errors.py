"""Errors of the HTTP connections."""

from rhubarbspar import exceptions


class HttpError(exceptions.RhubarbsparError):
    """Base of the errors of the HTTP connections."""


class ConnectError(HttpError):
    """No connection could be opened; nothing was sent."""


class BrokenError(HttpError):
    """The connection closed before the response was complete; the request may have run."""


class MalformedError(HttpError):
    """The peer sent a malformed or oversized HTTP message."""


class TooLargeError(MalformedError):
    """The body of a message is larger than the process reads."""
