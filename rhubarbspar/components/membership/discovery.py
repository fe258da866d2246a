"""Peer discovery from the platform's instance list, the seed peers and the peers of peers."""

from collections import abc

from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import models
from rhubarbspar.core import effects
from rhubarbspar.core import events


def apply_instance_list(
    membership: models.MembershipState,
    instances: tuple[events.ListedInstance, ...],
    now_ms: float,
) -> None:
    """Add the instances of the platform's list and record which instances it lacks.

    The list lags, so it does not override what a live peer reports about itself.
    """
    listed_ids = frozenset(instance.instance_id for instance in instances)
    _record_absences(membership.instance_list, listed_ids, now_ms)
    add_peers(membership, (_to_known(instance) for instance in instances), now_ms)
    for peer_id, peer in membership.peers.items():
        peer.listed = peer_id in listed_ids


def add_peers(
    membership: models.MembershipState,
    known_peers: abc.Iterable[models.KnownPeer],
    now_ms: float,
) -> None:
    """Add unknown peers and update the addresses of known peers that are not live."""
    for known in known_peers:
        if known.instance_id != membership.own.instance_id:
            _add_peer(membership, known, now_ms)


def restart_silence_timers(membership: models.MembershipState, now_ms: float) -> None:
    """Restart the silence timers of all peers after a pause of this instance itself."""
    for peer in membership.peers.values():
        peer.silent_since_ms = now_ms


def remove_absent_peers(membership: models.MembershipState, now_ms: float) -> list[effects.Effect]:
    """Remove the silent peers that are neither on the instance list nor seed peers."""
    seed_ids = {known.instance_id for known in membership.seed_peers}
    outputs: list[effects.Effect] = []
    for peer_id, peer in sorted(membership.peers.items()):
        silent_ms = now_ms - max(peer.silent_since_ms, peer.last_heartbeat_ms)
        if peer.listed or peer_id in seed_ids or silent_ms < const.PEER_REMOVAL_TIMEOUT_MS:
            continue
        membership.peers.pop(peer_id)
        outputs += [
            effects.ClosePeer(peer_id),
            effects.Log('peer_forgotten', (('peer_id', peer_id),)),
        ]
    return outputs


def unlisted_ms(instance_list: models.InstanceList, instance_id: str) -> float:
    """Return for how long an instance has been missing from successive readings of the list."""
    if instance_id in instance_list.listed_ids:
        return 0
    since_ms = instance_list.absent_since_ms.get(instance_id, instance_list.first_read_ms)
    return max(0, instance_list.last_read_ms - since_ms)


def _add_peer(membership: models.MembershipState, known: models.KnownPeer, now_ms: float) -> None:
    peer = membership.peers.get(known.instance_id)
    if peer is None:
        membership.peers[known.instance_id] = models.Peer(known, silent_since_ms=now_ms)
    elif not peer.connected and now_ms - peer.last_heartbeat_ms >= const.LIVENESS_TIMEOUT_MS:
        peer.known = known


def _to_known(instance: events.ListedInstance) -> models.KnownPeer:
    return models.KnownPeer(
        instance_id=instance.instance_id,
        failure_domain=instance.failure_domain,
        peer_address=instance.peer_address,
        caller_address=instance.caller_address,
    )


def _record_absences(
    instance_list: models.InstanceList,
    listed_ids: frozenset[str],
    now_ms: float,
) -> None:
    absent_since_ms = {
        instance_id: since_ms
        for instance_id, since_ms in instance_list.absent_since_ms.items()
        if instance_id not in listed_ids and now_ms - since_ms < const.ABSENCE_RETENTION_MS
    }
    absent_since_ms.update(dict.fromkeys(instance_list.listed_ids - listed_ids, now_ms))
    instance_list.absent_since_ms = absent_since_ms
    instance_list.listed_ids = listed_ids
    instance_list.first_read_ms = min(instance_list.first_read_ms, now_ms)
    instance_list.last_read_ms = now_ms
