"""Homes, limits and pools of client accounts."""

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import pools
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import rendezvous

NOTHING = models.PoolLimit(0, 0)


def find_account(
    state: core_state.State,
    account_id: str,
) -> configuration_models.ClientAccount | None:
    """Return a client account of the current configuration."""
    configuration = state.configuration.current
    return configuration.client_accounts.get(account_id) if configuration else None


def limit_of(state: core_state.State, account_id: str) -> models.PoolLimit:
    """Return what a share adds to the account's pool at its home."""
    account = find_account(state, account_id)
    if account is None:
        return NOTHING
    refill = account.rate_per_s / const.MS_PER_S / const.SHARE_COUNT
    return models.PoolLimit(
        capacity_per_share=const.DELEGATED_FRACTION * account.burst_requests / const.SHARE_COUNT,
        refill_per_share_ms=const.DELEGATED_FRACTION * refill,
        donated_refill_per_share_ms=const.RESERVE_FRACTION * refill,
    )


def rate_per_s(state: core_state.State, account_id: str) -> float:
    """Return the account's rate over all instances."""
    account = find_account(state, account_id)
    return account.rate_per_s if account else 0


def reserve_limit(state: core_state.State, account_id: str) -> models.PoolLimit:
    """Return what a share adds to the account's reserve at the share's holder."""
    account = find_account(state, account_id)
    if account is None:
        return NOTHING
    refill = account.rate_per_s / const.MS_PER_S / const.SHARE_COUNT
    return models.PoolLimit(
        capacity_per_share=const.RESERVE_FRACTION * account.burst_requests / const.SHARE_COUNT,
        refill_per_share_ms=const.RESERVE_FRACTION * refill,
    )


def pool_of(state: core_state.State, account_id: str, now_ms: float) -> models.Pool:
    """Return the account's pool at this instance, refilled up to now."""
    pool = state.limits.pools.setdefault(account_id, models.Pool())
    pools.advance(pool, limit_of(state, account_id), now_ms)
    return pool


def wallet_of(state: core_state.State, account_id: str) -> models.Wallet:
    """Return this instance's wallet of the account."""
    return state.limits.wallets.setdefault(account_id, models.Wallet())


def home_of(state: core_state.State, account_id: str, now_ms: float) -> str:
    """Return the instance that keeps the account's pool."""
    refresh_homes(state, now_ms)
    return state.limits.homes.get(account_id, state.membership.own.instance_id)


def own_accounts(state: core_state.State, now_ms: float) -> tuple[str, ...]:
    """Return the accounts whose home this instance is, sorted."""
    refresh_homes(state, now_ms)
    own_id = state.membership.own.instance_id
    homes = state.limits.homes.items()
    return tuple(sorted(account_id for account_id, home_id in homes if home_id == own_id))


def refresh_homes(state: core_state.State, now_ms: float) -> bool:
    """Choose the homes anew at intervals; tell whether they changed."""
    limits = state.limits
    configuration = state.configuration.current
    if configuration is None:
        return False
    fresh = now_ms - limits.homes_ms < const.HOMES_INTERVAL_MS
    known = configuration.revision == limits.homes_revision
    if fresh and known:
        return False
    limits.homes_ms = now_ms
    candidates = _candidates(state, now_ms)
    if known and candidates == limits.homes_candidates:
        return False
    limits.homes_candidates = candidates
    limits.homes_revision = configuration.revision
    return _choose_homes(state, configuration, now_ms)


def expects_shares(state: core_state.State, account_id: str, now_ms: float) -> bool:
    """Tell whether the account's home has moved here so recently that requests may queue for long."""
    moved_ms = state.limits.moved_ms.get(account_id, models.NEVER_MS)
    return now_ms - moved_ms < const.MOVE_RECOVERY_MS


def _choose_homes(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    now_ms: float,
) -> bool:
    limits = state.limits
    own_id = state.membership.own.instance_id
    before = limits.homes
    limits.homes = {
        account_id: rendezvous.choose(account_id, limits.homes_candidates) or own_id
        for account_id in configuration.client_accounts
    }
    for account_id, home_id in limits.homes.items():
        if home_id == own_id and before.get(account_id) != own_id:
            limits.moved_ms[account_id] = now_ms
        elif home_id != own_id and before.get(account_id) == own_id:
            limits.leaving_accounts.add(account_id)
    return limits.homes != before


def _candidates(state: core_state.State, now_ms: float) -> tuple[str, ...]:
    """Return the instances that can be homes.

    A home is given up before the membership considers it not live: a wrong move costs some waiting, a late
    one costs more. Safety does not depend on which instance is the home.
    """
    live_ids = membership_reducer.live_instance_ids(state, now_ms)
    return tuple(one for one in live_ids if not _is_doubtful(state, one, now_ms))


def _is_doubtful(state: core_state.State, instance_id: str, now_ms: float) -> bool:
    peer = state.membership.peers.get(instance_id)
    if peer is None:
        return False
    silent_ms = now_ms - peer.last_heartbeat_ms
    longest_ms = const.HOME_SILENT_MS if peer.connected else const.HOME_DISCONNECTED_MS
    return silent_ms >= longest_ms
