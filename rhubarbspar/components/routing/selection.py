"""Choose the owner for a request: nearest first, then by free slots."""

import enum

import xxhash

from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import models
from rhubarbspar.components.routing import owner
from rhubarbspar.components.routing import server_index
from rhubarbspar.core import state as core_state

_HASH_BITS = 64
_HASH_RANGE = 1 << _HASH_BITS


class Distance(enum.IntEnum):
    """How far an owner is from this instance."""

    HERE = 0
    FAILURE_DOMAIN = 1
    REGION = 2
    OTHER_REGION = 3


def choose_owner(
    state: core_state.State,
    routed: models.RoutedRequest,
    tried: frozenset[str],
    now_ms: float,
) -> str | None:
    """Return the instance to run work, or ``None`` if no live owner is left.

    The nearest owner with free slots wins; among equally near ones the choice is random, weighted by
    free slots. Without free slots anywhere the work waits at the owner whose queue is shortest in full rounds
    of its slots, among equals at the nearest.
    """
    free = _free_by_owner(state, routed, now_ms)
    candidates = {peer_id: slots for peer_id, slots in free.items() if peer_id not in tried}
    if not candidates:
        return None
    distances = {peer_id: _distance(state, peer_id) for peer_id in candidates}
    with_free = [peer_id for peer_id, slots in candidates.items() if slots > 0]
    pool = with_free or _shortest_queues(state, routed, list(candidates), now_ms)
    nearest = min(distances[peer_id] for peer_id in pool)
    near = [peer_id for peer_id in pool if distances[peer_id] == nearest]
    return max(near, key=lambda peer_id: _score(routed, peer_id, candidates[peer_id]))


def has_free_owner(
    state: core_state.State,
    routed: models.RoutedRequest,
    tried: frozenset[str],
    now_ms: float,
) -> bool:
    """Tell whether an owner that has not refused the work is known to have a free slot."""
    free = _free_by_owner(state, routed, now_ms)
    return any(slots > 0 for peer_id, slots in free.items() if peer_id not in tried)


def note_forward(state: core_state.State, peer_id: str) -> None:
    """Count a forward against the free slots that the peer last reported."""
    heard_ms = state.membership.peers[peer_id].last_heartbeat_ms
    recent = state.routing.recent.get(peer_id)
    if recent is None or recent.last_heartbeat_ms != heard_ms:
        recent = models.RecentForwards(heard_ms)
        state.routing.recent[peer_id] = recent
    recent.count += 1


def _free_by_owner(
    state: core_state.State,
    routed: models.RoutedRequest,
    now_ms: float,
) -> dict[str, int]:
    service_id = routed.request.service_id
    # An owner whose servers lie outside the candidate's share of slots would refuse the work.
    server_ids = [
        server_id
        for server_id in server_index.current(state).by_version.get(
            (service_id, routed.version), ()
        )
        if rollout_reducer.allowed_slots(state, server_id)
    ]
    free: dict[str, int] = {}
    own_id = state.membership.own.instance_id
    if any(server_id in state.routing.servers for server_id in server_ids):
        free[own_id] = owner.owned_free_slots(state, service_id, routed.version, now_ms)
    for peer in membership_reducer.live_peers(state, now_ms):
        owned = [peer.owned_servers[sid] for sid in server_ids if sid in peer.owned_servers]
        if owned:
            free[peer.known.instance_id] = _reported_free(state, peer, owned)
    return free


def _reported_free(
    state: core_state.State,
    peer: membership_models.Peer,
    owned: list[membership_models.OwnedServer],
) -> int:
    recent = state.routing.recent.get(peer.known.instance_id)
    sent = (
        recent.count
        if recent is not None and recent.last_heartbeat_ms == peer.last_heartbeat_ms
        else 0
    )
    return max(0, sum(server.free_slots for server in owned) - sent)


def _shortest_queues(
    state: core_state.State,
    routed: models.RoutedRequest,
    owner_ids: list[str],
    now_ms: float,
) -> list[str]:
    rounds = {owner_id: _queued_rounds(state, routed, owner_id, now_ms) for owner_id in owner_ids}
    least = min(rounds.values())
    return [owner_id for owner_id in owner_ids if rounds[owner_id] == least]


def _queued_rounds(
    state: core_state.State, routed: models.RoutedRequest, owner_id: str, now_ms: float
) -> int:
    """Return how often all slots of an owner have to be served before its queue is empty."""
    service_id = routed.request.service_id
    if owner_id == state.membership.own.instance_id:
        slots = owner.usable_slots(state, service_id, routed.version, now_ms)
        return owner.queue_length(state, service_id, routed.version) // max(1, slots)
    current = server_index.current(state)
    peer = state.membership.peers[owner_id]
    owned = [
        peer.owned_servers[server_id]
        for server_id in current.by_version.get((service_id, routed.version), ())
        if server_id in peer.owned_servers
    ]
    slots = sum(current.by_id[server.server_id].server.slots for server in owned)
    recent = state.routing.recent.get(owner_id)
    sent = (
        recent.count
        if recent is not None and recent.last_heartbeat_ms == peer.last_heartbeat_ms
        else 0
    )
    # Every server reports the one queue of its version.
    queued = max((server.queued for server in owned), default=0) + sent
    return queued // max(1, slots)


def _distance(state: core_state.State, instance_id: str) -> Distance:
    membership = state.membership
    if instance_id == membership.own.instance_id:
        return Distance.HERE
    peer = membership.peers[instance_id]
    if peer.known.failure_domain == membership.own.failure_domain:
        return Distance.FAILURE_DOMAIN
    own_region = membership_reducer.region_of(state, membership.own.instance_id)
    if membership_reducer.region_of(state, instance_id) == own_region:
        return Distance.REGION
    return Distance.OTHER_REGION


def _score(routed: models.RoutedRequest, instance_id: str, free_slots: int) -> float:
    # Weighted rendezvous hashing: a random choice that needs no generator state.
    request_id = routed.request.request_id
    mark = f'{request_id}\0{instance_id}'.encode()
    uniform: float = (xxhash.xxh3_64_intdigest(mark) + 1) / _HASH_RANGE
    return float(uniform ** (1 / (free_slots or 1)))
