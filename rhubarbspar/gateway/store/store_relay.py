"""Relay of store changes to the instances that do not watch the store, and who watches it.

Pattern: one watcher of a region; its changes are passed on along the tree of the instances, ordered
by the revision of the store.
"""

import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.store import change_history
from rhubarbspar.gateway.store import operator_relay
from rhubarbspar.gateway.store import store_batches
from rhubarbspar.gateway.store import store_records
from rhubarbspar.gateway.store import store_replica

# Contents of the changes in one message, which has to fit into a frame.
BATCH_MAX_BYTES: typing.Final = 524_288
_TREE: typing.Final = (fleet.Relation.CHILD, fleet.Relation.PARENT)


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


def note_store_lost(state: gateway_state.State, reason: str) -> list[core_effects.Effect]:
    """Note that a call to the store failed."""
    was_reachable = state.replica.reachable
    state.replica.mark_unreachable()
    if not was_reachable:
        return []
    log_fields = (('reason', reason), ('revision', state.replica.revision))
    return [core_effects.Log('store_lost', log_fields)]


def note_peer_contact(
    state: gateway_state.State, heartbeat: messages.Heartbeat, now_ms: float
) -> None:
    """Note that the sender of a heartbeat, or an instance that it speaks for, reaches the store."""
    is_reached = heartbeat.store_reachable or heartbeat.follower_ids
    if is_reached:
        _note_relayed(state, now_ms)
    known = store_replica.KnownRevisions(
        heartbeat.store_revision, heartbeat.complete_from, heartbeat.changed_revision
    )
    state.replica.advance_with(known)


