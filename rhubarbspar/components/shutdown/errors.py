"""Errors of the shutdown component."""

from rhubarbspar import exceptions


class ShutdownError(exceptions.RhubarbsparError):
    """Base of the errors of the shutdown component."""
