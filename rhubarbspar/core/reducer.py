"""Core reducer: dispatches every event to the components and collects their effects."""

import collections
import types
import typing

from rhubarbspar.components.admission import reducer as admission_reducer
from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.components.idempotency import reducer as idempotency_reducer
from rhubarbspar.components.limits import models as limits_models
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.components.routing import reducer as routing_reducer
from rhubarbspar.components.shutdown import reducer as shutdown_reducer
from rhubarbspar.components.steering import reducer as steering_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import heartbeat as core_heartbeat
from rhubarbspar.core import state as core_state

COMPONENTS = (
    membership_reducer,
    configuration_reducer,
    claims_reducer,
    limits_reducer,
    rollout_reducer,
    idempotency_reducer,
    routing_reducer,
    admission_reducer,
    steering_reducer,
    shutdown_reducer,
)

# Events that occur for every request or load probe are dispatched only to the components that
# handle them. Other events, except heartbeats, go to every component.
HANDLERS: typing.Final = types.MappingProxyType(
    {
        events.AttemptFinished: (routing_reducer,),
        events.LoadReported: (routing_reducer,),
        events.RequestReceived: (admission_reducer,),
        limits_models.AdmissionDecided: (admission_reducer,),
        routing_models.ForwardAnswersReady: (routing_reducer,),
        routing_models.LocalRunEnded: (routing_reducer,),
        routing_models.RequestFinished: (admission_reducer,),
    }
)


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Apply one event, and the events that it emits, to the state.

    Parameters
    ----------
    state
        State of this instance; it is changed in place.
    event
        Event to apply.
    now_ms
        Monotonic time of this process in milliseconds.

    Returns
    -------
    list of effects.Effect
        Effects for the daemon, in the order in which it performs them. Emitted events are already
        applied and not included.
    """
    queue = collections.deque([event])
    outputs: list[effects.Effect] = []
    while queue:
        for effect in _apply(state, queue.popleft(), now_ms):
            match effect:
                case effects.Emit(emitted):
                    queue.append(emitted)
                case _:
                    outputs.append(effect)
    return outputs


def _apply(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    match event:
        case events.MessageReceived(peer_id, membership_models.Heartbeat() as heartbeat):
            outputs += membership_reducer.receive_heartbeat(state, peer_id, heartbeat, now_ms)
            outputs += configuration_reducer.apply_heartbeat(state, peer_id, heartbeat, now_ms)
        case membership_models.HeartbeatDue(peer_id):
            message = core_heartbeat.compose(state, peer_id, now_ms)
            outputs.append(effects.SendMessage(peer_id, message))
        case _:
            for component in HANDLERS.get(type(event), COMPONENTS):
                outputs.extend(component.reduce(state, event, now_ms))
    return outputs
