"""Keep client accounts within rate and burst, and region links within their bandwidth.

Each instance holds claims of shares. The part of a share that can be delegated fills a token bucket
at the account's home; the holder keeps the rest as its reserve. No more than burst + rate x t
tokens are spent over any interval t, because:

- Each part of a share is in at most one bucket at a time. A holder delegates it to another home, or
  to another incarnation of an instance, only after the previous delegation has ended. The home
  stops using it first. No delegation outlasts the validity of the holder's claim, and only then
  another instance can take over the share. So the refill rates of all buckets sum up to the rate at
  most.
- A bucket never refills beyond the capacity of its delegations less its outstanding grants, and
  grants end before the delegations that cover them. So the unspent tokens and outstanding grants of
  all buckets sum up to the burst at most.
- A new delegation brings capacity and refill, but no tokens.
"""

import math

from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import delegation
from rhubarbspar.components.limits import home
from rhubarbspar.components.limits import links
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import remote_accounts
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Apply one event to the state and return the effects."""
    match event:
        case events.Tick():
            return [
                *delegation.request_when_due(state, now_ms),
                *delegation.release_moved_accounts(state, now_ms),
                *home.serve_queues(state, home.queued_account_ids(state), now_ms),
                *remote_accounts.tick(state, now_ms),
            ]
        case events.PeerConnected(peer_id):
            remote_accounts.forget_token_requests(state, peer_id)
        case events.MessageReceived(peer_id, models.DelegationRequest() as request):
            return delegation.answer_request(state, peer_id, request, now_ms)
        case events.MessageReceived(
            peer_id, (models.DelegationAnswer() | models.TokenDonation()) as answer
        ):
            delegation.apply_answer(state, peer_id, answer, now_ms)
            return home.serve_queues(state, home.queued_account_ids(state), now_ms)
        case events.MessageReceived(peer_id, models.DelegationRelease() as release):
            delegation.end_released_delegations(state, peer_id, release, now_ms)
        case events.MessageReceived(peer_id, models.TokenRequest() as demand):
            return home.answer_request(state, peer_id, demand, now_ms)
        case events.MessageReceived(peer_id, models.TokenGrant() as grant):
            return remote_accounts.apply_grant(state, peer_id, grant, now_ms)
    return []


def admit(
    state: core_state.State,
    account_id: str,
    request_id: str,
    now_ms: float,
    deadline_ms: float = math.inf,
) -> tuple[models.Admission, list[effects.Effect]]:
    """Request one token of an account; after ``WAITING`` an ``AdmissionDecided`` event follows.

    The event follows early enough for the request to run before its deadline.
    """
    until_ms = max(now_ms + const.HOME_TIMEOUT_MS, deadline_ms - const.RUN_MARGIN_MS)
    if accounts.find_account(state, account_id) is None:
        return models.Admission.REFUSED, []
    if accounts.home_instance_id(state, account_id, now_ms) == state.membership.own.instance_id:
        return home.admit_local(state, account_id, request_id, now_ms, until_ms), []
    return remote_accounts.admit_remote(state, account_id, request_id, now_ms, until_ms)


def retry_after_ms(state: core_state.State, account_id: str, now_ms: float) -> float:
    """Return the expected time until the account has a token, ms."""
    if accounts.home_instance_id(state, account_id, now_ms) != state.membership.own.instance_id:
        return remote_accounts.retry_after_ms(state, account_id, now_ms)
    pool = accounts.refilled_pool(state, account_id, now_ms)
    expected_ms = home.expected_wait_ms(state, account_id, pool, now_ms)
    return min(expected_ms, const.RETRY_AFTER_MAX_MS)


def take_link_bits(
    state: core_state.State,
    source_region: str,
    target_region: str,
    size_bits: int,
    now_ms: float,
) -> bool:
    """Take bits of the link between two regions; return whether the message may be sent.

    Only instances of the source region can take bits. Traffic without a configured link is not
    limited.
    """
    return links.take_bits(state, source_region, target_region, size_bits, now_ms)


def return_link_bits(
    state: core_state.State,
    source_region: str,
    target_region: str,
    size_bits: int,
    now_ms: float,
) -> None:
    """Put back bits that were taken and not used."""
    links.return_bits(state, source_region, target_region, size_bits, now_ms)


def home_instance_id(state: core_state.State, account_id: str, now_ms: float) -> str:
    """Return the id of the instance that keeps the account's token pool."""
    return accounts.home_instance_id(state, account_id, now_ms)
