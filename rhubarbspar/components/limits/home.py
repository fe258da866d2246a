"""Serve the waiting requests of an account at its home, first come first served."""

import collections
import dataclasses
import typing

from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import pools
from rhubarbspar.components.limits import reserves
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


@dataclasses.dataclass(frozen=True, slots=True)
class Addressee:
    """The request that a grant answers."""

    peer_id: str
    sent_ms: float
    incarnation: str


Grants: typing.TypeAlias = dict[Addressee, list[models.GrantedTokens]]


def admit_here(
    state: core_state.State,
    account_id: str,
    request_id: str,
    now_ms: float,
    until_ms: float,
) -> models.Admission:
    """Decide on a request of this instance, which is the account's home."""
    pool = accounts.pool_of(state, account_id, now_ms)
    if not pool.queue and pool.level >= 1:
        pool.level -= 1
        return models.Admission.GRANTED
    _note_move(state, account_id, pool, now_ms)
    longest_ms = until_ms - now_ms
    if _servable(state, account_id, pool, longest_ms, now_ms) >= 1:
        queue_here(state, account_id, request_id, until_ms, now_ms)
        return models.Admission.WAITING
    granted = reserves.take(state, account_id, now_ms)
    return models.Admission.GRANTED if granted else models.Admission.REFUSED


def queue_here(
    state: core_state.State,
    account_id: str,
    request_id: str,
    until_ms: float,
    now_ms: float,
) -> None:
    """Queue a request of this instance."""
    pool = accounts.pool_of(state, account_id, now_ms)
    longest_ms = const.HOME_TIMEOUT_MS
    if accounts.expects_shares(state, account_id, now_ms):
        longest_ms = const.MOVE_WAIT_MS
    deadline_ms = min(until_ms, now_ms + longest_ms)
    pool.queue.append(models.QueuedDemand('', now_ms, now_ms, '', 1, deadline_ms, request_id))


def _servable(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    longest_ms: float,
    now_ms: float,
) -> int:
    """Return how many more tokens can be granted in time; the same for all instances.

    While the home has just moved here, the shares still delegated to the former home count from when those
    delegations are likely to have ended: its silence was noticed after most of their time.
    """
    refill = pools.refill_per_s(pool, accounts.limit_of(state, account_id), now_ms)
    wait_ms_max: float = const.HOME_QUEUE_MS
    if accounts.expects_shares(state, account_id, now_ms):
        expected = const.MOVE_REFILL_FRACTION * accounts.rate_per_s(state, account_id)
        wait_ms_max = min(longest_ms, const.MOVE_QUEUE_MS)
        if refill < expected:
            returned_ms = state.limits.moved_ms[account_id] + const.DELEGATION_INTERVAL_MS
            wait_ms_max -= max(0, returned_ms - now_ms)
            refill = expected
    queued_tokens = sum(queued.tokens for queued in pool.queue)
    soon = pool.level + refill * max(0, wait_ms_max) / const.MS_PER_S - queued_tokens
    return max(0, int(soon))


