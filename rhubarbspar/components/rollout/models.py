"""Data types of moves, request statistics and verdicts, and the state of the rollout component."""

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
    """Progress of a move; ``TAKEN_BACK`` means that the move was rolled back."""

    DONE = 'done'
    TAKEN_BACK = 'taken_back'
    UNDER_WAY = 'under_way'


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRecord:
    """Progress of a move as stored under ``moves/<id>``.

    ``service_id`` and ``version`` identify the rejected version even after the move has been
    removed from the configuration.
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
    """A move's record as this instance last read it.

    Attributes
    ----------
    record
        The record, or ``None`` if it is malformed.
    revision
        Store revision of the record's last change.
    first_seen_ms
        Time at which this instance first read that revision. It restarts when the store becomes
        readable again after an outage.
    """

    record: MoveRecord | None
    revision: int
    first_seen_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionKey:
    """Identifies a version of a service."""

    service_id: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteKey:
    """Identifies a route of a service."""

    service_id: str
    path_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatisticsKey:
    """Identifies the counters of a version on one route."""

    service_id: str
    version: str
    path_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict(messages.Message):
    """Rejection of a version: it gets no more work on any instance."""

    service_id: str
    version: str
    path_prefix: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class BaselineLatency:
    """Baseline latency of a route: the 95th percentile of the old version's latencies."""

    service_id: str
    path_prefix: str
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyReport(messages.Message):
    """The sender's baseline latencies, for peers that run only the new version."""

    latencies: tuple[BaselineLatency, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Counters of finished requests, and of those that failed or were slow."""

    requests: int = 0
    failures: int = 0
    slow: int = 0

    def plus(self, other: 'Counts') -> 'Counts':
        """Return the sum of both counters."""
        return Counts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def since(self, earlier: 'Counts') -> 'Counts':
        """Return the increase since an earlier value; the whole value if the counter restarted."""
        if earlier.requests > self.requests:
            return self
        return Counts(
            self.requests - earlier.requests,
            self.failures - earlier.failures,
            self.slow - earlier.slow,
        )


@dataclasses.dataclass(slots=True)
class TestWindow:
    """Requests and faults counted since the start of one test of a candidate.

    A fault is a failed request in one test, and a slow request in the other.

    Attributes
    ----------
    requests, faults
        Requests of the candidate.
    old_requests, old_faults
        Requests of the old version in the same period.
    baseline_requests, baseline_faults
        Requests of the old version over a longer time, with decay. They show the normal fault share
        while the old version gets few requests.
    accepted
        Whether a test has accepted the candidate before.
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
    failures, slow
        Requests counted for the test of failures and for the test of slow requests.
    consecutive_failures
        Failures of the candidate without a success in between.
    share
        Recorded share of the move. Both tests restart when it changes: a fault of both versions
        that begins while the candidate's share grows would look like a fault of the candidate.
    old_requests, old_seen_ms
        Requests of the old version since the move began, and the time of the last count.
    suspected
        Whether the candidate has too many faults, but the old version may have them as well.
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
    """Latencies of the old version in geometric buckets.

    The weights are halved after a number of latencies or after some time, so that recent latencies
    count more.
    """

    weights: dict[int, float] = dataclasses.field(default_factory=dict)
    total_weight: float = 0.0
    last_decay_ms: float = _NEVER_MS


@dataclasses.dataclass(slots=True)
class PeerCounts:
    """Counters last received from one incarnation of a peer.

    ``source`` is the section of the heartbeat that they were read from. As long as the peer holds
    the same object, there is nothing new to count.
    """

    incarnation: str
    counts: dict[StatisticsKey, Counts]
    source: tuple[membership_models.VersionStatistics, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLatencies:
    """Baseline latencies that a peer last reported, and the time of the report."""

    received_ms: float
    latencies: dict[RouteKey, float]


@dataclasses.dataclass(frozen=True, slots=True)
class LocalShare:
    """Share of a move in force on this instance, and the time of its last change."""

    share: float
    changed_ms: float


@dataclasses.dataclass
class RolloutState:
    """State of the rollout component: moves, statistics per version and route, and verdicts.

    Attributes
    ----------
    unix_offset_ms
        Unix time minus monotonic time, set by the daemon. Without it no deadline is checked.
    records
        Last known records by move id.
    store_revision
        Revision of the newest store answer; older answers are ignored.
    read_sent_ms
        Time at which the last successful read of all records was sent.
    read_pending, read_started_ms
        Whether a read is pending, and the time at which the last read was sent.
    read_requested, write_outcome_unknown_ms
        Whether a read is required before the next write, because a write ended without a known
        outcome, and the time at which that write ended.
    last_tick_ms
        Time of the last tick; a gap shows that the process was paused.
    writes
        Pending writes by move id.
    verdicts
        Rejected versions. They are never removed.
    verdicts_repeated_ms
        Time at which verdicts were last broadcast again.
    quotas
        Quotas of the candidates' shares by route.
    shares
        Shares in force on this instance by move id.
    counts, peer_counts
        Counters of this instance, and those last received from peers by peer id.
    histograms, peer_latencies
        Latencies of this instance by route, and the peers' baseline latencies by peer id.
    latencies_reported_ms
        Time of the last ``LatencyReport`` of this instance.
    tests
        Tests of the candidates by move id and path prefix.
    idle_since_ms
        Time since which the servers of a drain have been idle, by move id.
    servers_configuration, servers
        Configured backend servers with their services by server id, and the configuration that they
        were taken from.
    slot_limits_configuration, slot_limits
        Cached slots of the candidates' servers, ``None`` for other versions, and the configuration
        that they were computed from. The cache is cleared whenever shares, records or verdicts may
        change.
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
