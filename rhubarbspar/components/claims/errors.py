"""Errors of the claims component."""

from rhubarbspar import exceptions


class ClaimsError(exceptions.RhubarbsparError):
    """Base of the errors of the claims component."""


class MalformedRecordError(ClaimsError):
    """A record under the claims key prefix can't be decoded."""
