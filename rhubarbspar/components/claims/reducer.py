"""Take, renew and release claims.

An instance counts its lease as valid for 8 s after it sent the last successful renewal, which is
less than the lease's TTL of 10 s. A fresh attestation that the store is down extends a lease that
is still valid. ``former/`` records outlive the leases and list who held a claim without releasing
it. A claim without such a former holder is usable at once; any other is usable after a wait during
which the former holder's lease becomes invalid.
"""

from rhubarbspar.components.claims import const
from rhubarbspar.components.claims import lease
from rhubarbspar.components.claims import planning
from rhubarbspar.components.claims import validity
from rhubarbspar.components.claims import writes
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Return the effects of one event on this instance's lease and claims."""
    match event:
        case events.Tick():
            return _tick(state, now_ms)
        case events.StoreAnswered() if event.tag.startswith(const.TAG_PREFIX):
            return _apply_answer(state, event, now_ms)
        case events.InstancesListed():
            _track_unlisted_holders(state, event, now_ms)
    return []


def holds(state: core_state.State, name: str, now_ms: float) -> bool:
    """Return whether this instance holds a claim and may use it now."""
    return now_ms < validity.valid_until_ms(state, name, now_ms)


def valid_until_ms(state: core_state.State, name: str, now_ms: float) -> float:
    """Return until when this instance may use a claim, ``-inf`` if it may not use it now."""
    return validity.valid_until_ms(state, name, now_ms)


def held_shares(state: core_state.State, now_ms: float) -> list[int]:
    """Return the numbers of the rate limit shares that this instance may use now."""
    names = (f'{const.PREFIX_SHARE}{number}' for number in range(const.SHARE_COUNT))
    return [number for number, name in enumerate(names) if holds(state, name, now_ms)]


def usable_slots(state: core_state.State, server_id: str, now_ms: float) -> int:
    """Return how many slots of a backend server this instance may use now, 0 without a claim."""
    return validity.usable_slots(state, server_id, now_ms)


def is_accepting(state: core_state.State, server_id: str, now_ms: float) -> bool:
    """Return whether this instance may send new requests to a backend server.

    False while its claim is being released; requests that already run there continue.
    """
    return validity.is_accepting(state, server_id, now_ms)


def owned_server_ids(state: core_state.State, now_ms: float) -> list[str]:
    """Return the ids of the backend servers that this instance uses or may use, sorted.

    The heartbeat has to list all of them: the next holder concludes from a missing server that this
    instance has stopped using it.
    """
    claimed = {
        name.removeprefix(const.PREFIX_SERVER)
        for name in state.claims.held
        if name.startswith(const.PREFIX_SERVER)
    }
    busy = {server_id for server_id, server in state.routing.servers.items() if server.busy_slots}
    return sorted(claimed | busy)


def release_all(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Begin to release every claim for a planned stop.

    Claims that are still in use are released by later ticks, see ``all_released``.
    """
    state.claims.stopping = True
    state.claims.last_plan_ms = float('-inf')
    for claim in state.claims.held.values():
        if claim.releasing_since_ms is None:
            claim.releasing_since_ms = now_ms
    return planning.plan_when_due(state, now_ms)


def all_released(state: core_state.State) -> bool:
    """Return whether a planned stop has released all claims and awaits no transaction."""
    return lease.all_released(state)


def _tick(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    validity.extend_while_store_down(state, now_ms)
    return [
        *lease.request_or_renew(state, now_ms),
        *writes.expire_pending_write(state, now_ms),
        *lease.read_when_due(state, now_ms),
        *planning.plan_when_due(state, now_ms),
    ]


def _apply_answer(
    state: core_state.State,
    answer: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Pass a store answer on by the kind of call that its tag names."""
    match answer.tag.rpartition('/')[0]:
        case const.TAG_GRANT:
            return lease.apply_grant(state, answer, now_ms)
        case const.TAG_READ:
            return lease.apply_read(state, answer, now_ms)
        case const.TAG_RENEW:
            return lease.apply_renewal(state, answer, now_ms)
        case const.TAG_WRITE:
            return writes.apply_answer(state, answer, now_ms)
    return []


def _track_unlisted_holders(
    state: core_state.State,
    event: events.InstancesListed,
    now_ms: float,
) -> None:
    """Record since when former holders have been missing from the platform's instance list."""
    listed_ids = {instance.instance_id for instance in event.instances}
    former_ids = {
        holder.instance_id for claim in state.claims.held.values() for holder in claim.unconfirmed
    }
    unlisted_since_ms = state.claims.unlisted_since_ms
    state.claims.unlisted_since_ms = {
        instance_id: unlisted_since_ms.get(instance_id, now_ms)
        for instance_id in former_ids - listed_ids
    }
