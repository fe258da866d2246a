"""What the attempts at a server say about its version.

Pattern: a response that does not come in time is a result like any other. Waiting for it would show
only the good responses of a version that is slow or hangs.
"""

import typing

from rhubarbspar.gateway import const
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import processing_times
from rhubarbspar.gateway.routing import selection

# An attempt is late once it has taken the usual time and this many more processing times.
LATE_EXTRA_FACTOR: typing.Final = 2.5
# An attempt that is given up had enough time after the usual time and this many processing times.
ENOUGH_EXTRA_FACTOR: typing.Final = 1.0

# Results after which the backend server may have run the request.
MAY_HAVE_RUN: typing.Final = frozenset(
    (
        events.AttemptResult.ANSWERED,
        events.AttemptResult.BROKEN,
        events.AttemptResult.MALFORMED,
    )
)


def usual_ms(choice: selection.Choice) -> float:
    """Return the expected time of an attempt if its server were as fast as others.

    The servers of a slow version are soon expected to be slow.
    """
    return choice.expected_ms / max(1.0, choice.time_factor)


def count_late_attempts(state: gateway_state.State, now_ms: float) -> None:
    """Count the attempts that are late now; what comes later is a slow response at best."""
    if not state.rollouts.active:
        return
    for attempt in state.attempts.values():
        if attempt.result_key is None or attempt.counted_late:
            continue
        if _has_taken(state, attempt, LATE_EXTRA_FACTOR, now_ms) and _shows_server(state, attempt):
            attempt.counted_late = True
            state.rollouts.evidence.record_late(attempt.result_key)


def record_end(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> None:
    """Count the result of an attempt that has ended."""
    good: bool | None = None
    if ended.result in MAY_HAVE_RUN and attempt.request_number in state.pending:
        answered = ended.result == events.AttemptResult.ANSWERED
        good = answered and ended.status < const.STATUS_SERVER_ERROR
    if ended.result == events.AttemptResult.BROKEN and not state.links.are_up:
        # The connection may have failed with the links, whatever the version.
        good = None
    slow = _has_taken(state, attempt, LATE_EXTRA_FACTOR, now_ms)
    _record(state, attempt, good=good, slow=slow)


def record_given_up(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> None:
    """Count an attempt that ends without a response; it is late if the server had enough time."""
    is_late = _has_taken(state, attempt, ENOUGH_EXTRA_FACTOR, now_ms)
    good = True if is_late and _shows_server(state, attempt) else None
    _record(state, attempt, good=good, slow=is_late)


def is_on_trial(state: gateway_state.State, server: models.BackendServer) -> bool:
    """Return whether a server has the version of a rollout that is under way."""
    rollout = state.rollouts.active.get(server.service_id)
    if rollout is None or rollout.request.version != server.version:
        return False
    return state.rollouts.stable_versions.get(server.service_id) != server.version


def _record(
    state: gateway_state.State, attempt: gateway_state.Attempt, *, good: bool | None, slow: bool
) -> None:
    if attempt.counted_late:
        state.rollouts.evidence.record_end_of_late(attempt.result_key, failed=good is False)
    else:
        state.rollouts.evidence.record_result(attempt.result_key, good=good, slow=slow)


def _has_taken(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    extra_factor: float,
    now_ms: float,
) -> bool:
    """Return whether an attempt has taken the usual time and some processing times more."""
    pending = state.pending.get(attempt.request_number)
    if pending is None:
        return False
    extra_ms = processing_times.uncached_ms(state, pending.route) * extra_factor
    return now_ms - attempt.started_ms > attempt.usual_ms + extra_ms


def _shows_server(state: gateway_state.State, attempt: gateway_state.Attempt) -> bool:
    """Return whether a missing response comes from the server, not from the links."""
    if attempt.forwarder is not None:
        return True
    return state.links.are_up and not state.links.explains(attempt.started_ms)
