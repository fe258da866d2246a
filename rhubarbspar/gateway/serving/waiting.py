"""Requests that wait for capacity: when they are examined, and when they are given up."""

import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.serving import dispatch

# Requests that leave a queue at one event. All instances learn of a free server at about the same
# time, so each of them only takes a small part of what seems free.
RESUMED_MAX: typing.Final = 2


def examine(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Send the waiting requests for which there is capacity, and those that can wait no longer."""
    if not state.scheduler.keys:
        return []
    outputs: list[core_effects.Effect] = []
    for key in tuple(state.scheduler.queues):
        for number in _due_numbers(state, key, now_ms):
            outputs.extend(dispatch.resume(state, state.pending[number], now_ms))
        outputs.extend(_resume_first(state, key, now_ms))
    return outputs


def _due_numbers(
    state: gateway_state.State, key: groups.GroupKey, now_ms: float
) -> tuple[int, ...]:
    """Return the requests that can wait no longer; all of them late in a planned stop."""
    waiting = state.scheduler.queues[key].waiting
    if now_ms - state.lifecycle.stop_requested_ms > const.STOP_REFUSE_AFTER_MS:
        return tuple(entry.request_number for entry in waiting)
    return tuple(entry.request_number for entry in waiting.due(now_ms))


def _resume_first(
    state: gateway_state.State, key: groups.GroupKey, now_ms: float
) -> list[core_effects.Effect]:
    """Send the first requests of a queue, until one has to wait on."""
    outputs: list[core_effects.Effect] = []
    for _ in range(RESUMED_MAX):
        number = state.scheduler.first_number(key)
        if number is None:
            break
        outputs.extend(dispatch.resume(state, state.pending[number], now_ms))
        if number in state.scheduler.keys:
            break
    return outputs
