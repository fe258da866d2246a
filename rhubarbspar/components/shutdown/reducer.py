"""Stop without cutting a request.

The instance leaves the look-ups, serves while callers may still hold an older look-up answer, takes no
more requests of callers, finishes what runs, passes its idempotency records to a successor, releases its
claims, and exits.
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
    """Handle one event."""
    match event:
        case events.StopRequested() if state.shutdown.phase == models.Phase.RUNNING:
            state.membership.status = membership_models.InstanceStatus.LEAVING
            state.membership.stop_requested_ms = now_ms
            return _enter(state, models.Phase.SERVING, now_ms)
        case events.Tick() if state.shutdown.phase == models.Phase.RUNNING:
            own_id = state.membership.own.instance_id
            drained = rollout_reducer.drains_instance(state, own_id)
            return [effects.Emit(events.StopRequested())] if drained else []
        case events.Tick():
            return _step(state, now_ms)
        case _:
            return []


def _step(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    if not _is_due(state, now_ms - state.shutdown.phase_since_ms):
        return []
    match state.shutdown.phase:
        case models.Phase.SERVING:
            return [*_enter(state, models.Phase.FINISHING, now_ms), effects.StopAccepting()]
        case models.Phase.FINISHING:
            return _hand_over(state, now_ms)
        case models.Phase.HANDING_OVER:
            releases = claims_reducer.release_all(state, now_ms)
            return _enter(state, models.Phase.RELEASING, now_ms) + releases
        case _:
            return [*_enter(state, models.Phase.ENDED, now_ms), effects.ExitProcess()]


def _is_due(state: core_state.State, elapsed_ms: float) -> bool:
    match state.shutdown.phase:
        case models.Phase.SERVING:
            serve_ms = state.steering.lookup_ttl_ms + const.LOOKUP_GRACE_MS
            return elapsed_ms >= serve_ms
        case models.Phase.FINISHING:
            return _is_idle(state)
        case models.Phase.HANDING_OVER:
            waited = elapsed_ms >= const.HAND_OVER_TIMEOUT_MS
            return (waited or idempotency_reducer.is_handed_over(state)) and _is_idle(state)
        case models.Phase.RELEASING:
            waited = elapsed_ms >= const.RELEASE_TIMEOUT_MS
            return (waited or claims_reducer.all_released(state)) and _is_idle(state)
        case _:
            return False


def _hand_over(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    outputs = _enter(state, models.Phase.HANDING_OVER, now_ms)
    successor_id = _successor(state, now_ms)
    if successor_id is not None:
        outputs += idempotency_reducer.hand_over(state, successor_id, now_ms)
    return outputs


def _successor(state: core_state.State, now_ms: float) -> str | None:
    """Return a live instance of the same failure domain, else region, else anywhere."""
    own = state.membership.own
    live = set(membership_reducer.live_instance_ids(state, now_ms)) - {own.instance_id}
    same_domain = [
        instance_id
        for instance_id in live
        if state.membership.peers[instance_id].known.failure_domain == own.failure_domain
    ]
    own_region = membership_reducer.region_of(state, own.instance_id)
    same_region = [
        instance_id
        for instance_id in live
        if membership_reducer.region_of(state, instance_id) == own_region
    ]
    return rendezvous.choose(own.instance_id, same_domain or same_region or live)


def _is_idle(state: core_state.State) -> bool:
    return not state.admission.pending and routing_reducer.is_idle(state)


def _enter(state: core_state.State, phase: models.Phase, now_ms: float) -> list[effects.Effect]:
    state.shutdown.phase = phase
    state.shutdown.phase_since_ms = now_ms
    return [effects.Log('planned_stop', (('phase', phase.value),))]
