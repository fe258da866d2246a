"""Decisions whether a request is sent again, or to a second server."""

import typing

from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import processing_times
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.serving import admission

# Servers to which one request may be sent, including those that did not run it. ``attempts_max`` of
# a route only limits the attempts that may have run.
SENDS_MAX: typing.Final = 4
# A server is silent after this many times the expected time of an attempt.
STALLED_FACTOR: typing.Final = 2.0
STALLED_BASE_MS: typing.Final = 100
# A retry is only worth its load if this share of the processing time fits into the remaining time.
RETRY_PROCESSING_SHARE: typing.Final = 0.6
# In a planned stop, an attempt is only started if this many times its expected time is left. The
# caller can send an idempotent request again, so it may be cut off more often.
STOP_TIME_FACTOR: typing.Final = 2.0
STOP_TIME_FACTOR_IDEMPOTENT: typing.Final = 1.2

# Results after which nothing was sent to a server, which another one may get instead.
_UNSENT_RESULTS: typing.Final = frozenset(
    (events.AttemptResult.NOT_FORWARDED, events.AttemptResult.UNREACHABLE)
)


def may_retry(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    result: events.AttemptResult,
    now_ms: float,
) -> bool:
    """Return whether a request may be sent again; uses the retry budget.

    A request that may have run, or runs, is only sent again on an idempotent route.

    Parameters
    ----------
    result
        How the last attempt ended; ``BROKEN`` for one that goes on.
    """
    route = pending.route
    run_count = pending.run_count + len(pending.attempts)
    if run_count and (not route.idempotent or run_count >= route.attempts_max):
        return False
    if result == events.AttemptResult.NOT_SENT:
        # A connection to another server would not open either.
        return False
    if admission.crashes_servers(state, pending.request, pending.account, now_ms):
        return False
    if pending.send_count >= SENDS_MAX:
        return False
    if pending.due_ms - now_ms < RETRY_PROCESSING_SHARE * processing_times.uncached_ms(
        state, route
    ):
        return False
    if result in _UNSENT_RESULTS:
        # The retry costs no retry budget.
        return True
    size = state.fleet.size(now_ms)
    own_id = state.fleet.own_member.instance_id
    return state.budget.try_acquire(pending.service_id, own_id, size, now_ms)


def is_stalled(
    pending: gateway_state.PendingRequest, attempt: gateway_state.Attempt, now_ms: float
) -> bool:
    """Return whether the server has answered nothing for several times the expected time.

    Only attempts on idempotent routes can stall; the others wait until their deadline.
    """
    if attempt.view.last_answer_ms > attempt.started_ms or not pending.route.idempotent:
        return False
    waited_ms = now_ms - attempt.started_ms
    expected_ms = max(attempt.expected_ms, pending.route.latency_objective_ms)
    return waited_ms > STALLED_BASE_MS + STALLED_FACTOR * expected_ms


def ends_after_stop(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> bool:
    """Return whether the end of a planned stop may cut an attempt off."""
    factor = STOP_TIME_FACTOR_IDEMPOTENT if pending.route.idempotent else STOP_TIME_FACTOR
    return state.stop_ends_ms - now_ms < factor * choice.expected_ms
