"""Data types of peers and heartbeats, and the state of the membership component."""

import dataclasses
import enum
import random
import typing

from rhubarbspar.core import events
from rhubarbspar.core import messages

_NEVER_MS: typing.Final = float('-inf')


class InstanceStatus(enum.StrEnum):
    """Whether an instance accepts new callers; one that is leaving does not."""

    LEAVING = 'leaving'
    LIVE = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedServer:
    """Slot counts of a backend server that the sender of a heartbeat owns."""

    server_id: str
    free_slots: int
    queued: int
    busy_slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionStatistics:
    """Counters of one version on one route at the sender since it started.

    ``slow`` counts requests that took longer than the baseline latency of the old version.
    """

    service_id: str
    version: str
    path_prefix: str
    requests: int
    failures: int
    slow: int


@dataclasses.dataclass(frozen=True, slots=True)
class KnownPeer:
    """Identity, failure domain and addresses of an instance."""

    instance_id: str
    failure_domain: str
    peer_address: str
    caller_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(messages.Message):
    """Periodic report that an instance sends to each peer.

    The fields from ``sender`` on are sections. A section is sent in full until the receiver has
    echoed a heartbeat that carried its current value, so a lost heartbeat loses nothing; afterwards
    it is ``None``. A heartbeat with ``sender`` is complete. A receiver that knows nothing about the
    sender accepts only a complete one.

    Attributes
    ----------
    sent_ms
        Monotonic time of the sender, rounded down so that the report never looks newer than it is.
    echo_sent_ms
        ``sent_ms`` of the last heartbeat that the sender accepted from the receiver, or ``None``.
    echo_age_ms
        Time between the arrival of the echoed heartbeat at the sender and ``sent_ms``, or ``None``.
    incarnation
        Incarnation of the sender; its short form in a heartbeat that is not complete.
    revision
        Revision of the configuration that the sender has in force, or 0 without one.
    confirmed_age_ms
        Time since the sender last knew its configuration to be the store's, rounded up, or
        ``None``.
    attested_age_ms
        Time since an instance in the store's failure domain last knew that the store was down,
        rounded up, or ``None``.
    store_reached_age_ms
        Time since the last successful store call that the sender knows of, or ``None``.
    slots
        Free, queued and busy counts of each server, in the order of the last ``owned_servers``.
    adopted
        Former incarnations (``instance_id/incarnation``) whose idempotency records the sender took
        over.
    known_peers
        Peers that the sender considers live.
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
    """Current value of one section in the heartbeats to one peer.

    Attributes
    ----------
    content
        Value of the section.
    first_sent_ms
        ``sent_ms`` of the first heartbeat with this value. An echo of this or a later ``sent_ms``
        shows that the peer has the value.
    """

    content: object
    first_sent_ms: float


@dataclasses.dataclass
class SentHeartbeats:
    """Heartbeats sent over the current connection to a peer, and what the peer acknowledged.

    Attributes
    ----------
    sent_ms
        ``sent_ms`` of the last heartbeat to the peer.
    acknowledged_ms
        ``echo_sent_ms`` of the peer's last heartbeat; minus infinity if it echoed nothing.
    sections
        Sections sent, by the name of the heartbeat's field.
    """

    sent_ms: float = _NEVER_MS
    acknowledged_ms: float = _NEVER_MS
    sections: dict[str, SentSection] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatDue(events.Event):
    """It is time to send a heartbeat to a connected peer."""

    peer_id: str


@dataclasses.dataclass
class Peer:
    """A peer as this instance knows it.

    Attributes
    ----------
    known
        Identity and addresses of the peer.
    incarnation
        Incarnation of the last connection or of the first heartbeat; empty before both.
    past_incarnations
        Incarnations that a later one has replaced. Their connections and heartbeats are refused.
    status, revision, owned_servers, statistics, adopted, known_peers
        Values from the peer's heartbeats, see ``Heartbeat``.
    last_heartbeat_ms, last_heartbeat_sent_ms
        Time at which the last accepted heartbeat arrived, and its ``sent_ms``.
    silent_since_ms
        Time of the last heartbeat or connection, or at which the peer became known.
    dialled_ms, redial_ms
        Time of the last dial, and the earliest time of the next one.
    failed_dials
        Number of dials since the last heartbeat.
    round_trip_ms
        Smoothed round-trip time without the time that the echo waited at the peer; 0 before the
        first echo.
    sent
        Heartbeats sent to the peer over the current connection.
    listed
        Whether the platform's instance list named the peer when it was last read.
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
    """Readings of the platform's instance list.

    Attributes
    ----------
    first_read_ms, last_read_ms
        Time of the first and the last reading.
    listed_ids
        Ids of the instances in the last reading.
    absent_since_ms
        For each instance that was listed before, the time of the first reading without it.
    """

    first_read_ms: float = float('inf')
    last_read_ms: float = _NEVER_MS
    listed_ids: frozenset[str] = frozenset()
    absent_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class MembershipState:
    """State of the membership component: this instance and its peers.

    Attributes
    ----------
    own, incarnation, status
        Identity, addresses, incarnation and status of this instance.
    heartbeat_sent_ms
        Time of the last round of heartbeats, from which the next one is counted.
    last_tick_ms
        Time of the last tick; a gap shows that the process was paused.
    seed_peers
        Peers from the settings. They are never removed.
    generator
        Random generator for the jitter of dials.
    peer_lists_merged_ms
        Time at which the ``known_peers`` of all live peers were last added to the peers.
    reported_ms, reported_peers
        Live peers as listed in the heartbeats of the time ``reported_ms``.
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
