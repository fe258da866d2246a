"""Heartbeats between instances: sums of account usage, results, verdicts and loads of servers.

Patterns: gossip of cumulative counters; aggregation in a tree, where each instance passes to a
neighbour the sum of what it has from the others.
"""

import dataclasses
import math
from collections import abc

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import quotas
from rhubarbspar.gateway.limits import server_limits
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.membership import multicast
from rhubarbspar.gateway.membership import topology
from rhubarbspar.gateway.rollouts import rollouts
from rhubarbspar.gateway.rollouts import version_exchange
from rhubarbspar.gateway.routing import crashes
from rhubarbspar.gateway.routing import load_reports
from rhubarbspar.gateway.store import store_recovery
from rhubarbspar.gateway.store import store_relay


def receive_heartbeat(
    state: gateway_state.State, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float
) -> list[core_effects.Effect]:
    """Apply a peer's heartbeat; relay the store changes that the peer lacks."""
    peer = state.fleet.peers.get(peer_id)
    if peer is None:
        return []
    outputs: list[core_effects.Effect] = []
    was_live = peer.is_live(now_ms)
    if not was_live:
        outputs.append(core_effects.Log('peer_heard', (('peer', peer_id),)))
    if peer.last_heartbeat_ms == -math.inf or peer.store_reachable != heartbeat.store_reachable:
        # Check at once whether the region needs another instance that watches the store.
        state.fleet.last_check_ms = -math.inf
    was_heard = peer.is_heard(now_ms)
    peer.record_heartbeat(heartbeat, now_ms, was_live=was_live)
    outputs.extend(_update_relation(state, peer, now_ms))
    if not was_heard:
        outputs.extend(_known_crashes(state, peer, now_ms))
    state.fleet.apply_membership(peer, heartbeat, now_ms)
    store_relay.note_peer_contact(state, heartbeat, now_ms)
    if peer.relation != fleet.Relation.NONE:
        outputs.extend(_apply_sums(state, peer, heartbeat, now_ms))
    outputs.extend(_apply_verdicts(state, peer_id, heartbeat, now_ms))
    return outputs + store_relay.relay_missing_changes(state, peer, now_ms)


def note_peer_connected(
    state: gateway_state.State, peer_id: str, now_ms: float
) -> list[core_effects.Effect]:
    """Note a new connection to a peer; send it a heartbeat with all accounts."""
    state.fleet.connected_ids.add(peer_id)
    peer = state.fleet.peers.get(peer_id)
    log = core_effects.Log('peer_connected', (('peer', peer_id),))
    if peer is None:
        # The registration of the peer is not known yet.
        heartbeat = _make_heartbeat(state, fleet.Relation.NONE, now_ms)
        return [log, core_effects.SendMessage(peer_id, heartbeat)]
    peer.connected = True
    peer.dialled_ms = now_ms
    peer.forget_sent_changes()
    peer.relation = topology.current_relation(state.fleet, peer)
    crashes_known = _known_crashes(state, peer, now_ms)
    return [log, _full_heartbeat(state, peer, now_ms), *crashes_known]


def note_peer_disconnected(state: gateway_state.State, peer_id: str) -> list[core_effects.Effect]:
    """Note that the connection to a peer has ended."""
    state.fleet.connected_ids.discard(peer_id)
    peer = state.fleet.peers.get(peer_id)
    if peer is not None:
        peer.connected = False
        peer.dialled_here = False
    return [core_effects.Log('peer_disconnected', (('peer', peer_id),))]


def note_crash(
    state: gateway_state.State, sender_id: str, crash: messages.CrashSeen, now_ms: float
) -> list[core_effects.Effect]:
    """Record a crash that a peer has seen, and pass it on along the tree if it is news."""
    recorded = crashes.Crash(crash.fingerprint, crash.server_id, now_ms - crash.age_ms)
    is_news = state.crashes.record_crash(recorded, now_ms)
    return multicast.spread(state, crash, sender_id) if is_news else []


