"""Data of the idempotency component: decisions on requests, records of keys, handover messages."""

import dataclasses
import typing

from rhubarbspar.core import messages
from rhubarbspar.core import models


@dataclasses.dataclass(frozen=True, slots=True)
class RunHere:
    """First request with its key: the key is now recorded and the caller of ``begin`` runs it."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunAtPeer:
    """A live peer runs requests with this key: relay the request to it."""

    peer_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitFirst:
    """The first request with this key still runs; a ``Respond`` effect follows when it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """The outcome of the request is known without running it."""

    outcome: models.Outcome


Decision: typing.TypeAlias = RunHere | RunAtPeer | AwaitFirst | Decided


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixStatement:
    """The signed content of a key prefix.

    Attributes
    ----------
    incarnation_name
        ``instance_id/incarnation`` of the instance that runs requests with this prefix.
    expires_ms
        Expiry of the prefix on the monotonic clock of that incarnation.
    """

    incarnation_name: str
    expires_ms: int


@dataclasses.dataclass(slots=True)
class Record:
    """The record of a key whose first request runs or may have run.

    Attributes
    ----------
    request_digest
        Digest of service, method, target and body of the first request.
    expires_ms
        Expiry of the key's prefix on this process's monotonic clock.
    running_request_id
        Id of the first request while it runs here; empty once it has ended, or if it ran at
        another instance.
    response
        The response to replay, or ``None`` if it is not kept.
    waiting_request_ids
        Duplicates that wait for the outcome of the running request.
    """

    request_digest: bytes
    expires_ms: float
    running_request_id: str = ''
    response: models.Response | None = None
    waiting_request_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TransferredRecord:
    """A record in a handover; without a response its outcome is unknown.

    ``remaining_ms`` is the remaining lifetime of its key's prefix when the handover began.
    """

    record_id: bytes
    request_digest: bytes
    remaining_ms: float
    response: models.Response | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TransferredIncarnation:
    """An incarnation whose keys are handed over.

    ``clock_ms`` is the time on its monotonic clock when the handover began. At that time, a prefix
    that it had signed was valid for another ``expires_ms - clock_ms``.
    """

    incarnation_name: str
    clock_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsHandover(messages.Message):
    """One part of the records that a stopping instance hands over.

    Attributes
    ----------
    incarnation_name
        ``instance_id/incarnation`` of the sender.
    successor_incarnation
        The only incarnation of the receiver that may adopt the records. A later one must not: the
        earlier one may already have run requests with further keys.
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
    """The sender has adopted all records of the receiver and now runs the receiver's keys."""

    incarnation_name: str


@dataclasses.dataclass(slots=True)
class Adoption:
    """An incarnation that has stopped and whose keys this instance runs.

    Attributes
    ----------
    clock_offset_ms
        The former incarnation's monotonic time minus this process's; too low by the network delay.
    announced_until_ms
        When the last prefix of the former incarnation has expired.
    """

    clock_offset_ms: float
    announced_until_ms: float


@dataclasses.dataclass(slots=True)
class OutgoingHandover:
    """The handover of this instance's records to its successor; a process makes at most one."""

    successor_id: str
    parts: tuple[RecordsHandover, ...]
    sent_ms: float
    accepted: bool = False


@dataclasses.dataclass
class IdempotencyState:
    """Records of the keys that this incarnation runs, and their handover.

    Attributes
    ----------
    fleet_key
        Signs key prefixes; set by the daemon.
    records
        Records by ``keys.record_id``.
    expiries
        Record ids by the number of the ``EXPIRY_INTERVAL_MS`` interval in which they expire.
    response_bytes
        Sizes of the kept responses by record id, oldest first.
    responses_total_bytes
        Sum of ``response_bytes``.
    waiting_record_ids
        Record for whose outcome a request waits, by id of the request.
    adoptions
        Adopted incarnations by name. Entries are never removed, so that a late copy of a handover
        can't be adopted again.
    announced
        Adopted incarnations with prefixes that may still be valid, sorted by name.
    incoming
        Handover parts received so far, by incarnation of the sender and part number.
    handover
        The handover of this instance's own records, or ``None`` before it begins.
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
