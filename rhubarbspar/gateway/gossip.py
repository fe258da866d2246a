"""Heartbeats between instances, and relay of store changes to peers that do not watch the store.

Patterns: gossip of cumulative counters; relay of store changes by revision.
"""

import math

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway import store_records


def note_store_reachable(
    state: gateway_state.State, now_ms: float, revision: int
) -> list[core_effects.Effect]:
    """Note that the store answered this instance."""
    was_unreachable = not state.replica.reachable
    state.replica.mark_reachable(revision, now_ms, state.fleet.earliest_store_contact_ms(now_ms))
    state.replica.directly_reachable = state.is_store_follower
    if was_unreachable:
        return [core_effects.Log('store_regained', (('revision', state.replica.revision),))]
    return []


def note_store_lost(
    state: gateway_state.State, reason: str, now_ms: float
) -> list[core_effects.Effect]:
    """Note that a call to the store failed; broadcast it if the store was reachable until now."""
    was_reachable = state.replica.reachable
    state.replica.mark_unreachable()
    if not was_reachable:
        return []
    log_fields = (('reason', reason), ('revision', state.replica.revision))
    return [core_effects.Log('store_lost', log_fields), *broadcast_heartbeat(state, now_ms)]


def receive_heartbeat(
    state: gateway_state.State, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float
) -> list[core_effects.Effect]:
    """Apply a peer's heartbeat; relay the store changes that the peer lacks."""
    peer = state.fleet.peers.get(peer_id)
    if peer is None:
        return []
    outputs: list[core_effects.Effect] = []
    was_live = state.fleet.is_live(peer, now_ms)
    if not was_live:
        outputs.append(core_effects.Log('peer_heard', (('peer', peer_id),)))
    if peer.heartbeat is None or peer.heartbeat.store_reachable != heartbeat.store_reachable:
        # Check at once whether the region needs another instance that watches the store.
        state.fleet.last_check_ms = -math.inf
    peer.record_heartbeat(heartbeat, now_ms, was_live=was_live)
    if heartbeat.store_reachable and not state.is_store_follower:
        state.replica.mark_reachable(0, now_ms, state.fleet.earliest_store_contact_ms(now_ms))
    state.quotas.apply_heartbeat(peer_id, heartbeat, now_ms)
    state.rollouts.peers[peer_id] = heartbeat.versions
    for verdict in heartbeat.rejected_versions:
        if state.rollouts.apply_verdict(verdict):
            outputs.append(_log_verdict(verdict, peer_id))
    return outputs + _relay_missing_changes(state, peer_id, heartbeat)


def apply_relayed_changes(
    state: gateway_state.State, peer_id: str, relayed: messages.StoreNews, now_ms: float
) -> list[core_effects.Effect]:
    """Apply store changes that a peer relays, if they continue from the known revision."""
    replica = state.replica
    if not state.is_store_follower:
        replica.mark_reachable(0, now_ms, state.fleet.earliest_store_contact_ms(now_ms))
    if relayed.revision <= replica.revision or relayed.base_revision > replica.revision:
        return []
    records = tuple(
        events.RecordRead(record.key, record.revision, record.content) for record in relayed.records
    )
    log_fields = (('peer', peer_id), ('revision', relayed.revision), ('records', len(records)))
    changed = replica.apply_changes(records, relayed.revision)
    applied = store_records.apply_records(state, changed, now_ms)
    return [core_effects.Log('news_relayed', log_fields), *applied]


def relay_changes(
    state: gateway_state.State,
    base_revision: int,
    changes: tuple[events.RecordRead, ...],
    now_ms: float,
) -> list[core_effects.Effect]:
    """Relay changes to the peers of the own region that do not watch the store."""
    if not changes or not state.replica.directly_reachable:
        return []
    relayed = _make_store_news(base_revision, state.replica.revision, changes)
    return [
        core_effects.SendMessage(peer_id, relayed)
        for peer_id in state.fleet.region_peers_without_store(now_ms)
    ]


def note_peer_connected(
    state: gateway_state.State, peer_id: str, now_ms: float
) -> list[core_effects.Effect]:
    """Note a new connection to a peer; send it a heartbeat with all accounts."""
    peer = state.fleet.peers.get(peer_id)
    if peer is not None:
        peer.connected = True
        peer.dialled_ms = now_ms
    heartbeat = _make_heartbeat(state, state.quotas.report(now_ms))
    full_heartbeat = core_effects.SendMessage(peer_id, heartbeat)
    return [core_effects.Log('peer_connected', (('peer', peer_id),)), full_heartbeat]


