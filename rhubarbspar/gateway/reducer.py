"""The reducer: applies every event to the state and returns the effects."""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import declarations
from rhubarbspar.gateway import dispatch
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import lifecycle
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import news
from rhubarbspar.gateway import state as gateway_state


def reduce(
    state: gateway_state.State, event: core_events.Event, now_ms: float
) -> list[core_effects.Effect]:
    """Apply one event.

    Parameters
    ----------
    state
        State of this instance; changed in place.
    event
        What happened.
    now_ms
        Time since the machine's start, pauses included, milliseconds.

    Returns
    -------
    list of core_effects.Effect
        What the daemon has to do, in order.
    """
    match event:
        case events.RequestReceived(request):
            return dispatch.receive_request(state, request, now_ms)
        case events.AttemptEnded():
            return dispatch.finish_attempt(state, event, now_ms)
        case events.RequestAbandoned(number):
            return dispatch.abandon_request(state, number, now_ms)
        case events.ClockTicked(paused_ms):
            return _tick(state, paused_ms, now_ms)
        case core_events.StopRequested():
            return lifecycle.request_stop(state, now_ms)
        case (
            core_events.PeerConnected()
            | core_events.PeerDisconnected()
            | core_events.MessageReceived()
        ):
            return _hear(state, event, now_ms)
        case _:
            return _store(state, event, now_ms)


def _store(
    state: gateway_state.State, event: core_events.Event, now_ms: float
) -> list[core_effects.Effect]:
    match event:
        case events.StoreSnapshot(records, revision):
            outputs = news.store_heard(state, now_ms, revision)
            changed = state.mirror.replace(event, now_ms)
            return outputs + declarations.apply(state, changed, now_ms)
        case events.StoreChanged(records, revision):
            after = state.mirror.revision
            outputs = news.store_heard(state, now_ms, revision)
            changed = state.mirror.change(records, revision)
            outputs.extend(news.pass_on(state, after, changed, now_ms))
            return outputs + declarations.apply(state, changed, now_ms)
        case events.StoreLost(reason):
            return news.store_lost(state, reason, now_ms)
        case _:
            return []


def _hear(
    state: gateway_state.State,
    event: core_events.PeerConnected | core_events.PeerDisconnected | core_events.MessageReceived,
    now_ms: float,
) -> list[core_effects.Effect]:
    match event:
        case core_events.MessageReceived(peer_id, messages.Heartbeat() as heartbeat):
            return news.apply_heartbeat(state, peer_id, heartbeat, now_ms)
        case core_events.MessageReceived(peer_id, messages.StoreNews() as relayed):
            return news.take_relayed(state, peer_id, relayed, now_ms)
        case core_events.MessageReceived(_, messages.CrashSeen(fingerprint, server_id)):
            state.crashes.record_crash(fingerprint, server_id, now_ms)
        case core_events.PeerConnected(peer_id):
            return news.connected(state, peer_id, now_ms)
        case core_events.PeerDisconnected(peer_id):
            return news.disconnected(state, peer_id)
    return []


def _tick(state: gateway_state.State, paused_ms: float, now_ms: float) -> list[core_effects.Effect]:
    outputs: list[core_effects.Effect] = []
    if paused_ms > const.PAUSE_NOTICED_MS:
        outputs.append(core_effects.Log('process_paused', (('paused_ms', round(paused_ms)),)))
        outputs.append(effects.RefreshStore())
    outputs.extend(declarations.expire(state, now_ms))
    outputs.extend(dispatch.check_deadlines(state, now_ms))
    outputs.extend(news.tick(state, now_ms))
    outputs.extend(lifecycle.tick(state, now_ms))
    return outputs