def _known_crashes(
    state: gateway_state.State, peer: fleet.Peer, now_ms: float
) -> list[core_effects.Effect]:
    """Return the messages that tell a peer of the crashes that it may have missed."""
    if peer.relation == fleet.Relation.NONE:
        return []
    peer_id = peer.member.instance_id
    recent = state.crashes.recent_crashes(now_ms)[-const.CRASHES_REPORTED_MAX :]
    return [
        core_effects.SendMessage(
            peer_id,
            messages.CrashSeen(
                crash.fingerprint, crash.incarnation, round(now_ms - crash.crashed_ms)
            ),
        )
        for crash in recent
    ]


def tick(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Do what is due: dial peers, evaluate rollouts, send heartbeats and record rollout progress."""
    outputs: list[core_effects.Effect] = []
    if now_ms - state.fleet.last_check_ms >= const.FLEET_CHECK_INTERVAL_MS:
        state.fleet.last_check_ms = now_ms
        outputs.extend(_check_fleet(state, now_ms))
    verdicts = state.rollouts.reject_bad_candidates()
    outputs.extend(
        _log_verdict(verdict, state.fleet.own_member.instance_id) for verdict in verdicts
    )
    outputs.extend(_log_share(change) for change in state.rollouts.share_changes(now_ms))
    interval_ms = const.HEARTBEAT_INTERVAL_MS
    if state.quotas.is_urgent and not state.fleet.is_mesh:
        interval_ms = const.URGENT_HEARTBEAT_INTERVAL_MS
    if verdicts or now_ms - state.fleet.last_broadcast_ms >= interval_ms:
        outputs.extend(send_heartbeats(state, now_ms))
    outputs.extend(_write_due_statuses(state, now_ms))
    return outputs


def send_heartbeats(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Send heartbeats with what has changed to all connected peers."""
    state.fleet.last_broadcast_ms = now_ms
    state.quotas.is_urgent = False
    outputs: list[core_effects.Effect] = []
    for relation in (fleet.Relation.RELAY, fleet.Relation.PARENT, fleet.Relation.NONE):
        receiver_ids = tuple(state.fleet.related_peers(relation))
        if receiver_ids:
            accounts = state.quotas.report_changes(now_ms) if _has_sums(relation) else ()
            heartbeat = _make_heartbeat(state, relation, now_ms, accounts)
            outputs.append(core_effects.Multicast(receiver_ids, heartbeat))
    child_ids = state.fleet.related_peers(fleet.Relation.CHILD)
    totals = state.quotas.fleet_totals(now_ms) if child_ids else {}
    outputs.extend(
        core_effects.SendMessage(child_id, _make_child_heartbeat(state, child_id, totals, now_ms))
        for child_id in child_ids
    )
    state.load_reports.clear()
    return outputs


def _has_sums(relation: fleet.Relation) -> bool:
    return relation in {fleet.Relation.RELAY, fleet.Relation.PARENT}


def _check_fleet(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Update the tree, the connections, the known sums and the duty to watch the store."""
    outputs = _update_relay(state, now_ms)
    has_relays = not state.fleet.is_mesh
    state.quotas.expire_peers(now_ms, has_relays=has_relays)
    state.quotas.heard_share = fleet.heard_share(state.fleet, now_ms) if has_relays else 1
    if state.replica.revision:
        state.fleet.sizes.note_read(now_ms)
    size = state.fleet.size(now_ms)
    state.rollouts.heard_share = size.share(state.fleet.live_count(now_ms))
    state.quotas.divide_among(size)
    version_exchange.retire_silent(state, now_ms)
    if not state.fleet.is_mesh:
        _forget_replaced_sums(state, now_ms)
    outputs.extend(topology.connection_effects(state.fleet, now_ms))
    outputs.extend(store_relay.update_following(state, now_ms))
    outputs.extend(store_recovery.tick(state, now_ms))
    return outputs


def _update_relay(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Choose the relay of this instance; if it has changed, update the relations to all peers."""
    relay_id = topology.choose_relay(state.fleet, now_ms)
    outputs: list[core_effects.Effect] = []
    if relay_id != state.fleet.relay_id:
        state.fleet.relay_id = relay_id
        state.fleet.relay_changed_ms = now_ms
        outputs.append(core_effects.Log('relay_chosen', (('relay', relay_id),)))
    for peer in state.fleet.peers.values():
        outputs.extend(_update_relation(state, peer, now_ms))
    return outputs


def _update_relation(
    state: gateway_state.State, peer: fleet.Peer, now_ms: float
) -> list[core_effects.Effect]:
    """Adopt the present relation to a peer; if it has changed, send all sums of the new one."""
    relation = topology.current_relation(state.fleet, peer)
    if relation == peer.relation:
        return []
    if relation == fleet.Relation.NONE and peer.relation != fleet.Relation.PARENT:
        # Another relay speaks for the peer now. What came from a former relay stays until the
        # sums of the new one arrive, since otherwise the accounts would seem idle.
        state.quotas.forget_peer(peer.member.instance_id, now_ms)
        state.rollouts.evidence.forget_peer(peer.member.instance_id)
    peer.relation = relation
    if not peer.connected:
        return []
    return [_full_heartbeat(state, peer, now_ms), *_known_crashes(state, peer, now_ms)]


def _forget_replaced_sums(state: gateway_state.State, now_ms: float) -> None:
    """Remove the sums of peers for which other peers speak now."""
    version_exchange.forget_moved(state, now_ms)
    if state.fleet.is_relay and now_ms - state.fleet.relay_changed_ms > const.RELAY_CHANGE_MS:
        state.quotas.forget_peers_except(_summed_ids(state), now_ms)


def _summed_ids(state: gateway_state.State) -> set[str]:
    return {
        peer_id
        for peer_id, peer in state.fleet.peers.items()
        if peer.relation != fleet.Relation.NONE
    }


def _apply_sums(
    state: gateway_state.State, peer: fleet.Peer, heartbeat: messages.Heartbeat, now_ms: float
) -> list[core_effects.Effect]:
    """Apply the sums that a relay, a child or the own relay reports."""
    peer_id = peer.member.instance_id
    is_child = peer.relation == fleet.Relation.CHILD
    if peer.relation == fleet.Relation.PARENT and not heartbeat.sums_id:
        # The relay has not noticed yet that this instance reports to it.
        return []
    state.quotas.apply_heartbeat(peer_id, heartbeat, now_ms, is_child=is_child)
    if peer.relation == fleet.Relation.PARENT:
        state.quotas.forget_peers_except({peer_id}, now_ms)
    elif not state.fleet.is_mesh:
        _forget_failed_relays(state, peer, heartbeat, now_ms)
    version_exchange.apply_report(state, peer, heartbeat)
    limit_news = state.load_reports.apply(
        heartbeat.loads, state.servers.views, now_ms, is_child=is_child
    )
    outputs: list[core_effects.Effect] = []
    for server_id, reported in limit_news.items():
        view = state.servers.views[server_id]
        outputs.extend(
            server_limits.record_limit(state, view, reported.limit_per_s, reported.reported_ms)
        )
    return outputs


def _forget_failed_relays(
    state: gateway_state.State, reporter: fleet.Peer, heartbeat: messages.Heartbeat, now_ms: float
) -> None:
    """Remove the sums of the relays that the reporter has replaced in its failure domain."""
    for peer_id in heartbeat.absent_ids:
        peer = state.fleet.peers.get(peer_id)
        if peer is not None and peer.relation == fleet.Relation.RELAY and not peer.is_heard(now_ms):
            if peer.member.failure_domain == reporter.member.failure_domain:
                state.quotas.forget_peer(peer_id, now_ms)


def _apply_verdicts(
    state: gateway_state.State, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float
) -> list[core_effects.Effect]:
    """Apply verdicts on versions; a relay passes new ones on at once."""
    new_verdicts = [
        verdict for verdict in heartbeat.rejected_versions if state.rollouts.apply_verdict(verdict)
    ]
    outputs: list[core_effects.Effect] = [
        _log_verdict(verdict, peer_id) for verdict in new_verdicts
    ]
    if new_verdicts and not state.fleet.is_mesh:
        outputs.extend(send_heartbeats(state, now_ms))
    return outputs


def _full_heartbeat(
    state: gateway_state.State, peer: fleet.Peer, now_ms: float
) -> core_effects.SendMessage:
    """Return a heartbeat with all sums that a peer gets, and all known rate limits."""
    limits = server_limits.known_limits(state, now_ms)
    peer_id = peer.member.instance_id
    if peer.relation == fleet.Relation.CHILD:
        state.quotas.start_series(peer_id)
        totals = state.quotas.fleet_totals(now_ms)
        heartbeat = _make_child_heartbeat(state, peer_id, totals, now_ms)
    else:
        accounts = state.quotas.report(now_ms) if _has_sums(peer.relation) else ()
        heartbeat = _make_heartbeat(state, peer.relation, now_ms, accounts)
    heartbeat = dataclasses.replace(heartbeat, loads=(*heartbeat.loads, *limits))
    return core_effects.SendMessage(peer_id, heartbeat)


def _make_child_heartbeat(
    state: gateway_state.State,
    child_id: str,
    totals: abc.Mapping[str, quotas.FleetTotal],
    now_ms: float,
) -> messages.Heartbeat:
    accounts = state.quotas.report_changes_to(child_id, totals)
    return _make_heartbeat(state, fleet.Relation.CHILD, now_ms, accounts, child_id)


def _make_heartbeat(
    state: gateway_state.State,
    relation: fleet.Relation,
    now_ms: float,
    accounts: tuple[messages.AccountUsage, ...] = (),
    child_id: str = '',
) -> messages.Heartbeat:
    reported = state.fleet.reported_peers(relation)
    live = [peer for peer in reported if peer.is_live(now_ms)]
    return messages.Heartbeat(
        state.fleet.own_member.incarnation,
        state.replica.revision,
        state.replica.directly_reachable,
        state.is_stopping,
        accounts,
        version_exchange.results_for(state, relation, child_id),
        tuple(sorted(state.rollouts.verdicts, key=repr)),
        state.fleet.relay_id,
        state.quotas.series_of(child_id) if child_id else 0,
        state.quotas.is_partial if child_id else False,
        _ids(peer for peer in reported if not peer.is_live(now_ms)),
        _ids(peer for peer in live if peer.leaving),
        _ids(peer for peer in live if peer.store_reachable),
        _loads(state, relation, now_ms),
        state.links.are_lost,
        _ids(peer for peer in live if peer.links_lost),
        state.replica.complete_from,
        state.replica.changed_revision,
        state.replica.records.operator_revision,
    )


def _ids(peers: abc.Iterable[fleet.Peer]) -> tuple[str, ...]:
    return tuple(sorted(peer.member.instance_id for peer in peers))


def _loads(
    state: gateway_state.State, relation: fleet.Relation, now_ms: float
) -> tuple[messages.ServerLoad, ...]:
    """Return the load reports that a peer with a relation lacks."""
    reports = state.load_reports
    match relation:
        case fleet.Relation.NONE:
            return ()
        case fleet.Relation.CHILD:
            return load_reports.make_messages({**reports.elsewhere, **reports.branch}, now_ms)
        case _:
            return load_reports.make_messages(reports.branch, now_ms)


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


def _log_share(change: rollouts.ShareChange) -> core_effects.Log:
    candidate = change.fleet_results.candidate
    baseline = change.fleet_results.baseline
    log_fields = (
        ('service', change.request.service_id),
        ('version', change.request.version),
        ('share', change.share),
        ('sent', candidate.sent),
        ('running', candidate.running),
        ('good', candidate.good),
        ('slow', candidate.slow),
        ('bad', candidate.bad),
        ('other_sent', baseline.sent),
        ('other_good', baseline.good),
        ('other_slow', baseline.slow),
        ('other_bad', baseline.bad),
    )
    return core_effects.Log('rollout_share', log_fields)


def _log_verdict(verdict: messages.RejectedVersion, instance_id: str) -> core_effects.Log:
    log_fields = (
        ('service', verdict.service_id),
        ('version', verdict.version),
        ('found_by', instance_id),
    )
    return core_effects.Log('version_condemned', log_fields)
