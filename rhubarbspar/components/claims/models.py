"""Data of the claims component: store records, held claims and the pending transaction."""

import dataclasses
import enum
import typing

from rhubarbspar.components.configuration import models as configuration_models

NEVER_MS: typing.Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of an instance, as the owner of a claim."""

    instance_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim's record in the store, which is bound to the holder's lease.

    ``unconfirmed`` lists former holders that did not release the claim and may still be using it.
    """

    holder: Holder
    lease_id: str
    unconfirmed: tuple[Holder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim record with the store revision of its last change."""

    record: ClaimRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredFormerHolders:
    """The holders that have not released a claim; this record outlives their leases."""

    holders: tuple[Holder, ...]
    revision: int


@dataclasses.dataclass
class Snapshot:
    """All claim records as last read, updated by this instance's later writes.

    Attributes
    ----------
    claims, former_holders
        Records by name of the claim.
    registered_ids
        Instances that hold a lease.
    """

    claims: dict[str, StoredClaim] = dataclasses.field(default_factory=dict)
    former_holders: dict[str, StoredFormerHolders] = dataclasses.field(default_factory=dict)
    registered_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Claim:
    """A claim that the store has confirmed for this instance.

    Attributes
    ----------
    lease_id
        Lease that the record is bound to; empty once the record is known to have ended.
    revision
        Store revision of the record.
    taken_ms
        When this instance learned that it holds the claim.
    usable_from_ms
        End of the takeover wait, or ``taken_ms`` if all former holders had released the claim.
    unconfirmed
        Former holders that did not release the claim and may still be using it.
    releasing_since_ms
        When this instance stopped using the claim in order to release it, or ``None``.
    release_sent
        Whether the release was sent: the record may be deleted at any time, so that the release
        can't be cancelled any more.
    """

    lease_id: str
    revision: int
    taken_ms: float
    usable_from_ms: float
    unconfirmed: tuple[Holder, ...] = ()
    releasing_since_ms: float | None = None
    release_sent: bool = False


class WriteKind(enum.StrEnum):
    """What a transaction does with its claims."""

    CONFIRM = 'confirm'
    RELEASE = 'release'
    TAKE = 'take'


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A transaction that the store has not answered; ``unconfirmed`` is by name of the claim."""

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
    lease_id
        Store lease of this instance, or empty.
    lease_call_number
        Number of the last store call before the lease was granted; answers to renewals with a
        lower number belong to an earlier lease and are ignored.
    lease_sent_ms
        When the last grant or renewal was sent.
    valid_until_ms
        Until when this instance counts its lease as valid. Once passed, only a renewal extends it.
    registered_ms
        When this instance wrote its presence record, or ``None`` if it has to write it.
    held
        Held claims by name.
    last_plan_ms
        When transactions were last planned; minus infinity to plan at the next tick.
    read_tag
        Tag of the read without an answer, or empty.
    snapshot
        ``None`` until the first read, and from a write that did not succeed until the next read.
    stopping
        Whether a planned stop has begun.
    free_since_ms
        Claims without a holder, and since when.
    unlisted_since_ms
        Former holders missing from the platform's instance list, and since when.
    servers_configuration, servers
        Backend servers by id, and the configuration they were collected from.
    last_call_number
        Number in the tag of the last store call.
    written_revision
        Store revision of this instance's last confirmed write; older reads are not used.
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
