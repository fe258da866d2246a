"""Errors of the rollout component."""

from rhubarbspar import exceptions


class RolloutError(exceptions.RhubarbsparError):
    """Base of the errors of the rollout component."""


class MoveRecordError(RolloutError):
    """The record of a move in the store is malformed or holds an invalid share."""
