"""The way of a request: admission, attempts at backend servers, final response.

Patterns: deadline propagation, bounded retries on proof that nothing ran, cancellation.
"""

import functools
import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import admission
from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import const
from rhubarbspar.gateway import declarations
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import overload
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers
from rhubarbspar.gateway import state as gateway_state

# Servers to which one request may be sent, those that do not run it included.
SENDS_MAX: typing.Final = 4
CONNECT_TIMEOUT_BASE_MS: typing.Final = 250
CONNECT_ROUND_TRIPS: typing.Final = 3
# An attempt at a server that is silent is given up after this many times its expected time.
STALLED_FACTOR: typing.Final = 2.0
STALLED_BASE_MS: typing.Final = 100
# Part of the usual work after which a full server has room again.
RETRY_AFTER_PART: typing.Final = 0.5
RETRY_AFTER_MIN_MS: typing.Final = 50
# A repeat is only worth its load if this part of the usual work fits into the time left.
REPEAT_WORK_PART: typing.Final = 0.6
# Usual queue of the other instances, by the reports of all servers of a service.
USUAL_OTHERS_MAX: typing.Final = 8.0


def receive(
    state: gateway_state.State, request: models.Request, now_ms: float
) -> list[core_effects.Effect]:
    """Admit a request and send it to a backend server, or refuse it."""
    decision = admission.admit(state, request, now_ms)
    match decision:
        case admission.Refusal(status, reason, retry_after_ms):
            return _refused(state, request, status, reason, retry_after_ms, decision)
        case admission.Admitted(route, account):
            pending = _admit(state, request, route, account, now_ms)
    state.budget.note_request(pending.service_id, now_ms)
    return _attempt(state, pending, now_ms)


def abandon(state: gateway_state.State, number: int, now_ms: float) -> list[core_effects.Effect]:
    """Cancel the work for a caller that has left."""
    pending = state.pending.pop(number, None)
    if pending is None:
        return []
    outputs = _cancel_current(state, pending)
    waited = (('waited_ms', round(now_ms - pending.arrived_ms)),)
    return [*outputs, core_effects.Log('request_abandoned', _of(pending.request, waited))]


def finish_attempt(
    state: gateway_state.State, ended: events.AttemptEnded, now_ms: float
) -> list[core_effects.Effect]:
    """Relay a response, try another server, or answer with an error."""
    attempt = state.attempts.pop(ended.attempt, None)
    if attempt is None:
        return []
    outputs = outcomes.note(state, attempt, ended, now_ms)
    pending = state.pending.get(attempt.number)
    if pending is None or pending.current is not attempt:
        return outputs
    pending.current = None
    if ended.result in outcomes.MAY_HAVE_RUN:
        pending.runs += 1
        pending.may_have_run = True
    if _is_final(ended):
        state.pending.pop(attempt.number)
        outputs.extend(_relay(pending, attempt, ended, now_ms))
        return outputs
    return outputs + _after_failure(state, pending, attempt, ended, now_ms)


