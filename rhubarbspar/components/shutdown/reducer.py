"""Graceful shutdown that aborts no request.

The instance stops offering itself in lookups, but accepts requests as long as callers may use an
older lookup answer. Then it refuses new requests, completes the running ones, hands its idempotency
records over to a successor, releases its claims and exits.
"""

from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.idempotency import reducer as idempotency_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import reducer as routing_reducer
from rhubarbspar.components.shutdown import const
from rhubarbspar.components.shutdown import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import rendezvous


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Begin a planned stop on request or when a drain targets this instance, and advance it."""
    match event:
        case events.StopRequested() if state.shutdown.phase == models.Phase.RUNNING:
            state.membership.status = membership_models.InstanceStatus.LEAVING
            state.membership.stop_requested_ms = now_ms
            return _enter_phase(state, models.Phase.SERVING, now_ms)
        case events.Tick() if state.shutdown.phase == models.Phase.RUNNING:
            own_id = state.membership.own.instance_id
            is_drained = rollout_reducer.drains_instance(state, own_id)
            return [effects.Emit(events.StopRequested())] if is_drained else []
        case events.Tick():
            return _enter_next_phase(state, now_ms)
        case _:
            return []


def _enter_next_phase(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Enter the next phase if the current one is complete."""
    if not _is_phase_complete(state, now_ms - state.shutdown.phase_since_ms):
        return []
    match state.shutdown.phase:
        case models.Phase.SERVING:
            return [*_enter_phase(state, models.Phase.FINISHING, now_ms), effects.StopAccepting()]
        case models.Phase.FINISHING:
            return _hand_over(state, now_ms)
        case models.Phase.HANDING_OVER:
            releases = claims_reducer.release_all(state, now_ms)
            return _enter_phase(state, models.Phase.RELEASING, now_ms) + releases
        case _:
            return [*_enter_phase(state, models.Phase.ENDED, now_ms), effects.ExitProcess()]


def _is_phase_complete(state: core_state.State, elapsed_ms: float) -> bool:
    """Tell whether the current phase of a planned stop is complete or has timed out."""
    match state.shutdown.phase:
        case models.Phase.SERVING:
            serving_ms = state.steering.lookup_ttl_ms + const.LOOKUP_GRACE_MS
            return elapsed_ms >= serving_ms
        case models.Phase.FINISHING:
            return _is_idle(state)
        case models.Phase.HANDING_OVER:
            timed_out = elapsed_ms >= const.HAND_OVER_TIMEOUT_MS
            return (timed_out or idempotency_reducer.is_handed_over(state)) and _is_idle(state)
        case models.Phase.RELEASING:
            timed_out = elapsed_ms >= const.RELEASE_TIMEOUT_MS
            return (timed_out or claims_reducer.all_released(state)) and _is_idle(state)
        case _:
            return False


def _hand_over(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    outputs = _enter_phase(state, models.Phase.HANDING_OVER, now_ms)
    successor_id = _choose_successor(state, now_ms)
    if successor_id is not None:
        outputs += idempotency_reducer.hand_over(state, successor_id, now_ms)
    return outputs


def _choose_successor(state: core_state.State, now_ms: float) -> str | None:
    """Choose a live instance of the same failure domain, else of the same region, else any.

    Return ``None`` if there is no other live instance.
    """
    own = state.membership.own
    live_ids = set(membership_reducer.live_instance_ids(state, now_ms)) - {own.instance_id}
    same_domain_ids = [
        instance_id
        for instance_id in live_ids
        if state.membership.peers[instance_id].known.failure_domain == own.failure_domain
    ]
    own_region = membership_reducer.region_of(state, own.instance_id)
    same_region_ids = [
        instance_id
        for instance_id in live_ids
        if membership_reducer.region_of(state, instance_id) == own_region
    ]
    return rendezvous.choose(own.instance_id, same_domain_ids or same_region_ids or live_ids)


def _is_idle(state: core_state.State) -> bool:
    """Tell whether this instance has no pending or running request."""
    return not state.admission.pending and routing_reducer.is_idle(state)


def _enter_phase(
    state: core_state.State, phase: models.Phase, now_ms: float
) -> list[effects.Effect]:
    state.shutdown.phase = phase
    state.shutdown.phase_since_ms = now_ms
    return [effects.Log('planned_stop', (('phase', phase.value),))]
