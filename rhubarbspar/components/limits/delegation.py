"""Delegate shares to homes, by request and answer.

A home measures a delegation from the sending of its request and the holder from its receipt, so that the
home stops first. No delegation outlasts the holder's trust in its claim.
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


def ask_when_due(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Ask all live peers, and this instance itself, at intervals and after homes changed."""
    limits = state.limits
    changed = accounts.refresh_homes(state, now_ms)
    hurried = changed or _is_hurried(state, now_ms)
    interval_ms = const.DELEGATION_RETRY_MS if hurried else const.DELEGATION_INTERVAL_MS
    if now_ms - limits.asked_ms < interval_ms:
        return []
    limits.asked_ms = now_ms
    request = models.DelegationRequest(
        sent_ms=now_ms,
        incarnation=state.membership.incarnation,
        account_ids=accounts.own_accounts(state, now_ms),
    )
    own_id = state.membership.own.instance_id
    for answer in _lend(state, own_id, request, now_ms):
        accept(state, own_id, answer, now_ms)
    return [effects.SendMessage(peer_id, request) for peer_id in _holder_ids(state, now_ms)]


def _is_hurried(state: core_state.State, now_ms: float) -> bool:
    """Tell whether a home has just moved here, so that its shares may return at any moment."""
    own_id = state.membership.own.instance_id
    return any(
        now_ms - moved_ms < const.MOVE_HURRY_MS and state.limits.homes.get(account_id) == own_id
        for account_id, moved_ms in state.limits.moved_ms.items()
    )


def _holder_ids(state: core_state.State, now_ms: float) -> list[str]:
    """Return the peers that can hold shares; one that is leaving holds them until it has served."""
    peers = membership_reducer.live_peers(state, now_ms)
    return [peer.known.instance_id for peer in peers]


