"""Connections to peers: dialling with backoff, closing silent ones, scheduling heartbeats."""

import math

from rhubarbspar import const as package_const
from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import models
from rhubarbspar.core import effects


def record_connection(
    membership: models.MembershipState,
    peer_id: str,
    incarnation: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Record a new connection and make a heartbeat due.

    A connection from an incarnation that a later one has replaced is closed instead.
    """
    peer = membership.peers.get(peer_id)
    if peer is None:
        # The addresses of the peer are unknown until its first heartbeat.
        peer = models.Peer(models.KnownPeer(peer_id, '', '', ''))
        membership.peers[peer_id] = peer
    if incarnation in peer.past_incarnations:
        peer.connected = False
        return [effects.ClosePeer(peer_id)]
    if incarnation != peer.incarnation:
        _begin_incarnation(peer, incarnation)
    peer.connected = True
    peer.sent = models.SentHeartbeats()
    peer.silent_since_ms = now_ms
    return [effects.Emit(models.HeartbeatDue(peer_id))]


def record_disconnection(membership: models.MembershipState, peer_id: str) -> None:
    """Mark a peer as disconnected."""
    peer = membership.peers.get(peer_id)
    if peer is not None:
        peer.connected = False


def close_silent_connections(
    membership: models.MembershipState, now_ms: float
) -> list[effects.Effect]:
    """Close the connections on which no heartbeat has arrived for too long.

    Only one side of a pair dials, but both sides close: the close tells the dialling side to
    reconnect.
    """
    outputs: list[effects.Effect] = []
    for peer_id, peer in sorted(membership.peers.items()):
        if (
            not peer.connected
            or now_ms - peer.silent_since_ms < const.CONNECTION_SILENCE_TIMEOUT_MS
        ):
            continue
        peer.connected = False
        outputs += [
            effects.ClosePeer(peer_id),
            effects.Count(package_const.METRIC_EVENTS, const.REASON_PEER_SILENT),
            effects.Log('peer_silent', (('peer_id', peer_id),)),
        ]
    return outputs


def dial_peers(membership: models.MembershipState, now_ms: float) -> list[effects.Effect]:
    """Dial the unconnected peers with a higher instance id than this one, with backoff.

    The comparison of ids makes exactly one instance of each pair dial.
    """
    outputs: list[effects.Effect] = []
    for peer_id, peer in sorted(membership.peers.items()):
        if peer.connected or peer_id <= membership.own.instance_id or now_ms < peer.redial_ms:
            continue
        if not peer.known.peer_address:
            continue
        peer.dialled_ms = now_ms
        peer.redial_ms = now_ms + _backoff_ms(membership, peer.failed_dials)
        peer.failed_dials += 1
        outputs.append(effects.DialPeer(peer_id, peer.known.peer_address))
    return outputs


def schedule_heartbeats(membership: models.MembershipState, now_ms: float) -> list[effects.Effect]:
    """Make a heartbeat due for every connected peer, once per interval."""
    due_ms = membership.heartbeat_sent_ms + const.HEARTBEAT_INTERVAL_MS
    if now_ms < due_ms:
        return []
    # Counting from the due time keeps the average interval when timers fire late. After a pause of
    # a whole interval, counting restarts from now, so that no burst of heartbeats follows.
    delay_ms = now_ms - due_ms
    membership.heartbeat_sent_ms = due_ms if delay_ms < const.HEARTBEAT_INTERVAL_MS else now_ms
    return [
        effects.Emit(models.HeartbeatDue(peer_id))
        for peer_id, peer in sorted(membership.peers.items())
        if peer.connected
    ]


def _begin_incarnation(peer: models.Peer, incarnation: str) -> None:
    """Discard everything reported by the previous incarnation of a peer."""
    if peer.incarnation:
        past_incarnations = (*peer.past_incarnations, peer.incarnation)
        peer.past_incarnations = past_incarnations[-const.PAST_INCARNATIONS_MAX :]
    peer.incarnation = incarnation
    peer.status = models.InstanceStatus.LIVE
    peer.last_heartbeat_ms = float('-inf')
    peer.last_heartbeat_sent_ms = None
    peer.round_trip_ms = 0.0
    peer.revision = 0
    peer.owned_servers = {}
    peer.statistics = ()
    peer.adopted = ()
    peer.known_peers = ()


def _backoff_ms(membership: models.MembershipState, failed_dials: int) -> float:
    """Return the wait before the next dial: capped exponential backoff with jitter."""
    doublings = min(failed_dials, const.REDIAL_DOUBLINGS_MAX)
    interval_ms = min(const.REDIAL_MAX_MS, math.ldexp(const.REDIAL_BASE_MS, doublings))
    jitter = membership.generator.uniform(const.REDIAL_JITTER_MIN, const.REDIAL_JITTER_MAX)
    return interval_ms * jitter
