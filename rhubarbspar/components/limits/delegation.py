"""Delegate shares from their holders to the homes of accounts, by request and answer.

The home measures the duration of a delegation from when it sent the request, the holder from when
it received it, so that the home stops using the share first. No delegation outlasts the validity of
the holder's claim of the share.
"""

import collections
import dataclasses
import typing

from rhubarbspar.components.claims import preference
from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import links
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import pools
from rhubarbspar.components.limits import reserves
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state

KeyT = typing.TypeVar('KeyT')


def request_when_due(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Request delegations of all live peers and this instance, at intervals and after moves."""
    limits = state.limits
    changed = accounts.refresh_homes(state, now_ms)
    moved_recently = changed or _became_home_recently(state, now_ms)
    interval_ms = const.DELEGATION_RETRY_MS if moved_recently else const.DELEGATION_INTERVAL_MS
    if now_ms - limits.delegations_requested_ms < interval_ms:
        return []
    limits.delegations_requested_ms = now_ms
    request = models.DelegationRequest(
        sent_ms=now_ms,
        incarnation=state.membership.incarnation,
        account_ids=accounts.own_account_ids(state, now_ms),
    )
    own_id = state.membership.own.instance_id
    for answer in _delegate(state, own_id, request, now_ms):
        apply_answer(state, own_id, answer, now_ms)
    return [effects.SendMessage(peer_id, request) for peer_id in _holder_ids(state, now_ms)]


def _became_home_recently(state: core_state.State, now_ms: float) -> bool:
    """Return whether a home has just moved here, so that shares may become free at any moment."""
    own_id = state.membership.own.instance_id
    return any(
        now_ms - became_home_ms < const.MOVE_FAST_REQUEST_MS
        and state.limits.homes.get(account_id) == own_id
        for account_id, became_home_ms in state.limits.became_home_ms.items()
    )


def _holder_ids(state: core_state.State, now_ms: float) -> list[str]:
    """Return the peers that can hold shares; a stopping one holds them until it has finished."""
    peers = membership_reducer.live_peers(state, now_ms)
    return [peer.known.instance_id for peer in peers]


def answer_request(
    state: core_state.State,
    peer_id: str,
    request: models.DelegationRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Delegate shares to a peer that requests them; send nothing if this instance holds none."""
    answers = _delegate(state, peer_id, request, now_ms)
    return [effects.SendMessage(peer_id, answer) for answer in answers]


def release_moved_accounts(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Release delegations of accounts whose home has moved, for the new home to get them early."""
    own_id = state.membership.own.instance_id
    incarnation = state.membership.incarnation
    outputs: list[effects.Effect] = []
    for holder_id, account_ids in _release_delegations(state, now_ms).items():
        release = models.DelegationRelease(now_ms, incarnation, tuple(account_ids))
        if holder_id == own_id:
            end_released_delegations(state, own_id, release, now_ms)
        else:
            outputs.append(effects.SendMessage(holder_id, release))
    return outputs


def _release_delegations(state: core_state.State, now_ms: float) -> dict[str, list[str]]:
    """Stop using delegations of moved accounts and return the account ids by holder."""
    account_ids: dict[str, list[str]] = collections.defaultdict(list)
    for account_id in sorted(state.limits.moved_away_accounts):
        pool = accounts.refilled_pool(state, account_id, now_ms)
        limit = accounts.pool_limit(state, account_id)
        for holder_id in pools.release(pool, limit, now_ms):
            account_ids[holder_id].append(account_id)
    state.limits.moved_away_accounts.clear()
    return account_ids


def end_released_delegations(
    state: core_state.State,
    home_id: str,
    release: models.DelegationRelease,
    now_ms: float,
) -> None:
    """End delegations that a home has released, but none that it requested after the release."""
    for account_id in release.account_ids:
        given = state.limits.given_delegations.get(account_id)
        if given is None or (given.home_id, given.incarnation) != (home_id, release.incarnation):
            continue
        if given.sent_ms <= release.sent_ms:
            state.limits.given_delegations[account_id] = dataclasses.replace(given, until_ms=now_ms)


def apply_answer(
    state: core_state.State,
    holder_id: str,
    answer: models.DelegationAnswer | models.TokenDonation,
    now_ms: float,
) -> None:
    """Record delegated shares or donated refill in the pools; the levels of the pools do not rise.

    An answer to an earlier incarnation of this instance is ignored.
    """
    if answer.echo_incarnation != state.membership.incarnation:
        return
    for account_id in answer.account_ids:
        pool = accounts.refilled_pool(state, account_id, now_ms)
        delegation = pool.delegations.setdefault(holder_id, models.ReceivedDelegation())
        match answer:
            case models.DelegationAnswer():
                _record_shares(delegation, answer.shares, answer)
            case models.TokenDonation():
                _record_donation(delegation, answer)
        pools.clip(pool, accounts.pool_limit(state, account_id), now_ms)
    if isinstance(answer, models.DelegationAnswer):
        for link_pool, limit in links.refilled_pools(state, now_ms):
            delegation = link_pool.delegations.setdefault(holder_id, models.ReceivedDelegation())
            _record_shares(delegation, answer.link_shares, answer)
            pools.clip(link_pool, limit, now_ms)


def _record_shares(
    delegation: models.ReceivedDelegation, shares: int, answer: models.DelegationAnswer
) -> None:
    if answer.echo_sent_ms > delegation.echo_sent_ms:
        delegation.shares = shares
        delegation.ends_ms = answer.echo_sent_ms + answer.duration_ms
        delegation.echo_sent_ms = answer.echo_sent_ms


def _record_donation(delegation: models.ReceivedDelegation, answer: models.TokenDonation) -> None:
    if answer.echo_sent_ms > delegation.donated_echo_sent_ms:
        delegation.donated_shares = answer.shares
        delegation.donated_ends_ms = answer.echo_sent_ms + answer.duration_ms
        delegation.donated_echo_sent_ms = answer.echo_sent_ms


def _delegate(
    state: core_state.State,
    peer_id: str,
    request: models.DelegationRequest,
    now_ms: float,
) -> list[models.DelegationAnswer | models.TokenDonation]:
    shares = claims_reducer.held_shares(state, now_ms)
    if not shares:
        return []
    until_ms = min(
        now_ms + const.DELEGATION_DURATION_MS,
        *(claims_reducer.valid_until_ms(state, f'share/{share}', now_ms) for share in shares),
    )
    given = models.GivenDelegation(peer_id, request.incarnation, request.sent_ms, until_ms)
    account_ids = tuple(
        account_id
        for account_id in request.account_ids
        if accounts.home_instance_id(state, account_id, now_ms) == peer_id
        and _record_given(state.limits.given_delegations, account_id, given, now_ms)
    )
    answer = models.DelegationAnswer(
        echo_sent_ms=request.sent_ms,
        echo_incarnation=request.incarnation,
        duration_ms=until_ms - now_ms,
        account_ids=account_ids,
        shares=len(shares),
        link_shares=_delegate_links(state, shares, given, now_ms),
    )
    return [answer, *_donate_refill(state, answer, now_ms)]


def _donate_refill(
    state: core_state.State,
    answer: models.DelegationAnswer,
    now_ms: float,
) -> list[models.DelegationAnswer | models.TokenDonation]:
    until_ms = now_ms + answer.duration_ms
    account_ids = tuple(
        account_id
        for account_id in answer.account_ids
        if reserves.donate_refill(state, account_id, until_ms, now_ms)
    )
    if not account_ids:
        return []
    donation = models.TokenDonation(
        echo_sent_ms=answer.echo_sent_ms,
        echo_incarnation=answer.echo_incarnation,
        duration_ms=answer.duration_ms,
        account_ids=account_ids,
        shares=answer.shares,
    )
    return [donation]


def _delegate_links(
    state: core_state.State,
    shares: list[int],
    given: models.GivenDelegation,
    now_ms: float,
) -> int:
    """Delegate each share of the links that leave a region to one instance of that region."""
    region = preference.region_of_instance(state, given.home_id)
    candidate_ids = links.instance_ids_in(state, region, now_ms)
    delegated = [
        share
        for share in shares
        if links.assigned_instance_id(region, share, candidate_ids) == given.home_id
        and _record_given(state.limits.given_link_delegations, (share, region), given, now_ms)
    ]
    return len(delegated)


def _record_given(
    given_delegations: dict[KeyT, models.GivenDelegation],
    key: KeyT,
    given: models.GivenDelegation,
    now_ms: float,
) -> bool:
    """Record a delegation unless another home or incarnation still has the share."""
    previous = given_delegations.get(key)
    if previous is not None and previous.until_ms > now_ms:
        if (previous.home_id, previous.incarnation) != (given.home_id, given.incarnation):
            return False
    given_delegations[key] = given
    return True
