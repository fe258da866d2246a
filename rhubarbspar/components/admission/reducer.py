"""Pass each request through route, access key, idempotency key, rate limit and routing."""

from rhubarbspar import const as package_const
from rhubarbspar.components.admission import checks
from rhubarbspar.components.admission import models
from rhubarbspar.components.idempotency import models as idempotency_models
from rhubarbspar.components.idempotency import reducer as idempotency_reducer
from rhubarbspar.components.limits import models as limits_models
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.components.routing import reducer as routing_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Return the effects of one event on the requests that have not been answered."""
    match event:
        case events.RequestReceived(request):
            return _receive(state, request, '', '', now_ms)
        case events.MessageReceived(
            peer_id, routing_models.ForwardRequest(relayed=True) as relayed
        ):
            request = routing_reducer.to_request(peer_id, relayed, now_ms)
            return _receive(state, request, peer_id, relayed.forward_id, now_ms)
        case limits_models.AdmissionDecided(request_id, granted, retry_after_ms):
            return _resume_after_token(state, request_id, granted, retry_after_ms, now_ms)
        case routing_models.RequestFinished(request_id, outcome):
            return _finish(state, request_id, outcome, now_ms)
        case events.RequestCancelled(request_id):
            return _cancel(state, request_id)
        case events.Tick():
            return _expire(state, now_ms)
        case _:
            return []


def _receive(
    state: core_state.State,
    request: core_models.Request,
    origin_peer_id: str,
    forward_id: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Refuse a request or let it continue; a stopping instance accepts only relayed requests."""
    if origin_peer_id or state.shutdown.accepts_callers:
        check_result = checks.check_request(state, request, now_ms)
    else:
        check_result = checks.Rejected(package_const.REASON_INSTANCE_STOPPING)
    match check_result:
        case checks.Rejected(reason):
            pending = models.PendingRequest(
                request,
                origin_peer_id=origin_peer_id,
                forward_id=forward_id,
            )
            return _answer(state, pending, _make_refusal(state, request, reason, now_ms))
        case checks.Accepted(account_id, route):
            pending = models.PendingRequest(
                request,
                account_id,
                route.path_prefix,
                route.idempotent,
                origin_peer_id=origin_peer_id,
                forward_id=forward_id,
            )
            state.admission.pending[request.request_id] = pending
            if route.idempotent:
                return _apply_rate_limit(state, pending, now_ms)
            return _begin_non_idempotent(state, pending, now_ms)


def _make_refusal(
    state: core_state.State,
    request: core_models.Request,
    reason: str,
    now_ms: float,
) -> core_models.Refused:
    # A repeat may be refused although the first request ran, for example after its access key was
    # revoked.
    account_ids = checks.recorded_account_ids(state, request)
    if idempotency_reducer.may_have_run(state, request, account_ids, now_ms):
        return core_models.Refused(reason, core_models.ExecutionStatus.UNKNOWN)
    return core_models.Refused(reason, core_models.ExecutionStatus.NOT_RUN)


