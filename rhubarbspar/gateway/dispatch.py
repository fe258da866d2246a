"""Dispatch of requests: admission, attempts at backend servers, final response.

Patterns: deadline propagation, bounded retries on proof that nothing ran, cancellation.
"""

import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import admission
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import forwarders
from rhubarbspar.gateway import models
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import placement
from rhubarbspar.gateway import processing_times
from rhubarbspar.gateway import responses
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import server_limits
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway import version_results

# Servers to which one request may be sent, including those that did not run it. ``attempts_max`` of
# a route only limits the attempts that may have run.
SENDS_MAX: typing.Final = 4
# An attempt at an unresponsive server is given up after this many times its expected time.
STALLED_FACTOR: typing.Final = 2.0
STALLED_BASE_MS: typing.Final = 100
# A retry is only worth its load if this share of the processing time fits into the remaining time.
RETRY_PROCESSING_SHARE: typing.Final = 0.6
# In a planned stop, an attempt is only started if this many times its expected time is left. The
# caller can send an idempotent request again, so it may be cut off more often.
STOP_TIME_FACTOR: typing.Final = 2.0
STOP_TIME_FACTOR_IDEMPOTENT: typing.Final = 1.2

# Results after which nothing was sent to a server.
_NOT_SENT: typing.Final = frozenset(
    (events.AttemptResult.NOT_FORWARDED, events.AttemptResult.UNREACHABLE)
)


def receive_request(
    state: gateway_state.State, request: models.Request, now_ms: float
) -> list[core_effects.Effect]:
    """Admit a request and start its first attempt, or refuse it."""
    decision = admission.admit(state, request, now_ms)
    match decision:
        case admission.Refusal(status, reason, retry_after_ms):
            return responses.refuse(state, request, status, reason, retry_after_ms, decision)
        case admission.Admitted(route, account):
            pending = _add_pending(state, request, route, account, now_ms)
    state.budget.record_request(pending.service_id, now_ms)
    return _start_attempt(state, pending, now_ms)


def abandon_request(
    state: gateway_state.State, number: int, now_ms: float
) -> list[core_effects.Effect]:
    """Cancel the attempt of a request whose caller has closed its connection."""
    pending = state.pending.get(number)
    if pending is None:
        return []
    outputs = _cancel_current(state, pending, now_ms)
    state.pending.pop(number)
    waited = (('waited_ms', round(now_ms - pending.arrived_ms)),)
    return [
        *outputs,
        core_effects.Log('request_abandoned', responses.log_fields(pending.request, waited)),
    ]


def finish_attempt(
    state: gateway_state.State, ended: events.AttemptEnded, now_ms: float
) -> list[core_effects.Effect]:
    """Relay the response of an attempt, retry at another server, or refuse the request."""
    attempt = state.attempts.pop(ended.attempt_number, None)
    if attempt is None:
        return []
    outputs = outcomes.record_result(state, attempt, ended, now_ms)
    pending = state.pending.get(attempt.request_number)
    if pending is None or pending.current_attempt is not attempt:
        return outputs
    pending.current_attempt = None
    if ended.result == events.AttemptResult.NOT_FORWARDED:
        pending.tried_server_ids.remove(attempt.view.server.server_id)
    if ended.result in version_results.MAY_HAVE_RUN:
        pending.run_count += 1
        pending.may_have_run = True
    if _is_final(ended):
        state.pending.pop(attempt.request_number)
        outputs.extend(responses.relay(pending, attempt, ended, now_ms))
        return outputs
    return outputs + _retry_or_respond(state, pending, attempt, ended, now_ms)


