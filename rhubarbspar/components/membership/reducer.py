"""Reducer and queries of the membership component.

It discovers and dials peers, exchanges heartbeats with them, and tells which ones are live.
"""

from rhubarbspar.components.membership import connections
from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import discovery
from rhubarbspar.components.membership import heartbeats
from rhubarbspar.components.membership import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Update the peers after a tick, a reading of the instance list or a change of a connection."""
    membership = state.membership
    match event:
        case events.Tick():
            return _tick(membership, now_ms)
        case events.InstancesListed(instances):
            discovery.apply_instance_list(membership, instances, now_ms)
        case events.PeerConnected(peer_id, incarnation):
            return connections.record_connection(membership, peer_id, incarnation, now_ms)
        case events.PeerDisconnected(peer_id):
            connections.record_disconnection(membership, peer_id)
    return []


def receive_heartbeat(
    state: core_state.State,
    peer_id: str,
    heartbeat: models.Heartbeat,
    now_ms: float,
) -> list[effects.Effect]:
    """Record what a peer's heartbeat reports; a refused heartbeat is only counted."""
    return heartbeats.receive(state.membership, peer_id, heartbeat, now_ms)


def live_peers(state: core_state.State, now_ms: float) -> list[models.Peer]:
    """Return the live peers, sorted by instance id; peers that are leaving are included."""
    peers = state.membership.peers
    return [peers[peer_id] for peer_id in sorted(peers) if _is_live(peers[peer_id], now_ms)]


def reported_peers(state: core_state.State, now_ms: float) -> tuple[models.KnownPeer, ...]:
    """Return the peers to list in the heartbeats sent now.

    Only live peers are listed. Otherwise instances would keep telling each other about one that no
    longer exists. The result is cached, because one round of heartbeats asks for it once per peer.
    """
    membership = state.membership
    if membership.reported_ms != now_ms:
        membership.reported_ms = now_ms
        membership.reported_peers = tuple(peer.known for peer in live_peers(state, now_ms))
    return membership.reported_peers


def live_instance_ids(state: core_state.State, now_ms: float) -> list[str]:
    """Return the ids of this instance and of the live peers that are not leaving, sorted.

    A leaving instance includes itself only if there is no other.
    """
    instance_ids = [
        peer.known.instance_id
        for peer in live_peers(state, now_ms)
        if peer.status is models.InstanceStatus.LIVE
    ]
    if state.membership.status is models.InstanceStatus.LIVE or not instance_ids:
        instance_ids.append(state.membership.own.instance_id)
    return sorted(instance_ids)


def all_peers_heard_recently(state: core_state.State, now_ms: float) -> bool:
    """Tell whether no known peer has missed several heartbeats in a row.

    Then this instance has the recent reports of all peers.
    """
    return all(
        now_ms - peer.last_heartbeat_ms < const.RECENT_HEARTBEAT_MS
        for peer in state.membership.peers.values()
    )


def all_peers_acknowledged_since(state: core_state.State, since_ms: float) -> bool:
    """Tell whether every known peer has acknowledged a heartbeat that was sent after ``since_ms``.

    Messages on a connection arrive in order. So each peer has received the messages sent to it
    before ``since_ms``, and the messages that it sent before the acknowledgement have arrived here.
    """
    return all(peer.sent.acknowledged_ms > since_ms for peer in state.membership.peers.values())


def owner_of(state: core_state.State, server_id: str, now_ms: float) -> str | None:
    """Return the id of the live peer that reports a backend server as owned, or ``None``."""
    for peer in live_peers(state, now_ms):
        if server_id in peer.owned_servers:
            return peer.known.instance_id
    return None


def is_live(state: core_state.State, peer_id: str, now_ms: float) -> bool:
    """Tell whether a heartbeat of a peer arrived recently, whether the peer is leaving or not."""
    peer = state.membership.peers.get(peer_id)
    return peer is not None and _is_live(peer, now_ms)


def known_peer(state: core_state.State, instance_id: str) -> models.KnownPeer | None:
    """Return identity and addresses of this instance or a peer, or ``None`` if it is unknown."""
    if instance_id == state.membership.own.instance_id:
        return state.membership.own
    peer = state.membership.peers.get(instance_id)
    return None if peer is None else peer.known


def failure_domain_of(state: core_state.State, instance_id: str) -> str | None:
    """Return the failure domain of an instance, or ``None`` if the instance is unknown."""
    known = known_peer(state, instance_id)
    return None if known is None else known.failure_domain


def region_of(state: core_state.State, instance_id: str) -> str | None:
    """Return the region of an instance, or ``None`` if the instance or its domain is unknown."""
    configuration = state.configuration.current
    failure_domain = failure_domain_of(state, instance_id)
    if configuration is None or failure_domain is None:
        return None
    declared = configuration.failure_domains.get(failure_domain)
    return None if declared is None else declared.region


def live_in_failure_domain(
    state: core_state.State,
    failure_domain: str,
    now_ms: float,
) -> list[str]:
    """Return the ids of the live instances of a failure domain that are not leaving, sorted."""
    return [
        instance_id
        for instance_id in live_instance_ids(state, now_ms)
        if failure_domain_of(state, instance_id) == failure_domain
    ]


def unlisted_ms(state: core_state.State, instance_id: str) -> float:
    """Return for how long an instance has been missing from the platform's instance list.

    The result is 0 if the instance is listed or the list was never read. It grows only when the
    list is read, because a list that cannot be read says nothing about an instance. An instance
    that was never listed counts as missing since the first reading, and so does one that was
    unlisted for a minute.
    """
    return discovery.unlisted_ms(state.membership.instance_list, instance_id)


def _is_live(peer: models.Peer, now_ms: float) -> bool:
    return now_ms - peer.last_heartbeat_ms < const.LIVENESS_TIMEOUT_MS


def _tick(membership: models.MembershipState, now_ms: float) -> list[effects.Effect]:
    discovery.add_peers(membership, membership.seed_peers, now_ms)
    if now_ms - membership.peer_lists_merged_ms >= const.PEER_LIST_MERGE_INTERVAL_MS:
        membership.peer_lists_merged_ms = now_ms
        _merge_peer_lists(membership, now_ms)
    outputs = connections.close_silent_connections(membership, now_ms)
    if now_ms - membership.last_tick_ms >= const.CONNECTION_SILENCE_TIMEOUT_MS:
        discovery.restart_silence_timers(membership, now_ms)
    membership.last_tick_ms = now_ms
    outputs += discovery.remove_absent_peers(membership, now_ms)
    outputs += connections.dial_peers(membership, now_ms)
    outputs += connections.schedule_heartbeats(membership, now_ms)
    return outputs


def _merge_peer_lists(membership: models.MembershipState, now_ms: float) -> None:
    # A peer sends its list only when it changes. Without this, an instance that was removed here
    # would not be added again from an unchanged list.
    for peer in tuple(membership.peers.values()):
        if _is_live(peer, now_ms):
            discovery.add_peers(membership, peer.known_peers, now_ms)