def check_time(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """End the requests whose time is over, and leave servers that are silent."""
    outputs: list[core_effects.Effect] = []
    for pending in tuple(state.pending.values()):
        if now_ms >= pending.due_ms:
            outputs.extend(_time_out(state, pending, now_ms))
        elif pending.current is not None and _is_stalled(pending, pending.current, now_ms):
            outputs.extend(_leave_silent(state, pending, pending.current, now_ms))
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
    state.pending[request.number] = pending
    return pending


def _next_service(state: gateway_state.State, route: models.Route) -> str:
    """Return the service whose turn it is by weight.

    Pattern: smooth weighted round robin.
    """
    if len(route.targets) == 1:
        return route.targets[0].service_id
    credits = state.weights.setdefault(route.route_id, {})
    total = sum(target.weight for target in route.targets)
    for target in route.targets:
        credits[target.service_id] = credits.get(target.service_id, 0) + target.weight
    chosen = max(route.targets, key=lambda candidate: credits[candidate.service_id])
    credits[chosen.service_id] -= total
    return chosen.service_id


def _attempt(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    if not state.shares.longer.total:
        state.shares.seed(_region_slots(state), state.network.region, now_ms)
    candidates = _candidates(state, pending, now_ms)
    conditions = _conditions(state, pending, candidates, now_ms)
    choice = selection.choose(candidates, conditions)
    if choice is None:
        return _no_server(state, pending)
    if _is_overloaded(pending, choice, now_ms):
        state.pending.pop(pending.request.number)
        return _unserved(state, pending, const.REASON_OVERLOADED)
    return _start(state, pending, choice, conditions, now_ms)


def _is_overloaded(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> bool:
    """Return whether a request that was sent nowhere yet is refused because of a standing queue."""
    if pending.sends:
        return False
    work_ms = choice.expected_ms - choice.wait_ms
    objective_ms = pending.route.latency_objective_ms
    expected = overload.Expected(choice.wait_ms, work_ms, objective_ms)
    return choice.view.overload.refuses(expected, now_ms)


def _candidates(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[servers.ServerView]:
    views = [
        view
        for view in state.servers.of_service(pending.service_id)
        if _is_permitted(state, pending, view)
    ]
    if pending.tried:
        return state.rollouts.old_version_servers(pending.service_id, views)
    chosen = state.rollouts.usable(pending.service_id, views, now_ms)
    if any(view.may_send(now_ms) for view in chosen):
        return chosen
    return state.rollouts.old_version_servers(pending.service_id, views)


def _is_permitted(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    view: servers.ServerView,
) -> bool:
    server = view.server
    if server.draining or server.server_id in pending.tried:
        return False
    if server.failure_domain in state.declared.evacuated:
        return False
    region = state.network.regions.get(server.failure_domain, '')
    account = pending.account
    if account is not None and account.home_regions and region not in account.home_regions:
        return False
    return not pending.route.home_regions or region in pending.route.home_regions


def _conditions(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    candidates: list[servers.ServerView],
    now_ms: float,
) -> selection.Conditions:
    usual = outcomes.work_time(state, pending.route)
    return selection.Conditions(
        now_ms,
        usual.full_ms,
        usual.mean_ms,
        _usual_others(state, pending.service_id, now_ms),
        state.network.round_trip_ms,
        functools.partial(_distance_ms, state, usual.full_ms),
        _gains(state, pending, candidates, now_ms),
        overload.pressure(_load_per_slot(candidates, now_ms)),
    )


def _load_per_slot(candidates: list[servers.ServerView], now_ms: float) -> float:
    slots = sum(view.slots for view in candidates)
    load = sum(view.load_at(now_ms, view.slots) for view in candidates)
    return load / slots if slots else 0


def _region_slots(state: gateway_state.State) -> dict[str, float]:
    slots: dict[str, float] = {}
    for view in state.servers.views.values():
        region = state.network.regions.get(view.server.failure_domain, '')
        slots[region] = slots.get(region, 0) + view.slots
    return slots


def _distance_ms(state: gateway_state.State, work_ms: float, failure_domain: str) -> float:
    """Return the price of the way to a failure domain, with that of a shift between regions."""
    region = state.network.regions.get(failure_domain, '')
    return state.network.price_ms(failure_domain) + state.shares.cost(region) * work_ms


def _gains(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    candidates: list[servers.ServerView],
    now_ms: float,
) -> dict[str, float]:
    """Return the part of the work that each server is expected to save for the request's object."""
    object_key = pending.request.object_key
    if object_key is None or not pending.route.sticky:
        return {}
    gains = affinity.preferred(candidates, object_key, state.network.is_near)
    for view in candidates:
        server_id = view.server.server_id
        recent = state.object_memory.gain(object_key, server_id, now_ms)
        if recent:
            gains[server_id] = max(recent, gains.get(server_id, 0))
    return gains


def _usual_others(state: gateway_state.State, service_id: str, now_ms: float) -> float:
    reports = [
        view.others
        for view in state.servers.of_service(service_id)
        if now_ms - view.reported_ms < servers.REPORT_DECAY_MS
    ]
    return min(USUAL_OTHERS_MAX, sum(reports) / len(reports)) if reports else 1.0


def _start(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    conditions: selection.Conditions,
    now_ms: float,
) -> list[core_effects.Effect]:
    view = choice.view
    server = view.server
    load = view.load_at(now_ms, conditions.usual_others)
    state.next_attempt += 1
    attempt = gateway_state.Attempt(
        pending.request.number,
        state.next_attempt,
        view,
        now_ms,
        choice.expected_ms,
        choice.gain,
        load >= view.slots,
        state.rollouts.subject(server, pending.route.route_id),
    )
    state.attempts[attempt.attempt] = attempt
    if pending.request.object_key is not None:
        state.object_memory.note(pending.request.object_key, server.server_id, now_ms)
    pending.current = attempt
    pending.tried.append(server.server_id)
    pending.sends += 1
    view.running += 1
    state.shares.note(state.network.regions.get(server.failure_domain, ''), now_ms)
    if view.is_cold(now_ms):
        view.pace(now_ms, declarations.cold_interval_ms(state, server.service_id, now_ms))
    state.rollouts.note_sent(attempt.subject, now_ms)
    round_trip_ms = state.network.round_trip_ms(server.failure_domain)
    started = effects.StartAttempt(
        attempt.number,
        attempt.attempt,
        server,
        None if pending.account is None else pending.account.account_id,
        pending.due_ms - now_ms,
        CONNECT_TIMEOUT_BASE_MS + CONNECT_ROUND_TRIPS * round_trip_ms,
    )
    fields = (
        ('account', started.account_id),
        ('server', server.server_id),
        ('domain', server.failure_domain),
        ('version', server.version),
        ('load', round(load, 1)),
        ('load_age_ms', _age(view.reported_ms, now_ms)),
        ('expected_ms', round(choice.expected_ms)),
        ('object', pending.request.object_key),
        ('gain', round(choice.gain, 2)),
        ('attempt', pending.sends),
    )
    return [started, core_effects.Log('attempt_started', _of(pending.request, fields))]


def _age(since_ms: float, now_ms: float) -> int | None:
    return None if since_ms == float('-inf') else round(now_ms - since_ms)


def _is_final(ended: events.AttemptEnded) -> bool:
    return (
        ended.result == events.AttemptResult.ANSWERED and ended.status < const.STATUS_SERVER_ERROR
    )


def _relay(
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    elapsed_ms = now_ms - pending.arrived_ms
    number = pending.request.number
    fields = (
        ('status', ended.status),
        ('server', attempt.view.server.server_id),
        ('elapsed_ms', round(elapsed_ms)),
        ('attempts', pending.sends),
    )
    return [
        effects.RelayResponse(number, attempt.attempt),
        core_effects.Count(const.METRIC_REQUESTS, str(ended.status)),
        effects.Observe(const.METRIC_LATENCY, pending.service_id, elapsed_ms),
        core_effects.Log('request_answered', _of(pending.request, fields)),
    ]


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
    number = pending.request.number
    outputs: list[core_effects.Effect] = [
        core_effects.Log('attempt_failed', _of(pending.request, fields))
    ]
    if _may_repeat(state, pending, ended, now_ms):
        outputs.append(core_effects.Count(const.METRIC_RETRIES, ended.result.value))
        return outputs + _attempt(state, pending, now_ms)
    state.pending.pop(number)
    if ended.result == events.AttemptResult.ANSWERED:
        return outputs + _relay(pending, attempt, ended, now_ms)
    if pending.may_have_run:
        status = const.STATUS_BAD_GATEWAY
        return outputs + _refused(state, pending.request, status, const.REASON_OUTCOME_UNKNOWN)
    return outputs + _unserved(state, pending, const.REASON_SERVERS_FULL)


def _may_repeat(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    ended: events.AttemptEnded,
    now_ms: float,
) -> bool:
    route = pending.route
    if ended.result in outcomes.MAY_HAVE_RUN:
        if not route.idempotent or pending.runs >= route.attempts_max:
            return False
    if pending.sends >= SENDS_MAX:
        return False
    if pending.due_ms - now_ms < REPEAT_WORK_PART * outcomes.usual_work_ms(state, route):
        return False
    if ended.result == events.AttemptResult.UNREACHABLE:
        # Nothing arrived at a server, so the budget of repeats is not touched.
        return True
    return state.budget.take(pending.service_id, state.fleet.size(now_ms), now_ms)


def _no_server(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> list[core_effects.Effect]:
    state.pending.pop(pending.request.number)
    if pending.may_have_run:
        status = const.STATUS_BAD_GATEWAY
        return _refused(state, pending.request, status, const.REASON_OUTCOME_UNKNOWN)
    return _unserved(state, pending, const.REASON_NO_SERVER)


def _unserved(
    state: gateway_state.State, pending: gateway_state.PendingRequest, reason: str
) -> list[core_effects.Effect]:
    """Refuse a request that has not run, with the time after which room is expected."""
    work_ms = outcomes.usual_work_ms(state, pending.route)
    retry_after_ms = max(RETRY_AFTER_MIN_MS, work_ms * RETRY_AFTER_PART)
    status = const.STATUS_UNAVAILABLE
    return _refused(state, pending.request, status, reason, retry_after_ms)


def _refused(
    state: gateway_state.State,
    request: models.Request,
    status: int,
    reason: str,
    retry_after_ms: float | None = None,
    decision: admission.Refusal | None = None,
) -> list[core_effects.Effect]:
    configuration = state.declared.configuration
    fields = (
        ('status', status),
        ('reason', reason),
        ('retry_after_ms', None if retry_after_ms is None else round(retry_after_ms)),
        ('account', None if decision is None else decision.account_id),
        ('account_rate_per_s', None if decision is None else decision.account_rate_per_s),
        ('configuration', None if configuration is None else configuration.version),
        ('store_revision', state.mirror.revision),
        ('store_reachable', state.mirror.reachable),
    )
    return [
        effects.Refuse(request.number, status, reason, retry_after_ms),
        core_effects.Count(const.METRIC_REFUSALS, reason),
        core_effects.Log('request_refused', _of(request, fields)),
    ]


def _cancel_current(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> list[core_effects.Effect]:
    attempt = pending.current
    if attempt is None:
        return []
    pending.current = None
    state.attempts.pop(attempt.attempt, None)
    attempt.view.running = max(0, attempt.view.running - 1)
    state.rollouts.note_result(attempt.subject, good=None, slow=False)
    return [effects.CancelAttempt(attempt.attempt)]


def _time_out(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    attempt = pending.current
    number = pending.request.number
    if attempt is not None:
        outcomes.note_timeout(state, pending, attempt, now_ms)
    outputs = _cancel_current(state, pending)
    state.pending.pop(number)
    status = const.STATUS_GATEWAY_TIMEOUT
    return outputs + _refused(state, pending.request, status, const.REASON_DEADLINE_EXCEEDED)


def _is_stalled(
    pending: gateway_state.PendingRequest, attempt: gateway_state.Attempt, now_ms: float
) -> bool:
    """Return whether the server of an attempt has been silent for several times its usual time."""
    if attempt.view.answered_ms > attempt.started_ms or not pending.route.idempotent:
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
    silence = events.AttemptEnded(attempt.attempt, events.AttemptResult.BROKEN)
    runs_left = pending.runs + 1 < pending.route.attempts_max
    if not runs_left or pending.sends >= SENDS_MAX:
        return []
    if not _may_repeat(state, pending, silence, now_ms):
        return []
    view.note_failure(now_ms)
    view.eject(now_ms)
    outputs = _cancel_current(state, pending)
    pending.runs += 1
    pending.may_have_run = True
    fields = (
        ('server', view.server.server_id),
        ('waited_ms', round(now_ms - attempt.started_ms)),
    )
    outputs.append(effects.ForgetServer(view.server.server_id))
    outputs.append(core_effects.Log('server_silent', _of(pending.request, fields)))
    outputs.append(core_effects.Count(const.METRIC_RETRIES, 'silent'))
    return outputs + _attempt(state, pending, now_ms)


def _of(request: models.Request, fields: core_effects.LogFields) -> core_effects.LogFields:
    """Return the fields of a log line about a request."""
    return (('request', request.attempt_id), *fields)
