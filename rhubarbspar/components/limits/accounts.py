"""Homes, limits and pools of client accounts.

The home of an account is the instance that keeps its token pool. It is chosen by rendezvous hashing
of the account over the live instances.
"""

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import pools
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import rendezvous

ZERO_LIMIT = models.PoolLimit(0, 0)


def find_account(
    state: core_state.State,
    account_id: str,
) -> configuration_models.ClientAccount | None:
    """Return a client account of the configuration in force, or ``None`` if it has none."""
    configuration = state.configuration.current
    return configuration.client_accounts.get(account_id) if configuration else None


def pool_limit(state: core_state.State, account_id: str) -> models.PoolLimit:
    """Return what one share adds to the account's pool at its home; zero for an unknown account."""
    account = find_account(state, account_id)
    if account is None:
        return ZERO_LIMIT
    share_refill_per_ms = account.rate_per_s / const.MS_PER_S / const.SHARE_COUNT
    return models.PoolLimit(
        capacity_per_share=const.DELEGATED_FRACTION * account.burst_requests / const.SHARE_COUNT,
        refill_per_share_ms=const.DELEGATED_FRACTION * share_refill_per_ms,
        donated_refill_per_share_ms=const.RESERVE_FRACTION * share_refill_per_ms,
    )


def account_rate_per_s(state: core_state.State, account_id: str) -> float:
    """Return the account's rate limit over all instances, requests/s; 0 if it is unknown."""
    account = find_account(state, account_id)
    return account.rate_per_s if account else 0


def reserve_limit(state: core_state.State, account_id: str) -> models.PoolLimit:
    """Return what one share adds to the reserve of its holder; zero for an unknown account."""
    account = find_account(state, account_id)
    if account is None:
        return ZERO_LIMIT
    share_refill_per_ms = account.rate_per_s / const.MS_PER_S / const.SHARE_COUNT
    return models.PoolLimit(
        capacity_per_share=const.RESERVE_FRACTION * account.burst_requests / const.SHARE_COUNT,
        refill_per_share_ms=const.RESERVE_FRACTION * share_refill_per_ms,
    )


def refilled_pool(state: core_state.State, account_id: str, now_ms: float) -> models.Pool:
    """Return the account's pool at this instance, refilled up to ``now_ms``."""
    pool = state.limits.pools.setdefault(account_id, models.Pool())
    pools.refill(pool, pool_limit(state, account_id), now_ms)
    return pool


def get_remote_account(state: core_state.State, account_id: str) -> models.RemoteAccount:
    """Return the grants and waiting requests of an account with another home, created if needed."""
    return state.limits.remote_accounts.setdefault(account_id, models.RemoteAccount())


def home_instance_id(state: core_state.State, account_id: str, now_ms: float) -> str:
    """Return the id of the account's home, or of this instance if none is chosen yet."""
    refresh_homes(state, now_ms)
    return state.limits.homes.get(account_id, state.membership.own.instance_id)


def own_account_ids(state: core_state.State, now_ms: float) -> tuple[str, ...]:
    """Return the ids of the accounts whose home is this instance, sorted."""
    refresh_homes(state, now_ms)
    own_id = state.membership.own.instance_id
    homes = state.limits.homes.items()
    return tuple(sorted(account_id for account_id, home_id in homes if home_id == own_id))


def refresh_homes(state: core_state.State, now_ms: float) -> bool:
    """Choose all homes again if they are outdated; return whether any of them changed.

    They are outdated after a new configuration, or when the interval has passed and the candidates
    changed.
    """
    limits = state.limits
    configuration = state.configuration.current
    if configuration is None:
        return False
    recently_chosen = now_ms - limits.homes_chosen_ms < const.HOME_CHOICE_INTERVAL_MS
    same_revision = configuration.revision == limits.homes_revision
    if recently_chosen and same_revision:
        return False
    limits.homes_chosen_ms = now_ms
    candidates = _home_candidates(state, now_ms)
    if same_revision and candidates == limits.home_candidates:
        return False
    limits.home_candidates = candidates
    limits.homes_revision = configuration.revision
    return _choose_homes(state, configuration, now_ms)


def expects_shares(state: core_state.State, account_id: str, now_ms: float) -> bool:
    """Return whether this instance became the home recently and shares are still to be delegated.

    Until then requests may queue for the longer time that a move allows.
    """
    became_home_ms = state.limits.became_home_ms.get(account_id, models.NEVER_MS)
    return now_ms - became_home_ms < const.MOVE_RECOVERY_MS


def _choose_homes(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    now_ms: float,
) -> bool:
    limits = state.limits
    own_id = state.membership.own.instance_id
    before = limits.homes
    limits.homes = {
        account_id: rendezvous.choose(account_id, limits.home_candidates) or own_id
        for account_id in configuration.client_accounts
    }
    for account_id, home_id in limits.homes.items():
        if home_id == own_id and before.get(account_id) != own_id:
            limits.became_home_ms[account_id] = now_ms
        elif home_id != own_id and before.get(account_id) == own_id:
            limits.moved_away_accounts.add(account_id)
    return limits.homes != before


def _home_candidates(state: core_state.State, now_ms: float) -> tuple[str, ...]:
    """Return the live instances that are not suspected to be down.

    A home is replaced before the membership considers it not live: an unnecessary move makes
    requests wait for a while, a late one for longer. The limits hold whichever instance is the
    home.
    """
    live_ids = membership_reducer.live_instance_ids(state, now_ms)
    return tuple(live_id for live_id in live_ids if not _may_be_down(state, live_id, now_ms))


def _may_be_down(state: core_state.State, instance_id: str, now_ms: float) -> bool:
    peer = state.membership.peers.get(instance_id)
    if peer is None:
        return False
    silent_ms = now_ms - peer.last_heartbeat_ms
    timeout_ms = (
        const.HOME_SILENCE_TIMEOUT_MS if peer.connected else const.HOME_DISCONNECTED_TIMEOUT_MS
    )
    return silent_ms >= timeout_ms
