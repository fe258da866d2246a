"""Messages and state of the limits component: token pools, shares, delegations and grants."""

import collections
import dataclasses
import enum
import typing

from rhubarbspar.core import events
from rhubarbspar.core import messages

NEVER_MS: typing.Final = float('-inf')


class Admission(enum.StrEnum):
    """Result of requesting one token of a client account; after ``WAITING`` an event follows."""

    GRANTED = 'granted'
    REFUSED = 'refused'
    WAITING = 'waiting'


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecided(events.Event):
    """A request that waited for a token was granted one or refused."""

    request_id: str
    granted: bool
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationRequest(messages.Message):
    """Request the receiver's shares of the accounts whose home is the sender.

    The receiver also delegates its shares of the links that leave the sender's region.
    """

    sent_ms: float
    incarnation: str
    account_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationRelease(messages.Message):
    """End the receiver's delegations of accounts whose home has moved away from the sender.

    The sender has stopped using them, and none of its outstanding grants depends on them.
    """

    sent_ms: float
    incarnation: str
    account_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationAnswer(messages.Message):
    """Delegate shares until ``duration_ms`` after the request was sent.

    Attributes
    ----------
    echo_sent_ms, echo_incarnation
        Time and incarnation in the request.
    shares
        Number of delegated shares of each account in ``account_ids``.
    link_shares
        Number of delegated shares of each link that leaves the region of the message's receiver.
    """

    echo_sent_ms: float
    echo_incarnation: str
    duration_ms: float
    account_ids: tuple[str, ...]
    shares: int
    link_shares: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDonation(messages.Message):
    """Donate the refill rate of the sender's full reserves for as long as a delegation lasts.

    No tokens are donated. Tokens in transit would belong to no pool, so
    that a home could spend them in addition to the whole burst.
    """

    echo_sent_ms: float
    echo_incarnation: str
    duration_ms: float
    account_ids: tuple[str, ...]
    shares: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDemand:
    """Tokens for waiting requests, which can wait ``wait_ms``, and tokens to prefetch."""

    account_id: str
    waiting_tokens: int
    prefetch_tokens: int
    wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantSettlement:
    """Tokens of a grant that were spent or returned unspent since the last settlement."""

    account_id: str
    grant_id: str
    spent_tokens: int
    returned_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest(messages.Message):
    """Request tokens from the home and settle earlier grants."""

    sent_ms: float
    incarnation: str
    demands: tuple[TokenDemand, ...]
    settlements: tuple[GrantSettlement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedTokens:
    """Tokens of one account, valid until ``duration_ms`` after the request was sent."""

    account_id: str
    grant_id: str
    tokens: int
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedTokens:
    """Number of waiting requests of one account that the home can't serve in time."""

    account_id: str
    tokens: int
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant(messages.Message):
    """Answer a token request, at once or when tokens become available."""

    echo_sent_ms: float
    echo_incarnation: str
    grants: tuple[GrantedTokens, ...]
    refusals: tuple[RefusedTokens, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimit:
    """Capacity in tokens and refill in tokens/ms that one share adds to a pool."""

    capacity_per_share: float
    refill_per_share_ms: float
    donated_refill_per_share_ms: float = 0.0


@dataclasses.dataclass
class ReceivedDelegation:
    """Shares that one holder delegated to a pool, and shares whose reserve refill it donated."""

    shares: int = 0
    ends_ms: float = NEVER_MS
    echo_sent_ms: float = NEVER_MS
    donated_shares: int = 0
    donated_ends_ms: float = NEVER_MS
    donated_echo_sent_ms: float = NEVER_MS


@dataclasses.dataclass
class OutstandingGrant:
    """Tokens granted to a peer and neither spent nor returned as far as the home knows."""

    grant_id: str
    tokens: float
    ends_ms: float


@dataclasses.dataclass
class QueuedDemand:
    """Tokens for which a peer, or a request of this instance, is queued at the home.

    ``sent_ms`` is a time of the peer's clock, ``received_ms`` of the home's. ``peer_id`` is empty
    for a request of this instance, and only then ``request_id`` is set.
    """

    peer_id: str
    sent_ms: float
    received_ms: float
    incarnation: str
    tokens: int
    deadline_ms: float
    request_id: str = ''


@dataclasses.dataclass
class Pool:
    """Token bucket of an account or region link, with the capacity and refill of delegated shares.

    Attributes
    ----------
    level
        Tokens, or bits of a link, that can be spent now.
    updated_ms
        Time of the last refill.
    delegations
        By the instance that holds the shares.
    grants
        Outstanding grants by id.
    queue
        Demands that wait for tokens, oldest first.
    """

    level: float = 0.0
    updated_ms: float | None = None
    delegations: dict[str, ReceivedDelegation] = dataclasses.field(default_factory=dict)
    grants: dict[str, OutstandingGrant] = dataclasses.field(default_factory=dict)
    queue: collections.deque[QueuedDemand] = dataclasses.field(default_factory=collections.deque)


@dataclasses.dataclass
class Reserve:
    """Token bucket of the part of this instance's shares of one account that is never delegated."""

    level: float = 0.0
    shares: int = 0
    updated_ms: float | None = None
    donated_until_ms: float = NEVER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class GivenDelegation:
    """Home and incarnation to which a share is delegated, time of its request and end."""

    home_id: str
    incarnation: str
    sent_ms: float
    until_ms: float


@dataclasses.dataclass
class HeldGrant:
    """Tokens granted to this instance by the home of their account."""

    grant_id: str
    home_id: str
    tokens: int
    received_ms: float
    ends_ms: float
    spent_tokens: int = 0


@dataclasses.dataclass
class WaitingRequest:
    """A request of this instance that waits for a token from another instance.

    ``requested_home_id`` and ``token_requested_ms`` tell where and when its token was last
    requested. ``requested_home_id`` is empty if the token is still to be requested.
    """

    request_id: str
    since_ms: float
    deadline_ms: float
    requested_home_id: str = ''
    token_requested_ms: float = NEVER_MS


@dataclasses.dataclass
class RemoteAccount:
    """Granted tokens and waiting requests of an account whose home is another instance.

    Attributes
    ----------
    demand_per_s, demand_updated_ms
        Exponentially weighted mean of the request rate, and when it was last updated.
    last_prefetch_ms
        When tokens were last prefetched.
    retry_at_ms
        When the home's last refusal expects a token to be available.
    """

    grants: list[HeldGrant] = dataclasses.field(default_factory=list)
    waiting: collections.deque[WaitingRequest] = dataclasses.field(
        default_factory=collections.deque,
    )
    demand_per_s: float = 0.0
    demand_updated_ms: float = NEVER_MS
    last_prefetch_ms: float = NEVER_MS
    retry_at_ms: float = NEVER_MS


@dataclasses.dataclass
class LimitsState:
    """Pools, reserves, delegations and homes of accounts, and pools of region links.

    Attributes
    ----------
    pools, link_pools
        By account, and by target region of the links that leave this instance's region.
    reserves, remote_accounts
        By account.
    given_delegations, given_link_delegations
        Delegations of this instance's shares, by account, and by share and source region. Ended
        entries stay until they are replaced.
    homes, homes_chosen_ms, homes_revision, home_candidates
        Home of each account, and time, configuration revision and candidates of the last choice.
    became_home_ms
        When this instance last became the home of an account or was first used as its home.
    moved_away_accounts
        Accounts whose home has moved away from here and whose delegations are still to be released.
    delegations_requested_ms
        When delegations were last requested.
    tokens_requested_ms
        When tokens were last requested, by home.
    settlements
        Settlements that are still to be sent, by home.
    last_grant_number
        Number in the id of the last grant.
    """

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    link_pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    reserves: dict[str, Reserve] = dataclasses.field(default_factory=dict)
    remote_accounts: dict[str, RemoteAccount] = dataclasses.field(default_factory=dict)
    given_delegations: dict[str, GivenDelegation] = dataclasses.field(default_factory=dict)
    given_link_delegations: dict[tuple[int, str], GivenDelegation] = dataclasses.field(
        default_factory=dict
    )
    homes: dict[str, str] = dataclasses.field(default_factory=dict)
    homes_chosen_ms: float = NEVER_MS
    homes_revision: int = 0
    home_candidates: tuple[str, ...] = ()
    became_home_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    moved_away_accounts: set[str] = dataclasses.field(default_factory=set)
    delegations_requested_ms: float = NEVER_MS
    tokens_requested_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    settlements: dict[str, list[GrantSettlement]] = dataclasses.field(default_factory=dict)
    last_grant_number: int = 0
