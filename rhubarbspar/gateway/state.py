"""State of a gateway; the reducer changes it in place."""

import dataclasses
import math
import typing
from collections import abc

from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import budget as retry_budget
from rhubarbspar.gateway import crashes as crash_register
from rhubarbspar.gateway import fleet as gateway_fleet
from rhubarbspar.gateway import groups as server_groups
from rhubarbspar.gateway import store_replica as store_mirror
from rhubarbspar.gateway import models
from rhubarbspar.gateway import quotas as account_quotas
from rhubarbspar.gateway import rollouts as rollout_state
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers as server_views
from rhubarbspar.gateway import traffic_shifts

Record: typing.TypeAlias = (
    models.Configuration
    | models.BackendServer
    | models.RolloutOrder
    | models.RolloutStatus
    | models.Evacuation
    | models.Member
)


@dataclasses.dataclass(slots=True)
class DeclaredState:
    """What operators and backend servers declare.

    Attributes
    ----------
    evacuations
        Number of changes of the evacuated failure domains.
    """

    configuration: models.Configuration | None = None
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    evacuated_domains: set[str] = dataclasses.field(default_factory=set)
    evacuation_epoch: int = 0
    rollout_statuses: dict[str, models.RolloutStatus] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request at a backend server.

    Attributes
    ----------
    gain
        Part of the work that the server was expected to save.
    place
        Why it was expected to.
    waited
        Whether the server's slots were taken, so that its time says nothing about the work.
    subject
        What the result counts for, if a rollout is under way.
    """

    request_number: int
    attempt_number: int
    view: server_views.ServerView
    started_ms: float
    expected_ms: float
    gain: float
    place: affinity.Place
    was_queued: bool
    subject: rollout_state.ResultKey | None


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that has no final response yet.

    Attributes
    ----------
    due_ms
        The latest time of the final response.
    may_have_run
        An earlier attempt may have run.
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


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """The planned stop."""

    stop_requested_ms: float = math.inf
    closed_idle: bool = False
    stopped_listening: bool = False
    exited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times in which instances have to act, milliseconds.

    Attributes
    ----------
    stop_grace_ms
        The process is killed this long after the request to stop.
    """

    stop_grace_ms: float


@dataclasses.dataclass(slots=True)
class State:
    """Everything that a gateway knows."""

    decode: abc.Callable[[str, bytes, int], Record | None]
    bounds: Bounds
    fleet: gateway_fleet.Fleet
    budget: retry_budget.RetryBudget
    network: selection.NetworkTopology
    replica: store_mirror.StoreReplica = dataclasses.field(
        default_factory=store_mirror.StoreReplica
    )
    declared: DeclaredState = dataclasses.field(default_factory=DeclaredState)
    servers: server_views.ServerRegistry = dataclasses.field(
        default_factory=server_views.ServerRegistry
    )
    groups: server_groups.GroupCache = dataclasses.field(default_factory=server_groups.GroupCache)
    work_times: dict[str, selection.ProcessingTime] = dataclasses.field(default_factory=dict)
    region_shares: traffic_shifts.RegionShares = dataclasses.field(
        default_factory=traffic_shifts.RegionShares
    )
    object_memory: affinity.ObjectHistory = dataclasses.field(
        default_factory=affinity.ObjectHistory
    )
    quotas: account_quotas.Quotas = dataclasses.field(default_factory=account_quotas.Quotas)
    crashes: crash_register.PoisonRequestDetector = dataclasses.field(
        default_factory=crash_register.PoisonRequestDetector
    )
    rollouts: rollout_state.Rollouts = dataclasses.field(default_factory=rollout_state.Rollouts)
    pending: dict[int, PendingRequest] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    target_credits: dict[str, dict[str, float]] = dataclasses.field(default_factory=dict)
    lifecycle: Lifecycle = dataclasses.field(default_factory=Lifecycle)
    next_attempt: int = 0
    is_store_follower: bool = True

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self.lifecycle.stop_requested_ms != math.inf

    @property
    def is_ready(self) -> bool:
        """Return whether new callers are to be sent here."""
        return self.declared.configuration is not None and not self.is_stopping
