"""What heartbeats say about peers."""

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
    """Record a heartbeat unless newer knowledge is there."""
    reason = _refusal(membership, peer_id, heartbeat)
    if reason:
        return [_count(reason)]
    peer = membership.peers.get(peer_id)
    if peer is None:
        peer = models.Peer(heartbeat.sender or models.KnownPeer(peer_id, '', '', ''))
        membership.peers[peer_id] = peer
    peer.incarnation = peer.incarnation or heartbeat.incarnation
    _record(peer, heartbeat, now_ms)
    _measure(peer, heartbeat, now_ms)
    discovery.add_peers(membership, heartbeat.known_peers or (), now_ms)
    return []


def _refusal(
    membership: models.MembershipState,
    peer_id: str,
    heartbeat: models.Heartbeat,
) -> str:
    """Return why a heartbeat is not recorded, or an empty string.

    What is not recorded is not echoed, so that the sender repeats it.
    """
    sender = heartbeat.sender
    if peer_id == membership.own.instance_id or (sender and sender.instance_id != peer_id):
        return const.REASON_HEARTBEAT_FOREIGN
    peer = membership.peers.get(peer_id)
    # The handshake alone begins an incarnation: a heartbeat of another one is late.
    if peer is not None and peer.incarnation and not _is_of(heartbeat, peer.incarnation):
        return const.REASON_HEARTBEAT_PAST_INCARNATION
    if peer is None or peer.last_heartbeat_sent_ms is None:
        return '' if sender and _fits(heartbeat, None) else const.REASON_HEARTBEAT_INCOMPLETE
    if heartbeat.sent_ms <= peer.last_heartbeat_sent_ms:
        return const.REASON_HEARTBEAT_OUT_OF_ORDER
    return '' if _fits(heartbeat, peer) else const.REASON_HEARTBEAT_MALFORMED


def _is_of(heartbeat: models.Heartbeat, incarnation: str) -> bool:
    if heartbeat.sender is None:
        return heartbeat.incarnation == sections.short_incarnation(incarnation)
    return heartbeat.incarnation == incarnation


def _fits(heartbeat: models.Heartbeat, peer: models.Peer | None) -> bool:
    """Tell whether the counts of slots belong to known servers."""
    if heartbeat.slots is None:
        return True
    if peer is None or heartbeat.owned_servers is not None:
        return False
    return len(heartbeat.slots) == const.SLOTS_PER_SERVER * len(peer.owned_servers)


def _record(peer: models.Peer, heartbeat: models.Heartbeat, now_ms: float) -> None:
    peer.last_heartbeat_ms = now_ms
    peer.last_heartbeat_sent_ms = heartbeat.sent_ms
    peer.silent_since_ms = now_ms
    peer.failed_dials = 0
    peer.revision = heartbeat.revision
    acknowledged_ms = heartbeat.echo_sent_ms
    peer.sent.acknowledged_ms = _NEVER_MS if acknowledged_ms is None else acknowledged_ms
    peer.known = _or_known(heartbeat.sender, peer.known)
    peer.status = _or_known(heartbeat.status, peer.status)
    peer.statistics = _or_known(heartbeat.statistics, peer.statistics)
    peer.adopted = _or_known(heartbeat.adopted, peer.adopted)
    peer.known_peers = _or_known(heartbeat.known_peers, peer.known_peers)
    if heartbeat.owned_servers is not None:
        peer.owned_servers = {server.server_id: server for server in heartbeat.owned_servers}
    if heartbeat.slots is not None:
        peer.owned_servers = _with_slots(peer.owned_servers, heartbeat.slots)


def _or_known(section: SectionT | None, known: SectionT) -> SectionT:
    return known if section is None else section


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


def _measure(peer: models.Peer, heartbeat: models.Heartbeat, now_ms: float) -> None:
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


def _count(reason: str) -> effects.Effect:
    return effects.Count(package_const.METRIC_EVENTS, reason)
