"""The reducer: applies each event to the state and returns the effects."""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import lifecycle
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import server_limits
from rhubarbspar.gateway.membership import gossip
from rhubarbspar.gateway.routing import crash_checks
from rhubarbspar.gateway.routing import link_checks
from rhubarbspar.gateway.serving import dispatch
from rhubarbspar.gateway.serving import forwards
from rhubarbspar.gateway.serving import waiting
from rhubarbspar.gateway.store import operator_relay
from rhubarbspar.gateway.store import store_records
from rhubarbspar.gateway.store import store_recovery
from rhubarbspar.gateway.store import store_relay
from rhubarbspar.gateway.usage import events as usage_events
from rhubarbspar.gateway.usage import messages as usage_messages
from rhubarbspar.gateway.usage import reports


def reduce(
    state: gateway_state.State, event: core_events.Event, now_ms: float
) -> list[core_effects.Effect]:
    """Apply one event to the state.

    Parameters
    ----------
    state
        State of this instance; changed in place.
    event
        What happened.
    now_ms
        Time since the machine's start, suspension included, milliseconds.

    Returns
    -------
    list of core_effects.Effect
        What the daemon has to carry out, in order.
    """
    match event:
        case events.RequestReceived(request):
            return dispatch.receive_request(state, request, now_ms)
        case events.AttemptEnded(attempt_number) if attempt_number in state.forwards:
            return forwards.finish(state, event, now_ms)
        case events.AttemptEnded():
            ended = dispatch.finish_attempt(state, event, now_ms)
            return [*ended, *waiting.examine(state, now_ms)]
        case events.RequestAbandoned(request_number):
            return dispatch.abandon_request(state, request_number, now_ms)
        case events.ClockTicked():
            return _tick(state, event, now_ms)
        case core_events.StopRequested():
            return lifecycle.request_stop(state, now_ms)
        case events.ForwardReceived() | events.ForwardAbandoned() | events.ProbeEnded():
            return _reduce_link_event(state, event, now_ms)
        case (
            core_events.PeerConnected()
            | core_events.PeerDisconnected()
            | core_events.MessageReceived()
        ):
            return _reduce_peer_event(state, event, now_ms)
        case _:
            return _reduce_store_event(state, event, now_ms)


