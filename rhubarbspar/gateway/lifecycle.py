"""Planned stop of the process within the operators' grace period.

Pattern: graceful shutdown. The instance deregisters but serves on while callers learn of the stop,
then accepts no more connections, finishes the pending requests and exits. Requests that could not
end by then are refused, so that another instance serves them.
"""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import gossip
from rhubarbspar.gateway.serving import dispatch


def request_stop(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Begin a planned stop: deregister and inform the peers; a second request changes nothing."""
    if state.is_stopping:
        return []
    state.lifecycle.stop_requested_ms = now_ms
    log_fields = (('pending', len(state.pending)),)
    outputs: list[core_effects.Effect] = [core_effects.Log('stopping', log_fields), effects.Leave()]
    return outputs + gossip.send_heartbeats(state, now_ms)


def tick(state: gateway_state.State, unsent_count: int, now_ms: float) -> list[core_effects.Effect]:
    """Return the effects of the steps of a planned stop that are due.

    Parameters
    ----------
    unsent_count
        Connections with a response that is not sent yet; the process waits for them too.
    """
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
    is_overdue = now_ms >= state.stop_ends_ms
    if is_overdue or not (state.pending or state.forwards or unsent_count):
        lifecycle.exited = True
        log_fields = (('pending', len(state.pending)), ('unsent', unsent_count))
        outputs.append(core_effects.Log('stopped', log_fields))
        outputs.extend(dispatch.end_pending(state, now_ms))
        outputs.append(effects.Exit())
    return outputs
