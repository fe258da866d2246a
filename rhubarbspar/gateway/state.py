"""State of a gateway; the reducer changes it in place."""

import dataclasses
import math
import typing
from collections import abc

from rhubarbspar.gateway import const
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.limits import budget as retry_budget
from rhubarbspar.gateway.limits import quotas as account_quotas
from rhubarbspar.gateway.membership import fleet as gateway_fleet
from rhubarbspar.gateway.rollouts import rollouts as rollout_state
from rhubarbspar.gateway.rollouts import version_evidence
from rhubarbspar.gateway.routing import affinity
from rhubarbspar.gateway.routing import crashes as poison_requests
from rhubarbspar.gateway.routing import groups as server_groups
from rhubarbspar.gateway.routing import load_reports as server_loads
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.routing import server_links
from rhubarbspar.gateway.routing import servers as server_views
from rhubarbspar.gateway.routing import traffic_shifts
from rhubarbspar.gateway.scheduling import scheduler as request_scheduler
from rhubarbspar.gateway.store import store_replica
from rhubarbspar.gateway.usage import state as usage_state

Record: typing.TypeAlias = (
    models.Configuration
    | models.BackendServer
    | models.RolloutRequest
    | models.RolloutStatus
    | models.Evacuation
    | models.Member
)


@dataclasses.dataclass(slots=True)
class DeclaredState:
    """Decoded records of the store, and what they put in force.

    Attributes
    ----------
    records
        The last readable record of each key.
    evacuation_epoch
        Number of changes of ``evacuated_domains``.
    rollout_statuses
        The recorded progress of each service's rollout.
    """

    configuration: models.Configuration | None = None
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    evacuated_domains: set[str] = dataclasses.field(default_factory=set)
    evacuation_epoch: int = 0
    rollout_statuses: dict[str, models.RolloutStatus] = dataclasses.field(default_factory=dict)

    def may_get_requests(self, view: server_views.ServerView) -> bool:
        """Return whether a server is neither leaving nor in an evacuated failure domain.

        It may say in its registration or in its responses that it is leaving.
        """
        if view.leaving or view.server.draining:
            return False
        return view.server.failure_domain not in self.evacuated_domains


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt to serve a request at a backend server.

    Attributes
    ----------
    request_number, attempt_number
        Numbers of the request and of the attempt, each unique within the process.
    usual_ms
        Expected time if the server were as fast as others.
    gain
        Share of the processing time that the server was expected to save, because it has
        recently handled the object and so has it cached.
    place
        Why the server was expected to have the object cached.
    was_queued
        Whether all slots were taken at the start, so that the elapsed time includes time in the
        queue and does not show the processing time.
    result_key
        The version and route whose results include this one, if a rollout is under way.
    forwarder
        Peer that passes the attempt on to the server; ``None`` if it is sent directly.
    is_running
        Whether the attempt counts as running at the server.
    counted_late
        Whether the results of its version include it as late already.
    noted_silent
        Whether its server counts as silent because of it already.
    wait_ms
        Expected time in the queue of the server.
    """

    request_number: int
    attempt_number: int
    view: server_views.ServerView
    started_ms: float
    expected_ms: float
    usual_ms: float
    gain: float
    place: affinity.Place
    was_queued: bool
    result_key: version_evidence.ResultKey | None
    forwarder: gateway_fleet.Peer | None = None
    is_running: bool = True
    counted_late: bool = False
    noted_silent: bool = False
    wait_ms: float = 0

    def release(self) -> None:
        """Count the attempt as running no more, at its server and its forwarder."""
        if not self.is_running:
            return
        self.is_running = False
        self.view.running = max(0, self.view.running - 1)
        if self.forwarder is not None:
            self.forwarder.forwards_running -= 1


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that has no final response yet.

    Attributes
    ----------
    due_ms
        Deadline of the final response.
    run_count
        Attempts that a server may have run.
    send_count
        Attempts that were started.
    may_have_run
        Whether a server may have run an earlier attempt.
    silent_attempt
        An earlier attempt that goes on beside the current one.
    """

    request: models.Request
    route: models.Route
    account: models.ClientAccount | None
    service_id: str
    arrived_ms: float
    due_ms: float
    current_attempt: Attempt | None = None
    tried_server_ids: list[str] = dataclasses.field(default_factory=list)
    run_count: int = 0
    send_count: int = 0
    may_have_run: bool = False
    silent_attempt: Attempt | None = None

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """Return the attempts under way."""
        candidates = (self.current_attempt, self.silent_attempt)
        return tuple(attempt for attempt in candidates if attempt is not None)

    def end_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt; a silent one becomes the current one if it is the only one left."""
        rest = [candidate for candidate in self.attempts if candidate is not attempt]
        self.current_attempt = rest[0] if rest else None
        self.silent_attempt = None


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """An attempt that this instance passes on for a peer, and when it is given up."""

    forwarded: models.ForwardedAttempt
    view: server_views.ServerView
    due_ms: float


@dataclasses.dataclass(slots=True)
class PartialSnapshot:
    """Parts of a snapshot of the store that have come from a peer."""

    revision: int
    last_key: str = ''
    records: list[events.RecordRead] = dataclasses.field(default_factory=list)

    def add(self, part: messages.StoreSnapshotPart) -> bool:
        """Add a part; return whether it follows the last one."""
        if (part.revision, part.after_key) != (self.revision, self.last_key):
            return False
        for record in part.records:
            self.records.append(events.RecordRead(record.key, record.revision, record.content))
            self.last_key = record.key
        return True


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """Progress of the planned stop; ``stop_requested_ms`` is infinite until a stop is requested."""

    stop_requested_ms: float = math.inf
    closed_idle: bool = False
    stopped_listening: bool = False
    exited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The time bounds from the settings, milliseconds.

    Attributes
    ----------
    stop_grace_ms
        Time from the request to stop until the process is killed.
    """

    stop_grace_ms: float