def wait_ms(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> float:
    """Return how long one more request would wait, ``inf`` without delegations."""
    limit = accounts.limit_of(state, account_id)
    refill = pools.refill_per_s(pool, limit, now_ms)
    if refill <= 0 or pools.capacity(pool, limit, now_ms) < 1:
        return float('inf')
    missing = max(0, 1 + sum(queued.tokens for queued in pool.queue) - pool.level)
    return missing * const.MS_PER_S / refill


def asked(
    state: core_state.State,
    peer_id: str,
    request: models.TokenRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Queue a peer's demands, settle its grants and serve whoever is first."""
    refusals: list[models.RefusedTokens] = []
    prefetched: list[models.GrantedTokens] = []
    touched: set[str] = set()
    for settlement in request.settlements:
        touched.add(settlement.account_id)
        _settle(state, settlement, now_ms)
    for demand in request.demands:
        touched.add(demand.account_id)
        refusals.extend(_queue(state, peer_id, request, demand, now_ms))
    outputs = serve(state, sorted(touched), now_ms)
    for prefetch in request.demands:
        prefetched.extend(_grant_prefetch(state, prefetch, now_ms))
    if refusals or prefetched:
        grant = models.TokenGrant(
            request.sent_ms, request.incarnation, tuple(prefetched), tuple(refusals)
        )
        outputs.append(effects.SendMessage(peer_id, grant))
    return outputs


def _note_move(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> None:
    """Expect shares for a pool that has none.

    A peer can know before this instance that the home has moved here, and after a pause of this instance all
    delegations have ended without a move.
    """
    if accounts.expects_shares(state, account_id, now_ms):
        return
    if not pools.refill_per_s(pool, accounts.limit_of(state, account_id), now_ms):
        state.limits.moved_ms[account_id] = now_ms


def _end_move(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> None:
    """Stop queueing for long once those that waited for the move are served."""
    moved_ms = state.limits.moved_ms.get(account_id, models.NEVER_MS)
    if not pool.queue and now_ms - moved_ms >= const.MOVE_HURRY_MS:
        state.limits.moved_ms.pop(account_id, None)


def serve(
    state: core_state.State,
    account_ids: list[str],
    now_ms: float,
) -> list[effects.Effect]:
    """Give the available tokens to queued demands, oldest first."""
    grants: Grants = collections.defaultdict(list)
    outputs: list[effects.Effect] = []
    for account_id in account_ids:
        pool = accounts.pool_of(state, account_id, now_ms)
        outputs.extend(_end_expired(state, account_id, pool, now_ms))
        while pool.queue and _serve_first(state, account_id, pool, grants, now_ms):
            queued = pool.queue.popleft()
            if not queued.peer_id:
                pool.level -= 1
                outputs.append(effects.Emit(models.AdmissionDecided(queued.request_id, True, 0)))
        _end_move(state, account_id, pool, now_ms)
    for addressee, granted_tokens in grants.items():
        message = models.TokenGrant(
            addressee.sent_ms, addressee.incarnation, tuple(granted_tokens), ()
        )
        outputs.append(effects.SendMessage(addressee.peer_id, message))
    return outputs


def _serve_first(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    grants: Grants,
    now_ms: float,
) -> bool:
    """Serve the oldest demand as far as possible; tell whether it is done with."""
    queued = pool.queue[0]
    tokens = min(queued.tokens, int(pool.level))
    if not queued.peer_id:
        return tokens > 0
    if not tokens:
        return False
    granted = _grant(state, account_id, tokens, queued.received_ms, now_ms)
    if granted is None:
        return False
    addressee = Addressee(queued.peer_id, queued.sent_ms, queued.incarnation)
    grants[addressee].append(granted)
    queued.tokens -= granted.tokens
    return queued.tokens == 0


def _end_expired(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> list[effects.Effect]:
    """Remove the demands that have waited for too long."""
    expired = [queued for queued in pool.queue if queued.deadline_ms <= now_ms]
    if not expired:
        return []
    kept = (queued for queued in pool.queue if queued.deadline_ms > now_ms)
    pool.queue = collections.deque(kept)
    return [_end(state, account_id, pool, queued, now_ms) for queued in expired]


def _end(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    queued: models.QueuedDemand,
    now_ms: float,
) -> effects.Effect:
    """Refuse a demand; for a request of this instance use the reserve first."""
    retry_ms = _retry_ms(state, account_id, pool, now_ms)
    if queued.peer_id:
        refused = models.RefusedTokens(account_id, queued.tokens, retry_ms)
        message = models.TokenGrant(queued.sent_ms, queued.incarnation, (), (refused,))
        return effects.SendMessage(queued.peer_id, message)
    if reserves.take(state, account_id, now_ms):
        return effects.Emit(models.AdmissionDecided(queued.request_id, True, 0))
    return effects.Emit(models.AdmissionDecided(queued.request_id, False, retry_ms))


def queued_accounts(state: core_state.State) -> list[str]:
    """Return the accounts for which someone waits at this instance."""
    return [account_id for account_id, pool in state.limits.pools.items() if pool.queue]


def _retry_ms(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> float:
    likely_ms = wait_ms(state, account_id, pool, now_ms)
    return min(likely_ms, const.RETRY_AFTER_HOMELESS_MS)


def _settle(
    state: core_state.State,
    settlement: models.GrantSettlement,
    now_ms: float,
) -> None:
    """Free the room of tokens that were spent and take unspent ones back."""
    pool = accounts.pool_of(state, settlement.account_id, now_ms)
    grant = pool.grants.get(settlement.grant_id)
    if grant is None:
        return
    returned = min(grant.tokens, settlement.returned_tokens)
    grant.tokens = max(0, grant.tokens - returned - settlement.spent_tokens)
    pool.level += returned
    pools.clip(pool, accounts.limit_of(state, settlement.account_id), now_ms)


def _queue(
    state: core_state.State,
    peer_id: str,
    request: models.TokenRequest,
    demand: models.TokenDemand,
    now_ms: float,
) -> list[models.RefusedTokens]:
    """Queue the tokens that can be served in time and refuse the others."""
    if not demand.waiting_tokens:
        return []
    pool = accounts.pool_of(state, demand.account_id, now_ms)
    _note_move(state, demand.account_id, pool, now_ms)
    soon = _servable(state, demand.account_id, pool, demand.wait_ms, now_ms)
    accepted = min(demand.waiting_tokens, soon)
    if accepted:
        longest_ms: float = const.HOME_QUEUE_MS
        if accounts.expects_shares(state, demand.account_id, now_ms):
            longest_ms = max(longest_ms, min(demand.wait_ms, const.MOVE_WAIT_MS))
        deadline_ms = now_ms + longest_ms
        pool.queue.append(
            models.QueuedDemand(
                peer_id, request.sent_ms, now_ms, request.incarnation, accepted, deadline_ms
            )
        )
    refused = demand.waiting_tokens - accepted
    home_id = accounts.home_of(state, demand.account_id, now_ms)
    # A peer that still asks the former home will ask the new one as soon as it knows it.
    if not refused or home_id != state.membership.own.instance_id:
        return []
    retry_ms = min(wait_ms(state, demand.account_id, pool, now_ms), const.RETRY_AFTER_HOMELESS_MS)
    return [models.RefusedTokens(demand.account_id, refused, retry_ms)]


def _grant_prefetch(
    state: core_state.State,
    demand: models.TokenDemand,
    now_ms: float,
) -> list[models.GrantedTokens]:
    """Grant a prefetch from the upper half of a pool for which nobody waits."""
    pool = accounts.pool_of(state, demand.account_id, now_ms)
    half = pools.capacity(pool, accounts.limit_of(state, demand.account_id), now_ms) / 2
    tokens = min(demand.prefetch_tokens, int(pool.level - half))
    if pool.queue or tokens < 1:
        return []
    granted = _grant(state, demand.account_id, tokens, now_ms, now_ms)
    return [granted] if granted else []


def _grant(
    state: core_state.State,
    account_id: str,
    tokens: int,
    received_ms: float,
    now_ms: float,
) -> models.GrantedTokens | None:
    """Move tokens from the level to the outstanding grants.

    The peer measures the grant from the sending of its request, which can have waited here for longer than
    a grant lasts, so that the time since its receipt is added.
    """
    pool = accounts.pool_of(state, account_id, now_ms)
    ends_ms = pools.grant_end(pool, accounts.limit_of(state, account_id), tokens, now_ms)
    if ends_ms is None:
        return None
    state.limits.next_number += 1
    number = state.limits.next_number
    incarnation = state.membership.incarnation
    grant_id = f'{incarnation}/{number}'
    pool.level -= tokens
    pool.grants[grant_id] = models.OutstandingGrant(grant_id, tokens, ends_ms)
    return models.GrantedTokens(account_id, grant_id, tokens, ends_ms - received_ms)
