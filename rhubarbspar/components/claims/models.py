"""Claims and their state."""

import dataclasses
import enum
import typing

from rhubarbspar.components.configuration import models as configuration_models

NEVER_MS: typing.Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One run of an instance."""

    instance_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim as the store keeps it, bound to the holder's lease.

    ``unconfirmed`` lists former holders that have not consented and may not have stopped.
    """

    holder: Holder
    lease_id: str
    unconfirmed: tuple[Holder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim record and the store revision of its last change."""

    record: ClaimRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredFormerHolders:
    """Holders that have not released a claim; kept in the store beyond their leases."""

    holders: tuple[Holder, ...]
    revision: int


@dataclasses.dataclass
class Snapshot:
    """The records below the claims prefix as last read, with this instance's later writes."""

    claims: dict[str, StoredClaim] = dataclasses.field(default_factory=dict)
    former_holders: dict[str, StoredFormerHolders] = dataclasses.field(default_factory=dict)
    registered_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Claim:
    """A claim whose write by this instance was confirmed.

    Attributes
    ----------
    lease_id
        Lease that the record is bound to; empty once the record is known to have ended.
    usable_from_ms
        End of the wait after a takeover without consent.
    releasing_since_ms
        When this instance stopped acting on the claim in order to release it.
    release_sent
        The record may be gone at any moment; the claim can't be kept any more.
    """

    lease_id: str
    revision: int
    taken_ms: float
    usable_from_ms: float
    unconfirmed: tuple[Holder, ...] = ()
    releasing_since_ms: float | None = None
    release_sent: bool = False


class WriteKind(enum.StrEnum):
    """What a transaction of this component does."""

    CONFIRM = 'confirm'
    RELEASE = 'release'
    TAKE = 'take'


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A transaction without an answer; ``unconfirmed`` is keyed by claim."""

    tag: str
    kind: WriteKind
    lease_id: str
    sent_ms: float
    unconfirmed: dict[str, tuple[Holder, ...]]


@dataclasses.dataclass
class ClaimsState:
    """Claims of this instance and its store lease.

    Attributes
    ----------
    lease_number
        Number of the last call before the lease was granted; answers to earlier renewals don't count.
    trusted_until_ms
        End of the trust in ``lease_id``; a gap in the trust ends it until the next renewal.
    read_tag
        Tag of the read under way, or empty.
    snapshot
        ``None`` until the first read; cleared of own claims that a read disproves.
    stopping
        A planned stop is under way.
    written_revision
        Store revision of this instance's last confirmed write; older reads are not used.
    free_since_ms
        Claims that nobody holds and since when.
    indexed, servers
        The configuration whose backend servers are in ``servers``.
    unlisted_since_ms
        Instances missing on the platform's list and since when.
    """

    lease_id: str = ''
    lease_call_number: int = 0
    lease_sent_ms: float = NEVER_MS
    valid_until_ms: float = NEVER_MS
    registered_ms: float | None = None
    held: dict[str, Claim] = dataclasses.field(default_factory=dict)
    pending_write: PendingWrite | None = None
    last_plan_ms: float = NEVER_MS
    read_tag: str = ''
    read_sent_ms: float = NEVER_MS
    read_due_ms: float = NEVER_MS
    snapshot: Snapshot | None = None
    snapshot_sent_ms: float = NEVER_MS
    stopping: bool = False
    free_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    unlisted_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    servers_configuration: configuration_models.Configuration | None = None
    servers: dict[str, configuration_models.BackendServer] = dataclasses.field(
        default_factory=dict,
    )
    last_call_number: int = 0
    written_revision: int = 0