def note_peer_disconnected(state: gateway_state.State, peer_id: str) -> list[core_effects.Effect]:
    """Note that the connection to a peer has ended."""
    peer = state.fleet.peers.get(peer_id)
    if peer is not None:
        peer.connected = False
    return [core_effects.Log('peer_disconnected', (('peer', peer_id),))]


def tick(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Do what is due: dial peers, evaluate rollouts, send heartbeats and record rollout progress."""
    outputs: list[core_effects.Effect] = []
    if now_ms - state.fleet.last_check_ms >= const.FLEET_CHECK_INTERVAL_MS:
        state.fleet.last_check_ms = now_ms
        state.quotas.expire_peers(now_ms)
        outputs.extend(state.fleet.connection_effects(now_ms))
        outputs.extend(_update_following(state, now_ms))
    verdicts = state.rollouts.reject_bad_candidates()
    outputs.extend(
        _log_verdict(verdict, state.fleet.own_member.instance_id) for verdict in verdicts
    )
    if verdicts or now_ms - state.fleet.last_broadcast_ms >= state.fleet.heartbeat_interval_ms:
        outputs.extend(broadcast_heartbeat(state, now_ms))
    outputs.extend(_write_due_statuses(state, now_ms))
    return outputs


def broadcast_heartbeat(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Send a heartbeat with the changed accounts to all connected peers."""
    state.fleet.last_broadcast_ms = now_ms
    if not any(peer.connected for peer in state.fleet.peers.values()):
        return []
    return [core_effects.Broadcast(_make_heartbeat(state, state.quotas.report_changes(now_ms)))]


def _make_heartbeat(
    state: gateway_state.State, accounts: tuple[messages.AccountUsage, ...]
) -> messages.Heartbeat:
    return messages.Heartbeat(
        state.fleet.own_member.incarnation,
        state.replica.revision,
        state.replica.directly_reachable,
        state.is_stopping,
        accounts,
        state.rollouts.report(),
        tuple(sorted(state.rollouts.verdicts, key=repr)),
    )


def _relay_missing_changes(
    state: gateway_state.State, peer_id: str, heartbeat: messages.Heartbeat
) -> list[core_effects.Effect]:
    """Return the store changes that a peer without contact to the store lacks."""
    is_behind = heartbeat.store_revision < state.replica.revision
    if heartbeat.store_reachable or not is_behind or not state.replica.directly_reachable:
        return []
    changes = state.replica.changes_after(heartbeat.store_revision)
    relayed = _make_store_news(heartbeat.store_revision, state.replica.revision, changes)
    return [core_effects.SendMessage(peer_id, relayed)]


def _make_store_news(
    base_revision: int, revision: int, changes: tuple[events.RecordRead, ...]
) -> messages.StoreNews:
    records = tuple(
        messages.RelayedRecord(record.key, record.revision, record.content) for record in changes
    )
    return messages.StoreNews(base_revision, revision, records)


def _update_following(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Start or stop watching the store when the role of this instance as a follower changes.

    An instance watches until it has a first revision, and afterwards while it is a follower.
    """
    should_follow = not state.replica.revision or state.fleet.should_follow_store(now_ms)
    if should_follow == state.is_store_follower:
        return []
    state.is_store_follower = should_follow
    state.replica.directly_reachable = False
    log_fields = (('enabled', should_follow), ('revision', state.replica.revision))
    return [effects.FollowStore(should_follow), core_effects.Log('store_following', log_fields)]


def _write_due_statuses(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Return the writes of rollout progress that are due; only the coordinator writes."""
    if not state.rollouts.active or not state.replica.directly_reachable or state.is_stopping:
        return []
    if not state.fleet.is_coordinator(now_ms):
        return []
    due_statuses = state.rollouts.due_statuses(state.declared.rollout_statuses, now_ms)
    outputs: list[core_effects.Effect] = []
    for status in due_statuses:
        outputs.append(effects.WriteStatus(status))
        outputs.append(_log_status(status))
    return outputs


def _log_status(status: models.RolloutStatus) -> core_effects.Log:
    log_fields = (
        ('service', status.service_id),
        ('version', status.version),
        ('phase', status.phase),
        ('replaces', status.revision),
    )
    return core_effects.Log('rollout_status', log_fields)


def _log_verdict(verdict: messages.RejectedVersion, instance_id: str) -> core_effects.Log:
    log_fields = (
        ('service', verdict.service_id),
        ('version', verdict.version),
        ('found_by', instance_id),
    )
    return core_effects.Log('version_condemned', log_fields)
