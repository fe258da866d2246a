"""Validation of received heartbeats, and the update of the peers from them."""

import itertools
import typing

from rhubarbspar import const as package_const
from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import discovery
from rhubarbspar.components.membership import models
from rhubarbspar.components.membership import sections
from rhubarbspar.core import effects

SectionT = typing.TypeVar('SectionT')
_NEVER_MS: typing.Final = float('-inf')


def receive(
    membership: models.MembershipState,
    peer_id: str,
    heartbeat: models.Heartbeat,
    now_ms: float,
) -> list[effects.Effect]:
    """Update a peer from a heartbeat, or count the reason for which it is refused."""
    reason = _refusal_reason(membership, peer_id, heartbeat)
    if reason:
        return [_count_refusal(reason)]
    peer = membership.peers.get(peer_id)
    if peer is None:
        peer = models.Peer(heartbeat.sender or models.KnownPeer(peer_id, '', '', ''))
        membership.peers[peer_id] = peer
    peer.incarnation = peer.incarnation or heartbeat.incarnation
    _update_peer(peer, heartbeat, now_ms)
    _update_round_trip(peer, heartbeat, now_ms)
    discovery.add_peers(membership, heartbeat.known_peers or (), now_ms)
    return []


def _refusal_reason(
    membership: models.MembershipState,
    peer_id: str,
    heartbeat: models.Heartbeat,
) -> str:
    """Return why a heartbeat is refused, or an empty string if it is accepted.

    A refused heartbeat is not echoed, so the sender repeats its sections.
    """
    sender = heartbeat.sender
    if peer_id == membership.own.instance_id or (sender and sender.instance_id != peer_id):
        return const.REASON_HEARTBEAT_FOREIGN
    peer = membership.peers.get(peer_id)
    # Only a handshake starts a new incarnation, so a heartbeat of another incarnation is late.
    if peer is not None and peer.incarnation and not _is_from(heartbeat, peer.incarnation):
        return const.REASON_HEARTBEAT_PAST_INCARNATION
    if peer is None or peer.last_heartbeat_sent_ms is None:
        return '' if sender and _slots_match(heartbeat, None) else const.REASON_HEARTBEAT_INCOMPLETE
    if heartbeat.sent_ms <= peer.last_heartbeat_sent_ms:
        return const.REASON_HEARTBEAT_OUT_OF_ORDER
    return '' if _slots_match(heartbeat, peer) else const.REASON_HEARTBEAT_MALFORMED


def _is_from(heartbeat: models.Heartbeat, incarnation: str) -> bool:
    """Tell whether an incarnation sent a heartbeat, which may carry the short form of it."""
    if heartbeat.sender is None:
        return heartbeat.incarnation == sections.short_incarnation(incarnation)
    return heartbeat.incarnation == incarnation


def _slots_match(heartbeat: models.Heartbeat, peer: models.Peer | None) -> bool:
    """Tell whether the number of slot counts matches the servers known from the peer."""
    if heartbeat.slots is None:
        return True
    if peer is None or heartbeat.owned_servers is not None:
        return False
    return len(heartbeat.slots) == const.SLOTS_PER_SERVER * len(peer.owned_servers)


def _update_peer(peer: models.Peer, heartbeat: models.Heartbeat, now_ms: float) -> None:
    peer.last_heartbeat_ms = now_ms
    peer.last_heartbeat_sent_ms = heartbeat.sent_ms
    peer.silent_since_ms = now_ms
    peer.failed_dials = 0
    peer.revision = heartbeat.revision
    acknowledged_ms = heartbeat.echo_sent_ms
    peer.sent.acknowledged_ms = _NEVER_MS if acknowledged_ms is None else acknowledged_ms
    peer.known = _or_previous(heartbeat.sender, peer.known)
    peer.status = _or_previous(heartbeat.status, peer.status)
    peer.statistics = _or_previous(heartbeat.statistics, peer.statistics)
    peer.adopted = _or_previous(heartbeat.adopted, peer.adopted)
    peer.known_peers = _or_previous(heartbeat.known_peers, peer.known_peers)
    if heartbeat.owned_servers is not None:
        peer.owned_servers = {server.server_id: server for server in heartbeat.owned_servers}
    if heartbeat.slots is not None:
        peer.owned_servers = _with_slots(peer.owned_servers, heartbeat.slots)


def _or_previous(section: SectionT | None, previous: SectionT) -> SectionT:
    return previous if section is None else section


def _with_slots(
    servers: dict[str, models.OwnedServer],
    slots: tuple[int, ...],
) -> dict[str, models.OwnedServer]:
    return {
        server_id: models.OwnedServer(server_id, *slots[start : start + const.SLOTS_PER_SERVER])
        for server_id, start in zip(
            servers, itertools.count(0, const.SLOTS_PER_SERVER), strict=False
        )
    }


def _update_round_trip(peer: models.Peer, heartbeat: models.Heartbeat, now_ms: float) -> None:
    """Update the smoothed round-trip time of a peer from an echo."""
    if heartbeat.echo_sent_ms is None or heartbeat.echo_age_ms is None:
        return
    round_trip_ms = now_ms - heartbeat.echo_sent_ms - heartbeat.echo_age_ms
    if round_trip_ms < 0:
        return
    if peer.round_trip_ms:
        difference_ms = round_trip_ms - peer.round_trip_ms
        peer.round_trip_ms += const.ROUND_TRIP_WEIGHT * difference_ms
    else:
        peer.round_trip_ms = round_trip_ms


def _count_refusal(reason: str) -> effects.Effect:
    return effects.Count(package_const.METRIC_EVENTS, reason)
