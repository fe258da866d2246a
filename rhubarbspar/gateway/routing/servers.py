"""State of the backend servers as an instance knows it: declaration, load, failures and slowdown.

Patterns: outlier ejection with exponential backoff, exponentially weighted moving averages, paced
requests to cold servers.
"""

import dataclasses
import math
import typing

from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.limits import rate_shares
from rhubarbspar.gateway.routing import idle_connections
from rhubarbspar.gateway.routing import overload as server_overload

# A failed server is ejected for this time, doubled with each consecutive ejection.
EJECTION_MIN_MS: typing.Final = 500
EJECTION_MAX_MS: typing.Final = 4000
# Time constant with which the weight of a load report decays.
REPORT_DECAY_MS: typing.Final = 600
# Time constant with which a reported slowness loses its weight. Servers change it many times a
# second; 3 s served fewer requests than no slowness at all (docs/design/server_selection.md).
SLOWNESS_DECAY_MS: typing.Final = 100
SLOWNESS_MIN: typing.Final = 0.25
SLOWNESS_MAX: typing.Final = 8.0
# A report older than this does not exclude a server that was full.
FULL_REPORT_MS: typing.Final = 250
# Weight of the newest sample in the averages of failures and slowdown.
FAILURE_WEIGHT: typing.Final = 0.15
SLOWDOWN_WEIGHT: typing.Final = 0.15
SLOWDOWN_MIN: typing.Final = 0.5
SLOWDOWN_MAX: typing.Final = 8.0
# Weight of the newest response in the average error of the expected times, and the bounds of it.
LATENESS_WEIGHT: typing.Final = 0.15
LATENESS_MIN: typing.Final = 1.0
LATENESS_MAX: typing.Final = 3.0
# Time constant with which the failure rate decays.
FAILURE_DECAY_MS: typing.Final = 4000
# A server whose registration lapsed in a store outage is removed this long after the settling time
# that follows the outage, unless it registers again.
LAPSE_MARGIN_MS: typing.Final = 200
# A server that has answered within this time is alive, even if its registration has lapsed.
RECENT_ANSWER_MS: typing.Final = 5000


