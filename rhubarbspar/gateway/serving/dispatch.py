"""Dispatch of requests: admission, attempts at backend servers, final response.

Patterns: deadline propagation, bounded retries on proof that nothing ran, hedged requests, cancellation.
"""

import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import server_limits
from rhubarbspar.gateway.rollouts import version_results
from rhubarbspar.gateway.routing import placement
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.scheduling import models as scheduling
from rhubarbspar.gateway.serving import admission
from rhubarbspar.gateway.serving import capacity
from rhubarbspar.gateway.serving import forwarders
from rhubarbspar.gateway.serving import outcomes
from rhubarbspar.gateway.serving import responses
from rhubarbspar.gateway.serving import retries
from rhubarbspar.gateway.usage import reports

# Results of attempts that neither the server nor the way to it has failed.
_NOT_AT_SERVER: typing.Final = frozenset(
    (events.AttemptResult.NOT_FORWARDED, events.AttemptResult.NOT_SENT)
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
    capacity.record_request(state, pending, now_ms)
    return _start_attempt(state, pending, now_ms)


def abandon_request(
    state: gateway_state.State, number: int, now_ms: float
) -> list[core_effects.Effect]:
    """Cancel the attempt of a request whose caller has closed its connection."""
    pending = state.pending.get(number)
    if pending is None:
        return []
    outputs = _cancel_attempts(state, pending, now_ms)
    state.pending.pop(number)
    state.scheduler.remove(number)
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
    if pending is None or attempt not in pending.attempts:
        return outputs
    pending.end_attempt(attempt)
    if ended.result in _NOT_AT_SERVER:
        pending.tried_server_ids.remove(attempt.view.server.server_id)
    if ended.result in version_results.MAY_HAVE_RUN:
        pending.run_count += 1
        pending.may_have_run = True
    if _is_final(ended):
        outputs.extend(_cancel_attempts(state, pending, now_ms))
        state.pending.pop(attempt.request_number)
        outputs.extend(responses.relay(pending, attempt, ended, now_ms))
        return outputs
    return outputs + _retry_or_respond(state, pending, attempt, ended, now_ms)


def resume(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Send a waiting request if there is capacity for it; refuse it if it can wait no longer.

    Its key may have been revoked meanwhile, and it may have crashed servers for other instances.
    """
    refusal = admission.revoke(state, pending, now_ms)
    if refusal is not None:
        state.pending.pop(pending.request.request_number)
        state.scheduler.remove(pending.request.request_number)
        return responses.refuse(
            state, pending.request, refusal.status, refusal.reason, None, refusal
        )
    if now_ms >= pending.due_ms:
        return _refuse(state, pending, package_const.REASON_DEADLINE_EXCEEDED)
    outputs = _try_server(state, pending, now_ms)
    if pending.send_count:
        outputs.append(core_effects.Count(const.METRIC_SCHEDULING, 'sent_after_wait'))
    return outputs


def end_pending(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Answer the requests that a planned stop does not wait for any longer."""
    outputs: list[core_effects.Effect] = []
    for pending in tuple(state.pending.values()):
        pending.may_have_run = pending.may_have_run or bool(pending.attempts)
        outputs.extend(_cancel_attempts(state, pending, now_ms))
        outputs.extend(_refuse(state, pending, const.REASON_STOPPING))
    return outputs


def check_deadlines(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Refuse requests past their deadline, and retry those whose server is unresponsive."""
    version_results.count_late_attempts(state, now_ms)
    outputs: list[core_effects.Effect] = []
    for pending in tuple(state.pending.values()):
        if now_ms >= pending.due_ms:
            outputs.extend(_time_out(state, pending, now_ms))
        elif pending.current_attempt is not None and retries.is_stalled(
            pending, pending.current_attempt, now_ms
        ):
            outputs.extend(_try_elsewhere(state, pending, pending.current_attempt, now_ms))
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
    """Start an attempt, let the request wait for capacity, or refuse it."""
    match capacity.decide_unplaced(state, pending, now_ms):
        case scheduling.Wait(until_ms):
            return capacity.wait(state, pending, until_ms, None, now_ms)
        case scheduling.Refuse() as refusal:
            return _give_up(state, pending, refusal, now_ms)
    return _try_server(state, pending, now_ms)


def _try_server(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Choose a server and decide whether the request is sent there now."""
    credit = state.rollouts.credit(pending.service_id)
    choice = placement.choose_server(state, pending, now_ms)
    if choice is None:
        return _wait_without_server(state, pending, credit, now_ms)
    if retries.ends_after_stop(state, pending, choice, now_ms):
        # Another instance can serve it in time.
        return _refuse(state, pending, const.REASON_STOPPING, admission.STOP_RETRY_AFTER_MS)
    match capacity.decide(state, pending, choice, now_ms):
        case scheduling.Wait(until_ms):
            # The version that the request would have got is still the next one.
            state.rollouts.restore_credit(pending.service_id, credit)
            return capacity.wait(state, pending, until_ms, choice, now_ms)
        case scheduling.Refuse() as refusal:
            explained = capacity.refusal_log(pending, choice, now_ms)
            return [explained, *_give_up(state, pending, refusal, now_ms)]
    return _send(state, pending, choice, now_ms)


def _wait_without_server(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    credit: float,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Refuse a request that no server may get, or let it wait while servers are full."""
    match capacity.decide_without_server(state, pending, now_ms):
        case scheduling.Wait(until_ms):
            state.rollouts.restore_credit(pending.service_id, credit)
            return capacity.wait(state, pending, until_ms, None, now_ms)
        case scheduling.Refuse() as refusal:
            return _give_up(state, pending, refusal, now_ms)


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
        wait_ms=choice.wait_ms,
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
    capacity.record_sent(state, pending, now_ms)
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
        ('detail', ended.detail),
        ('reused_connection', ended.reused_connection),
        ('elapsed_ms', round(now_ms - attempt.started_ms)),
        ('heard_ms_ago', responses.age_ms(attempt.view.last_answer_ms, now_ms)),
        ('peers_heard_ms_ago', responses.age_ms(attempt.view.answered_elsewhere_ms, now_ms)),
    )
    number = pending.request.request_number
    outputs: list[core_effects.Effect] = [
        core_effects.Log('attempt_failed', responses.log_fields(pending.request, fields))
    ]
    if pending.attempts:
        # The response of the other attempt may still come.
        return outputs
    if retries.may_retry(state, pending, ended.result, now_ms):
        outputs.append(core_effects.Count(package_const.METRIC_RETRIES, ended.result.value))
        return outputs + _start_attempt(state, pending, now_ms)
    if ended.result == events.AttemptResult.ANSWERED:
        state.pending.pop(number)
        return outputs + responses.relay(pending, attempt, ended, now_ms)
    if ended.result == events.AttemptResult.NOT_SENT:
        return outputs + _refuse(state, pending, const.REASON_NO_CONNECTION)
    capacity.record_given_up(state, pending, now_ms)
    return outputs + _refuse(state, pending, const.REASON_SERVERS_FULL)


def _refuse(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    reason: str,
    retry_after_ms: float | None = None,
) -> list[core_effects.Effect]:
    """Refuse a pending request for which no attempt is under way."""
    number = pending.request.request_number
    state.pending.pop(number)
    state.scheduler.remove(number)
    return responses.refuse_unserved(state, pending, reason, retry_after_ms)


def _give_up(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    refusal: scheduling.Refuse,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Refuse a request by a decision of the scheduler."""
    if refusal.reason != const.REASON_STOPPING:
        capacity.record_given_up(state, pending, now_ms)
    return _refuse(state, pending, refusal.reason, refusal.retry_after_ms)


def _cancel_attempts(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Cancel the running attempts of a request, which have got no response."""
    outputs: list[core_effects.Effect] = []
    for attempt in pending.attempts:
        pending.end_attempt(attempt)
        state.attempts.pop(attempt.attempt_number, None)
        attempt.release()
        version_results.record_given_up(state, attempt, now_ms)
        reports.record_given_up(state, attempt, now_ms)
        outputs.append(effects.CancelAttempt(attempt.attempt_number))
    return outputs


def _time_out(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[core_effects.Effect]:
    """Refuse a request whose deadline has passed."""
    number = pending.request.request_number
    outputs: list[core_effects.Effect] = []
    for attempt in pending.attempts:
        outputs.extend(outcomes.record_timeout(state, pending, attempt, now_ms))
    outputs.extend(_cancel_attempts(state, pending, now_ms))
    state.pending.pop(number)
    status = const.STATUS_GATEWAY_TIMEOUT
    return outputs + responses.refuse(
        state, pending.request, status, package_const.REASON_DEADLINE_EXCEEDED
    )


def _try_elsewhere(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    silent: gateway_state.Attempt,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Send a request to another server as well, if one can get it.

    Pattern: hedged request. The silent server may work on the request, and the other one may refuse
    it, so the first attempt goes on until one of them answers.
    """
    if pending.silent_attempt is not None:
        return []
    choice = placement.choose_server(state, pending, now_ms)
    if choice is None or choice.view.ejected_until_ms > now_ms:
        return []
    if retries.ends_after_stop(state, pending, choice, now_ms):
        return []
    if not retries.may_retry(state, pending, events.AttemptResult.BROKEN, now_ms):
        return []
    pending.silent_attempt = silent
    outputs = _note_silence(state, pending, silent, now_ms)
    outputs.append(core_effects.Count(package_const.METRIC_RETRIES, 'silent'))
    return outputs + _send(state, pending, choice, now_ms)


def _note_silence(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    silent: gateway_state.Attempt,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Eject the server of a silent attempt, once."""
    if silent.noted_silent:
        return []
    silent.noted_silent = True
    server_id = silent.view.server.server_id
    waited_ms = round(now_ms - silent.started_ms)
    fields = (('server', server_id), ('waited_ms', waited_ms))
    return [
        *outcomes.record_silence(state, silent, now_ms),
        effects.ForgetServer(server_id),
        core_effects.Log('server_silent', responses.log_fields(pending.request, fields)),
    ]