def note_acknowledgement(
    state: gateway_state.State,
    peer_id: str,
    acknowledgement: messages.ChangesReceived,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Note that a peer has received changes; what it still lacks follows its next heartbeat."""
    peer = state.fleet.peers.get(peer_id)
    if peer is not None:
        peer.record_acknowledgement(acknowledgement, now_ms)
    return []


def receive_changes(
    state: gateway_state.State, peer_id: str, relayed: messages.StoreNews, now_ms: float
) -> list[core_effects.Effect]:
    """Apply store changes that a peer relays, and acknowledge them."""
    applied = _apply_relayed_changes(state, peer_id, relayed, now_ms)
    return [_acknowledge(state, peer_id, relayed.revision), *applied]


def receive_snapshot_part(
    state: gateway_state.State,
    peer_id: str,
    part: messages.StoreSnapshotPart,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Take a part of a snapshot from a peer; apply and acknowledge it with the last part."""
    applied = _apply_relayed_snapshot(state, peer_id, part, now_ms)
    if not part.is_last:
        return applied
    return [_acknowledge(state, peer_id, part.revision), *applied]


def _acknowledge(
    state: gateway_state.State, peer_id: str, sent_revision: int
) -> core_effects.SendMessage:
    """Return the effect that acknowledges changes; to be called once they are applied."""
    received = messages.ChangesReceived(sent_revision, state.replica.revision)
    return core_effects.SendMessage(peer_id, received)


def _apply_relayed_changes(
    state: gateway_state.State, peer_id: str, relayed: messages.StoreNews, now_ms: float
) -> list[core_effects.Effect]:
    """Apply store changes that a peer relays, if they continue from the known revision."""
    replica = state.replica
    _note_relayed(state, now_ms)
    base_revision = replica.passed_on_revision
    if relayed.revision <= replica.revision:
        return []
    if not store_batches.continues_from(
        replica.revision, relayed.base_revision, relayed.base_revision_max
    ):
        return []
    records = tuple(
        events.RecordRead(record.key, record.revision, record.content) for record in relayed.records
    )
    log_fields = (
        ('peer', peer_id),
        ('revision', relayed.revision),
        ('records', len(records)),
        ('missing', len(relayed.missing)),
    )
    changed = replica.apply_changes(records, relayed.revision, now_ms, relayed.missing)
    if relayed.base_revision_max is not None:
        gap = change_history.RevisionGap(relayed.base_revision_max, relayed.revision)
        replica.add_gap(gap)
    applied = store_records.apply_records(state, changed, now_ms)
    passed_on = _pass_on(state, base_revision, peer_id, now_ms)
    return [core_effects.Log('news_relayed', log_fields), *passed_on, *applied]


def _apply_relayed_snapshot(
    state: gateway_state.State,
    peer_id: str,
    part: messages.StoreSnapshotPart,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Collect the parts of a snapshot from a peer; apply it once it is complete and newer."""
    if not part.after_key:
        state.partial_snapshots[peer_id] = gateway_state.PartialSnapshot(part.revision)
    partial = state.partial_snapshots.get(peer_id)
    if partial is None or not partial.add(part):
        return []
    if not part.is_last:
        return []
    state.partial_snapshots.pop(peer_id)
    if part.revision <= state.replica.revision:
        return []
    _note_relayed(state, now_ms)
    base_revision = state.replica.revision
    snapshot = events.StoreSnapshot(tuple(partial.records), part.revision, part.missing)
    changed = state.replica.apply_snapshot(snapshot, now_ms)
    log_fields = (
        ('peer', peer_id),
        ('revision', part.revision),
        ('records', len(partial.records)),
        ('changed', len(changed)),
        ('missing', len(part.missing)),
    )
    applied = store_records.apply_records(state, changed, now_ms)
    state.quotas.divide_among(state.fleet.size(now_ms))
    passed_on = _pass_on(state, base_revision, peer_id, now_ms)
    return [core_effects.Log('snapshot_relayed', log_fields), *passed_on, *applied]


def relay_changes(
    state: gateway_state.State, base_revision: int, now_ms: float
) -> list[core_effects.Effect]:
    """Relay changes from the store to the peers of the own region that do not watch it."""
    if not state.replica.directly_reachable:
        return []
    receivers = [
        peer_id
        for peer_id, peer in state.fleet.peers.items()
        if peer.connected and not peer.store_reachable and _is_fed_here(state, peer)
    ]
    return _send_changes(state, base_revision, receivers, now_ms)


def relay_missing_changes(
    state: gateway_state.State, peer: fleet.Peer, now_ms: float
) -> list[core_effects.Effect]:
    """Return the store changes that a peer without contact to the store lacks."""
    if peer.store_reachable or peer.store_revision >= state.replica.passed_on_revision:
        return []
    is_overdue = now_ms - peer.revision_changed_ms > const.CHANGES_OVERDUE_MS
    if not (is_overdue or _is_responsible_for(state, peer, now_ms)):
        return []
    base_revision = peer.next_unsent_revision(now_ms)
    if base_revision and state.replica.history.is_complete_after(base_revision):
        return _send_changes(state, base_revision, [peer.member.instance_id], now_ms)
    if base_revision and not (is_overdue or peer.relation == fleet.Relation.CHILD):
        # Another instance may know all changes since then.
        return []
    return _send_snapshot(state, peer, now_ms)


def update_following(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Start or stop watching the store when the role of this instance as a follower changes.

    An instance watches until it has a first revision, and afterwards while it is a follower.
    """
    if state.fleet.has_follower(state.fleet.own_member.region, now_ms):
        state.fleet.region_has_follower_ms = now_ms
    revision = state.replica.revision
    should_follow = not revision or state.fleet.should_follow_store(revision, now_ms)
    if should_follow == state.is_store_follower:
        return []
    state.is_store_follower = should_follow
    state.replica.directly_reachable = False
    log_fields = (('enabled', should_follow), ('revision', state.replica.revision))
    return [effects.FollowStore(should_follow), core_effects.Log('store_following', log_fields)]


def _note_relayed(state: gateway_state.State, now_ms: float) -> None:
    """Note that a peer reaches the store, unless this instance watches it itself."""
    if not state.is_store_follower:
        state.replica.mark_reachable(0, now_ms, state.fleet.earliest_store_contact_ms(now_ms))


def _is_fed_here(state: gateway_state.State, peer: fleet.Peer) -> bool:
    """Return whether this instance, watching the store, passes its changes to a peer."""
    if peer.relation in _TREE:
        return True
    is_local = peer.member.region == state.fleet.own_member.region
    return is_local and peer.relation == fleet.Relation.RELAY


def _is_responsible_for(state: gateway_state.State, peer: fleet.Peer, now_ms: float) -> bool:
    """Return whether this instance is the first to send a peer the changes that it lacks.

    A relay is for its children, an instance that watches the store for the relays of its region and
    of regions without such an instance.
    """
    match peer.relation:
        case fleet.Relation.CHILD:
            return True
        case fleet.Relation.NONE:
            return False
    if not state.replica.directly_reachable:
        return False
    is_local = peer.member.region == state.fleet.own_member.region
    return is_local or not state.fleet.has_follower(peer.member.region, now_ms)


def _pass_on(
    state: gateway_state.State, base_revision: int, sender_id: str, now_ms: float
) -> list[core_effects.Effect]:
    """Pass changes from a peer on: to the children, and from a child to the relays as well."""
    sender = state.fleet.peers.get(sender_id)
    receivers = state.fleet.related_peers(fleet.Relation.CHILD)
    if sender is not None and sender.relation == fleet.Relation.CHILD:
        receivers.extend(
            peer_id
            for peer_id in state.fleet.related_peers(fleet.Relation.RELAY)
            if state.fleet.peers[peer_id].member.region == state.fleet.own_member.region
        )
    receivers = [
        peer_id
        for peer_id in receivers
        if peer_id != sender_id and not state.fleet.peers[peer_id].store_reachable
    ]
    return _send_changes(state, base_revision, receivers, now_ms)


def _send_changes(
    state: gateway_state.State, base_revision: int, receiver_ids: list[str], now_ms: float
) -> list[core_effects.Effect]:
    """Return the effects that send the changes after a revision, if there are any.

    They begin where this instance knows all changes; a peer that is further behind refuses them.
    """
    if not receiver_ids:
        return []
    base_revision = state.replica.history.first_complete_revision(base_revision)
    batches = state.replica.change_batches(base_revision, BATCH_MAX_BYTES)
    if not batches:
        return []
    changed = [record for batch in batches for record in batch.records]
    ahead = operator_relay.send_ahead(state, changed, receiver_ids)
    for receiver_id in receiver_ids:
        state.fleet.peers[receiver_id].record_sent_changes(state.replica.revision, now_ms)
    return [*ahead, *(_relay_batch(batch, receiver_ids) for batch in batches)]


def _send_snapshot(
    state: gateway_state.State, peer: fleet.Peer, now_ms: float
) -> list[core_effects.Effect]:
    """Return the effects that send a peer all records."""
    replica = state.replica
    if not replica.revision:
        return []
    peer_id = peer.member.instance_id
    existing = replica.records.existing()
    ahead = operator_relay.send_ahead(state, existing, [peer_id])
    peer.record_sent_changes(replica.revision, now_ms)
    log_fields = (
        ('peer', peer_id),
        ('peer_revision', peer.store_revision),
        ('complete_from', replica.complete_from),
        ('revision', replica.revision),
    )
    outputs: list[core_effects.Effect] = [core_effects.Log('snapshot_sent', log_fields), *ahead]
    outputs.extend(
        core_effects.SendMessage(
            peer_id,
            messages.StoreSnapshotPart(
                replica.revision,
                part.after_key,
                part.is_last,
                _relayed(part.records),
                tuple(replica.records.missing) if part.is_last else (),
            ),
        )
        for part in store_batches.split_snapshot(existing, BATCH_MAX_BYTES)
    )
    return outputs


def _relay_batch(
    batch: store_batches.ChangeBatch, receiver_ids: list[str]
) -> core_effects.SendMessage | core_effects.Multicast:
    relayed = messages.StoreNews(
        batch.base_revision,
        batch.revision,
        _relayed(batch.records),
        batch.base_revision_max,
        batch.missing,
    )
    if len(receiver_ids) == 1:
        return core_effects.SendMessage(receiver_ids[0], relayed)
    return core_effects.Multicast(tuple(receiver_ids), relayed)


def _relayed(records: tuple[events.RecordRead, ...]) -> tuple[messages.RelayedRecord, ...]:
    return tuple(
        messages.RelayedRecord(record.key, record.revision, record.content) for record in records
    )
