"""Ask the home for tokens on demand, with a small prefetch, and spend them."""

import math

from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import home
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import reserves
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def admit_from_wallet(
    state: core_state.State,
    account_id: str,
    request_id: str,
    now_ms: float,
    until_ms: float,
) -> tuple[models.Admission, list[effects.Effect]]:
    """Decide on a request whose account has its home elsewhere."""
    wallet = accounts.wallet_of(state, account_id)
    _note_demand(wallet, now_ms)
    if not wallet.waiting and _spend(wallet, now_ms):
        return models.Admission.GRANTED, []
    longest = accounts.rate_per_s(state, account_id) * const.MOVE_WAIT_MS / const.MS_PER_S
    if len(wallet.waiting) >= max(1, longest):
        taken = reserves.take(state, account_id, now_ms)
        return models.Admission.GRANTED if taken else models.Admission.REFUSED, []
    deadline_ms = min(until_ms, now_ms + const.MOVE_WAIT_MS + const.MOVE_GRANT_MS)
    wallet.waiting.append(models.WaitingRequest(request_id, now_ms, deadline_ms))
    home_id = accounts.home_of(state, account_id, now_ms)
    last_ms = state.limits.requested_ms.get(home_id, models.NEVER_MS)
    if now_ms - last_ms < const.REQUEST_INTERVAL_MS:
        return models.Admission.WAITING, []
    return models.Admission.WAITING, request_tokens(state, home_id, now_ms)


def granted(
    state: core_state.State,
    peer_id: str,
    message: models.TokenGrant,
    now_ms: float,
) -> list[effects.Effect]:
    """Give granted tokens to the waiting requests; refuse those the home can't serve."""
    if message.echo_incarnation != state.membership.incarnation:
        return []
    outputs: list[effects.Effect] = []
    for grant in message.grants:
        wallet = accounts.wallet_of(state, grant.account_id)
        ends_ms = message.echo_sent_ms + grant.duration_ms
        wallet.grants.append(
            models.HeldGrant(grant.grant_id, peer_id, grant.tokens, now_ms, ends_ms)
        )
        outputs.extend(_serve(wallet, now_ms))
        _settle(state, grant.account_id, now_ms)
    for refusal in message.refusals:
        outputs.extend(_refused(state, refusal, message.echo_sent_ms, now_ms))
    if state.limits.settlements.get(peer_id):
        outputs.extend(request_tokens(state, peer_id, now_ms))
    return outputs


