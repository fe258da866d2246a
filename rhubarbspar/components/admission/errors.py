"""Errors of the admission component."""

from rhubarbspar import exceptions


class AdmissionError(exceptions.RhubarbsparError):
    """Base of the errors of the admission component."""