def _begin_non_idempotent(
    state: core_state.State,
    pending: models.PendingRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Run a non-idempotent request here or at a peer, wait for its first copy, or answer it."""
    request = pending.request
    decision = idempotency_reducer.begin(state, request, pending.account_id, now_ms)
    match decision:
        case idempotency_models.RunHere():
            pending.recorded = True
            return _apply_rate_limit(state, pending, now_ms)
        case idempotency_models.RunAtPeer(peer_id) if pending.origin_peer_id:
            # A relayed request is not relayed again: two instances could relay it in a loop.
            refused = core_models.Refused(
                package_const.REASON_OUTCOME_UNKNOWN,
                core_models.ExecutionStatus.UNKNOWN,
            )
            return _close(state, pending, refused)
        case idempotency_models.RunAtPeer(peer_id):
            routed = _to_routed_request(pending, '')
            return routing_reducer.relay(state, routed, peer_id, now_ms)
        case idempotency_models.AwaitFirst():
            return []
        case idempotency_models.Decided(outcome):
            return _close(state, pending, outcome)


def _apply_rate_limit(
    state: core_state.State,
    pending: models.PendingRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Take a rate limit token and submit the request, or let it wait for a token, or refuse it."""
    if not pending.account_id:
        return _submit_to_routing(state, pending, now_ms)
    request_id = pending.request.request_id
    admission, outputs = limits_reducer.admit(
        state, pending.account_id, request_id, now_ms, pending.request.deadline_ms
    )
    match admission:
        case limits_models.Admission.GRANTED:
            return outputs + _submit_to_routing(state, pending, now_ms)
        case limits_models.Admission.WAITING:
            pending.waits_for_token = True
            return outputs
        case limits_models.Admission.REFUSED:
            retry_after_ms = limits_reducer.retry_after_ms(state, pending.account_id, now_ms)
            refused = _rate_limit_refusal(retry_after_ms)
            return outputs + _finish(state, request_id, refused, now_ms)


def _resume_after_token(
    state: core_state.State,
    request_id: str,
    granted: bool,
    retry_after_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    """Submit or refuse a request for which the rate limit has decided about its token."""
    pending = state.admission.pending.get(request_id)
    if pending is None or not pending.waits_for_token:
        return []
    pending.waits_for_token = False
    if granted:
        return _submit_to_routing(state, pending, now_ms)
    return _finish(state, request_id, _rate_limit_refusal(retry_after_ms), now_ms)


def _submit_to_routing(
    state: core_state.State,
    pending: models.PendingRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Choose the service version for a request and pass the request to routing."""
    version = rollout_reducer.choose_version(
        state,
        pending.request.service_id,
        pending.path_prefix,
        now_ms,
    )
    return routing_reducer.submit(state, _to_routed_request(pending, version), now_ms)


def _finish(
    state: core_state.State,
    request_id: str,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    """Record the outcome of a request, answer it, and answer the duplicates that wait for it."""
    pending = state.admission.pending.get(request_id)
    if pending is None:
        return []
    outputs: list[effects.Effect] = []
    if pending.recorded:
        finished = idempotency_reducer.finish(
            state,
            pending.request,
            pending.account_id,
            outcome,
            now_ms,
        )
        for effect in finished:
            outputs.extend(_close_waiting(state, effect))
    return outputs + _close(state, pending, outcome)


def _close_waiting(state: core_state.State, effect: effects.Effect) -> list[effects.Effect]:
    """Replace a waiting duplicate's response by the effects that answer it; keep other effects."""
    match effect:
        case effects.Respond(request_id, outcome):
            waiting = state.admission.pending.get(request_id)
            return [] if waiting is None else _close(state, waiting, outcome)
        case _:
            return [effect]


def _close(
    state: core_state.State,
    pending: models.PendingRequest,
    outcome: core_models.Outcome,
) -> list[effects.Effect]:
    """Remove a request from the pending ones and answer it."""
    state.admission.pending.pop(pending.request.request_id, None)
    return _answer(state, pending, outcome)


def _answer(
    state: core_state.State,
    pending: models.PendingRequest,
    outcome: core_models.Outcome,
) -> list[effects.Effect]:
    """Answer the caller, unless it disconnected, or the peer that relayed the request."""
    request = pending.request
    outputs: list[effects.Effect] = []
    if isinstance(outcome, core_models.Refused):
        outputs.append(effects.Count(package_const.METRIC_REFUSALS, outcome.reason))
    if not pending.origin_peer_id:
        if not pending.cancelled:
            outputs.append(effects.Respond(request.request_id, outcome))
        return outputs
    return outputs + routing_reducer.answer_relayed_request(
        state,
        pending.origin_peer_id,
        pending.forward_id,
        outcome,
        request.deadline_ms,
    )


def _cancel(state: core_state.State, request_id: str) -> list[effects.Effect]:
    """Drop a request whose caller has disconnected.

    If its idempotency key is recorded, the request continues and only its answer is dropped.
    """
    pending = state.admission.pending.get(request_id)
    if pending is None:
        return []
    if pending.recorded:
        # It may already run; its outcome is still recorded for repeats.
        pending.cancelled = True
        return []
    state.admission.pending.pop(request_id)
    return []


def _expire(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Refuse requests past their deadline that routing does not end itself."""
    overdue = [
        pending
        for pending in state.admission.pending.values()
        if pending.request.deadline_ms <= now_ms
    ]
    outputs: list[effects.Effect] = []
    for pending in overdue:
        outputs.extend(_expire_one(state, pending, now_ms))
    return outputs


def _expire_one(
    state: core_state.State,
    pending: models.PendingRequest,
    now_ms: float,
) -> list[effects.Effect]:
    if pending.waits_for_token:
        not_run = core_models.Refused(
            package_const.REASON_DEADLINE_EXCEEDED,
            core_models.ExecutionStatus.NOT_RUN,
        )
        return _finish(state, pending.request.request_id, not_run, now_ms)
    if pending.recorded or pending.idempotent:
        # Routing ends these at the same deadline and knows whether they ran.
        return []
    unknown = core_models.Refused(
        package_const.REASON_OUTCOME_UNKNOWN, core_models.ExecutionStatus.UNKNOWN
    )
    return _close(state, pending, unknown)


def _to_routed_request(
    pending: models.PendingRequest, version: str
) -> routing_models.RoutedRequest:
    return routing_models.RoutedRequest(
        request=pending.request,
        account_id=pending.account_id,
        path_prefix=pending.path_prefix,
        idempotent=pending.idempotent,
        version=version,
    )


def _rate_limit_refusal(retry_after_ms: float) -> core_models.Refused:
    return core_models.Refused(
        package_const.REASON_RATE_LIMITED,
        core_models.ExecutionStatus.NOT_RUN,
        retry_after_ms,
    )
