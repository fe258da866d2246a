"""Errors of the HTTP connections."""

from rhubarbspar import exceptions


class HttpError(exceptions.RhubarbsparError):
    """Base of the errors of the HTTP connections."""


class ConnectError(HttpError):
    """No connection could be opened; nothing was sent."""


class BrokenError(HttpError):
    """The connection ended without a complete response; the request may have run."""


class MalformedError(HttpError):
    """The peer sent bytes that are no HTTP message, or too many of them."""
