"""Planned stop: serve while callers learn of it, finish what was begun, exit within the grace period."""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import gossip
from rhubarbspar.gateway import state as gateway_state


def request_stop(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Begin a planned stop."""
    if state.is_stopping:
        return []
    state.lifecycle.stop_requested_ms = now_ms
    fields = (('pending', len(state.pending)),)
    outputs: list[core_effects.Effect] = [core_effects.Log('stopping', fields), effects.Leave()]
    return outputs + gossip.broadcast_heartbeat(state, now_ms)


def tick(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Take the next step of a planned stop when it is due."""
    lifecycle = state.lifecycle
    elapsed_ms = now_ms - lifecycle.stop_requested_ms
    outputs: list[core_effects.Effect] = []
    if elapsed_ms >= const.STOP_CLOSE_IDLE_AFTER_MS and not lifecycle.closed_idle:
        lifecycle.closed_idle = True
        outputs.append(effects.CloseIdleCallers())
    if elapsed_ms < const.STOP_REFUSE_AFTER_MS or lifecycle.exited:
        return outputs
    if not lifecycle.stopped_listening:
        lifecycle.stopped_listening = True
        outputs.append(effects.StopListening())
    overdue = elapsed_ms >= state.bounds.stop_grace_ms - const.STOP_EXIT_MARGIN_MS
    if overdue or not state.pending:
        lifecycle.exited = True
        outputs.append(core_effects.Log('stopped', (('pending', len(state.pending)),)))
        outputs.append(effects.Exit())
    return outputs
