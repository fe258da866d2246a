"""Tree of the instances: who reports to whom, and which connections that needs.

Pattern: tree of two levels. In a small fleet every instance exchanges heartbeats with every other
one. In a larger one, the instances of a failure domain report to one of them, their relay, and only
the relays exchange heartbeats between failure domains.
"""

import math
from collections import abc

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway.membership import fleet as gateway_fleet


def current_relation(
    fleet: gateway_fleet.Fleet, peer: gateway_fleet.Peer
) -> gateway_fleet.Relation:
    """Return what this instance exchanges with a peer, from the relays that both report to."""
    peer_id = peer.member.instance_id
    if not fleet.is_relay:
        is_parent = peer_id == fleet.relay_id
        return gateway_fleet.Relation.PARENT if is_parent else gateway_fleet.Relation.NONE
    if peer.relay_id == fleet.own_member.instance_id:
        return gateway_fleet.Relation.CHILD
    if peer.relay_id == peer_id or fleet.is_mesh:
        return gateway_fleet.Relation.RELAY
    return gateway_fleet.Relation.NONE


def choose_relay(fleet: gateway_fleet.Fleet, now_ms: float) -> str:
    """Return the id of the instance that this one should report to.

    It is the first live one of the own failure domain in an order that all instances derive from
    the registrations. An instance that peers report to stays a relay until they have found a better
    one.
    """
    own_id = fleet.own_member.instance_id
    is_claimed = any(
        peer.relay_id == own_id and peer.is_heard(now_ms) for peer in fleet.peers.values()
    )
    if fleet.is_mesh or is_claimed:
        return own_id
    preferred = [peer for peer in fleet.peers_ranked_above() if not peer.leaving]
    heard = (peer for peer in preferred if peer.is_heard(now_ms))
    starting = (peer for peer in preferred if now_ms < peer.presumed_until_ms)
    chosen = next(heard, None) or next(starting, None)
    return own_id if chosen is None else chosen.member.instance_id


def connection_effects(fleet: gateway_fleet.Fleet, now_ms: float) -> list[core_effects.Effect]:
    """Return the effects that dial missing peers, and close silent or needless connections."""
    outputs: list[core_effects.Effect] = []
    doublings_max = 0 if fleet.is_mesh else const.REDIAL_DOUBLINGS_MAX
    for peer in _needed_peers(fleet, now_ms):
        peer.needed_ms = now_ms
        if not peer.connected and peer.is_dial_due(now_ms, doublings_max):
            outputs.append(_dial(peer, now_ms))
    for peer in fleet.peers.values():
        if peer.connected and _should_close(fleet, peer, now_ms):
            peer.connected = False
            peer.dialled_ms = -math.inf
            outputs.append(core_effects.ClosePeer(peer.member.instance_id))
    return outputs


def _needed_peers(fleet: gateway_fleet.Fleet, now_ms: float) -> list[gateway_fleet.Peer]:
    """Return the peers to which this instance keeps or opens a connection.

    In a small fleet, of two instances the one with the lower id dials.
    """
    own = fleet.own_member
    if fleet.is_mesh:
        return [peer for peer_id, peer in fleet.peers.items() if peer_id > own.instance_id]
    needed = _first_usable(fleet.peers_ranked_above(), const.RELAYS_CONNECTED, now_ms)
    if not fleet.is_relay:
        return needed
    for domain, ranked_ids in fleet.ranked_by_domain().items():
        if domain != own.failure_domain:
            ranked = [fleet.peers[peer_id] for peer_id in ranked_ids]
            needed.extend(_with_their_relays(fleet, _first_usable(ranked, 1, now_ms)))
    return needed


def _with_their_relays(
    fleet: gateway_fleet.Fleet, found: abc.Iterable[gateway_fleet.Peer]
) -> abc.Iterator[gateway_fleet.Peer]:
    """Yield peers, and the relays that they report to."""
    for peer in found:
        yield peer
        relay = fleet.peers.get(peer.relay_id)
        if relay is not None and relay is not peer:
            yield relay


def _should_close(fleet: gateway_fleet.Fleet, peer: gateway_fleet.Peer, now_ms: float) -> bool:
    silent_ms = now_ms - max(peer.last_heartbeat_ms, peer.dialled_ms)
    if silent_ms > 2 * const.LIVENESS_TIMEOUT_MS:
        return True
    if fleet.is_mesh or not peer.dialled_here:
        return False
    return now_ms - max(peer.needed_ms, peer.dialled_ms) > const.NEEDLESS_CONNECTION_MS


def _first_usable(
    ranked: abc.Iterable[gateway_fleet.Peer], count: int, now_ms: float
) -> list[gateway_fleet.Peer]:
    """Return the first heard peers, and the ones before them that are being tried.

    Only ``DIALS_MAX`` peers are tried at a time.
    """
    found: list[gateway_fleet.Peer] = []
    heard_count = 0
    for peer in ranked:
        tried_count = len(found) - heard_count
        if heard_count >= count or tried_count >= const.DIALS_MAX:
            break
        is_heard = peer.is_heard(now_ms)
        if is_heard or peer.connected or _is_dialled_or_due(peer, now_ms):
            found.append(peer)
            heard_count += is_heard
    return found


def _is_dialled_or_due(peer: gateway_fleet.Peer, now_ms: float) -> bool:
    is_dialling = now_ms - peer.dialled_ms < const.REDIAL_INTERVAL_MS
    return is_dialling or peer.is_dial_due(now_ms, const.REDIAL_DOUBLINGS_MAX)


def _dial(peer: gateway_fleet.Peer, now_ms: float) -> core_effects.Effect:
    peer.dialled_ms = now_ms
    peer.dialled_here = True
    peer.failed_dials += 1
    return core_effects.DialPeer(peer.member.instance_id, peer.member.peer_address)
