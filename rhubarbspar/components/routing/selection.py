"""Choose the owner for a request: the nearest with free slots, weighted by their number."""

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
    """Distance of an owner from this instance, in the order of preference."""

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
    """Return the owner to run a request, or ``None`` if no live owner is left to try.

    The nearest owner with free slots is chosen, among equally near ones at random, weighted by
    their free slots. If no owner has a free slot, it is the one with the shortest queue, counted in
    whole rounds of its slots, and among equal ones the nearest.
    """
    free = _free_slots_by_owner(state, routed, now_ms)
    candidates = {peer_id: slots for peer_id, slots in free.items() if peer_id not in tried}
    if not candidates:
        return None
    distances = {peer_id: _distance(state, peer_id) for peer_id in candidates}
    with_free = [peer_id for peer_id, slots in candidates.items() if slots > 0]
    preferred = with_free or _owners_with_shortest_queue(state, routed, list(candidates), now_ms)
    nearest = min(distances[peer_id] for peer_id in preferred)
    near = [peer_id for peer_id in preferred if distances[peer_id] == nearest]
    return max(near, key=lambda peer_id: _rendezvous_score(routed, peer_id, candidates[peer_id]))


def has_free_owner(
    state: core_state.State,
    routed: models.RoutedRequest,
    tried: frozenset[str],
    now_ms: float,
) -> bool:
    """Return whether an owner that has not been tried reports a free slot."""
    free = _free_slots_by_owner(state, routed, now_ms)
    return any(slots > 0 for peer_id, slots in free.items() if peer_id not in tried)


def count_forward(state: core_state.State, peer_id: str) -> None:
    """Count a forward, to be subtracted from the free slots in the peer's last heartbeat."""
    last_heartbeat_ms = state.membership.peers[peer_id].last_heartbeat_ms
    recent = state.routing.recent_forwards.get(peer_id)
    if recent is None or recent.last_heartbeat_ms != last_heartbeat_ms:
        recent = models.RecentForwards(last_heartbeat_ms)
        state.routing.recent_forwards[peer_id] = recent
    recent.count += 1


def _free_slots_by_owner(
    state: core_state.State,
    routed: models.RoutedRequest,
    now_ms: float,
) -> dict[str, int]:
    service_id = routed.request.service_id
    # An owner without a server in the slot share of the candidate version would refuse the request.
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
        free[own_id] = owner.version_free_slots(state, service_id, routed.version, now_ms)
    for peer in membership_reducer.live_peers(state, now_ms):
        owned = [peer.owned_servers[sid] for sid in server_ids if sid in peer.owned_servers]
        if owned:
            free[peer.known.instance_id] = _reported_free_slots(state, peer, owned)
    return free


def _reported_free_slots(
    state: core_state.State,
    peer: membership_models.Peer,
    owned: list[membership_models.OwnedServer],
) -> int:
    recent = state.routing.recent_forwards.get(peer.known.instance_id)
    sent = (
        recent.count
        if recent is not None and recent.last_heartbeat_ms == peer.last_heartbeat_ms
        else 0
    )
    return max(0, sum(server.free_slots for server in owned) - sent)


def _owners_with_shortest_queue(
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
    """Return the length of an owner's queue in whole rounds of its slots."""
    service_id = routed.request.service_id
    if owner_id == state.membership.own.instance_id:
        slots = owner.version_usable_slots(state, service_id, routed.version, now_ms)
        return owner.queue_length(state, service_id, routed.version) // max(1, slots)
    current = server_index.current(state)
    peer = state.membership.peers[owner_id]
    owned = [
        peer.owned_servers[server_id]
        for server_id in current.by_version.get((service_id, routed.version), ())
        if server_id in peer.owned_servers
    ]
    slots = sum(current.by_id[server.server_id].server.slots for server in owned)
    recent = state.routing.recent_forwards.get(owner_id)
    sent = (
        recent.count
        if recent is not None and recent.last_heartbeat_ms == peer.last_heartbeat_ms
        else 0
    )
    # All servers of a version report the same queue.
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


def _rendezvous_score(routed: models.RoutedRequest, instance_id: str, free_slots: int) -> float:
    # Weighted rendezvous hashing is a random choice without the state of a generator.
    request_id = routed.request.request_id
    key = f'{request_id}\0{instance_id}'.encode()
    uniform: float = (xxhash.xxh3_64_intdigest(key) + 1) / _HASH_RANGE
    return float(uniform ** (1 / (free_slots or 1)))
