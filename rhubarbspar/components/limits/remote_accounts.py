"""Request tokens of accounts with another home, on demand with a small prefetch, and spend them."""

import math

from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import home
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import reserves
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def admit_remote(
    state: core_state.State,
    account_id: str,
    request_id: str,
    now_ms: float,
    until_ms: float,
) -> tuple[models.Admission, list[effects.Effect]]:
    """Grant a request of a remote account, let it wait for its home, or refuse it."""
    remote = accounts.get_remote_account(state, account_id)
    _update_demand_rate(remote, now_ms)
    if not remote.waiting and _spend_token(remote, now_ms):
        return models.Admission.GRANTED, []
    waiting_max = (
        accounts.account_rate_per_s(state, account_id) * const.MOVE_WAIT_MAX_MS / const.MS_PER_S
    )
    if len(remote.waiting) >= max(1, waiting_max):
        has_token = reserves.take_token(state, account_id, now_ms)
        return models.Admission.GRANTED if has_token else models.Admission.REFUSED, []
    deadline_ms = min(until_ms, now_ms + const.MOVE_WAIT_MAX_MS + const.GRANT_DELIVERY_MS)
    remote.waiting.append(models.WaitingRequest(request_id, now_ms, deadline_ms))
    home_id = accounts.home_instance_id(state, account_id, now_ms)
    last_request_ms = state.limits.tokens_requested_ms.get(home_id, models.NEVER_MS)
    if now_ms - last_request_ms < const.TOKEN_REQUEST_INTERVAL_MS:
        return models.Admission.WAITING, []
    return models.Admission.WAITING, request_tokens(state, home_id, now_ms)


def apply_grant(
    state: core_state.State,
    peer_id: str,
    message: models.TokenGrant,
    now_ms: float,
) -> list[effects.Effect]:
    """Give granted tokens to waiting requests; end the waiting of those that the home refuses."""
    if message.echo_incarnation != state.membership.incarnation:
        return []
    outputs: list[effects.Effect] = []
    for grant in message.grants:
        remote = accounts.get_remote_account(state, grant.account_id)
        ends_ms = message.echo_sent_ms + grant.duration_ms
        remote.grants.append(
            models.HeldGrant(grant.grant_id, peer_id, grant.tokens, now_ms, ends_ms)
        )
        outputs.extend(_grant_waiting(remote, now_ms))
        _record_settlements(state, grant.account_id, now_ms)
    for refusal in message.refusals:
        outputs.extend(_apply_refusal(state, refusal, message.echo_sent_ms, now_ms))
    if state.limits.settlements.get(peer_id):
        outputs.extend(request_tokens(state, peer_id, now_ms))
    return outputs


