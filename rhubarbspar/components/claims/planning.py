"""Decide which claims to take, to release and to confirm next."""

import typing

from rhubarbspar.components.claims import const
from rhubarbspar.components.claims import lease
from rhubarbspar.components.claims import models
from rhubarbspar.components.claims import preference
from rhubarbspar.components.claims import records
from rhubarbspar.components.claims import validity
from rhubarbspar.components.claims import writes
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state

NOT_CONFIGURED: typing.Final = '?'


def plan_when_due(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Plan the next transaction from the snapshot; at most one is pending at a time."""
    claims = state.claims
    if now_ms - claims.last_plan_ms < const.PLAN_INTERVAL_MS:
        return []
    claims.last_plan_ms = now_ms
    preferred = preference.preferred_holders(state, now_ms)
    if not claims.stopping:
        _mark_releases(state, preferred, now_ms)
    _drop_stopped_holders(state, now_ms)
    if claims.pending_write or not _can_write(state, now_ms):
        return []
    if claims.registered_ms is None and not claims.stopping:
        return _register(state, preferred, now_ms)
    return (
        _release_drained(state, now_ms)
        or _take_free(state, preferred, now_ms)
        or _write_confirmations(state, now_ms)
    )


def _can_write(state: core_state.State, now_ms: float) -> bool:
    """Return whether the lease is valid and the snapshot recent enough to plan from it."""
    claims = state.claims
    is_fresh = now_ms - claims.snapshot_sent_ms < 2 * const.READ_INTERVAL_MS
    return claims.snapshot is not None and is_fresh and validity.is_lease_valid(state, now_ms)


def _mark_releases(state: core_state.State, preferred: dict[str, str], now_ms: float) -> None:
    """Stop using claims that another instance should hold, while the store can reassign them."""
    known_down = configuration_reducer.store_known_down(state, now_ms)
    can_reassign = _can_write(state, now_ms) and not known_down
    own_id = state.membership.own.instance_id
    for name, claim in state.claims.held.items():
        is_preferred = preferred.get(name, NOT_CONFIGURED) in {own_id, ''}
        if is_preferred or not can_reassign:
            _cancel_release(claim)
        elif claim.releasing_since_ms is None:
            claim.releasing_since_ms = now_ms


def _cancel_release(claim: models.Claim) -> None:
    if not claim.release_sent:
        claim.releasing_since_ms = None


def _register(
    state: core_state.State,
    preferred: dict[str, str],
    now_ms: float,
) -> list[effects.Effect]:
    """Record in the store that this instance has a lease, before it takes claims.

    An instance that starts takes claims only after the next read. Instances that start together
    then know of each other and take no claims that they would have to release again. After the loss
    of a lease, the claims that were bound to it are taken again at once.
    """
    claims = state.claims
    claims.registered_ms = now_ms
    claims.read_due_ms = min(claims.read_due_ms, now_ms + const.READ_RETRY_MS)
    local_holder = validity.local_holder(state)
    put = effects.StorePut(
        records.presence_key(local_holder.instance_id),
        records.encode_claim(models.ClaimRecord(local_holder, claims.lease_id)),
        claims.lease_id,
    )
    return [
        effects.StoreTransaction(lease.next_tag(state, const.TAG_WRITE), (), (put,)),
        *_take_free(state, preferred, now_ms),
    ]


def _release_drained(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Release the claims that are no longer in use; forget those whose record has ended."""
    claims = state.claims
    drained = [name for name in claims.held if _is_drained(state, name, claims.held[name], now_ms)]
    names = [name for name in drained if claims.held[name].lease_id == claims.lease_id]
    for ended_name in set(drained).difference(names):
        claims.held.pop(ended_name)
    for name in names:
        claims.held[name].release_sent = True
    return writes.send_release(state, names, now_ms) if names else []


def _is_drained(state: core_state.State, name: str, claim: models.Claim, now_ms: float) -> bool:
    """Return whether nothing uses a claim that is being released: no request, no delegation."""
    if claim.releasing_since_ms is None:
        return False
    if name.startswith(const.PREFIX_SERVER):
        server = state.routing.servers.get(name.removeprefix(const.PREFIX_SERVER))
        return server is None or server.busy_slots == 0
    if name.startswith(const.PREFIX_SHARE):
        return now_ms - claim.releasing_since_ms >= const.SHARE_DRAIN_MS
    return True


def _take_free(
    state: core_state.State,
    preferred: dict[str, str],
    now_ms: float,
) -> list[effects.Effect]:
    """Take free claims, once a read that was sent after the registration has been answered."""
    claims = state.claims
    registered_ms = claims.registered_ms or 0
    if claims.stopping or (claims.snapshot_sent_ms <= registered_ms and not claims.held):
        return []
    local_holder = validity.local_holder(state)
    free = [name for name in preferred if _is_free(state, name, local_holder)]
    free_since_ms = claims.free_since_ms
    claims.free_since_ms = {name: free_since_ms.get(name, now_ms) for name in free}
    names = [name for name in free if _should_take(state, name, preferred[name], now_ms)]
    return writes.send_take(state, names, now_ms) if names else []


def _should_take(state: core_state.State, name: str, preferred_id: str, now_ms: float) -> bool:
    """Return whether this instance should take a free claim.

    It takes back a claim that it held before. Another claim has to prefer it, and is taken when no
    former holder runs or when a running one did not take it back for ``FORMER_HOLDER_PRIORITY_MS``.
    """
    snapshot = state.claims.snapshot
    former = snapshot.former_holders.get(name) if snapshot else None
    local_holder = validity.local_holder(state)
    holders = former.holders if former else ()
    if local_holder in holders:
        return True
    if preferred_id != local_holder.instance_id:
        return False
    has_waited = now_ms - state.claims.free_since_ms[name] >= const.FORMER_HOLDER_PRIORITY_MS
    return has_waited or not any(_is_running(state, holder, now_ms) for holder in holders)


def _is_running(state: core_state.State, holder: models.Holder, now_ms: float) -> bool:
    """Return whether exactly this incarnation of a peer is live."""
    peer = state.membership.peers.get(holder.instance_id)
    if peer is None or peer.incarnation != holder.incarnation:
        return False
    return membership_reducer.is_live(state, holder.instance_id, now_ms)


def _is_free(state: core_state.State, name: str, local_holder: models.Holder) -> bool:
    """Return whether no instance holds a claim, or only this one through a lease that ended."""
    claims = state.claims
    held = claims.held.get(name)
    if held is not None and held.lease_id == claims.lease_id:
        return False
    if held is not None and held.releasing_since_ms is not None:
        return False
    stored = claims.snapshot.claims.get(name) if claims.snapshot else None
    return stored is None or (
        stored.record.holder == local_holder and stored.record.lease_id != claims.lease_id
    )


def _drop_stopped_holders(state: core_state.State, now_ms: float) -> None:
    """Drop former holders that are known not to use a backend server any more.

    A claim without former holders is usable at once.
    """
    for name, claim in state.claims.held.items():
        if claim.unconfirmed and name.startswith(const.PREFIX_SERVER):
            server_id = name.removeprefix(const.PREFIX_SERVER)
            claim.unconfirmed = tuple(
                holder
                for holder in claim.unconfirmed
                if not _has_stopped(state, holder, server_id, claim, now_ms)
            )
            if not claim.unconfirmed:
                claim.usable_from_ms = min(claim.usable_from_ms, now_ms)


def _has_stopped(
    state: core_state.State,
    holder: models.Holder,
    server_id: str,
    claim: models.Claim,
    now_ms: float,
) -> bool:
    """Return whether a former holder has stopped using a backend server.

    Evidence is its absence from the platform's instance list, or a heartbeat from after the
    takeover that comes from a new incarnation or no longer lists the server.
    """
    unlisted_since_ms = state.claims.unlisted_since_ms.get(holder.instance_id)
    if unlisted_since_ms is not None and now_ms - unlisted_since_ms >= const.UNLISTED_WAIT_MS:
        return True
    peer = state.membership.peers.get(holder.instance_id)
    if peer is None or peer.last_heartbeat_ms < claim.taken_ms + const.HEARTBEAT_MARGIN_MS:
        return False
    return peer.incarnation != holder.incarnation or server_id not in peer.owned_servers


def _write_confirmations(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Write the remaining former holders of the backend servers whose records list more."""
    claims = state.claims
    names = [
        name
        for name, claim in claims.held.items()
        if claim.lease_id == claims.lease_id and _is_outdated(state, name, claim)
    ]
    return writes.send_confirm(state, names, now_ms) if names else []


def _is_outdated(state: core_state.State, name: str, claim: models.Claim) -> bool:
    """Return whether a server's record lists former holders that are known to have stopped."""
    stored = state.claims.snapshot.claims.get(name) if state.claims.snapshot else None
    if stored is None or not name.startswith(const.PREFIX_SERVER):
        return False
    return stored.record.unconfirmed != claim.unconfirmed
