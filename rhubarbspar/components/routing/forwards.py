"""Forward requests to the owners of backend servers and apply their answers."""

import dataclasses

from rhubarbspar import const as package_const
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models
from rhubarbspar.components.routing import owner
from rhubarbspar.components.routing import results
from rhubarbspar.components.routing import selection
from rhubarbspar.core import effects
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state

_RETRY_REASONS = frozenset(
    (
        package_const.REASON_BACKEND_FAILED,
        package_const.REASON_FULL,
        package_const.REASON_NO_SERVER,
        package_const.REASON_NOT_OWNER,
    )
)


def route(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    """Run a request here or forward it to the best owner that has not been tried yet."""
    request_id = routed.request.request_id
    tried = frozenset(state.routing.tried_owners.get(request_id, ()))
    if state.membership.own.instance_id not in tried:
        # No owner is nearer, so a free slot here needs no comparison with the peers.
        started = owner.start_on_free_slot(state, routed, now_ms)
        if started is not None:
            return started
    chosen = selection.choose_owner(state, routed, tried, now_ms)
    if chosen is None:
        reason = package_const.REASON_FULL if tried else package_const.REASON_NO_SERVER
        return _finish(state, routed, _not_run_refusal(reason))
    if chosen == state.membership.own.instance_id:
        return owner.run_or_queue(state, routed, now_ms)
    size_bytes = results.message_bytes(routed.request.headers, routed.request.body)
    if not results.take_link_budget(state, chosen, size_bytes, now_ms):
        return try_another_owner(
            state, routed, chosen, _not_run_refusal(package_const.REASON_FULL), now_ms
        )
    selection.count_forward(state, chosen)
    # The free slots in the last heartbeat may be taken by now while another owner still has some.
    is_last_try = len(tried) + 1 >= const.FORWARD_TRIES_MAX
    has_other_owner = selection.has_free_owner(state, routed, tried | {chosen}, now_ms)
    forwarded = dataclasses.replace(routed, may_wait=is_last_try or not has_other_owner)
    return forward(state, forwarded, chosen, False, now_ms)


def forward(
    state: core_state.State,
    routed: models.RoutedRequest,
    peer_id: str,
    relayed: bool,
    now_ms: float,
) -> list[effects.Effect]:
    """Send a request to a peer and record it as pending until the answer."""
    state.routing.last_id_number += 1
    number = state.routing.last_id_number
    # The incarnation in the id keeps late answers to an earlier incarnation from matching.
    incarnation = state.membership.incarnation
    forward_id = f'{incarnation}-{number}'
    state.routing.forwards[forward_id] = models.PendingForward(routed, peer_id, relayed)
    request = routed.request
    message = models.ForwardRequest(
        forward_id=forward_id,
        account_id=routed.account_id,
        service_id=request.service_id,
        version=routed.version,
        path_prefix=routed.path_prefix,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        access_key_digest=request.access_key_digest,
        idempotency_key=request.idempotency_key,
        remaining_ms=request.deadline_ms - now_ms - _margin_ms(state, peer_id),
        idempotent=routed.idempotent,
        relayed=relayed,
        avoid_server_id=routed.avoid_server_id,
        may_wait=routed.may_wait,
    )
    return [effects.SendMessage(peer_id, message)]


def _margin_ms(state: core_state.State, peer_id: str) -> float:
    # The owner counts from its receipt, and its answer has to arrive before the deadline here.
    return const.FORWARD_MARGIN_MS + state.membership.peers[peer_id].round_trip_ms


def apply_answer(
    state: core_state.State,
    peer_id: str,
    answer: models.ForwardAnswer,
    now_ms: float,
) -> list[effects.Effect]:
    """Apply a peer's answer; drop one that matches no pending forward to that peer."""
    pending = state.routing.forwards.get(answer.forward_id)
    if pending is None or pending.peer_id != peer_id:
        return [effects.Count(package_const.METRIC_EVENTS, 'late_answer')]
    state.routing.forwards.pop(answer.forward_id)
    outcome = results.from_answer(answer)
    return _apply_forward_outcome(state, pending, outcome, now_ms)


def end_forwards_to(state: core_state.State, peer_id: str, now_ms: float) -> list[effects.Effect]:
    """End the forwards to a peer whose connection has closed, with unknown outcome."""
    lost_ids = [
        forward_id
        for forward_id, pending in state.routing.forwards.items()
        if pending.peer_id == peer_id
    ]
    outputs: list[effects.Effect] = []
    for forward_id in lost_ids:
        pending = state.routing.forwards.pop(forward_id)
        outputs += _apply_forward_outcome(state, pending, _unknown_refusal(), now_ms)
    return outputs


def expire(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """End the forwards whose deadline has passed, with unknown outcome."""
    due = [
        forward_id
        for forward_id, pending in state.routing.forwards.items()
        if pending.routed.request.deadline_ms <= now_ms
    ]
    outputs: list[effects.Effect] = []
    for forward_id in due:
        pending = state.routing.forwards.pop(forward_id)
        refusal = core_models.Refused(
            package_const.REASON_DEADLINE_EXCEEDED,
            core_models.ExecutionStatus.UNKNOWN,
        )
        outputs += _finish(state, pending.routed, refusal)
    return outputs


def cancel(state: core_state.State, request_id: str) -> list[effects.Effect]:
    """Cancel the forwards of an idempotent request whose caller has disconnected."""
    state.routing.tried_owners.pop(request_id, None)
    outputs: list[effects.Effect] = []
    for forward_id, pending in list(state.routing.forwards.items()):
        if pending.routed.request.request_id == request_id and pending.routed.idempotent:
            state.routing.forwards.pop(forward_id)
            outputs.append(effects.SendMessage(pending.peer_id, models.ForwardCancel(forward_id)))
    return outputs


def apply_local_outcome(
    state: core_state.State,
    routed: models.RoutedRequest,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    """Finish a request, or retry it elsewhere, after this instance's own servers ended it."""
    own_id = state.membership.own.instance_id
    return _apply_outcome(state, routed, own_id, outcome, now_ms)


def try_another_owner(
    state: core_state.State,
    routed: models.RoutedRequest,
    instance_id: str,
    refusal: core_models.Refused,
    now_ms: float,
) -> list[effects.Effect]:
    """Try another owner after a refusal that allows it, or finish the request."""
    tried_ids = state.routing.tried_owners.setdefault(routed.request.request_id, set())
    tried_ids.add(instance_id)
    if refusal.reason not in _RETRY_REASONS or len(tried_ids) >= const.FORWARD_TRIES_MAX:
        return _finish(state, routed, refusal)
    counted = effects.Count(package_const.METRIC_RETRIES, refusal.reason)
    return [counted, *route(state, routed, now_ms)]


def _apply_forward_outcome(
    state: core_state.State,
    pending: models.PendingForward,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    if pending.relayed:
        return _finish(state, pending.routed, outcome)
    return _apply_outcome(state, pending.routed, pending.peer_id, outcome, now_ms)


def _apply_outcome(
    state: core_state.State,
    routed: models.RoutedRequest,
    instance_id: str,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    match outcome:
        case core_models.Refused(run=core_models.ExecutionStatus.NOT_RUN):
            return try_another_owner(state, routed, instance_id, outcome, now_ms)
        case core_models.Refused(reason=package_const.REASON_OUTCOME_UNKNOWN) if routed.idempotent:
            uncertain = dataclasses.replace(routed, may_have_run=True)
            refusal = core_models.Refused(
                package_const.REASON_BACKEND_FAILED,
                core_models.ExecutionStatus.UNKNOWN,
            )
            return try_another_owner(state, uncertain, instance_id, refusal, now_ms)
        case _:
            return _finish(state, routed, outcome)


def _finish(
    state: core_state.State,
    routed: models.RoutedRequest,
    outcome: core_models.Outcome,
) -> list[effects.Effect]:
    request_id = routed.request.request_id
    state.routing.tried_owners.pop(request_id, None)
    return [
        effects.Emit(
            models.RequestFinished(request_id, results.correct_execution_status(routed, outcome))
        )
    ]


def _not_run_refusal(reason: str) -> core_models.Refused:
    retry_after_ms = float(const.RETRY_AFTER_FULL_MS)
    return core_models.Refused(reason, core_models.ExecutionStatus.NOT_RUN, retry_after_ms)


def _unknown_refusal() -> core_models.Refused:
    return core_models.Refused(
        package_const.REASON_OUTCOME_UNKNOWN, core_models.ExecutionStatus.UNKNOWN
    )
