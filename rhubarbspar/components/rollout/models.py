"""Moves, statistics and verdicts."""

import dataclasses
import enum
import typing
from collections import abc

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import messages
from rhubarbspar.helpers import quota

_NEVER_MS: typing.Final = float('-inf')


class MoveState(enum.StrEnum):
    """Progress of a move."""

    DONE = 'done'
    TAKEN_BACK = 'taken_back'
    UNDER_WAY = 'under_way'


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRecord:
    """A move's progress as stored in ``moves/<id>``.

    ``service_id`` and ``version`` keep a verdict known after its move left the configuration.
    """

    move_id: str
    state: MoveState
    share: float
    reason: str
    changed_unix_s: float
    service_id: str = ''
    version: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CachedRecord:
    """What this instance last read of a record.

    Attributes
    ----------
    record
        ``None`` if it is malformed.
    revision
        Store revision of its last change.
    seen_ms
        When this instance first saw that revision, or since when the store is readable again.
    """

    record: MoveRecord | None
    revision: int
    first_seen_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionKey:
    """A version of a service."""

    service_id: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteKey:
    """A route of a service."""

    service_id: str
    path_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatisticsKey:
    """A version on one route."""

    service_id: str
    version: str
    path_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict(messages.Message):
    """The version is bad and gets no more work."""

    service_id: str
    version: str
    path_prefix: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class BaselineLatency:
    """The latency that 95% of the old version's requests on a route do not exceed."""

    service_id: str
    path_prefix: str
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyReport(messages.Message):
    """The sender's usual latencies, for peers that run only the new version."""

    latencies: tuple[BaselineLatency, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Finished requests and how many of them failed or were slow."""

    requests: int = 0
    failures: int = 0
    slow: int = 0

    def plus(self, other: 'Counts') -> 'Counts':
        """Return the sum."""
        return Counts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def since(self, earlier: 'Counts') -> 'Counts':
        """Return the growth; all of it if the counter restarted."""
        if earlier.requests > self.requests:
            return self
        return Counts(
            self.requests - earlier.requests,
            self.failures - earlier.failures,
            self.slow - earlier.slow,
        )


@dataclasses.dataclass(slots=True)
class TestWindow:
    """Requests since the last acceptance, of which some had a fault (failed, or were slow).

    ``old`` counts the old version's requests in the same period. ``baseline`` counts them beyond it, with
    decay: it shows which fault share is normal while the old version gets few requests.
    """

    requests: int = 0
    faults: int = 0
    old_requests: int = 0
    old_faults: int = 0
    baseline_requests: int = 0
    baseline_faults: int = 0
    accepted: bool = False


@dataclasses.dataclass(slots=True)
class RouteTest:
    """Tests of a candidate on one route.

    Attributes
    ----------
    share
        Recorded share of the move. The windows restart when it changes: a common fault that begins while
        the candidate's part grows would look like a fault of the candidate.
    old_requests, old_seen_ms
        Requests of the old version since the move began, and when the last one was counted.
    suspected
        The candidate has too many faults, but so may have the old version at the same time.
    """

    failures: TestWindow = dataclasses.field(default_factory=TestWindow)
    slow: TestWindow = dataclasses.field(default_factory=TestWindow)
    consecutive_failures: int = 0
    share: float = 0.0
    old_requests: int = 0
    old_seen_ms: float = _NEVER_MS
    suspected: bool = False


@dataclasses.dataclass(slots=True)
class LatencyHistogram:
    """Old latencies in buckets of geometric width; their weights halve with count and time."""

    weights: dict[int, float] = dataclasses.field(default_factory=dict)
    total_weight: float = 0.0
    decayed_ms: float = _NEVER_MS


@dataclasses.dataclass(slots=True)
class PeerCounts:
    """Counters last received from one incarnation of a peer.

    ``source`` is the part of the heartbeat they come from: the same object brings nothing new.
    """

    incarnation: str
    counts: dict[StatisticsKey, Counts]
    source: tuple[membership_models.VersionStatistics, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLatencies:
    """A peer's last report of usual latencies."""

    received_ms: float
    latencies: dict[RouteKey, float]


@dataclasses.dataclass(frozen=True, slots=True)
class LocalShare:
    """The candidate share in force at this instance."""

    share: float
    changed_ms: float


@dataclasses.dataclass
class RolloutState:
    """Moves, statistics per version and route, and verdicts.

    Attributes
    ----------
    unix_offset_ms
        Unix time less monotonic time, set by the daemon; without it no deadline is judged.
    records
        Last known records by move.
    store_revision
        Revision of the newest store answer; older answers are ignored.
    read_sent_ms
        When the last successful read of all records was sent.
    reading, reading_since_ms
        Whether a read is pending, and when the last one was sent.
    read_requested, unknown_since_ms
        A write ended without a known outcome at that time; no further write before a later read.
    ticked_ms
        Time of the last tick; a gap shows that the process was paused.
    writes
        Pending writes by move.
    verdicts
        Bad versions; never removed.
    indexed, servers
        The configured backend servers with their services, and the configuration they are from.
    limited, slot_limits
        Slots of candidates' servers, ``None`` for other versions, and the configuration they are from;
        cleared whenever shares, records or verdicts may have changed.
    """

    unix_offset_ms: float | None = None
    records: dict[str, CachedRecord] = dataclasses.field(default_factory=dict)
    store_revision: int = 0
    read_sent_ms: float = _NEVER_MS
    read_pending: bool = False
    read_started_ms: float = _NEVER_MS
    read_requested: bool = False
    write_outcome_unknown_ms: float = _NEVER_MS
    last_tick_ms: float = _NEVER_MS
    writes: dict[str, MoveRecord] = dataclasses.field(default_factory=dict)
    verdicts: dict[VersionKey, Verdict] = dataclasses.field(default_factory=dict)
    verdicts_repeated_ms: float = _NEVER_MS
    quotas: dict[RouteKey, quota.StrictQuota] = dataclasses.field(default_factory=dict)
    shares: dict[str, LocalShare] = dataclasses.field(default_factory=dict)
    counts: dict[StatisticsKey, Counts] = dataclasses.field(default_factory=dict)
    peer_counts: dict[str, PeerCounts] = dataclasses.field(default_factory=dict)
    histograms: dict[RouteKey, LatencyHistogram] = dataclasses.field(default_factory=dict)
    peer_latencies: dict[str, PeerLatencies] = dataclasses.field(default_factory=dict)
    latencies_reported_ms: float = _NEVER_MS
    tests: dict[str, dict[str, RouteTest]] = dataclasses.field(default_factory=dict)
    idle_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    servers_configuration: configuration_models.Configuration | None = None
    servers: dict[str, tuple[str, configuration_models.BackendServer]] = dataclasses.field(
        default_factory=dict,
    )
    slot_limits_configuration: configuration_models.Configuration | None = None
    slot_limits: dict[VersionKey, abc.Mapping[str, int] | None] = dataclasses.field(
        default_factory=dict,
    )
