"""What the instances and the store tell each other.

Patterns: gossip of cumulative counters; relay of the store's changes to peers that it does not serve.
"""

import math

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import store_records
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state


def note_store_reachable(
    state: gateway_state.State, now_ms: float, revision: int
) -> list[core_effects.Effect]:
    """Note that the store answered."""
    regained = not state.replica.reachable
    state.replica.mark_reachable(revision, now_ms, state.fleet.earliest_store_contact_ms(now_ms))
    state.replica.directly_reachable = state.is_store_follower
    if regained:
        return [core_effects.Log('store_regained', (('revision', state.replica.revision),))]
    return []


def note_store_lost(
    state: gateway_state.State, reason: str, now_ms: float
) -> list[core_effects.Effect]:
    """Note that a call to the store failed."""
    lost = state.replica.reachable
    state.replica.mark_unreachable()
    if not lost:
        return []
    fields = (('reason', reason), ('revision', state.replica.revision))
    return [core_effects.Log('store_lost', fields), *broadcast_heartbeat(state, now_ms)]


def apply_heartbeat(
    state: gateway_state.State, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float
) -> list[core_effects.Effect]:
    """Take what a peer says of itself; relay changes that the store does not tell it."""
    peer = state.fleet.peers.get(peer_id)
    if peer is None:
        return []
    outputs: list[core_effects.Effect] = []
    was_live = state.fleet.is_live(peer, now_ms)
    if not was_live:
        outputs.append(core_effects.Log('peer_heard', (('peer', peer_id),)))
    if peer.heartbeat is None or peer.heartbeat.store_reachable != heartbeat.store_reachable:
        # The region may need another follower of the store at once.
        state.fleet.last_check_ms = -math.inf
    peer.record_heartbeat(heartbeat, now_ms, was_live=was_live)
    if heartbeat.store_reachable and not state.is_store_follower:
        state.replica.mark_reachable(0, now_ms, state.fleet.earliest_store_contact_ms(now_ms))
    state.quotas.apply_heartbeat(peer_id, heartbeat, now_ms)
    state.rollouts.peers[peer_id] = heartbeat.versions
    for verdict in heartbeat.condemned:
        if state.rollouts.apply_verdict(verdict):
            outputs.append(_log_verdict(verdict, peer_id))
    return outputs + _relay(state, peer_id, heartbeat)


def apply_relayed_changes(
    state: gateway_state.State, peer_id: str, relayed: messages.StoreNews, now_ms: float
) -> list[core_effects.Effect]:
    """Take changes that a peer has heard from the store."""
    mirror = state.replica
    if not state.is_store_follower:
        mirror.mark_reachable(0, now_ms, state.fleet.earliest_store_contact_ms(now_ms))
    if relayed.revision <= mirror.revision or relayed.base_revision > mirror.revision:
        return []
    records = tuple(
        events.RecordRead(record.key, record.revision, record.content) for record in relayed.records
    )
    fields = (('peer', peer_id), ('revision', relayed.revision), ('records', len(records)))
    changed = mirror.apply_changes(records, relayed.revision)
    applied = store_records.apply_records(state, changed, now_ms)
    return [core_effects.Log('news_relayed', fields), *applied]


def relay_changes(
    state: gateway_state.State,
    after: int,
    changes: tuple[events.RecordRead, ...],
    now_ms: float,
) -> list[core_effects.Effect]:
    """Tell the peers of the own region that leave the store to others what has changed."""
    if not changes or not state.replica.directly_reachable:
        return []
    relayed = _news(after, state.replica.revision, changes)
    return [
        core_effects.SendMessage(peer_id, relayed)
        for peer_id in state.fleet.region_peers_without_store(now_ms)
    ]


def note_peer_connected(
    state: gateway_state.State, peer_id: str, now_ms: float
) -> list[core_effects.Effect]:
    """Greet a peer."""
    peer = state.fleet.peers.get(peer_id)
    if peer is not None:
        peer.connected = True
        peer.dialled_ms = now_ms
    heartbeat = _heartbeat(state, state.quotas.report(now_ms))
    greeting = core_effects.SendMessage(peer_id, heartbeat)
    return [core_effects.Log('peer_connected', (('peer', peer_id),)), greeting]


