"""Messages, token pools, shares and delegations."""

import collections
import dataclasses
import enum
import typing

from rhubarbspar.core import events
from rhubarbspar.core import messages

NEVER_MS: typing.Final = float('-inf')


class Admission(enum.StrEnum):
    """Result of asking for a client account's token."""

    GRANTED = 'granted'
    REFUSED = 'refused'
    WAITING = 'waiting'


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecided(events.Event):
    """The decision on a waiting request."""

    request_id: str
    granted: bool
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationRequest(messages.Message):
    """Ask a holder for its shares of the accounts whose home the sender is.

    The addressee also delegates shares of the links that leave the sender's region.
    """

    sent_ms: float
    incarnation: str
    account_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationRelease(messages.Message):
    """Return the delegated parts of accounts whose home has moved away from the sender.

    The sender has stopped using them, and no grant of its needs them.
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
        From the request.
    shares
        Number of shares delegated of each account in ``account_ids``.
    link_shares
        Number of shares delegated of each link that leaves the addressee's region.
    """

    echo_sent_ms: float
    echo_incarnation: str
    duration_ms: float
    account_ids: tuple[str, ...]
    shares: int
    link_shares: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDonation(messages.Message):
    """Donate the refill of the sender's full reserves, measured like a delegation.

    The refill is donated as a rate and not as tokens: tokens under way would belong to no pool, so that a
    home could spend them in addition to the whole burst.
    """

    echo_sent_ms: float
    echo_incarnation: str
    duration_ms: float
    account_ids: tuple[str, ...]
    shares: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenDemand:
    """Tokens wanted for waiting requests, which can wait for ``wait_ms``, and as a prefetch."""

    account_id: str
    waiting_tokens: int
    prefetch_tokens: int
    wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantSettlement:
    """Tokens of a grant that were spent, or given up unspent, since the last settlement."""

    account_id: str
    grant_id: str
    spent_tokens: int
    returned_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest(messages.Message):
    """Ask the home for tokens and settle earlier grants."""

    sent_ms: float
    incarnation: str
    demands: tuple[TokenDemand, ...]
    settlements: tuple[GrantSettlement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedTokens:
    """Tokens of one account, usable until ``duration_ms`` after the request was sent."""

    account_id: str
    grant_id: str
    tokens: int
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedTokens:
    """Waiting requests of one account that the home can't serve in time."""

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
    """What one share adds to a pool."""

    capacity_per_share: float
    refill_per_share_ms: float
    donated_refill_per_share_ms: float = 0.0


@dataclasses.dataclass
class Part:
    """Shares that one holder delegated to a pool, and reserves whose refill it donated."""

    shares: int = 0
    ends_ms: float = NEVER_MS
    echo_sent_ms: float = NEVER_MS
    donated_shares: int = 0
    donated_ends_ms: float = NEVER_MS
    donated_echo_sent_ms: float = NEVER_MS


@dataclasses.dataclass
class OutstandingGrant:
    """Tokens granted to a peer that may not be spent yet."""

    grant_id: str
    tokens: float
    ends_ms: float


@dataclasses.dataclass
class QueuedDemand:
    """Tokens that a peer, or a request of this instance, waits for at the home.

    ``sent_ms`` is by the peer's clock, ``received_ms`` by that of the home.
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
    """Tokens of an account or link, made of delegated shares."""

    level: float = 0.0
    updated_ms: float | None = None
    parts: dict[str, Part] = dataclasses.field(default_factory=dict)
    grants: dict[str, OutstandingGrant] = dataclasses.field(default_factory=dict)
    queue: collections.deque[QueuedDemand] = dataclasses.field(default_factory=collections.deque)


@dataclasses.dataclass
class Reserve:
    """Tokens of the undelegated part of this instance's shares of one account."""

    level: float = 0.0
    shares: int = 0
    updated_ms: float | None = None
    donated_until_ms: float = NEVER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """Who has a delegated part, by the request of when, and until when at the latest."""

    home_id: str
    incarnation: str
    sent_ms: float
    until_ms: float


@dataclasses.dataclass
class HeldGrant:
    """Tokens granted to this instance."""

    grant_id: str
    home_id: str
    tokens: int
    received_ms: float
    ends_ms: float
    spent_tokens: int = 0


@dataclasses.dataclass
class WaitingRequest:
    """A request of this instance that waits for a token of a remote home.

    ``asked_id`` and ``asked_ms`` are of the last request for its token, ``asked_id`` empty without one.
    """

    request_id: str
    since_ms: float
    deadline_ms: float
    asked_id: str = ''
    asked_ms: float = NEVER_MS


@dataclasses.dataclass
class Wallet:
    """Tokens and waiting requests of one account at an instance that is not its home."""

    grants: list[HeldGrant] = dataclasses.field(default_factory=list)
    waiting: collections.deque[WaitingRequest] = dataclasses.field(
        default_factory=collections.deque,
    )
    demand_per_s: float = 0.0
    demand_ms: float = NEVER_MS
    prefetched_ms: float = NEVER_MS
    retry_at_ms: float = NEVER_MS


@dataclasses.dataclass
class LimitsState:
    """Pools of client accounts and region links.

    Attributes
    ----------
    pools, link_pools
        By account, and by target region of the links that leave this instance's region.
    lent, lent_links
        By account, and by share and source region; entries end by themselves.
    moved_ms
        When this instance last became the home of an account, or was taken for it.
    leaving_accounts
        Accounts whose home has moved away from here, and whose parts are still to be released.
    settlements
        Unsent settlements by home.
    """

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    link_pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    reserves: dict[str, Reserve] = dataclasses.field(default_factory=dict)
    wallets: dict[str, Wallet] = dataclasses.field(default_factory=dict)
    lent: dict[str, Lent] = dataclasses.field(default_factory=dict)
    lent_links: dict[tuple[int, str], Lent] = dataclasses.field(default_factory=dict)
    homes: dict[str, str] = dataclasses.field(default_factory=dict)
    homes_ms: float = NEVER_MS
    homes_revision: int = 0
    homes_candidates: tuple[str, ...] = ()
    moved_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving_accounts: set[str] = dataclasses.field(default_factory=set)
    asked_ms: float = NEVER_MS
    requested_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    settlements: dict[str, list[GrantSettlement]] = dataclasses.field(default_factory=dict)
    next_number: int = 0
