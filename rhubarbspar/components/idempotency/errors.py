"""Errors of the idempotency component."""

from rhubarbspar import exceptions


class IdempotencyError(exceptions.RhubarbsparError):
    """Base of the errors of the idempotency component."""


class KeyFormError(IdempotencyError):
    """An idempotency key is malformed or its signature is invalid."""