@dataclasses.dataclass(slots=True)
class State:
    """The whole state of a gateway.

    Attributes
    ----------
    decode
        Returns the record of a key, content and revision, or ``None`` for a key of no interest.
    network
        Regions of the failure domains and round trips to them.
    processing_times
        Usual time of each route at a server without a queue.
    pending, attempts
        Requests without a final response, and attempts under way, by number.
    scheduler
        Requests that wait for capacity, and the urgencies at each service.
    forwards
        Attempts under way for peers, by number.
    links
        Links of this instance to the backend servers.
    target_credits
        Credits of the services of each route with several targets (weighted round robin).
    partial_snapshots
        Snapshots of the store that are arriving, by peer.
    is_store_follower
        Whether this instance watches the store itself.
    limits_updated_ms
        When the shares of the servers' rate limits were last updated.
    usage
        Usage reports; ``None`` in a deployment without them.
    """

    decode: abc.Callable[[str, bytes, int], Record | None]
    bounds: Bounds
    fleet: gateway_fleet.Fleet
    budget: retry_budget.RetryBudget
    network: selection.NetworkTopology
    replica: store_replica.StoreReplica = dataclasses.field(
        default_factory=store_replica.StoreReplica
    )
    declared: DeclaredState = dataclasses.field(default_factory=DeclaredState)
    servers: server_views.ServerRegistry = dataclasses.field(
        default_factory=server_views.ServerRegistry
    )
    groups: server_groups.GroupCache = dataclasses.field(default_factory=server_groups.GroupCache)
    processing_times: dict[str, selection.ProcessingTime] = dataclasses.field(default_factory=dict)
    region_shares: traffic_shifts.RegionShares = dataclasses.field(
        default_factory=traffic_shifts.RegionShares
    )
    object_history: affinity.ObjectHistory = dataclasses.field(
        default_factory=affinity.ObjectHistory
    )
    load_reports: server_loads.LoadReports = dataclasses.field(
        default_factory=server_loads.LoadReports
    )
    quotas: account_quotas.Quotas = dataclasses.field(default_factory=account_quotas.Quotas)
    crashes: poison_requests.PoisonRequestDetector = dataclasses.field(
        default_factory=poison_requests.PoisonRequestDetector
    )
    rollouts: rollout_state.Rollouts = dataclasses.field(default_factory=rollout_state.Rollouts)
    scheduler: request_scheduler.Scheduler = dataclasses.field(
        default_factory=request_scheduler.Scheduler
    )
    pending: dict[int, PendingRequest] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    forwards: dict[int, Forward] = dataclasses.field(default_factory=dict)
    partial_snapshots: dict[str, PartialSnapshot] = dataclasses.field(default_factory=dict)
    links: server_links.ServerLinks = dataclasses.field(default_factory=server_links.ServerLinks)
    target_credits: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    lifecycle: Lifecycle = dataclasses.field(default_factory=Lifecycle)
    last_attempt_number: int = 0
    is_store_follower: bool = True
    limits_updated_ms: float = -math.inf
    usage: usage_state.UsageState | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self.lifecycle.stop_requested_ms != math.inf

    @property
    def stop_ends_ms(self) -> float:
        """Return when the process exits at the latest; infinity until a stop is requested."""
        grace_ms = self.bounds.stop_grace_ms - const.STOP_EXIT_MARGIN_MS
        return self.lifecycle.stop_requested_ms + grace_ms

    @property
    def is_ready(self) -> bool:
        """Return whether look-ups and readiness checks offer this instance to callers."""
        return self.declared.configuration is not None and not self.is_stopping
