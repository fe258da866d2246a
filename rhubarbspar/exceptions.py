"""Base class of all errors; each layer derives its own."""


class RhubarbsparError(Exception):
    """Base of all errors of this package."""