def asked(
    state: core_state.State,
    peer_id: str,
    request: models.DelegationRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Answer a peer's request; without shares there is no answer."""
    answers = _lend(state, peer_id, request, now_ms)
    return [effects.SendMessage(peer_id, answer) for answer in answers]


def release_moved(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Return the parts of the accounts whose home has moved away, so that the new home gets them early."""
    own_id = state.membership.own.instance_id
    incarnation = state.membership.incarnation
    outputs: list[effects.Effect] = []
    for holder_id, account_ids in _release_parts(state, now_ms).items():
        release = models.DelegationRelease(now_ms, incarnation, tuple(account_ids))
        if holder_id == own_id:
            released(state, own_id, release, now_ms)
        else:
            outputs.append(effects.SendMessage(holder_id, release))
    return outputs


def _release_parts(state: core_state.State, now_ms: float) -> dict[str, list[str]]:
    """Stop using parts and return the accounts of which they are, by holder."""
    account_ids: dict[str, list[str]] = collections.defaultdict(list)
    for account_id in sorted(state.limits.leaving_accounts):
        pool = accounts.pool_of(state, account_id, now_ms)
        limit = accounts.limit_of(state, account_id)
        for holder_id in pools.release(pool, limit, now_ms):
            account_ids[holder_id].append(account_id)
    state.limits.leaving_accounts.clear()
    return account_ids


def released(
    state: core_state.State,
    home_id: str,
    release: models.DelegationRelease,
    now_ms: float,
) -> None:
    """End delegations early; a delegation by a later request goes on."""
    for account_id in release.account_ids:
        lent = state.limits.lent.get(account_id)
        if lent is None or (lent.home_id, lent.incarnation) != (home_id, release.incarnation):
            continue
        if lent.sent_ms <= release.sent_ms:
            state.limits.lent[account_id] = dataclasses.replace(lent, until_ms=now_ms)


def accept(
    state: core_state.State,
    holder_id: str,
    answer: models.DelegationAnswer | models.TokenDonation,
    now_ms: float,
) -> None:
    """Add delegated shares, without tokens, or donated refill to the pools."""
    if answer.echo_incarnation != state.membership.incarnation:
        return
    for account_id in answer.account_ids:
        pool = accounts.pool_of(state, account_id, now_ms)
        part = pool.parts.setdefault(holder_id, models.Part())
        match answer:
            case models.DelegationAnswer():
                _set_delegated(part, answer.shares, answer)
            case models.TokenDonation():
                _set_donated(part, answer)
        pools.clip(pool, accounts.limit_of(state, account_id), now_ms)
    if isinstance(answer, models.DelegationAnswer):
        for link_pool, limit in links.advance_all(state, now_ms):
            part = link_pool.parts.setdefault(holder_id, models.Part())
            _set_delegated(part, answer.link_shares, answer)
            pools.clip(link_pool, limit, now_ms)


def _set_delegated(part: models.Part, shares: int, answer: models.DelegationAnswer) -> None:
    if answer.echo_sent_ms > part.echo_sent_ms:
        part.shares = shares
        part.ends_ms = answer.echo_sent_ms + answer.duration_ms
        part.echo_sent_ms = answer.echo_sent_ms


def _set_donated(part: models.Part, answer: models.TokenDonation) -> None:
    if answer.echo_sent_ms > part.donated_echo_sent_ms:
        part.donated_shares = answer.shares
        part.donated_ends_ms = answer.echo_sent_ms + answer.duration_ms
        part.donated_echo_sent_ms = answer.echo_sent_ms


def _lend(
    state: core_state.State,
    peer_id: str,
    request: models.DelegationRequest,
    now_ms: float,
) -> list[models.DelegationAnswer | models.TokenDonation]:
    shares = claims_reducer.held_shares(state, now_ms)
    if not shares:
        return []
    until_ms = min(
        now_ms + const.DELEGATION_MS,
        *(claims_reducer.valid_until_ms(state, f'share/{share}', now_ms) for share in shares),
    )
    lent = models.Lent(peer_id, request.incarnation, request.sent_ms, until_ms)
    account_ids = tuple(
        account_id
        for account_id in request.account_ids
        if accounts.home_of(state, account_id, now_ms) == peer_id
        and _claim_part(state.limits.lent, account_id, lent, now_ms)
    )
    answer = models.DelegationAnswer(
        echo_sent_ms=request.sent_ms,
        echo_incarnation=request.incarnation,
        duration_ms=until_ms - now_ms,
        account_ids=account_ids,
        shares=len(shares),
        link_shares=_lend_links(state, shares, lent, now_ms),
    )
    return [answer, *_donate(state, answer, now_ms)]


def _donate(
    state: core_state.State,
    answer: models.DelegationAnswer,
    now_ms: float,
) -> list[models.DelegationAnswer | models.TokenDonation]:
    until_ms = now_ms + answer.duration_ms
    account_ids = tuple(
        account_id
        for account_id in answer.account_ids
        if reserves.donate(state, account_id, until_ms, now_ms)
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


def _lend_links(
    state: core_state.State,
    shares: list[int],
    lent: models.Lent,
    now_ms: float,
) -> int:
    """Delegate each share's part of a region's links to one instance of that region."""
    region = preference.region_of_instance(state, lent.home_id)
    near_ids = links.instances_in(state, region, now_ms)
    granted = [
        share
        for share in shares
        if links.user_of(region, share, near_ids) == lent.home_id
        and _claim_part(state.limits.lent_links, (share, region), lent, now_ms)
    ]
    return len(granted)


def _claim_part(
    lent_parts: dict[KeyT, models.Lent],
    key: KeyT,
    lent: models.Lent,
    now_ms: float,
) -> bool:
    """Note that a part is lent, unless another run of an instance still has it."""
    before = lent_parts.get(key)
    if before is not None and before.until_ms > now_ms:
        if (before.home_id, before.incarnation) != (lent.home_id, lent.incarnation):
            return False
    lent_parts[key] = lent
    return True
