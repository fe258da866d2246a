"""Grant tokens of an account at its home: own requests and peers' demands, in order of arrival."""

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
class AnsweredRequest:
    """Sender, time and incarnation of the token request that a grant answers."""

    peer_id: str
    sent_ms: float
    incarnation: str


GrantsByRequest: typing.TypeAlias = dict[AnsweredRequest, list[models.GrantedTokens]]


def admit_local(
    state: core_state.State,
    account_id: str,
    request_id: str,
    now_ms: float,
    until_ms: float,
) -> models.Admission:
    """Grant, queue or refuse a request of this instance, which is the account's home."""
    pool = accounts.refilled_pool(state, account_id, now_ms)
    if not pool.queue and pool.level >= 1:
        pool.level -= 1
        return models.Admission.GRANTED
    _expect_shares(state, account_id, pool, now_ms)
    longest_ms = until_ms - now_ms
    if _tokens_available_soon(state, account_id, pool, longest_ms, now_ms) >= 1:
        queue_own_request(state, account_id, request_id, until_ms, now_ms)
        return models.Admission.WAITING
    has_token = reserves.take_token(state, account_id, now_ms)
    return models.Admission.GRANTED if has_token else models.Admission.REFUSED


def queue_own_request(
    state: core_state.State,
    account_id: str,
    request_id: str,
    until_ms: float,
    now_ms: float,
) -> None:
    """Queue a request of this instance until a token is available or ``until_ms`` has passed."""
    pool = accounts.refilled_pool(state, account_id, now_ms)
    longest_ms = const.HOME_TIMEOUT_MS
    if accounts.expects_shares(state, account_id, now_ms):
        longest_ms = const.MOVE_WAIT_MAX_MS
    deadline_ms = min(until_ms, now_ms + longest_ms)
    pool.queue.append(models.QueuedDemand('', now_ms, now_ms, '', 1, deadline_ms, request_id))


def _tokens_available_soon(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    longest_ms: float,
    now_ms: float,
) -> int:
    """Return how many more tokens can be granted in time, by the same rule for all instances.

    After a move the shares that are still delegated to the former home are counted from when those
    delegations have probably ended: most of their time had passed when its silence was detected.
    """
    refill_rate = pools.refill_per_s(pool, accounts.pool_limit(state, account_id), now_ms)
    wait_ms_max: float = const.HOME_QUEUE_MAX_MS
    if accounts.expects_shares(state, account_id, now_ms):
        expected = const.MOVE_REFILL_FRACTION * accounts.account_rate_per_s(state, account_id)
        wait_ms_max = min(longest_ms, const.MOVE_QUEUE_MAX_MS)
        if refill_rate < expected:
            returned_ms = state.limits.became_home_ms[account_id] + const.DELEGATION_INTERVAL_MS
            wait_ms_max -= max(0, returned_ms - now_ms)
            refill_rate = expected
    queued_tokens = sum(queued.tokens for queued in pool.queue)
    available = pool.level + refill_rate * max(0, wait_ms_max) / const.MS_PER_S - queued_tokens
    return max(0, int(available))


