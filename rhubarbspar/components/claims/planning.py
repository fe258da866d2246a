"""Which claims to take, to release and to confirm next."""

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
    """Plan at most one transaction at a time, from the last read."""
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
    """Tell whether the lease is trusted and the records have been read recently."""
    claims = state.claims
    fresh = now_ms - claims.snapshot_sent_ms < 2 * const.READ_INTERVAL_MS
    return claims.snapshot is not None and fresh and validity.is_lease_valid(state, now_ms)


def _mark_releases(state: core_state.State, preferred: dict[str, str], now_ms: float) -> None:
    """Stop acting on claims that another instance should hold, while the store can reassign them."""
    known_down = configuration_reducer.store_known_down(state, now_ms)
    movable = _can_write(state, now_ms) and not known_down
    own_id = state.membership.own.instance_id
    for name, claim in state.claims.held.items():
        wanted = preferred.get(name, NOT_CONFIGURED) in {own_id, ''}
        if wanted or not movable:
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
    """Show the other instances that this one has a lease, before it takes claims.

    Claims are first taken after the next read, so that instances that start together see each other and do
    not take claims only to release them. After the loss of a lease, its claims are taken again at once.
    """
    claims = state.claims
    claims.registered_ms = now_ms
    claims.read_due_ms = min(claims.read_due_ms, now_ms + const.READ_RETRY_MS)
    own = validity.own_holder(state)
    put = effects.StorePut(
        records.presence_key(own.instance_id),
        records.encode_claim(models.ClaimRecord(own, claims.lease_id)),
        claims.lease_id,
    )
    return [
        effects.StoreTransaction(lease.next_tag(state, const.TAG_WRITE), (), (put,)),
        *_take_free(state, preferred, now_ms),
    ]


def _release_drained(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    claims = state.claims
    drained = [name for name in claims.held if _is_drained(state, name, claims.held[name], now_ms)]
    names = [name for name in drained if claims.held[name].lease_id == claims.lease_id]
    for unbound in set(drained).difference(names):
        claims.held.pop(unbound)
    for name in names:
        claims.held[name].release_sent = True
    return writes.send_release(state, names, now_ms) if names else []


def _is_drained(state: core_state.State, name: str, claim: models.Claim, now_ms: float) -> bool:
    if claim.releasing_since_ms is None:
        return False
    if name.startswith(const.PREFIX_SERVER):
        routed = state.routing.servers.get(name.removeprefix(const.PREFIX_SERVER))
        return routed is None or routed.busy_slots == 0
    if name.startswith(const.PREFIX_SHARE):
        return now_ms - claim.releasing_since_ms >= const.SHARE_DRAIN_MS
    return True


def _take_free(
    state: core_state.State,
    preferred: dict[str, str],
    now_ms: float,
) -> list[effects.Effect]:
    claims = state.claims
    registered_ms = claims.registered_ms or 0
    if claims.stopping or (claims.snapshot_sent_ms <= registered_ms and not claims.held):
        return []
    own = validity.own_holder(state)
    free = [name for name in preferred if _is_free(state, name, own)]
    since_ms = claims.free_since_ms
    claims.free_since_ms = {name: since_ms.get(name, now_ms) for name in free}
    names = [name for name in free if _should_take(state, name, preferred[name], now_ms)]
    return writes.send_take(state, names, now_ms) if names else []


def _should_take(state: core_state.State, name: str, preferred_id: str, now_ms: float) -> bool:
    """Tell whether to take a free claim: own former ones first, others if no former holder may."""
    snapshot = state.claims.snapshot
    former = snapshot.former_holders.get(name) if snapshot else None
    own = validity.own_holder(state)
    holders = former.holders if former else ()
    if own in holders:
        return True
    if preferred_id != own.instance_id:
        return False
    waited = now_ms - state.claims.free_since_ms[name] >= const.FORMER_HOLDER_PRIORITY_MS
    return waited or not any(_is_running(state, holder, now_ms) for holder in holders)


def _is_running(state: core_state.State, holder: models.Holder, now_ms: float) -> bool:
    peer = state.membership.peers.get(holder.instance_id)
    if peer is None or peer.incarnation != holder.incarnation:
        return False
    return membership_reducer.is_live(state, holder.instance_id, now_ms)


def _is_free(state: core_state.State, name: str, own: models.Holder) -> bool:
    claims = state.claims
    held = claims.held.get(name)
    if held is not None and held.lease_id == claims.lease_id:
        return False
    if held is not None and held.releasing_since_ms is not None:
        return False
    seen = claims.snapshot.claims.get(name) if claims.snapshot else None
    return seen is None or (seen.record.holder == own and seen.record.lease_id != claims.lease_id)


def _drop_stopped_holders(state: core_state.State, now_ms: float) -> None:
    """Drop former holders of backend servers that are known to have stopped."""
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
    unlisted_ms = state.claims.unlisted_since_ms.get(holder.instance_id)
    if unlisted_ms is not None and now_ms - unlisted_ms >= const.UNLISTED_WAIT_MS:
        return True
    peer = state.membership.peers.get(holder.instance_id)
    if peer is None or peer.last_heartbeat_ms < claim.taken_ms + const.HEARTBEAT_MARGIN_MS:
        return False
    return peer.incarnation != holder.incarnation or server_id not in peer.owned_servers


def _write_confirmations(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    claims = state.claims
    names = [
        name
        for name, claim in claims.held.items()
        if claim.lease_id == claims.lease_id and _is_outdated(state, name, claim)
    ]
    return writes.send_confirm(state, names, now_ms) if names else []


def _is_outdated(state: core_state.State, name: str, claim: models.Claim) -> bool:
    seen = state.claims.snapshot.claims.get(name) if state.claims.snapshot else None
    if seen is None or not name.startswith(const.PREFIX_SERVER):
        return False
    return seen.record.unconfirmed != claim.unconfirmed
