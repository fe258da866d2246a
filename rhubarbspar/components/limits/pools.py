"""Token buckets whose capacity and refill come from delegated shares."""

from collections import abc

from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import models


def refill(pool: models.Pool, limit: models.PoolLimit, now_ms: float) -> None:
    """Refill a pool up to ``now_ms``, in steps between the ends of its delegations."""
    start_ms = now_ms if pool.updated_ms is None else pool.updated_ms
    if start_ms >= now_ms and pool.updated_ms is not None:
        return
    for end_ms in _refill_ends_ms(pool, start_ms, now_ms):
        added = _refill_per_ms(pool, limit, start_ms) * (end_ms - start_ms)
        room = capacity(pool, limit, start_ms) - outstanding_tokens(pool, start_ms)
        pool.level = max(0, min(pool.level + added, room))
        start_ms = end_ms
    pool.updated_ms = now_ms
    _remove_ended_delegations(pool, now_ms)
    clip(pool, limit, now_ms)


def clip(pool: models.Pool, limit: models.PoolLimit, now_ms: float) -> None:
    """Drop the tokens that exceed the capacity less the outstanding grants."""
    room = capacity(pool, limit, now_ms) - outstanding_tokens(pool, now_ms)
    pool.level = max(0, min(pool.level, room))


def capacity(pool: models.Pool, limit: models.PoolLimit, at_ms: float) -> float:
    """Return the capacity from the delegations that last beyond ``at_ms``."""
    shares = sum(
        delegation.shares for delegation in pool.delegations.values() if delegation.ends_ms > at_ms
    )
    return shares * limit.capacity_per_share


def outstanding_tokens(pool: models.Pool, now_ms: float) -> float:
    """Return the tokens of grants that have not ended and that peers may still spend."""
    return sum(grant.tokens for grant in pool.grants.values() if grant.ends_ms > now_ms)


def refill_per_s(pool: models.Pool, limit: models.PoolLimit, now_ms: float) -> float:
    """Return the refill rate at ``now_ms``, tokens/s."""
    return _refill_per_ms(pool, limit, now_ms) * const.MS_PER_S


def release(pool: models.Pool, limit: models.PoolLimit, now_ms: float) -> list[str]:
    """Stop using the delegations that no outstanding grant needs and return their holders' ids.

    The delegations that end last are kept. At every later time they cover the grants outstanding
    then: either all kept delegations are still in force, or no other delegation is.
    """
    uncovered = outstanding_tokens(pool, now_ms)
    released: list[str] = []
    by_end = sorted(pool.delegations.items(), key=lambda entry: entry[1].ends_ms, reverse=True)
    for holder_id, delegation in by_end:
        if uncovered > 0:
            uncovered -= (
                delegation.shares * limit.capacity_per_share if delegation.ends_ms > now_ms else 0
            )
            continue
        # The end and echo times keep an answer to an earlier request from restoring the delegation.
        pool.delegations[holder_id] = models.ReceivedDelegation(
            ends_ms=now_ms,
            echo_sent_ms=now_ms,
            donated_ends_ms=now_ms,
            donated_echo_sent_ms=now_ms,
        )
        released.append(holder_id)
    clip(pool, limit, now_ms)
    return sorted(released)


def grant_end_ms(
    pool: models.Pool,
    limit: models.PoolLimit,
    tokens: int,
    now_ms: float,
) -> float | None:
    """Return the latest end of a grant of ``tokens``, or ``None`` if they can't be granted.

    At every time the outstanding grants fit into the capacity of the delegations in force, so that
    no tokens of a share remain outstanding when it is delegated to another pool.
    """
    latest_ms = now_ms + const.GRANT_DURATION_MS
    ends_ms = {latest_ms, *(delegation.ends_ms for delegation in pool.delegations.values())}
    needed = outstanding_tokens(pool, now_ms) + tokens
    for end_ms in sorted(ends_ms, reverse=True):
        allowed = now_ms + const.GRANT_DURATION_MIN_MS <= end_ms <= latest_ms
        # A delegation that ends together with the grant still covers it.
        if allowed and _capacity_until(pool, limit, end_ms) >= needed:
            return end_ms
    return None


def _capacity_until(pool: models.Pool, limit: models.PoolLimit, end_ms: float) -> float:
    shares = sum(
        delegation.shares
        for delegation in pool.delegations.values()
        if delegation.ends_ms >= end_ms
    )
    return shares * limit.capacity_per_share


def _refill_ends_ms(pool: models.Pool, start_ms: float, now_ms: float) -> abc.Iterator[float]:
    ends_ms = {delegation.ends_ms for delegation in pool.delegations.values()}
    ends_ms.update(delegation.donated_ends_ms for delegation in pool.delegations.values())
    yield from sorted(end_ms for end_ms in ends_ms if start_ms < end_ms < now_ms)
    yield now_ms


def _refill_per_ms(pool: models.Pool, limit: models.PoolLimit, at_ms: float) -> float:
    delegations = pool.delegations.values()
    shares = sum(delegation.shares for delegation in delegations if delegation.ends_ms > at_ms)
    donated = sum(
        delegation.donated_shares
        for delegation in delegations
        if delegation.donated_ends_ms > at_ms
    )
    return shares * limit.refill_per_share_ms + donated * limit.donated_refill_per_share_ms


def _remove_ended_delegations(pool: models.Pool, now_ms: float) -> None:
    for holder_id, delegation in tuple(pool.delegations.items()):
        if (
            max(delegation.ends_ms, delegation.donated_ends_ms)
            <= now_ms - const.DELEGATION_DURATION_MS
        ):
            pool.delegations.pop(holder_id)
    for grant_id, grant in tuple(pool.grants.items()):
        if grant.ends_ms <= now_ms or grant.tokens <= 0:
            pool.grants.pop(grant_id)