@dataclasses.dataclass(slots=True)
class ServerView:
    """State of a backend server as this instance knows it.

    Attributes
    ----------
    running
        Requests of this instance that are in flight at the server.
    other_requests
        Requests from elsewhere at the last load report.
    slowdown
        Processing time of the server, as a multiple of the typical time of its routes.
    slowness
        Slowness in the last response to this instance, as a multiple of the usual time.
    slowness_ms
        When the server sent it.
    lateness
        Response time of the server, queue included, as a multiple of the expected time.
    deadline_missed_ms
        When a request at the server last passed its deadline.
    failure_rate
        Moving average of failed attempts, 0 to 1, at ``failure_rate_ms``.
    last_answer_ms
        When the server last answered an attempt of this instance.
    answered_elsewhere_ms
        When the server last answered another instance, by the reports of the peers.
    remove_at_ms
        When a server whose registration has lapsed is removed; infinity otherwise.
    cold_share
        Share of the rate that the cold server takes from all instances; ``None`` if its service
        declares none.
    idle
        Connections of this instance that are expected to be open and idle.
    full_load
        Load at which the server last refused a request; infinity if it never did.
    limit
        Share of the rate limit that the server named in its last response; ``None`` without one.
    limit_reported_ms
        When the server last told this instance or a peer whether it has a limit.
    leaving
        Whether the server has said in a response that it is leaving.
    turned_away_until_ms
        Until then the server wants no requests of this instance.
    overload
        Detector of a standing queue at the server.
    """

    server: models.BackendServer
    cold_until_ms: float
    running: int = 0
    other_requests: float = 0
    reported_ms: float = -math.inf
    slowdown: float = 1
    slowness: float = 1
    slowness_ms: float = -math.inf
    lateness: float = 1
    deadline_missed_ms: float = -math.inf
    failure_rate: float = 0
    failure_rate_ms: float = -math.inf
    ejected_until_ms: float = -math.inf
    consecutive_ejections: int = 0
    last_answer_ms: float = -math.inf
    answered_elsewhere_ms: float = -math.inf
    remove_at_ms: float = math.inf
    cold_share: rate_shares.RateShare | None = None
    slots: int = 1
    idle: idle_connections.IdleConnections = dataclasses.field(
        default_factory=idle_connections.IdleConnections
    )
    full_load: float = math.inf
    limit: rate_shares.RateShare | None = None
    limit_reported_ms: float = -math.inf
    leaving: bool = False
    turned_away_until_ms: float = -math.inf
    overload: server_overload.StandingQueueDetector = dataclasses.field(
        default_factory=server_overload.StandingQueueDetector
    )

    def apply_declaration(self, server: models.BackendServer, now_ms: float) -> None:
        """Replace the declaration by a newer one of the same incarnation."""
        self.server = server
        self.slots = server.slots
        self.remove_at_ms = math.inf
        self.cold_until_ms = max(self.cold_until_ms, now_ms + server.cold_ms)

    def record_load_report(self, load: events.LoadReport, now_ms: float) -> None:
        """Record the load that a response reports, without the requests of this instance."""
        self.slots = max(1, load.slots)
        # The server still counts the request that this response answers as running.
        self.other_requests = max(0, load.running + load.waiting - self.running)
        self.reported_ms = now_ms
        if load.slowness is not None:
            self.slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, load.slowness))
            self.slowness_ms = now_ms

    def time_factor(self, start_ms: float) -> float:
        """Return the expected processing time at the server, as a multiple of the typical one.

        Parameters
        ----------
        start_ms
            When the request is expected to arrive at the server.
        """
        if self.slowness == 1:
            return self.slowdown
        weight = math.exp((self.slowness_ms - start_ms) / SLOWNESS_DECAY_MS)
        return self.slowdown * (1 + (self.slowness - 1) * weight)

    def record_load_elsewhere(self, requests: int | None, reported_ms: float) -> bool:
        """Record a load report to another instance; return whether it is newer than the known one.

        Parameters
        ----------
        requests
            Running and waiting requests, those of this instance included; ``None`` if the server
            does not report them.
        """
        if requests is None or reported_ms <= self.reported_ms:
            return False
        self.other_requests = max(0, requests - self.running)
        self.reported_ms = reported_ms
        return True

    def record_refusal(self, load: events.LoadReport) -> None:
        """Record the load at which the server has refused a request."""
        self.full_load = max(load.slots, load.running + load.waiting)

    def is_full(self, now_ms: float) -> bool:
        """Return whether the server would refuse a request according to a recent load report."""
        if now_ms - self.reported_ms > FULL_REPORT_MS:
            return False
        return self.running + self.other_requests >= self.full_load

    def estimated_load(self, now_ms: float, typical_other_requests: float) -> float:
        """Return the estimated number of requests at the server.

        Parameters
        ----------
        typical_other_requests
            Requests from elsewhere that a server typically has; used the more, the older the last
            load report is.
        """
        if self.reported_ms == -math.inf:
            return self.running + typical_other_requests
        weight = math.exp((self.reported_ms - now_ms) / REPORT_DECAY_MS)
        return self.running + self.other_requests * weight + typical_other_requests * (1 - weight)

    def decayed_failure_rate(self, now_ms: float) -> float:
        """Return the failure rate, decayed to a time."""
        return self.failure_rate * math.exp((self.failure_rate_ms - now_ms) / FAILURE_DECAY_MS)

    def record_success(self, now_ms: float) -> None:
        """Add a success to the failure rate and end the ejection of the server."""
        self.failure_rate = self.decayed_failure_rate(now_ms) * (1 - FAILURE_WEIGHT)
        self.failure_rate_ms = now_ms
        self.last_answer_ms = now_ms
        self.consecutive_ejections = 0
        self.ejected_until_ms = -math.inf

    def record_failure(self, now_ms: float) -> None:
        """Add a failure to the failure rate."""
        rate = self.decayed_failure_rate(now_ms)
        self.failure_rate = rate + (1 - rate) * FAILURE_WEIGHT
        self.failure_rate_ms = now_ms

    def eject(self, now_ms: float) -> None:
        """Exclude the server for some time, twice as long with each consecutive ejection."""
        if now_ms < self.ejected_until_ms:
            return
        duration_ms = min(EJECTION_MIN_MS * 2**self.consecutive_ejections, EJECTION_MAX_MS)
        self.consecutive_ejections += 1
        self.ejected_until_ms = now_ms + duration_ms

    def forget_failures(self) -> None:
        """Forget failures and late responses that came from the links of this instance."""
        self.failure_rate = 0
        self.ejected_until_ms = -math.inf
        self.consecutive_ejections = 0
        self.deadline_missed_ms = -math.inf
        self.lateness = LATENESS_MIN

    def record_slowdown(self, ratio: float) -> None:
        """Add the ratio of a processing time to the typical one to the average."""
        bounded = min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, ratio))
        self.slowdown += (bounded - self.slowdown) * SLOWDOWN_WEIGHT

    def record_lateness(self, elapsed_ms: float, expected_ms: float) -> None:
        """Add the ratio of a response time to the expected one to the average."""
        ratio = elapsed_ms / max(1.0, expected_ms)
        bounded = min(LATENESS_MAX, max(LATENESS_MIN, ratio))
        self.lateness += (bounded - self.lateness) * LATENESS_WEIGHT

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the server is still cold after its start or an evacuation."""
        return now_ms < self.cold_until_ms

    def may_send(self, now_ms: float) -> bool:
        """Return whether a request may be sent now.

        Requests to a cold server, and to one that names a rate limit, are paced.
        """
        if now_ms < self.turned_away_until_ms:
            return False
        if self.limit is not None and not self.limit.may_send(now_ms):
            return False
        if self.cold_share is None or not self.is_cold(now_ms):
            return True
        return self.cold_share.may_send(now_ms)

    def record_sent(self, now_ms: float) -> None:
        """Count a request to the server, also under its rate limits."""
        self.running += 1
        self.idle.record_sent()
        if self.limit is not None:
            self.limit.record_sent(now_ms)
        if self.cold_share is not None:
            self.cold_share.record_sent(now_ms)

    @property
    def last_heard_ms(self) -> float:
        """Return when the server has last answered this or another instance."""
        return max(self.last_answer_ms, self.answered_elsewhere_ms)

    @property
    def limit_per_s(self) -> float | None:
        """Return the rate limit of the server for all instances, or ``None`` without one."""
        return None if self.limit is None else self.limit.limit_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class _DeclarationVersion:
    """Orders the declarations of a server id by incarnation and sequence number."""

    started_unix_ms: int
    sequence: int


@dataclasses.dataclass(slots=True)
class ServerRegistry:
    """All backend servers by id.

    Attributes
    ----------
    newest_versions
        Newest declaration of each id, removed servers included, so that a late older one is
        ignored.
    epoch
        Incremented when the set of servers that may get requests changes.
    lapsed_servers
        Ids of servers whose registration has lapsed at some time.
    """

    views: dict[str, ServerView] = dataclasses.field(default_factory=dict)
    by_service: dict[str, dict[str, ServerView]] = dataclasses.field(default_factory=dict)
    newest_versions: dict[str, _DeclarationVersion] = dataclasses.field(default_factory=dict)
    epoch: int = 0
    lapsed_servers: set[str] = dataclasses.field(default_factory=set)

    def declare(self, server: models.BackendServer, now_ms: float) -> bool:
        """Add or update a server; return whether it is a new server or a new incarnation."""
        newest = self.newest_versions.get(server.server_id)
        if newest is not None and _is_older(server, newest):
            return False
        self.newest_versions[server.server_id] = _DeclarationVersion(
            server.started_unix_ms, server.sequence
        )
        view = self.views.get(server.server_id)
        if view is not None and _same_incarnation(view.server, server):
            self.epoch += _placement_fields(view.server) != _placement_fields(server)
            view.apply_declaration(server, now_ms)
            return False
        self.remove(server.server_id)
        self.epoch += 1
        added = ServerView(server, cold_until_ms=now_ms + server.cold_ms, slots=server.slots)
        self.views[server.server_id] = added
        self.by_service.setdefault(server.service_id, {})[server.server_id] = added
        return True

    def mark_leaving(self, view: ServerView) -> bool:
        """Send no more requests to this incarnation of a server; return whether that is news.

        Its registration may say for some time, or until it ends, that it is ready.
        """
        if view.leaving:
            return False
        view.leaving = True
        self.epoch += 1
        return True

    def mark_lapsed(self, server_id: str, remove_at_ms: float) -> None:
        """Use a server whose registration has lapsed until a time, unless it registers again."""
        view = self.views.get(server_id)
        if view is not None:
            view.remove_at_ms = min(view.remove_at_ms, remove_at_ms)
            self.lapsed_servers.add(server_id)

    def remove(self, server_id: str) -> None:
        """Remove a server; its newest declaration version is kept."""
        view = self.views.pop(server_id, None)
        if view is not None:
            self.epoch += 1
            self.by_service[view.server.service_id].pop(server_id)

    def of_service(self, service_id: str) -> list[ServerView]:
        """Return the servers of a service."""
        return list(self.by_service.get(service_id, {}).values())

    def last_heard_ms(self, incarnation: str) -> float:
        """Return when an incarnation has last answered this or another instance."""
        server_id, _, _ = incarnation.rpartition('.')
        view = self.views.get(server_id)
        if view is None or view.server.incarnation != incarnation:
            return -math.inf
        return view.last_heard_ms

    def expired_ids(self, now_ms: float) -> list[str]:
        """Return the ids of the servers that have lapsed and did not register again in time."""
        self.lapsed_servers &= self.views.keys()
        return [
            server_id
            for server_id in self.lapsed_servers
            if self.views[server_id].remove_at_ms <= now_ms
        ]


def _is_older(server: models.BackendServer, newest: _DeclarationVersion) -> bool:
    if server.started_unix_ms != newest.started_unix_ms:
        return server.started_unix_ms < newest.started_unix_ms
    return server.sequence < newest.sequence


def _same_incarnation(known: models.BackendServer, declared: models.BackendServer) -> bool:
    return _identity(known) == _identity(declared)


def _identity(server: models.BackendServer) -> tuple[object, ...]:
    """Return what identifies an incarnation of a server."""
    return (server.started_unix_ms, server.host, server.port, server.service_id, server.version)


def _placement_fields(server: models.BackendServer) -> tuple[object, ...]:
    """Return what decides whether a server may get requests."""
    return (server.draining, server.failure_domain)