def end_pending(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Answer the requests that a planned stop does not wait for any longer."""
    outputs: list[core_effects.Effect] = []
    for pending in tuple(state.pending.values()):
        pending.may_have_run = pending.may_have_run or pending.current_attempt is not None
        outputs.extend(_cancel_current(state, pending, now_ms))
        outputs.extend(_refuse(state, pending, const.REASON_STOPPING))
    return outputs


def check_deadlines(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Refuse requests past their deadline, and retry those whose server is unresponsive."""
    version_results.count_late_attempts(state, now_ms)
    outputs: list[core_effects.Effect] = []
    for pending in tuple(state.pending.values()):
        if now_ms >= pending.due_ms:
            outputs.extend(_time_out(state, pending, now_ms))
        elif pending.current_attempt is not None and _is_stalled(
            pending, pending.current_attempt, now_ms
        ):
            outputs.extend(_retry_elsewhere(state, pending, pending.current_attempt, now_ms))
    return outputs


def _add_pending(
    state: gateway_state.State,
    request: models.Request,
    route: models.Route,
    account: models.ClientAccount | None,
    now_ms: float,
) -> gateway_state.PendingRequest:
    """Add an admitted request; its deadline is the shorter one of the route and the caller."""
    timeout_ms = route.timeout_ms
    if request.caller_timeout_ms is not None:
        timeout_ms = min(timeout_ms, request.caller_timeout_ms)
    pending = gateway_state.PendingRequest(
        request,
        route,
        account,
        _next_service(state, route),
        now_ms,
        now_ms + timeout_ms,
    )
    state.pending[request.request_number] = pending
    return pending


def _next_service(state: gateway_state.State, route: models.Route) -> str:
    """Return the service that gets the next request of a route, by the weights of its targets.

    Pattern: smooth weighted round robin.
    """
    if len(route.targets) == 1:
        return route.targets[0].service_id
    credits = state.target_credits.setdefault(route.route_id, {})
    total = sum(target.weight for target in route.targets)
    for target in route.targets:
        credits[target.service_id] = credits.get(target.service_id, 0) + target.weight
    chosen = max(route.targets, key=lambda candidate: credits[candidate.service_id])
    credits[chosen.service_id] -= total
    return chosen.service_id


def _start_attempt(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Choose a server and start an attempt there, or refuse the request."""
    choice = placement.choose_server(state, pending, now_ms)
    if choice is None:
        retry_after_ms = placement.turned_away_ms(state, pending, now_ms)
        return _refuse(state, pending, package_const.REASON_NO_SERVER, retry_after_ms)
    if _ends_after_stop(state, pending, choice, now_ms):
        # Another instance can serve it in time.
        return _refuse(state, pending, const.REASON_STOPPING, admission.STOP_RETRY_AFTER_MS)
    if placement.is_overloaded(pending, choice, now_ms):
        return _refuse(state, pending, const.REASON_OVERLOADED)
    return _send(state, pending, choice, now_ms)


def _ends_after_stop(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> bool:
    """Return whether the end of a planned stop may cut an attempt off."""
    factor = STOP_TIME_FACTOR_IDEMPOTENT if pending.route.idempotent else STOP_TIME_FACTOR
    return state.stop_ends_ms - now_ms < factor * choice.expected_ms


def _send(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Record an attempt at the chosen server and return its effects."""
    server = choice.view.server
    attempt = _new_attempt(state, pending, choice, now_ms)
    _record_start(state, pending, attempt, now_ms)
    forwarder = None if attempt.forwarder is None else attempt.forwarder.member
    next_hop_domain = (forwarder or server).failure_domain
    started = effects.StartAttempt(
        attempt.request_number,
        attempt.attempt_number,
        server,
        None if pending.account is None else pending.account.account_id,
        pending.due_ms - now_ms,
        state.network.connect_timeout_ms(next_hop_domain),
        forwarder,
    )
    return [started, responses.attempt_started_log(pending, choice, forwarder, now_ms)]


def _new_attempt(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> gateway_state.Attempt:
    """Return an attempt with the next free number."""
    state.last_attempt_number += 1
    return gateway_state.Attempt(
        pending.request.request_number,
        state.last_attempt_number,
        choice.view,
        now_ms,
        choice.expected_ms,
        version_results.usual_ms(choice),
        choice.gain,
        choice.place,
        choice.load >= choice.view.slots,
        state.rollouts.result_key(choice.view.server, pending.route.route_id),
        forwarders.choose(state, pending, choice.view.server, now_ms),
    )


def _record_start(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    now_ms: float,
) -> None:
    """Record an attempt in all parts of the state on which later choices depend."""
    view = attempt.view
    server = view.server
    state.attempts[attempt.attempt_number] = attempt
    if pending.request.object_key is not None:
        state.object_history.record(pending.request.object_key, server.server_id, now_ms)
    pending.current_attempt = attempt
    pending.tried_server_ids.append(server.server_id)
    pending.send_count += 1
    if view.is_cold(now_ms) and view.cold_share is None:
        server_limits.start_cold_share(state, view, now_ms)
    view.record_sent(now_ms)
    if attempt.forwarder is not None:
        attempt.forwarder.record_forward(now_ms)
    state.region_shares.record(state.network.regions.get(server.failure_domain, ''), now_ms)
    state.rollouts.record_sent(attempt.result_key, now_ms)


def _is_final(ended: events.AttemptEnded) -> bool:
    """Return whether the server answered without a server error."""
    return (
        ended.result == events.AttemptResult.ANSWERED and ended.status < const.STATUS_SERVER_ERROR
    )


def _retry_or_respond(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Retry a failed attempt if permitted, otherwise relay its response or refuse the request."""
    fields = (
        ('server', attempt.view.server.server_id),
        ('result', ended.result.value),
        ('status', ended.status),
        ('reused_connection', ended.reused_connection),
        ('elapsed_ms', round(now_ms - attempt.started_ms)),
        ('heard_ms_ago', responses.age_ms(attempt.view.last_answer_ms, now_ms)),
        ('peers_heard_ms_ago', responses.age_ms(attempt.view.answered_elsewhere_ms, now_ms)),
    )
    number = pending.request.request_number
    outputs: list[core_effects.Effect] = [
        core_effects.Log('attempt_failed', responses.log_fields(pending.request, fields))
    ]
    if _may_retry(state, pending, ended, now_ms):
        outputs.append(core_effects.Count(package_const.METRIC_RETRIES, ended.result.value))
        return outputs + _start_attempt(state, pending, now_ms)
    if ended.result == events.AttemptResult.ANSWERED:
        state.pending.pop(number)
        return outputs + responses.relay(pending, attempt, ended, now_ms)
    return outputs + _refuse(state, pending, const.REASON_SERVERS_FULL)


def _may_retry(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    ended: events.AttemptEnded,
    now_ms: float,
) -> bool:
    """Return whether a request may be sent again after a failed attempt; uses the retry budget.

    A request that may have run is only sent again on an idempotent route.
    """
    route = pending.route
    if ended.result in version_results.MAY_HAVE_RUN:
        if not route.idempotent or pending.run_count >= route.attempts_max:
            return False
    if admission.crashes_servers(state, pending.request, pending.account, now_ms):
        return False
    if pending.send_count >= SENDS_MAX:
        return False
    if pending.due_ms - now_ms < RETRY_PROCESSING_SHARE * processing_times.uncached_ms(
        state, route
    ):
        return False
    if ended.result in _NOT_SENT:
        # The retry costs no retry budget.
        return True
    return state.budget.try_acquire(pending.service_id, state.fleet.registered_count, now_ms)


def _refuse(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    reason: str,
    retry_after_ms: float | None = None,
) -> list[core_effects.Effect]:
    """Refuse a pending request for which no attempt is under way."""
    state.pending.pop(pending.request.request_number)
    return responses.refuse_unserved(state, pending, reason, retry_after_ms)


def _cancel_current(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Cancel the running attempt of a request, which has got no response."""
    attempt = pending.current_attempt
    if attempt is None:
        return []
    pending.current_attempt = None
    state.attempts.pop(attempt.attempt_number, None)
    attempt.release()
    version_results.record_given_up(state, attempt, now_ms)
    return [effects.CancelAttempt(attempt.attempt_number)]


def _time_out(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Refuse a request whose deadline has passed."""
    attempt = pending.current_attempt
    number = pending.request.request_number
    outputs: list[core_effects.Effect] = []
    if attempt is not None:
        outputs.extend(outcomes.record_timeout(state, pending, attempt, now_ms))
    outputs.extend(_cancel_current(state, pending, now_ms))
    state.pending.pop(number)
    status = const.STATUS_GATEWAY_TIMEOUT
    return outputs + responses.refuse(
        state, pending.request, status, package_const.REASON_DEADLINE_EXCEEDED
    )


def _is_stalled(
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


def _retry_elsewhere(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Send a request to another server if one can get it, and eject the unresponsive one.

    The unresponsive server may have run the request. While no other one can get it, the attempt
    goes on, since its response may still come.
    """
    view = attempt.view
    broken = events.AttemptEnded(attempt.attempt_number, events.AttemptResult.BROKEN)
    runs_left = pending.run_count + 1 < pending.route.attempts_max
    if not runs_left or pending.send_count >= SENDS_MAX:
        return []
    choice = placement.choose_server(state, pending, now_ms)
    if choice is None or choice.view.ejected_until_ms > now_ms:
        return []
    if _ends_after_stop(state, pending, choice, now_ms):
        return []
    if not _may_retry(state, pending, broken, now_ms):
        return []
    outputs = outcomes.record_silence(state, attempt, now_ms)
    outputs.extend(_cancel_current(state, pending, now_ms))
    pending.run_count += 1
    pending.may_have_run = True
    fields = (
        ('server', view.server.server_id),
        ('waited_ms', round(now_ms - attempt.started_ms)),
    )
    outputs.append(effects.ForgetServer(view.server.server_id))
    outputs.append(core_effects.Log('server_silent', responses.log_fields(pending.request, fields)))
    outputs.append(core_effects.Count(package_const.METRIC_RETRIES, 'silent'))
    return outputs + _send(state, pending, choice, now_ms)
