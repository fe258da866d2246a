"""Errors of the limits component."""

from rhubarbspar import exceptions


class LimitsError(exceptions.RhubarbsparError):
    """Base class of the errors that the limits component raises."""
