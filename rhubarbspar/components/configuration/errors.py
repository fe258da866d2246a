"""Errors of the configuration component."""

from rhubarbspar import exceptions


class ConfigurationError(exceptions.RhubarbsparError):
    """Base of the errors of the configuration component."""


class DocumentError(ConfigurationError):
    """A configuration document is not JSON or does not match the configuration model."""
