"""Decide how long this instance may use its claims, and how many slots of a backend server."""

from rhubarbspar.components.claims import const
from rhubarbspar.components.claims import models
from rhubarbspar.components.claims import preference
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.core import state as core_state


def local_holder(state: core_state.State) -> models.Holder:
    """Return this instance with its incarnation, as it stands in claim records."""
    membership = state.membership
    return models.Holder(membership.own.instance_id, membership.incarnation)


def is_lease_valid(state: core_state.State, now_ms: float) -> bool:
    """Return whether no other instance can use the claims that are bound to this lease."""
    return bool(state.claims.lease_id) and now_ms < state.claims.valid_until_ms


def extend_validity(state: core_state.State, sent_ms: float) -> None:
    """Extend the lease's validity after a successful renewal that was sent at ``sent_ms``."""
    claims = state.claims
    claims.valid_until_ms = max(claims.valid_until_ms, sent_ms + const.LEASE_VALIDITY_MS)


def extend_while_store_down(state: core_state.State, now_ms: float) -> None:
    """Extend the lease's validity while there is a fresh attestation that the store is down.

    A lease that is no longer valid stays so: its claims may have been taken over before the store
    went down. Takeover waits start again, as the former holder may extend its validity too.
    """
    if not configuration_reducer.store_known_down(state, now_ms):
        return
    if is_lease_valid(state, now_ms):
        until_ms = state.configuration.attested_ms + const.ATTESTATION_MAX_AGE_MS
        state.claims.valid_until_ms = max(state.claims.valid_until_ms, until_ms)
    restart_takeover_waits(state, now_ms)


def restart_takeover_waits(state: core_state.State, now_ms: float) -> None:
    """Restart the takeover waits that have not ended, as the store may be down."""
    for claim in state.claims.held.values():
        if now_ms < claim.usable_from_ms:
            claim.usable_from_ms = now_ms + const.TAKEOVER_WAIT_MS


def valid_until_ms(state: core_state.State, name: str, now_ms: float) -> float:
    """Return until when this instance may use a claim, ``-inf`` if it may not use it now."""
    claim = state.claims.held.get(name)
    if claim is None or claim.releasing_since_ms is not None:
        return float('-inf')
    if not _is_bound_to_valid_lease(state, claim, now_ms) or now_ms < claim.usable_from_ms:
        return float('-inf')
    return state.claims.valid_until_ms


def usable_slots(state: core_state.State, server_id: str, now_ms: float) -> int:
    """Return how many slots of a backend server this instance may use now.

    A new holder leaves ``floor(slots / 2)`` to each unconfirmed former holder. A holder without a
    valid lease uses no more than that, so that the sum never exceeds the server's slots.
    """
    claim = state.claims.held.get(f'{const.PREFIX_SERVER}{server_id}')
    server = preference.find_server(state, server_id)
    if claim is None or server is None or claim.release_sent or now_ms < claim.usable_from_ms:
        return 0
    safe_slots = server.slots // 2
    remaining_slots = max(0, server.slots - len(claim.unconfirmed) * safe_slots)
    if _is_bound_to_valid_lease(state, claim, now_ms):
        return remaining_slots
    if claim.lease_id and claim.usable_from_ms >= state.claims.valid_until_ms:
        return 0
    return min(safe_slots, remaining_slots)


def is_accepting(state: core_state.State, server_id: str, now_ms: float) -> bool:
    """Return whether this instance may send new requests to a backend server."""
    claim = state.claims.held.get(f'{const.PREFIX_SERVER}{server_id}')
    if claim is None or claim.releasing_since_ms is not None:
        return False
    return usable_slots(state, server_id, now_ms) > 0


def mark_record_ended(claim: models.Claim, now_ms: float) -> None:
    """Unbind a claim from its lease, as its record has ended; a takeover wait never completes."""
    claim.lease_id = ''
    if now_ms < claim.usable_from_ms:
        claim.usable_from_ms = float('inf')


def _is_bound_to_valid_lease(
    state: core_state.State,
    claim: models.Claim,
    now_ms: float,
) -> bool:
    """Return whether a claim's record is bound to the current lease and that lease is valid."""
    return claim.lease_id == state.claims.lease_id and is_lease_valid(state, now_ms)