def expected_wait_ms(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> float:
    """Return how long one more request would wait, ms; ``inf`` if the pool can't hold a token."""
    limit = accounts.pool_limit(state, account_id)
    refill_rate = pools.refill_per_s(pool, limit, now_ms)
    if refill_rate <= 0 or pools.capacity(pool, limit, now_ms) < 1:
        return float('inf')
    missing = max(0, 1 + sum(queued.tokens for queued in pool.queue) - pool.level)
    return missing * const.MS_PER_S / refill_rate


def answer_request(
    state: core_state.State,
    peer_id: str,
    request: models.TokenRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Settle a peer's grants, queue its demands, serve the queues and grant prefetched tokens."""
    refusals: list[models.RefusedTokens] = []
    prefetched: list[models.GrantedTokens] = []
    account_ids: set[str] = set()
    for settlement in request.settlements:
        account_ids.add(settlement.account_id)
        _apply_settlement(state, settlement, now_ms)
    for demand in request.demands:
        account_ids.add(demand.account_id)
        refusals.extend(_queue_demand(state, peer_id, request, demand, now_ms))
    outputs = serve_queues(state, sorted(account_ids), now_ms)
    for prefetch in request.demands:
        prefetched.extend(_grant_prefetch(state, prefetch, now_ms))
    if refusals or prefetched:
        grant = models.TokenGrant(
            request.sent_ms, request.incarnation, tuple(prefetched), tuple(refusals)
        )
        outputs.append(effects.SendMessage(peer_id, grant))
    return outputs


def _expect_shares(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> None:
    """Treat a pool without delegations as if the home had just moved here.

    A peer may learn of the move before this instance does. After a pause of this process all
    delegations have ended without a move.
    """
    if accounts.expects_shares(state, account_id, now_ms):
        return
    if not pools.refill_per_s(pool, accounts.pool_limit(state, account_id), now_ms):
        state.limits.became_home_ms[account_id] = now_ms


def _stop_expecting_shares(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> None:
    """End the longer queueing time of a move once all requests that waited for it are served."""
    became_home_ms = state.limits.became_home_ms.get(account_id, models.NEVER_MS)
    if not pool.queue and now_ms - became_home_ms >= const.MOVE_FAST_REQUEST_MS:
        state.limits.became_home_ms.pop(account_id, None)


def serve_queues(
    state: core_state.State,
    account_ids: list[str],
    now_ms: float,
) -> list[effects.Effect]:
    """Give the available tokens of each account to its queued demands, oldest first."""
    grants: GrantsByRequest = collections.defaultdict(list)
    outputs: list[effects.Effect] = []
    for account_id in account_ids:
        pool = accounts.refilled_pool(state, account_id, now_ms)
        outputs.extend(_end_expired_demands(state, account_id, pool, now_ms))
        while pool.queue and _serve_oldest(state, account_id, pool, grants, now_ms):
            queued = pool.queue.popleft()
            if not queued.peer_id:
                pool.level -= 1
                outputs.append(effects.Emit(models.AdmissionDecided(queued.request_id, True, 0)))
        _stop_expecting_shares(state, account_id, pool, now_ms)
    for addressee, granted_tokens in grants.items():
        message = models.TokenGrant(
            addressee.sent_ms, addressee.incarnation, tuple(granted_tokens), ()
        )
        outputs.append(effects.SendMessage(addressee.peer_id, message))
    return outputs


def _serve_oldest(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    grants: GrantsByRequest,
    now_ms: float,
) -> bool:
    """Grant tokens to the oldest demand as far as possible; return whether it is complete."""
    queued = pool.queue[0]
    tokens = min(queued.tokens, int(pool.level))
    if not queued.peer_id:
        return tokens > 0
    if not tokens:
        return False
    granted = _make_grant(state, account_id, tokens, queued.received_ms, now_ms)
    if granted is None:
        return False
    addressee = AnsweredRequest(queued.peer_id, queued.sent_ms, queued.incarnation)
    grants[addressee].append(granted)
    queued.tokens -= granted.tokens
    return queued.tokens == 0


def _end_expired_demands(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> list[effects.Effect]:
    """Remove the queued demands whose deadline has passed."""
    expired = [queued for queued in pool.queue if queued.deadline_ms <= now_ms]
    if not expired:
        return []
    kept = (queued for queued in pool.queue if queued.deadline_ms > now_ms)
    pool.queue = collections.deque(kept)
    return [_end_demand(state, account_id, pool, queued, now_ms) for queued in expired]


def _end_demand(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    queued: models.QueuedDemand,
    now_ms: float,
) -> effects.Effect:
    """Refuse a demand, after trying the reserve for a request of this instance."""
    retry_ms = _retry_after_ms(state, account_id, pool, now_ms)
    if queued.peer_id:
        refused = models.RefusedTokens(account_id, queued.tokens, retry_ms)
        message = models.TokenGrant(queued.sent_ms, queued.incarnation, (), (refused,))
        return effects.SendMessage(queued.peer_id, message)
    if reserves.take_token(state, account_id, now_ms):
        return effects.Emit(models.AdmissionDecided(queued.request_id, True, 0))
    return effects.Emit(models.AdmissionDecided(queued.request_id, False, retry_ms))


def queued_account_ids(state: core_state.State) -> list[str]:
    """Return the ids of the accounts with queued demands at this instance."""
    return [account_id for account_id, pool in state.limits.pools.items() if pool.queue]


def _retry_after_ms(
    state: core_state.State,
    account_id: str,
    pool: models.Pool,
    now_ms: float,
) -> float:
    expected_ms = expected_wait_ms(state, account_id, pool, now_ms)
    return min(expected_ms, const.RETRY_AFTER_MAX_MS)


def _apply_settlement(
    state: core_state.State,
    settlement: models.GrantSettlement,
    now_ms: float,
) -> None:
    """Free the capacity of spent tokens and put returned ones back into the pool."""
    pool = accounts.refilled_pool(state, settlement.account_id, now_ms)
    grant = pool.grants.get(settlement.grant_id)
    if grant is None:
        return
    returned = min(grant.tokens, settlement.returned_tokens)
    grant.tokens = max(0, grant.tokens - returned - settlement.spent_tokens)
    pool.level += returned
    pools.clip(pool, accounts.pool_limit(state, settlement.account_id), now_ms)


def _queue_demand(
    state: core_state.State,
    peer_id: str,
    request: models.TokenRequest,
    demand: models.TokenDemand,
    now_ms: float,
) -> list[models.RefusedTokens]:
    """Queue the tokens that can be granted in time and return refusals for the others."""
    if not demand.waiting_tokens:
        return []
    pool = accounts.refilled_pool(state, demand.account_id, now_ms)
    _expect_shares(state, demand.account_id, pool, now_ms)
    available = _tokens_available_soon(state, demand.account_id, pool, demand.wait_ms, now_ms)
    accepted = min(demand.waiting_tokens, available)
    if accepted:
        longest_ms: float = const.HOME_QUEUE_MAX_MS
        if accounts.expects_shares(state, demand.account_id, now_ms):
            longest_ms = max(longest_ms, min(demand.wait_ms, const.MOVE_WAIT_MAX_MS))
        deadline_ms = now_ms + longest_ms
        pool.queue.append(
            models.QueuedDemand(
                peer_id, request.sent_ms, now_ms, request.incarnation, accepted, deadline_ms
            )
        )
    refused = demand.waiting_tokens - accepted
    home_id = accounts.home_instance_id(state, demand.account_id, now_ms)
    # A peer that still asks the former home asks the new one as soon as it learns of the move.
    if not refused or home_id != state.membership.own.instance_id:
        return []
    retry_ms = min(
        expected_wait_ms(state, demand.account_id, pool, now_ms), const.RETRY_AFTER_MAX_MS
    )
    return [models.RefusedTokens(demand.account_id, refused, retry_ms)]


def _grant_prefetch(
    state: core_state.State,
    demand: models.TokenDemand,
    now_ms: float,
) -> list[models.GrantedTokens]:
    """Grant a prefetch from the upper half of a pool whose queue is empty."""
    pool = accounts.refilled_pool(state, demand.account_id, now_ms)
    half = pools.capacity(pool, accounts.pool_limit(state, demand.account_id), now_ms) / 2
    tokens = min(demand.prefetch_tokens, int(pool.level - half))
    if pool.queue or tokens < 1:
        return []
    granted = _make_grant(state, demand.account_id, tokens, now_ms, now_ms)
    return [granted] if granted else []


def _make_grant(
    state: core_state.State,
    account_id: str,
    tokens: int,
    received_ms: float,
    now_ms: float,
) -> models.GrantedTokens | None:
    """Turn tokens of the pool into an outstanding grant; return ``None`` if that is not possible.

    The peer measures the duration of the grant from when it sent its request. The request may have
    been queued here for longer than a grant lasts, so the time since its receipt is added.
    """
    pool = accounts.refilled_pool(state, account_id, now_ms)
    ends_ms = pools.grant_end_ms(pool, accounts.pool_limit(state, account_id), tokens, now_ms)
    if ends_ms is None:
        return None
    state.limits.last_grant_number += 1
    number = state.limits.last_grant_number
    incarnation = state.membership.incarnation
    grant_id = f'{incarnation}/{number}'
    pool.level -= tokens
    pool.grants[grant_id] = models.OutstandingGrant(grant_id, tokens, ends_ms)
    return models.GrantedTokens(account_id, grant_id, tokens, ends_ms - received_ms)
