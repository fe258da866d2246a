"""Errors of the routing component."""

from rhubarbspar import exceptions


class RoutingError(exceptions.RhubarbsparError):
    """Base class of the errors that the routing component raises."""