def tick(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """End expired requests, settle grants and send token requests to the homes concerned."""
    outputs: list[effects.Effect] = []
    _move_waiting_requests(state, now_ms)
    home_ids = {home_id for home_id, pending in state.limits.settlements.items() if pending}
    for account_id, remote in state.limits.remote_accounts.items():
        if remote.grants or remote.waiting:
            outputs.extend(_end_expired_requests(state, account_id, remote, now_ms))
            _record_settlements(state, account_id, now_ms)
            home_ids.add(accounts.home_instance_id(state, account_id, now_ms))
            home_ids.update(home for home, unsent in state.limits.settlements.items() if unsent)
    for home_id in sorted(home_ids):
        outputs.extend(request_tokens(state, home_id, now_ms))
    return outputs


def forget_token_requests(state: core_state.State, peer_id: str) -> None:
    """Request tokens of a peer again, as its old connection may have lost the first requests."""
    for remote in state.limits.remote_accounts.values():
        for waiting in remote.waiting:
            if waiting.requested_home_id == peer_id:
                waiting.requested_home_id = ''


def _move_waiting_requests(state: core_state.State, now_ms: float) -> None:
    """Move waiting requests to or from this instance's queue when a home moves here or away."""
    own_id = state.membership.own.instance_id
    for account_id, remote in state.limits.remote_accounts.items():
        if remote.waiting and accounts.home_instance_id(state, account_id, now_ms) == own_id:
            _move_to_queue(state, account_id, remote, now_ms)
    for moved_id in home.queued_account_ids(state):
        if accounts.home_instance_id(state, moved_id, now_ms) != own_id:
            _move_from_queue(state, moved_id)


def _move_to_queue(
    state: core_state.State,
    account_id: str,
    remote: models.RemoteAccount,
    now_ms: float,
) -> None:
    for waiting in remote.waiting:
        home.queue_own_request(state, account_id, waiting.request_id, waiting.deadline_ms, now_ms)
    remote.waiting.clear()


def _move_from_queue(state: core_state.State, account_id: str) -> None:
    remote = accounts.get_remote_account(state, account_id)
    queue = state.limits.pools[account_id].queue
    for queued in tuple(queue):
        if queued.request_id:
            queue.remove(queued)
            waiting = models.WaitingRequest(queued.request_id, queued.sent_ms, queued.deadline_ms)
            remote.waiting.append(waiting)


def request_tokens(
    state: core_state.State,
    home_id: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Send all demands and settlements for a home in one message, if there are any."""
    if home_id == state.membership.own.instance_id:
        return []
    demands = [
        demand
        for account_id in state.limits.remote_accounts
        if accounts.home_instance_id(state, account_id, now_ms) == home_id
        for demand in _make_demands(state, account_id, home_id, now_ms)
    ]
    settlements = state.limits.settlements.pop(home_id, [])
    if not demands and not settlements:
        return []
    state.limits.tokens_requested_ms[home_id] = now_ms
    request = models.TokenRequest(
        sent_ms=now_ms,
        incarnation=state.membership.incarnation,
        demands=tuple(demands),
        settlements=tuple(settlements),
    )
    return [effects.SendMessage(home_id, request)]


def _update_demand_rate(remote: models.RemoteAccount, now_ms: float) -> None:
    """Update the exponentially weighted mean of the request rate."""
    elapsed_s = (now_ms - remote.demand_updated_ms) / const.MS_PER_S
    decay = math.exp(-elapsed_s / const.DEMAND_TIME_CONSTANT_S)
    remote.demand_per_s = remote.demand_per_s * decay + 1 / const.DEMAND_TIME_CONSTANT_S
    remote.demand_updated_ms = now_ms


def _make_demands(
    state: core_state.State,
    account_id: str,
    home_id: str,
    now_ms: float,
) -> list[models.TokenDemand]:
    remote = accounts.get_remote_account(state, account_id)
    unrequested = [waiting for waiting in remote.waiting if waiting.requested_home_id != home_id]
    for requested in unrequested:
        requested.requested_home_id = home_id
        requested.token_requested_ms = now_ms
    prefetch = _prefetch_tokens(remote, now_ms)
    if not unrequested and not prefetch:
        return []
    latest_ms = max((waiting.deadline_ms for waiting in unrequested), default=now_ms)
    wait_ms = max(0, latest_ms - now_ms - const.GRANT_DELIVERY_MS)
    return [models.TokenDemand(account_id, len(unrequested), prefetch, wait_ms)]


def _prefetch_tokens(remote: models.RemoteAccount, now_ms: float) -> int:
    if now_ms - remote.last_prefetch_ms < const.PREFETCH_INTERVAL_MS:
        return 0
    elapsed_s = (now_ms - remote.demand_updated_ms) / const.MS_PER_S
    demand_per_s = remote.demand_per_s * math.exp(-elapsed_s / const.DEMAND_TIME_CONSTANT_S)
    expected = min(const.PREFETCH_MAX_TOKENS, int(demand_per_s * const.PREFETCH_AHEAD_S))
    missing = expected - sum(grant.tokens for grant in remote.grants if grant.ends_ms > now_ms)
    if missing <= 0:
        return 0
    remote.last_prefetch_ms = now_ms
    return missing


def _spend_token(remote: models.RemoteAccount, now_ms: float) -> bool:
    """Spend one token of the grant that ends first; return whether there was one."""
    usable = [grant for grant in remote.grants if grant.tokens and grant.ends_ms > now_ms]
    if not usable:
        return False
    grant = min(usable, key=lambda candidate: candidate.ends_ms)
    grant.tokens -= 1
    grant.spent_tokens += 1
    return True


def _grant_waiting(remote: models.RemoteAccount, now_ms: float) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    while remote.waiting and _spend_token(remote, now_ms):
        waiting = remote.waiting.popleft()
        decided = models.AdmissionDecided(waiting.request_id, granted=True, retry_after_ms=0)
        outputs.append(effects.Emit(decided))
    return outputs


def _apply_refusal(
    state: core_state.State,
    refusal: models.RefusedTokens,
    token_requested_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    remote = accounts.get_remote_account(state, refusal.account_id)
    remote.retry_at_ms = now_ms + refusal.retry_after_ms
    requested = [
        waiting for waiting in remote.waiting if waiting.token_requested_ms == token_requested_ms
    ]
    outputs: list[effects.Effect] = []
    for waiting in requested[-refusal.tokens :]:
        remote.waiting.remove(waiting)
        outputs.append(_use_reserve_or_refuse(state, refusal.account_id, waiting, now_ms))
    return outputs


def _use_reserve_or_refuse(
    state: core_state.State,
    account_id: str,
    waiting: models.WaitingRequest,
    now_ms: float,
) -> effects.Effect:
    """Grant a token of this instance's reserve, or refuse the request if it has none."""
    if reserves.take_token(state, account_id, now_ms):
        return effects.Emit(models.AdmissionDecided(waiting.request_id, True, 0))
    retry_ms = retry_after_ms(state, account_id, now_ms)
    return effects.Emit(models.AdmissionDecided(waiting.request_id, False, retry_ms))


def retry_after_ms(state: core_state.State, account_id: str, now_ms: float) -> float:
    """Return the expected time until a token is available, ms, by the home's last refusal."""
    account = accounts.find_account(state, account_id)
    shortest_ms = const.MS_PER_S / account.rate_per_s if account and account.rate_per_s else 0
    remote = accounts.get_remote_account(state, account_id)
    return max(shortest_ms, remote.retry_at_ms - now_ms)


def _end_expired_requests(
    state: core_state.State,
    account_id: str,
    remote: models.RemoteAccount,
    now_ms: float,
) -> list[effects.Effect]:
    """Use the reserve for requests that the home has not answered in time; refuse expired ones."""
    outputs: list[effects.Effect] = []
    for waiting in tuple(remote.waiting):
        late = now_ms - waiting.since_ms >= const.HOME_TIMEOUT_MS
        expired = now_ms >= waiting.deadline_ms
        if expired or late and reserves.refill(state, account_id, now_ms).level >= 1:
            remote.waiting.remove(waiting)
            outputs.append(_use_reserve_or_refuse(state, account_id, waiting, now_ms))
    return outputs


def _record_settlements(state: core_state.State, account_id: str, now_ms: float) -> None:
    """Record spent and returned tokens of the account's grants, to be sent to their homes."""
    remote = accounts.get_remote_account(state, account_id)
    kept: list[models.HeldGrant] = []
    for grant in remote.grants:
        returned = _tokens_to_return(grant, now_ms)
        if grant.spent_tokens or returned:
            settlement = models.GrantSettlement(
                account_id, grant.grant_id, grant.spent_tokens, returned
            )
            state.limits.settlements.setdefault(grant.home_id, []).append(settlement)
        grant.spent_tokens = 0
        grant.tokens -= returned
        if grant.tokens and grant.ends_ms > now_ms:
            kept.append(grant)
    remote.grants = kept


def _tokens_to_return(grant: models.HeldGrant, now_ms: float) -> int:
    idle = now_ms - grant.received_ms >= const.GRANT_IDLE_MAX_MS
    return grant.tokens if idle else 0
