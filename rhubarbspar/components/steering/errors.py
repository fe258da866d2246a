"""Errors of the steering component."""

from rhubarbspar import exceptions


class SteeringError(exceptions.RhubarbsparError):
    """Base of the errors of the steering component."""