def note_peer_disconnected(state: gateway_state.State, peer_id: str) -> list[core_effects.Effect]:
    """Note that the connection to a peer ended."""
    peer = state.fleet.peers.get(peer_id)
    if peer is not None:
        peer.connected = False
    return [core_effects.Log('peer_disconnected', (('peer', peer_id),))]


def tick(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Send heartbeats, dial peers, judge versions and record progress when due."""
    outputs: list[core_effects.Effect] = []
    if now_ms - state.fleet.last_check_ms >= const.FLEET_CHECK_INTERVAL_MS:
        state.fleet.last_check_ms = now_ms
        state.quotas.expire_peers(now_ms)
        outputs.extend(state.fleet.connection_effects(now_ms))
        outputs.extend(_follow(state, now_ms))
    verdicts = state.rollouts.reject_bad_candidates()
    outputs.extend(
        _log_verdict(verdict, state.fleet.own_member.instance_id) for verdict in verdicts
    )
    if verdicts or now_ms - state.fleet.last_broadcast_ms >= state.fleet.heartbeat_interval_ms:
        outputs.extend(broadcast_heartbeat(state, now_ms))
    outputs.extend(_due_statuses(state, now_ms))
    return outputs


def broadcast_heartbeat(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Tell all peers what this instance says of itself."""
    state.fleet.last_broadcast_ms = now_ms
    if not any(peer.connected for peer in state.fleet.peers.values()):
        return []
    return [core_effects.Broadcast(_heartbeat(state, state.quotas.report_changes(now_ms)))]


def _heartbeat(
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


def _relay(
    state: gateway_state.State, peer_id: str, heartbeat: messages.Heartbeat
) -> list[core_effects.Effect]:
    behind = heartbeat.store_revision < state.replica.revision
    if heartbeat.store_reachable or not behind or not state.replica.directly_reachable:
        return []
    changes = state.replica.changes_after(heartbeat.store_revision)
    relayed = _news(heartbeat.store_revision, state.replica.revision, changes)
    return [core_effects.SendMessage(peer_id, relayed)]


def _news(after: int, revision: int, changes: tuple[events.RecordRead, ...]) -> messages.StoreNews:
    records = tuple(
        messages.RelayedRecord(record.key, record.revision, record.content) for record in changes
    )
    return messages.StoreNews(after, revision, records)


def _follow(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Follow the store, or leave it to the peers that do."""
    needed = not state.replica.revision or state.fleet.should_follow_store(now_ms)
    if needed == state.is_store_follower:
        return []
    state.is_store_follower = needed
    state.replica.directly_reachable = False
    fields = (('enabled', needed), ('revision', state.replica.revision))
    return [effects.FollowStore(needed), core_effects.Log('store_following', fields)]


def _due_statuses(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    if not state.rollouts.active or not state.replica.directly_reachable or state.is_stopping:
        return []
    if not state.fleet.is_coordinator(now_ms):
        return []
    due = state.rollouts.due_statuses(state.declared.rollout_statuses, now_ms)
    outputs: list[core_effects.Effect] = []
    for status in due:
        outputs.append(effects.WriteStatus(status))
        outputs.append(_log_status(status))
    return outputs


def _log_status(status: models.RolloutStatus) -> core_effects.Log:
    fields = (
        ('service', status.service_id),
        ('version', status.version),
        ('phase', status.phase),
        ('replaces', status.revision),
    )
    return core_effects.Log('rollout_status', fields)


def _log_verdict(verdict: messages.CondemnedVersion, instance_id: str) -> core_effects.Log:
    fields = (
        ('service', verdict.service_id),
        ('version', verdict.version),
        ('found_by', instance_id),
    )
    return core_effects.Log('version_condemned', fields)
