"""The way of a request: admission, attempts at backend servers, final response.

Patterns: deadline propagation, bounded retries on proof that nothing ran, cancellation.
"""

import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import admission
from rhubarbspar.gateway import const
from rhubarbspar.gateway import store_records
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import placement
from rhubarbspar.gateway import responses
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import state as gateway_state

# Servers to which one request may be sent, those that do not run it included.
SENDS_MAX: typing.Final = 4
CONNECT_TIMEOUT_BASE_MS: typing.Final = 250
CONNECT_ROUND_TRIPS: typing.Final = 3
# An attempt at a server that is silent is given up after this many times its expected time.
STALLED_FACTOR: typing.Final = 2.0
STALLED_BASE_MS: typing.Final = 100
# A repeat is only worth its load if this part of the usual work fits into the time left.
REPEAT_WORK_PART: typing.Final = 0.6


def receive_request(
    state: gateway_state.State, request: models.Request, now_ms: float
) -> list[core_effects.Effect]:
    """Admit a request and send it to a backend server, or refuse it."""
    decision = admission.admit(state, request, now_ms)
    match decision:
        case admission.Refusal(status, reason, retry_after_ms):
            return responses.refused(state, request, status, reason, retry_after_ms, decision)
        case admission.Admitted(route, account):
            pending = _admit(state, request, route, account, now_ms)
    state.budget.note_request(pending.service_id, now_ms)
    return _attempt(state, pending, now_ms)


def abandon_request(
    state: gateway_state.State, number: int, now_ms: float
) -> list[core_effects.Effect]:
    """Cancel the work for a caller that has left."""
    pending = state.pending.pop(number, None)
    if pending is None:
        return []
    outputs = _cancel_current(state, pending)
    waited = (('waited_ms', round(now_ms - pending.arrived_ms)),)
    return [*outputs, core_effects.Log('request_abandoned', responses.of(pending.request, waited))]


def finish_attempt(
    state: gateway_state.State, ended: events.AttemptEnded, now_ms: float
) -> list[core_effects.Effect]:
    """Relay a response, try another server, or answer with an error."""
    attempt = state.attempts.pop(ended.attempt_number, None)
    if attempt is None:
        return []
    outputs = outcomes.note(state, attempt, ended, now_ms)
    pending = state.pending.get(attempt.request_number)
    if pending is None or pending.current_attempt is not attempt:
        return outputs
    pending.current_attempt = None
    if ended.result in outcomes.MAY_HAVE_RUN:
        pending.run_count += 1
        pending.may_have_run = True
    if _is_final(ended):
        state.pending.pop(attempt.request_number)
        outputs.extend(responses.relay(pending, attempt, ended, now_ms))
        return outputs
    return outputs + _after_failure(state, pending, attempt, ended, now_ms)


