"""When to dial, drop and send heartbeats to peers."""

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
    """Record a new connection; one of a replaced incarnation is closed."""
    peer = membership.peers.get(peer_id)
    if peer is None:
        # Only the heartbeat says where the peer listens.
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
    """Record the end of a connection."""
    peer = membership.peers.get(peer_id)
    if peer is not None:
        peer.connected = False


def close_silent_connections(
    membership: models.MembershipState, now_ms: float
) -> list[effects.Effect]:
    """Close the connections over which no heartbeat arrives.

    The side that may not dial closes too, so that the other side notices.
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
    """Dial the peers without a connection whose instance id is higher, with backoff."""
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
    """Make heartbeats due for all connected peers, once per interval."""
    due_ms = membership.heartbeat_sent_ms + const.HEARTBEAT_INTERVAL_MS
    if now_ms < due_ms:
        return []
    # Counting from the due time keeps the interval when timers fire late; after a pause it starts
    # anew, so that no burst follows.
    late_ms = now_ms - due_ms
    membership.heartbeat_sent_ms = due_ms if late_ms < const.HEARTBEAT_INTERVAL_MS else now_ms
    return [
        effects.Emit(models.HeartbeatDue(peer_id))
        for peer_id, peer in sorted(membership.peers.items())
        if peer.connected
    ]


def _begin_incarnation(peer: models.Peer, incarnation: str) -> None:
    if peer.incarnation:
        past = (*peer.past_incarnations, peer.incarnation)
        peer.past_incarnations = past[-const.PAST_INCARNATIONS_MAX :]
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
    doublings = min(failed_dials, const.REDIAL_DOUBLINGS_MAX)
    longest_ms = min(const.REDIAL_MAX_MS, math.ldexp(const.REDIAL_BASE_MS, doublings))
    jitter = membership.generator.uniform(const.REDIAL_JITTER_MIN, const.REDIAL_JITTER_MAX)
    return longest_ms * jitter