def tend(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """End the waiting of requests, give tokens back and send what has gathered."""
    outputs: list[effects.Effect] = []
    _exchange_waiting(state, now_ms)
    home_ids = {home_id for home_id, pending in state.limits.settlements.items() if pending}
    for account_id, wallet in state.limits.wallets.items():
        if wallet.grants or wallet.waiting:
            outputs.extend(_expire(state, account_id, wallet, now_ms))
            _settle(state, account_id, now_ms)
            home_ids.add(accounts.home_of(state, account_id, now_ms))
            home_ids.update(home for home, unsent in state.limits.settlements.items() if unsent)
    for home_id in sorted(home_ids):
        outputs.extend(request_tokens(state, home_id, now_ms))
    return outputs


def forget_asked(state: core_state.State, peer_id: str) -> None:
    """Ask a peer again whose earlier connection may have lost the requests."""
    for wallet in state.limits.wallets.values():
        for waiting in wallet.waiting:
            if waiting.asked_id == peer_id:
                waiting.asked_id = ''


def _exchange_waiting(state: core_state.State, now_ms: float) -> None:
    """Move waiting requests between wallet and queue when a home has moved to or from here."""
    own_id = state.membership.own.instance_id
    for account_id, wallet in state.limits.wallets.items():
        if wallet.waiting and accounts.home_of(state, account_id, now_ms) == own_id:
            _queue_here(state, account_id, wallet, now_ms)
    for moved_id in home.queued_accounts(state):
        if accounts.home_of(state, moved_id, now_ms) != own_id:
            _take_from_queue(state, moved_id)


def _queue_here(
    state: core_state.State,
    account_id: str,
    wallet: models.Wallet,
    now_ms: float,
) -> None:
    for waiting in wallet.waiting:
        home.queue_here(state, account_id, waiting.request_id, waiting.deadline_ms, now_ms)
    wallet.waiting.clear()


def _take_from_queue(state: core_state.State, account_id: str) -> None:
    wallet = accounts.wallet_of(state, account_id)
    queue = state.limits.pools[account_id].queue
    for queued in tuple(queue):
        if queued.request_id:
            queue.remove(queued)
            waiting = models.WaitingRequest(queued.request_id, queued.sent_ms, queued.deadline_ms)
            wallet.waiting.append(waiting)


def request_tokens(
    state: core_state.State,
    home_id: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Send one message with all demands and settlements for a home."""
    if home_id == state.membership.own.instance_id:
        return []
    demands = [
        demand
        for account_id in state.limits.wallets
        if accounts.home_of(state, account_id, now_ms) == home_id
        for demand in _demands(state, account_id, home_id, now_ms)
    ]
    settlements = state.limits.settlements.pop(home_id, [])
    if not demands and not settlements:
        return []
    state.limits.requested_ms[home_id] = now_ms
    request = models.TokenRequest(
        sent_ms=now_ms,
        incarnation=state.membership.incarnation,
        demands=tuple(demands),
        settlements=tuple(settlements),
    )
    return [effects.SendMessage(home_id, request)]


def _note_demand(wallet: models.Wallet, now_ms: float) -> None:
    """Keep an exponentially weighted mean of the request rate."""
    elapsed_s = (now_ms - wallet.demand_ms) / const.MS_PER_S
    kept = math.exp(-elapsed_s / const.DEMAND_MEMORY_S)
    wallet.demand_per_s = wallet.demand_per_s * kept + 1 / const.DEMAND_MEMORY_S
    wallet.demand_ms = now_ms


def _demands(
    state: core_state.State,
    account_id: str,
    home_id: str,
    now_ms: float,
) -> list[models.TokenDemand]:
    wallet = accounts.wallet_of(state, account_id)
    unasked = [waiting for waiting in wallet.waiting if waiting.asked_id != home_id]
    for asked in unasked:
        asked.asked_id = home_id
        asked.asked_ms = now_ms
    prefetch = _prefetch(wallet, now_ms)
    if not unasked and not prefetch:
        return []
    latest_ms = max((waiting.deadline_ms for waiting in unasked), default=now_ms)
    wait_ms = max(0, latest_ms - now_ms - const.MOVE_GRANT_MS)
    return [models.TokenDemand(account_id, len(unasked), prefetch, wait_ms)]


def _prefetch(wallet: models.Wallet, now_ms: float) -> int:
    if now_ms - wallet.prefetched_ms < const.PREFETCH_INTERVAL_MS:
        return 0
    elapsed_s = (now_ms - wallet.demand_ms) / const.MS_PER_S
    demand_per_s = wallet.demand_per_s * math.exp(-elapsed_s / const.DEMAND_MEMORY_S)
    expected = min(const.PREFETCH_MAX_TOKENS, int(demand_per_s * const.PREFETCH_AHEAD_S))
    missing = expected - sum(grant.tokens for grant in wallet.grants if grant.ends_ms > now_ms)
    if missing <= 0:
        return 0
    wallet.prefetched_ms = now_ms
    return missing


def _spend(wallet: models.Wallet, now_ms: float) -> bool:
    """Spend one token, of the grant that ends first."""
    usable = [grant for grant in wallet.grants if grant.tokens and grant.ends_ms > now_ms]
    if not usable:
        return False
    grant = min(usable, key=lambda candidate: candidate.ends_ms)
    grant.tokens -= 1
    grant.spent_tokens += 1
    return True


def _serve(wallet: models.Wallet, now_ms: float) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    while wallet.waiting and _spend(wallet, now_ms):
        waiting = wallet.waiting.popleft()
        decided = models.AdmissionDecided(waiting.request_id, granted=True, retry_after_ms=0)
        outputs.append(effects.Emit(decided))
    return outputs


def _refused(
    state: core_state.State,
    refusal: models.RefusedTokens,
    asked_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    wallet = accounts.wallet_of(state, refusal.account_id)
    wallet.retry_at_ms = now_ms + refusal.retry_after_ms
    asked = [waiting for waiting in wallet.waiting if waiting.asked_ms == asked_ms]
    outputs: list[effects.Effect] = []
    for waiting in asked[-refusal.tokens :]:
        wallet.waiting.remove(waiting)
        outputs.append(_fall_back(state, refusal.account_id, waiting, now_ms))
    return outputs


def _fall_back(
    state: core_state.State,
    account_id: str,
    waiting: models.WaitingRequest,
    now_ms: float,
) -> effects.Effect:
    """Use the reserve of this instance's shares, or refuse."""
    if reserves.take(state, account_id, now_ms):
        return effects.Emit(models.AdmissionDecided(waiting.request_id, True, 0))
    retry_ms = retry_ms_of(state, account_id, now_ms)
    return effects.Emit(models.AdmissionDecided(waiting.request_id, False, retry_ms))


def retry_ms_of(state: core_state.State, account_id: str, now_ms: float) -> float:
    """Return how long until a token is likely, from the home's last refusal."""
    account = accounts.find_account(state, account_id)
    shortest_ms = const.MS_PER_S / account.rate_per_s if account and account.rate_per_s else 0
    wallet = accounts.wallet_of(state, account_id)
    return max(shortest_ms, wallet.retry_at_ms - now_ms)


def _expire(
    state: core_state.State,
    account_id: str,
    wallet: models.Wallet,
    now_ms: float,
) -> list[effects.Effect]:
    """Use the reserve for requests without an answer in time, and refuse them at their deadlines."""
    outputs: list[effects.Effect] = []
    for waiting in tuple(wallet.waiting):
        late = now_ms - waiting.since_ms >= const.HOME_TIMEOUT_MS
        expired = now_ms >= waiting.deadline_ms
        if expired or late and reserves.advance(state, account_id, now_ms).level >= 1:
            wallet.waiting.remove(waiting)
            outputs.append(_fall_back(state, account_id, waiting, now_ms))
    return outputs


def _settle(state: core_state.State, account_id: str, now_ms: float) -> None:
    """Note what became of the account's grants, for the home."""
    wallet = accounts.wallet_of(state, account_id)
    kept: list[models.HeldGrant] = []
    for grant in wallet.grants:
        returned = _returnable(grant, now_ms)
        if grant.spent_tokens or returned:
            settlement = models.GrantSettlement(
                account_id, grant.grant_id, grant.spent_tokens, returned
            )
            state.limits.settlements.setdefault(grant.home_id, []).append(settlement)
        grant.spent_tokens = 0
        grant.tokens -= returned
        if grant.tokens and grant.ends_ms > now_ms:
            kept.append(grant)
    wallet.grants = kept


def _returnable(grant: models.HeldGrant, now_ms: float) -> int:
    idle = now_ms - grant.received_ms >= const.PREFETCH_KEEP_MS
    return grant.tokens if idle else 0
