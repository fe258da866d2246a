"""Forward requests to the owners of backend servers and follow their answers."""

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


def place(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    """Give work to the best owner that has not refused it."""
    request_id = routed.request.request_id
    tried = frozenset(state.routing.tries.get(request_id, ()))
    if state.membership.own.instance_id not in tried:
        # No owner is nearer, so that a free slot here needs no comparison with the peers.
        started = owner.start_now(state, routed, now_ms)
        if started is not None:
            return started
    chosen = selection.choose_owner(state, routed, tried, now_ms)
    if chosen is None:
        reason = package_const.REASON_FULL if tried else package_const.REASON_NO_SERVER
        return _end(state, routed, _not_run(reason))
    if chosen == state.membership.own.instance_id:
        return owner.run(state, routed, now_ms)
    size_bytes = results.message_bytes(routed.request.headers, routed.request.body)
    if not results.take_link(state, chosen, size_bytes, now_ms):
        return refused(state, routed, chosen, _not_run(package_const.REASON_FULL), now_ms)
    selection.note_forward(state, chosen)
    # Free slots are known from heartbeats and may be taken by now; another owner may still have some.
    last = len(tried) + 1 >= const.FORWARD_TRIES_MAX
    elsewhere = selection.has_free_owner(state, routed, tried | {chosen}, now_ms)
    bounded = dataclasses.replace(routed, may_wait=last or not elsewhere)
    return send(state, bounded, chosen, False, now_ms)


def send(
    state: core_state.State,
    routed: models.RoutedRequest,
    peer_id: str,
    relayed: bool,
    now_ms: float,
) -> list[effects.Effect]:
    """Send work to a peer and remember it until the answer."""
    state.routing.next_number += 1
    number = state.routing.next_number
    # With the incarnation, a late answer to an earlier run of this instance matches no forward of this one.
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
    # The owner counts from its receipt, and its refusal has to arrive before the deadline here.
    return const.FORWARD_MARGIN_MS + state.membership.peers[peer_id].round_trip_ms


def answered(
    state: core_state.State,
    peer_id: str,
    answer: models.ForwardAnswer,
    now_ms: float,
) -> list[effects.Effect]:
    """Use a peer's answer; one to a request that has ended already is dropped."""
    pending = state.routing.forwards.get(answer.forward_id)
    if pending is None or pending.peer_id != peer_id:
        return [effects.Count(package_const.METRIC_EVENTS, 'late_answer')]
    state.routing.forwards.pop(answer.forward_id)
    outcome = results.from_answer(answer)
    return _resolve(state, pending, outcome, now_ms)


def lost(state: core_state.State, peer_id: str, now_ms: float) -> list[effects.Effect]:
    """End the forwards to a peer whose connection has ended."""
    gone = [
        forward_id
        for forward_id, pending in state.routing.forwards.items()
        if pending.peer_id == peer_id
    ]
    outputs: list[effects.Effect] = []
    for forward_id in gone:
        pending = state.routing.forwards.pop(forward_id)
        outputs += _resolve(state, pending, _unknown(), now_ms)
    return outputs


def expire(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """End the forwards whose deadline has passed."""
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
        outputs += _end(state, pending.routed, refusal)
    return outputs


def cancel(state: core_state.State, request_id: str) -> list[effects.Effect]:
    """Tell the owner that the caller of an idempotent request has gone."""
    state.routing.tries.pop(request_id, None)
    outputs: list[effects.Effect] = []
    for forward_id, pending in list(state.routing.forwards.items()):
        if pending.routed.request.request_id == request_id and pending.routed.idempotent:
            state.routing.forwards.pop(forward_id)
            outputs.append(effects.SendMessage(pending.peer_id, models.ForwardCancel(forward_id)))
    return outputs


def own_ended(
    state: core_state.State,
    routed: models.RoutedRequest,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    """Use the outcome of an attempt at this instance's own backend servers."""
    own_id = state.membership.own.instance_id
    return _settle(state, routed, own_id, outcome, now_ms)


def refused(
    state: core_state.State,
    routed: models.RoutedRequest,
    instance_id: str,
    refusal: core_models.Refused,
    now_ms: float,
) -> list[effects.Effect]:
    """Try another owner after a refusal that did not run, or end the request."""
    tries = state.routing.tries.setdefault(routed.request.request_id, set())
    tries.add(instance_id)
    if refusal.reason not in _RETRY_REASONS or len(tries) >= const.FORWARD_TRIES_MAX:
        return _end(state, routed, refusal)
    counted = effects.Count(package_const.METRIC_RETRIES, refusal.reason)
    return [counted, *place(state, routed, now_ms)]


def _resolve(
    state: core_state.State,
    pending: models.PendingForward,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    if pending.relayed:
        return _end(state, pending.routed, outcome)
    return _settle(state, pending.routed, pending.peer_id, outcome, now_ms)


def _settle(
    state: core_state.State,
    routed: models.RoutedRequest,
    instance_id: str,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    match outcome:
        case core_models.Refused(run=core_models.ExecutionStatus.NOT_RUN):
            return refused(state, routed, instance_id, outcome, now_ms)
        case core_models.Refused(reason=package_const.REASON_OUTCOME_UNKNOWN) if routed.idempotent:
            uncertain = dataclasses.replace(routed, may_have_run=True)
            again = core_models.Refused(
                package_const.REASON_BACKEND_FAILED,
                core_models.ExecutionStatus.UNKNOWN,
            )
            return refused(state, uncertain, instance_id, again, now_ms)
        case _:
            return _end(state, routed, outcome)


def _end(
    state: core_state.State,
    routed: models.RoutedRequest,
    outcome: core_models.Outcome,
) -> list[effects.Effect]:
    request_id = routed.request.request_id
    state.routing.tries.pop(request_id, None)
    return [effects.Emit(models.RequestFinished(request_id, results.certain(routed, outcome)))]


def _not_run(reason: str) -> core_models.Refused:
    retry_after_ms = float(const.RETRY_AFTER_FULL_MS)
    return core_models.Refused(reason, core_models.ExecutionStatus.NOT_RUN, retry_after_ms)


def _unknown() -> core_models.Refused:
    return core_models.Refused(
        package_const.REASON_OUTCOME_UNKNOWN, core_models.ExecutionStatus.UNKNOWN
    )
