"""Peers and heartbeats."""

import dataclasses
import enum
import random
import typing

from rhubarbspar.core import events
from rhubarbspar.core import messages

_NEVER_MS: typing.Final = float('-inf')


class InstanceStatus(enum.StrEnum):
    """Whether an instance takes new callers."""

    LEAVING = 'leaving'
    LIVE = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedServer:
    """A backend server that the sender owns."""

    server_id: str
    free_slots: int
    queued: int
    busy_slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionStatistics:
    """Requests of one version on one route at the sender since it started.

    ``slow`` counts requests slower than the old version's usual latency.
    """

    service_id: str
    version: str
    path_prefix: str
    requests: int
    failures: int
    slow: int


@dataclasses.dataclass(frozen=True, slots=True)
class KnownPeer:
    """Where an instance can be reached."""

    instance_id: str
    failure_domain: str
    peer_address: str
    caller_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(messages.Message):
    """Regular report of an instance to each peer.

    The sections from ``sender`` on are ``None`` once the addressee has echoed a heartbeat that carried
    their present values. Each is sent whole until then, so that a lost heartbeat loses nothing. A
    heartbeat with ``sender`` is complete: an addressee that knows nothing of the sender needs one.

    Attributes
    ----------
    sent_ms
        Sender's monotonic time, rounded down so that statements appear older.
    echo_sent_ms
        ``sent_ms`` of the last heartbeat that the sender accepted from the addressee, or ``None``.
    echo_age_ms
        How long before it sent this the sender received the echoed heartbeat, or ``None``.
    incarnation
        Of the sender; in a heartbeat that is not complete, its short form.
    confirmed_age_ms, attested_age_ms
        Age of the sender's knowledge of the store when it sent this, rounded up, or ``None``.
    store_reached_age_ms
        Age of the last success of any store call that the sender knows of, or ``None``.
    slots
        Free, queued and busy counts of each server in the order of the last ``owned_servers``.
    adopted
        Former incarnations (``instance_id/incarnation``) whose idempotency records the sender took over.
    known_peers
        Peers that are live at the sender.
    """

    sent_ms: float
    echo_sent_ms: float | None
    echo_age_ms: float | None
    incarnation: str
    revision: int
    confirmed_age_ms: float | None = None
    store_reached_age_ms: float | None = None
    attested_age_ms: float | None = None
    sender: KnownPeer | None = None
    status: InstanceStatus | None = None
    slots: tuple[int, ...] | None = None
    owned_servers: tuple[OwnedServer, ...] | None = None
    statistics: tuple[VersionStatistics, ...] | None = None
    adopted: tuple[str, ...] | None = None
    known_peers: tuple[KnownPeer, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SentSection:
    """The present value of a section of the heartbeats to one peer.

    Attributes
    ----------
    first_sent_ms
        An echo of this or a later ``sent_ms`` shows that the peer has the value.
    """

    content: object
    first_sent_ms: float


@dataclasses.dataclass
class SentHeartbeats:
    """What the heartbeats over the present connection to a peer carried.

    Attributes
    ----------
    sent_ms
        Of the last heartbeat.
    acknowledged_ms
        ``echo_sent_ms`` of the peer's last heartbeat; minus infinity if it echoed nothing.
    sections
        By the name of the field.
    """

    sent_ms: float = _NEVER_MS
    acknowledged_ms: float = _NEVER_MS
    sections: dict[str, SentSection] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(events.Event):
    """A heartbeat has to be sent to a connected peer."""

    peer_id: str


@dataclasses.dataclass
class Peer:
    """What this instance knows of a peer.

    Attributes
    ----------
    incarnation
        Incarnation of the last connection or first heartbeat, empty before that.
    past_incarnations
        Incarnations that a later one has replaced; nothing of theirs is accepted.
    heard_ms, heard_sent_ms
        When the last accepted heartbeat arrived, and its ``sent_ms``.
    quiet_since_ms
        Start of the present silence: last heartbeat, connection, or when the peer became known.
    dialled_ms, redial_ms, failed_dials
        Last and next permitted dial, and how many brought no heartbeat.
    round_trip_ms
        Smoothed, without the time that the echo waited at the peer; 0 before the first echo.
    known_peers
        Peers that were live at the peer.
    sent
        What was sent to the peer.
    listed
        Whether the platform's list named the peer when it was last read.
    """

    known: KnownPeer
    incarnation: str = ''
    past_incarnations: tuple[str, ...] = ()
    status: InstanceStatus = InstanceStatus.LIVE
    connected: bool = False
    last_heartbeat_ms: float = _NEVER_MS
    last_heartbeat_sent_ms: float | None = None
    silent_since_ms: float = _NEVER_MS
    dialled_ms: float = _NEVER_MS
    redial_ms: float = _NEVER_MS
    failed_dials: int = 0
    round_trip_ms: float = 0.0
    revision: int = 0
    owned_servers: dict[str, OwnedServer] = dataclasses.field(default_factory=dict)
    statistics: tuple[VersionStatistics, ...] = ()
    adopted: tuple[str, ...] = ()
    known_peers: tuple[KnownPeer, ...] = ()
    sent: SentHeartbeats = dataclasses.field(default_factory=SentHeartbeats)
    listed: bool = False


@dataclasses.dataclass
class InstanceList:
    """What the platform's list of instances said.

    Attributes
    ----------
    first_read_ms, last_read_ms
        When the list was first and last read.
    absent_since_ms
        First of the successive readings that lacked an instance listed before.
    listed_ids
        Instances in the last reading.
    """

    first_read_ms: float = float('inf')
    last_read_ms: float = _NEVER_MS
    listed_ids: frozenset[str] = frozenset()
    absent_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class MembershipState:
    """This instance and its peers.

    Attributes
    ----------
    seed_peers
        Peers from the settings; never forgotten.
    generator
        Source of the jitter of redials.
    learned_ms
        When the lists of all peers were last read again.
    reported_ms, reported_peers
        The live peers at the moment of the last heartbeat.
    """

    own: KnownPeer
    incarnation: str
    status: InstanceStatus = InstanceStatus.LIVE
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    heartbeat_sent_ms: float = _NEVER_MS
    last_tick_ms: float = _NEVER_MS
    stop_requested_ms: float | None = None
    seed_peers: tuple[KnownPeer, ...] = ()
    instance_list: InstanceList = dataclasses.field(default_factory=InstanceList)
    generator: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))
    peer_lists_merged_ms: float = _NEVER_MS
    reported_ms: float = _NEVER_MS
    reported_peers: tuple[KnownPeer, ...] = ()
