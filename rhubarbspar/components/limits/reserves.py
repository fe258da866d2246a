"""Reserves: the part of each share that its holder keeps for when the home does not answer."""

from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import models
from rhubarbspar.core import state as core_state


def take_token(state: core_state.State, account_id: str, now_ms: float) -> bool:
    """Take one token of this instance's reserve; return whether it had one."""
    reserve = refill(state, account_id, now_ms)
    if reserve.level < 1:
        return False
    reserve.level -= 1
    return True


def donate_refill(state: core_state.State, account_id: str, until_ms: float, now_ms: float) -> bool:
    """Stop refilling a reserve until ``until_ms`` if it is full or too small for a token.

    Return whether its refill is donated to the account's home.
    """
    reserve = refill(state, account_id, now_ms)
    limit = accounts.reserve_limit(state, account_id)
    full = reserve.shares * limit.capacity_per_share
    if reserve.level < full and full >= 1:
        return False
    reserve.donated_until_ms = max(reserve.donated_until_ms, until_ms)
    return True


def refill(state: core_state.State, account_id: str, now_ms: float) -> models.Reserve:
    """Refill a reserve and return it; newly held shares count only from now on."""
    reserve = state.limits.reserves.setdefault(account_id, models.Reserve())
    limit = accounts.reserve_limit(state, account_id)
    shares = len(claims_reducer.held_shares(state, now_ms))
    refill_per_ms = min(shares, reserve.shares) * limit.refill_per_share_ms
    since_ms = now_ms if reserve.updated_ms is None else reserve.updated_ms
    elapsed_ms = max(0, now_ms - max(since_ms, reserve.donated_until_ms))
    level = reserve.level + refill_per_ms * elapsed_ms
    reserve.level = min(level, shares * limit.capacity_per_share)
    reserve.shares = shares
    reserve.updated_ms = now_ms
    return reserve
