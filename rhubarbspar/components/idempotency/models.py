"""Idempotency keys and records."""

import dataclasses
import typing

from rhubarbspar.core import messages
from rhubarbspar.core import models


@dataclasses.dataclass(frozen=True, slots=True)
class RunHere:
    """First request with this key: the key is recorded, the caller of ``begin`` runs it once."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAtPeer:
    """Another live instance is named in the key; pass the request to it."""

    peer_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitFirst:
    """The first request with this key still runs; an ``Respond`` follows when it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The outcome is already known."""

    outcome: models.Outcome


Decision: typing.TypeAlias = RunHere | RunAtPeer | AwaitFirst | Decided


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixStatement:
    """What a key prefix states.

    Attributes
    ----------
    incarnation_name
        ``instance_id/incarnation`` of the instance that runs requests with this prefix.
    expires_ms
        End of the prefix on the monotonic clock of that incarnation.
    """

    incarnation_name: str
    expires_ms: int


@dataclasses.dataclass(slots=True)
class Record:
    """A key that may have run.

    Attributes
    ----------
    request_digest
        Digest of service, method, target and body of the first request.
    expires_ms
        End of the prefix on this process's monotonic clock.
    running_request_id
        The request that runs, or empty once it has ended or if it ran at another instance.
    response
        The response to replay, if it is kept.
    waiting_request_ids
        Duplicates that wait for the response.
    """

    request_digest: bytes
    expires_ms: float
    running_request_id: str = ''
    response: models.Response | None = None
    waiting_request_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TransferredRecord:
    """A record on its way to a successor; without a response the outcome is unknown.

    ``remaining_ms`` is the lifetime left when the hand-over began.
    """

    record_id: bytes
    request_digest: bytes
    remaining_ms: float
    response: models.Response | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TransferredIncarnation:
    """An incarnation whose keys are handed over.

    ``clock_ms`` is its monotonic clock when the hand-over began; a prefix with an expiry has
    ``expires_ms - clock_ms`` left.
    """

    incarnation_name: str
    clock_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsHandover(messages.Message):
    """One part of the records of a stopping instance.

    Attributes
    ----------
    incarnation_name
        ``instance_id/incarnation`` of the sender.
    successor_incarnation
        The only incarnation of the addressee that may take the records over. A later one must not:
        the earlier one may already have run further keys.
    part_number, part_count
        Parts are numbered from 0.
    incarnations
        The sender and the incarnations it had adopted itself; the same in all parts.
    """

    incarnation_name: str
    successor_incarnation: str
    part_number: int
    part_count: int
    incarnations: tuple[TransferredIncarnation, ...]
    records: tuple[TransferredRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsAccepted(messages.Message):
    """The addressee's records are complete at the sender, which now runs its keys."""

    incarnation_name: str


@dataclasses.dataclass(slots=True)
class Adoption:
    """A former incarnation whose keys this instance runs.

    Attributes
    ----------
    clock_offset_ms
        Add to this process's monotonic time for the former incarnation's; lags by the network delay.
    announced_until_ms
        No prefix of the former incarnation is valid afterwards.
    """

    clock_offset_ms: float
    announced_until_ms: float


@dataclasses.dataclass(slots=True)
class OutgoingHandover:
    """The hand-over of this instance's records; at most one in its life."""

    successor_id: str
    parts: tuple[RecordsHandover, ...]
    sent_ms: float
    accepted: bool = False


@dataclasses.dataclass
class IdempotencyState:
    """Records of this incarnation.

    Attributes
    ----------
    fleet_key
        Signs key prefixes; set by the daemon.
    records
        By ``keys.record_id``.
    expiries
        Record ids by the interval in which they expire.
    stored_bytes
        Sizes of the kept responses by record id, oldest first.
    waiting
        Record id for which a request waits.
    adoptions
        Never removed, so that a late copy of a hand-over cannot be adopted again.
    announced
        The adopted incarnations with prefixes that may still be valid, sorted.
    incoming
        Parts received so far, by sender and part number.
    """

    fleet_key: bytes = b''
    records: dict[bytes, Record] = dataclasses.field(default_factory=dict)
    expiries: dict[int, set[bytes]] = dataclasses.field(default_factory=dict)
    response_bytes: dict[bytes, int] = dataclasses.field(default_factory=dict)
    responses_total_bytes: int = 0
    waiting_record_ids: dict[str, bytes] = dataclasses.field(default_factory=dict)
    adoptions: dict[str, Adoption] = dataclasses.field(default_factory=dict)
    announced: tuple[str, ...] = ()
    incoming: dict[str, dict[int, RecordsHandover]] = dataclasses.field(default_factory=dict)
    handover: OutgoingHandover | None = None
