"""Dial peers, send heartbeats, notice silent peers."""

from rhubarbspar.components.membership import connections
from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import discovery
from rhubarbspar.components.membership import heartbeats
from rhubarbspar.components.membership import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Handle one event."""
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
    """Record a peer's heartbeat."""
    return heartbeats.receive(state.membership, peer_id, heartbeat, now_ms)


def live_peers(state: core_state.State, now_ms: float) -> list[models.Peer]:
    """Return the peers heard recently, sorted by instance, leaving ones included."""
    peers = state.membership.peers
    return [peers[peer_id] for peer_id in sorted(peers) if _is_live(peers[peer_id], now_ms)]


def reported_peers(state: core_state.State, now_ms: float) -> tuple[models.KnownPeer, ...]:
    """Return the peers that heartbeats of this moment list.

    Only live ones: otherwise instances would remind each other of one that has gone for ever.
    """
    membership = state.membership
    if membership.reported_ms != now_ms:
        membership.reported_ms = now_ms
        membership.reported_peers = tuple(peer.known for peer in live_peers(state, now_ms))
    return membership.reported_peers


def live_instance_ids(state: core_state.State, now_ms: float) -> list[str]:
    """Return this instance and the live peers that are not leaving, sorted.

    This instance is included even while it is leaving if no other is left.
    """
    found = [
        peer.known.instance_id
        for peer in live_peers(state, now_ms)
        if peer.status is models.InstanceStatus.LIVE
    ]
    if state.membership.status is models.InstanceStatus.LIVE or not found:
        found.append(state.membership.own.instance_id)
    return sorted(found)


def all_peers_heard_recently(state: core_state.State, now_ms: float) -> bool:
    """Tell whether every known peer was heard so lately that its reports have arrived here."""
    return all(
        now_ms - peer.last_heartbeat_ms < const.RECENT_HEARTBEAT_MS
        for peer in state.membership.peers.values()
    )


def all_peers_acknowledged_since(state: core_state.State, since_ms: float) -> bool:
    """Tell whether every known peer has acknowledged a heartbeat that was sent after ``since_ms``.

    Then each peer has got the messages that were sent to it before ``since_ms``, and those that it sent
    before it answered have arrived here.
    """
    return all(peer.sent.acknowledged_ms > since_ms for peer in state.membership.peers.values())


def owner_of(state: core_state.State, server_id: str, now_ms: float) -> str | None:
    """Return the live instance that reports to own a backend server."""
    for peer in live_peers(state, now_ms):
        if server_id in peer.owned_servers:
            return peer.known.instance_id
    return None


def is_live(state: core_state.State, peer_id: str, now_ms: float) -> bool:
    """Tell whether a peer was heard recently, leaving or not."""
    peer = state.membership.peers.get(peer_id)
    return peer is not None and _is_live(peer, now_ms)


def known_peer(state: core_state.State, instance_id: str) -> models.KnownPeer | None:
    """Return where this instance or a peer can be reached, or ``None`` if it is unknown."""
    if instance_id == state.membership.own.instance_id:
        return state.membership.own
    peer = state.membership.peers.get(instance_id)
    return None if peer is None else peer.known


def failure_domain_of(state: core_state.State, instance_id: str) -> str | None:
    """Return the failure domain of an instance, or ``None`` if the instance is unknown."""
    known = known_peer(state, instance_id)
    return None if known is None else known.failure_domain


def region_of(state: core_state.State, instance_id: str) -> str | None:
    """Return the region of an instance, or ``None`` if it or its failure domain is unknown."""
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
    """Return the live instances of a failure domain that are not leaving, sorted."""
    return [
        instance_id
        for instance_id in live_instance_ids(state, now_ms)
        if failure_domain_of(state, instance_id) == failure_domain
    ]


def unlisted_ms(state: core_state.State, instance_id: str) -> float:
    """Return for how long successive readings of the platform's list lacked an instance.

    The result is 0 if the instance is listed or the list was never read; it grows only when the list
    is read, because an unreadable list says nothing. An instance that was never listed counts from the
    first reading, and so does one after a minute off the list.
    """
    return discovery.unlisted_ms(state.membership.instance_list, instance_id)


def _is_live(peer: models.Peer, now_ms: float) -> bool:
    return now_ms - peer.last_heartbeat_ms < const.LIVENESS_TIMEOUT_MS


def _tick(membership: models.MembershipState, now_ms: float) -> list[effects.Effect]:
    discovery.add_peers(membership, membership.seed_peers, now_ms)
    if now_ms - membership.peer_lists_merged_ms >= const.PEER_LIST_MERGE_INTERVAL_MS:
        membership.peer_lists_merged_ms = now_ms
        _learn_again(membership, now_ms)
    outputs = connections.close_silent_connections(membership, now_ms)
    if now_ms - membership.last_tick_ms >= const.CONNECTION_SILENCE_TIMEOUT_MS:
        discovery.restart_silence_timers(membership, now_ms)
    membership.last_tick_ms = now_ms
    outputs += discovery.remove_absent_peers(membership, now_ms)
    outputs += connections.dial_peers(membership, now_ms)
    outputs += connections.schedule_heartbeats(membership, now_ms)
    return outputs


def _learn_again(membership: models.MembershipState, now_ms: float) -> None:
    # Lists are sent on change only, so that a peer that was forgotten is not named to it again.
    for peer in tuple(membership.peers.values()):
        if _is_live(peer, now_ms):
            discovery.add_peers(membership, peer.known_peers, now_ms)