def check_deadlines(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """End the requests whose time is over, and leave servers that are silent."""
    outputs: list[core_effects.Effect] = []
    for pending in tuple(state.pending.values()):
        if now_ms >= pending.due_ms:
            outputs.extend(_time_out(state, pending, now_ms))
        elif pending.current_attempt is not None and _is_stalled(
            pending, pending.current_attempt, now_ms
        ):
            outputs.extend(_leave_silent(state, pending, pending.current_attempt, now_ms))
    return outputs


def _admit(
    state: gateway_state.State,
    request: models.Request,
    route: models.Route,
    account: models.ClientAccount | None,
    now_ms: float,
) -> gateway_state.PendingRequest:
    time_ms = route.timeout_ms
    if request.deadline_ms is not None:
        time_ms = min(time_ms, request.deadline_ms)
    pending = gateway_state.PendingRequest(
        request,
        route,
        account,
        _next_service(state, route),
        now_ms,
        now_ms + time_ms,
    )
    state.pending[request.request_number] = pending
    return pending


def _next_service(state: gateway_state.State, route: models.Route) -> str:
    """Return the service whose turn it is by weight.

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


def _attempt(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    choice = placement.choose(state, pending, now_ms)
    if choice is None:
        return _no_server(state, pending)
    if placement.is_overloaded(pending, choice, now_ms):
        state.pending.pop(pending.request.request_number)
        return responses.unserved(state, pending, const.REASON_OVERLOADED)
    return _start(state, pending, choice, now_ms)


def _start(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> list[core_effects.Effect]:
    server = choice.view.server
    attempt = _new_attempt(state, pending, choice, now_ms)
    _note_start(state, pending, attempt, now_ms)
    round_trip_ms = state.network.round_trip_ms(server.failure_domain)
    started = effects.StartAttempt(
        attempt.request_number,
        attempt.attempt_number,
        server,
        None if pending.account is None else pending.account.account_id,
        pending.due_ms - now_ms,
        CONNECT_TIMEOUT_BASE_MS + CONNECT_ROUND_TRIPS * round_trip_ms,
    )
    return [started, responses.attempt_line(pending, choice, now_ms)]


def _new_attempt(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> gateway_state.Attempt:
    state.next_attempt += 1
    return gateway_state.Attempt(
        pending.request.request_number,
        state.next_attempt,
        choice.view,
        now_ms,
        choice.expected_ms,
        choice.gain,
        choice.place,
        choice.load >= choice.view.slots,
        state.rollouts.subject(choice.view.server, pending.route.route_id),
    )


def _note_start(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    now_ms: float,
) -> None:
    """Count an attempt wherever later choices depend on it."""
    view = attempt.view
    server = view.server
    state.attempts[attempt.attempt_number] = attempt
    if pending.request.object_key is not None:
        state.object_memory.note(pending.request.object_key, server.server_id, now_ms)
    pending.current_attempt = attempt
    pending.tried_server_ids.append(server.server_id)
    pending.send_count += 1
    view.running += 1
    state.region_shares.note(state.network.regions.get(server.failure_domain, ''), now_ms)
    if view.is_cold(now_ms):
        view.pace(now_ms, store_records.cold_interval_ms(state, server.service_id, now_ms))
    state.rollouts.note_sent(attempt.subject, now_ms)


def _is_final(ended: events.AttemptEnded) -> bool:
    return (
        ended.result == events.AttemptResult.ANSWERED and ended.status < const.STATUS_SERVER_ERROR
    )


def _after_failure(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    fields = (
        ('server', attempt.view.server.server_id),
        ('result', ended.result.value),
        ('status', ended.status),
        ('reused_connection', ended.reused_connection),
        ('elapsed_ms', round(now_ms - attempt.started_ms)),
    )
    number = pending.request.request_number
    outputs: list[core_effects.Effect] = [
        core_effects.Log('attempt_failed', responses.of(pending.request, fields))
    ]
    if _may_repeat(state, pending, ended, now_ms):
        outputs.append(core_effects.Count(package_const.METRIC_RETRIES, ended.result.value))
        return outputs + _attempt(state, pending, now_ms)
    state.pending.pop(number)
    if ended.result == events.AttemptResult.ANSWERED:
        return outputs + responses.relay(pending, attempt, ended, now_ms)
    if pending.may_have_run:
        status = const.STATUS_BAD_GATEWAY
        return outputs + responses.refused(
            state, pending.request, status, package_const.REASON_OUTCOME_UNKNOWN
        )
    return outputs + responses.unserved(state, pending, const.REASON_SERVERS_FULL)


def _may_repeat(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    ended: events.AttemptEnded,
    now_ms: float,
) -> bool:
    route = pending.route
    if ended.result in outcomes.MAY_HAVE_RUN:
        if not route.idempotent or pending.run_count >= route.attempts_max:
            return False
    if pending.send_count >= SENDS_MAX:
        return False
    if pending.due_ms - now_ms < REPEAT_WORK_PART * outcomes.usual_work_ms(state, route):
        return False
    if ended.result == events.AttemptResult.UNREACHABLE:
        # Nothing arrived at a server, so the budget of repeats is not touched.
        return True
    return state.budget.take(pending.service_id, state.fleet.live_count(now_ms), now_ms)


def _no_server(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> list[core_effects.Effect]:
    state.pending.pop(pending.request.request_number)
    if pending.may_have_run:
        status = const.STATUS_BAD_GATEWAY
        return responses.refused(
            state, pending.request, status, package_const.REASON_OUTCOME_UNKNOWN
        )
    return responses.unserved(state, pending, package_const.REASON_NO_SERVER)


def _cancel_current(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> list[core_effects.Effect]:
    attempt = pending.current_attempt
    if attempt is None:
        return []
    pending.current_attempt = None
    state.attempts.pop(attempt.attempt_number, None)
    attempt.view.running = max(0, attempt.view.running - 1)
    state.rollouts.note_result(attempt.subject, good=None, slow=False)
    return [effects.CancelAttempt(attempt.attempt_number)]


def _time_out(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    attempt = pending.current_attempt
    number = pending.request.request_number
    if attempt is not None:
        outcomes.note_timeout(state, pending, attempt, now_ms)
    outputs = _cancel_current(state, pending)
    state.pending.pop(number)
    status = const.STATUS_GATEWAY_TIMEOUT
    return outputs + responses.refused(
        state, pending.request, status, package_const.REASON_DEADLINE_EXCEEDED
    )


def _is_stalled(
    pending: gateway_state.PendingRequest, attempt: gateway_state.Attempt, now_ms: float
) -> bool:
    """Return whether the server of an attempt has been silent for several times its usual time."""
    if attempt.view.last_answer_ms > attempt.started_ms or not pending.route.idempotent:
        return False
    waited_ms = now_ms - attempt.started_ms
    usual_ms = max(attempt.expected_ms, pending.route.latency_objective_ms)
    return waited_ms > STALLED_BASE_MS + STALLED_FACTOR * usual_ms


def _leave_silent(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Send the request to another server; the silent one may have run it."""
    view = attempt.view
    silence = events.AttemptEnded(attempt.attempt_number, events.AttemptResult.BROKEN)
    runs_left = pending.run_count + 1 < pending.route.attempts_max
    if not runs_left or pending.send_count >= SENDS_MAX:
        return []
    if not _may_repeat(state, pending, silence, now_ms):
        return []
    view.note_failure(now_ms)
    view.eject(now_ms)
    outputs = _cancel_current(state, pending)
    pending.run_count += 1
    pending.may_have_run = True
    fields = (
        ('server', view.server.server_id),
        ('waited_ms', round(now_ms - attempt.started_ms)),
    )
    outputs.append(effects.ForgetServer(view.server.server_id))
    outputs.append(core_effects.Log('server_silent', responses.of(pending.request, fields)))
    outputs.append(core_effects.Count(package_const.METRIC_RETRIES, 'silent'))
    return outputs + _attempt(state, pending, now_ms)