def _reduce_link_event(
    state: gateway_state.State,
    event: events.ForwardReceived | events.ForwardAbandoned | events.ProbeEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    match event:
        case events.ForwardReceived(forwarded):
            return forwards.receive(state, forwarded, now_ms)
        case events.ForwardAbandoned(forward_number):
            return forwards.abandon(state, forward_number)
        case events.ProbeEnded():
            confirmed = crash_checks.finish_check(state, event, now_ms)
            return [*confirmed, *link_checks.finish_probe(state, event, now_ms)]
    return []


def _reduce_store_event(
    state: gateway_state.State, event: core_events.Event, now_ms: float
) -> list[core_effects.Effect]:
    match event:
        case events.StoreSnapshot():
            return _apply_snapshot(state, event, now_ms)
        case events.StoreChanged(records, revision):
            base_revision = state.replica.passed_on_revision
            outputs = store_relay.note_store_reachable(state, now_ms, revision)
            changed = state.replica.apply_changes(records, revision, now_ms)
            applied = store_records.apply_records(state, changed, now_ms)
            return [*outputs, *store_relay.relay_changes(state, base_revision, now_ms), *applied]
        case events.PrefixRead():
            return store_recovery.apply_prefix(state, event, now_ms)
        case events.StoreLost(reason):
            outputs = store_relay.note_store_lost(state, reason)
            return [*outputs, *gossip.send_heartbeats(state, now_ms)] if outputs else []
        case usage_events.UsageEvent():
            return reports.finish_call(state, event, now_ms)
        case _:
            return []


def _apply_snapshot(
    state: gateway_state.State, snapshot: events.StoreSnapshot, now_ms: float
) -> list[core_effects.Effect]:
    """Apply a complete read of the store; log how much of it is news."""
    known_revision = state.replica.revision
    outputs = store_relay.note_store_reachable(state, now_ms, known_revision)
    changed = state.replica.apply_snapshot(snapshot, now_ms)
    log_fields = (
        ('revision', snapshot.revision),
        ('records', len(snapshot.records)),
        ('changed', len(changed)),
        ('known_revision', known_revision),
    )
    outputs.append(core_effects.Log('snapshot_applied', log_fields))
    applied = store_records.apply_records(state, changed, now_ms)
    outputs.extend(store_relay.relay_changes(state, known_revision, now_ms))
    outputs.extend(applied)
    # Requests may follow at once; the shares must not be those of an instance that knew no other.
    state.quotas.divide_among(state.fleet.size(now_ms))
    return outputs


def _reduce_peer_event(
    state: gateway_state.State,
    event: core_events.PeerConnected | core_events.PeerDisconnected | core_events.MessageReceived,
    now_ms: float,
) -> list[core_effects.Effect]:
    match event:
        case core_events.MessageReceived(peer_id, messages.Heartbeat() as heartbeat):
            return gossip.receive_heartbeat(state, peer_id, heartbeat, now_ms)
        case core_events.MessageReceived(peer_id, messages.CrashSeen() as crash):
            return gossip.note_crash(state, peer_id, crash, now_ms)
        case core_events.MessageReceived(
            peer_id, usage_messages.UsagePart() | usage_messages.UsageStatus() as usage_message
        ):
            return reports.receive(state, peer_id, usage_message, now_ms)
        case core_events.MessageReceived():
            return _reduce_relayed(state, event, now_ms)
        case core_events.PeerConnected(peer_id):
            return gossip.note_peer_connected(state, peer_id, now_ms)
        case core_events.PeerDisconnected(peer_id):
            return gossip.note_peer_disconnected(state, peer_id)
    return []


def _reduce_relayed(
    state: gateway_state.State, event: core_events.MessageReceived, now_ms: float
) -> list[core_effects.Effect]:
    """Apply a message about changes of the store."""
    match event:
        case core_events.MessageReceived(peer_id, messages.StoreNews() as relayed):
            return store_relay.receive_changes(state, peer_id, relayed, now_ms)
        case core_events.MessageReceived(peer_id, messages.OperatorChanges() as received):
            return operator_relay.receive(state, peer_id, received, now_ms)
        case core_events.MessageReceived(peer_id, messages.StoreSnapshotPart() as part):
            return store_relay.receive_snapshot_part(state, peer_id, part, now_ms)
        case core_events.MessageReceived(peer_id, messages.ChangesReceived() as acknowledged):
            return store_relay.note_acknowledgement(state, peer_id, acknowledged, now_ms)
    return []


def _tick(
    state: gateway_state.State, ticked: events.ClockTicked, now_ms: float
) -> list[core_effects.Effect]:
    """Run all periodic tasks; after a long pause, also ask the store again."""
    outputs: list[core_effects.Effect] = []
    paused_ms = ticked.paused_ms
    if paused_ms > const.PROCESS_PAUSE_MIN_MS:
        outputs.append(core_effects.Log('process_paused', (('paused_ms', round(paused_ms)),)))
        outputs.append(effects.RefreshStore())
    server_limits.update_positions(state, now_ms)
    state.scheduler.is_memory_short = ticked.is_memory_short
    lost = state.replica.remove_lost_records(now_ms)
    outputs.extend(store_records.apply_records(state, lost, now_ms))
    outputs.extend(store_records.remove_lapsed_servers(state, now_ms))
    outputs.extend(_check_attempts(state, now_ms))
    outputs.extend(gossip.tick(state, now_ms))
    outputs.extend(reports.tick(state, ticked.unix_ms, now_ms))
    return outputs + lifecycle.tick(state, ticked.unsent_count, now_ms)


def _check_attempts(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Check the deadlines of all attempts, and the links on which they are sent."""
    return [
        *waiting.examine(state, now_ms),
        *dispatch.check_deadlines(state, now_ms),
        *forwards.check_deadlines(state, now_ms),
        *link_checks.tick(state, now_ms),
    ]
