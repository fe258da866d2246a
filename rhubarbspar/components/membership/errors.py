"""Errors of the membership component."""

from rhubarbspar import exceptions


class MembershipError(exceptions.RhubarbsparError):
    """Base of the errors of the membership component."""
