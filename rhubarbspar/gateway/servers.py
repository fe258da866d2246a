"""What an instance knows of the backend servers: declarations, load and failures.

Patterns: outlier ejection with exponential backoff, exponentially weighted moving averages, paced
requests to cold servers.
"""

import dataclasses
import math
import random
import typing

from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import overload as server_overload

# A server that could not be reached is left out for this time, doubled with each failure in a row.
EJECTION_MIN_MS: typing.Final = 500
EJECTION_MAX_MS: typing.Final = 4000
# A reported load says less the older it is; this is the time constant of its decay.
REPORT_DECAY_MS: typing.Final = 600
# A report that is older than this does not keep requests from a server that was full.
FULL_REPORT_MS: typing.Final = 250
# Weight of the newest sample in the averages of failures and speed.
FAILURE_WEIGHT: typing.Final = 0.15
SPEED_WEIGHT: typing.Final = 0.15
SPEED_MIN: typing.Final = 0.5
SPEED_MAX: typing.Final = 8.0
# Failures that are not repeated are forgotten with this time constant.
FAILURE_DECAY_MS: typing.Final = 4000
# A removed server whose registration lapsed is used until this long after the store has settled.
LAPSE_MARGIN_MS: typing.Final = 200
# A server that answered within this time lives.
RECENT_ANSWER_MS: typing.Final = 5000


@dataclasses.dataclass(slots=True)
class ServerView:
    """A backend server as this instance sees it.

    Attributes
    ----------
    running
        Requests of this instance that have not ended.
    others
        Requests of all other callers at the last report.
    speed
        Time that the server takes, relative to the usual time of its routes.
    failures
        Average of failed attempts, 0 to 1.
    gone_at_ms
        When to stop using a server whose registration has lapsed; infinite otherwise.
    full_load
        Load at which the server last refused a request; infinite if it never did.
    cold_next_ms
        The next request to the cold server may be sent then.
    """

    server: models.BackendServer
    cold_until_ms: float
    running: int = 0
    other_requests: float = 0
    reported_ms: float = -math.inf
    speed: float = 1
    failures: float = 0
    failed_ms: float = -math.inf
    ejected_until_ms: float = -math.inf
    ejections: int = 0
    last_answer_ms: float = -math.inf
    gone_at_ms: float = math.inf
    cold_next_ms: float = -math.inf
    slots: int = 1
    full_load: float = math.inf
    overload: server_overload.Overload = dataclasses.field(default_factory=server_overload.Overload)

    def take_declaration(self, server: models.BackendServer, now_ms: float) -> None:
        """Use a newer declaration of the same incarnation."""
        self.server = server
        self.slots = server.slots
        self.gone_at_ms = math.inf
        self.cold_until_ms = max(self.cold_until_ms, now_ms + server.cold_ms)

    def record_load_report(self, load: events.LoadReport, now_ms: float) -> None:
        """Use the load that a response reports; this instance's own requests are known better."""
        self.slots = max(1, load.slots)
        # The request that this response answers is still counted as running here.
        self.other_requests = max(0, load.running + load.waiting - self.running)
        self.reported_ms = now_ms

    def note_full(self, load: events.LoadReport) -> None:
        """Remember the load at which the server refuses requests."""
        self.full_load = max(load.slots, load.running + load.waiting)

    def is_full(self, now_ms: float) -> bool:
        """Return whether a fresh report says that the server would refuse a request."""
        if now_ms - self.reported_ms > FULL_REPORT_MS:
            return False
        return self.running + self.other_requests >= self.full_load

    def estimated_load(self, now_ms: float, usual_others: float) -> float:
        """Return the estimated number of requests at the server."""
        if self.reported_ms == -math.inf:
            return self.running + usual_others
        kept = math.exp((self.reported_ms - now_ms) / REPORT_DECAY_MS)
        return self.running + self.other_requests * kept + usual_others * (1 - kept)

    def failure_share_at(self, now_ms: float) -> float:
        """Return the average of failed attempts, less with time."""
        return self.failures * math.exp((self.failed_ms - now_ms) / FAILURE_DECAY_MS)

    def note_success(self, now_ms: float) -> None:
        """Count an attempt that the server answered."""
        self.failures = self.failure_share_at(now_ms) * (1 - FAILURE_WEIGHT)
        self.failed_ms = now_ms
        self.last_answer_ms = now_ms
        self.ejections = 0
        self.ejected_until_ms = -math.inf

    def note_failure(self, now_ms: float) -> None:
        """Count an attempt that the server failed."""
        share = self.failure_share_at(now_ms)
        self.failures = share + (1 - share) * FAILURE_WEIGHT
        self.failed_ms = now_ms

    def eject(self, now_ms: float) -> None:
        """Leave the server out for a while, longer each time in a row."""
        if now_ms < self.ejected_until_ms:
            return
        duration_ms = min(EJECTION_MIN_MS * 2**self.ejections, EJECTION_MAX_MS)
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms

    def note_speed(self, ratio: float) -> None:
        """Average the time taken, relative to the usual time."""
        bounded = min(SPEED_MAX, max(SPEED_MIN, ratio))
        self.speed += (bounded - self.speed) * SPEED_WEIGHT

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the server is cold."""
        return now_ms < self.cold_until_ms

    def may_send(self, now_ms: float) -> bool:
        """Return whether the pace of a cold server permits a request now."""
        return not self.is_cold(now_ms) or now_ms >= self.cold_next_ms

    def pace(self, now_ms: float, interval_ms: float) -> None:
        """Space the requests to a cold server."""
        self.cold_next_ms = now_ms + interval_ms

    def stagger_pace(self, now_ms: float, interval_ms: float) -> None:
        """Let the instances start their paces at different times."""
        self.cold_next_ms = now_ms + random.uniform(0, interval_ms)  # noqa: S311


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """Identifies the newest statement of a server."""

    started_unix_ms: int
    sequence: int


@dataclasses.dataclass(slots=True)
class ServerRegistry:
    """All backend servers by id.

    Attributes
    ----------
    newest
        The newest statement of each id, also of removed servers: a late one of before is ignored.
    epoch
        Changes with the set of servers that may get requests.
    lapsing
        Servers whose registration was missing at some time.
    """

    views: dict[str, ServerView] = dataclasses.field(default_factory=dict)
    by_service: dict[str, dict[str, ServerView]] = dataclasses.field(default_factory=dict)
    newest: dict[str, _Statement] = dataclasses.field(default_factory=dict)
    epoch: int = 0
    lapsing: set[str] = dataclasses.field(default_factory=set)

    def declare(self, server: models.BackendServer, now_ms: float) -> bool:
        """Take a declaration; return whether it is a new server or incarnation."""
        newest = self.newest.get(server.server_id)
        if newest is not None and _is_older(server, newest):
            return False
        self.newest[server.server_id] = _Statement(server.started_unix_ms, server.sequence)
        view = self.views.get(server.server_id)
        if view is not None and _same_incarnation(view.server, server):
            self.epoch += _placement(view.server) != _placement(server)
            view.take_declaration(server, now_ms)
            return False
        self.remove(server.server_id)
        self.epoch += 1
        added = ServerView(server, cold_until_ms=now_ms + server.cold_ms, slots=server.slots)
        self.views[server.server_id] = added
        self.by_service.setdefault(server.service_id, {})[server.server_id] = added
        return True

    def mark_lapsed(self, server_id: str, gone_at_ms: float) -> None:
        """Use a server whose registration is missing until a time."""
        view = self.views.get(server_id)
        if view is not None:
            view.gone_at_ms = min(view.gone_at_ms, gone_at_ms)
            self.lapsing.add(server_id)

    def remove(self, server_id: str) -> None:
        """Forget a server, but not its newest statement."""
        view = self.views.pop(server_id, None)
        if view is not None:
            self.epoch += 1
            self.by_service[view.server.service_id].pop(server_id)

    def of_service(self, service_id: str) -> list[ServerView]:
        """Return the servers of a service."""
        return list(self.by_service.get(service_id, {}).values())

    def expired_ids(self, now_ms: float) -> list[str]:
        """Return the servers whose lapsed registration did not come back."""
        self.lapsing &= self.views.keys()
        return [found for found in self.lapsing if self.views[found].gone_at_ms <= now_ms]


def _is_older(server: models.BackendServer, newest: _Statement) -> bool:
    if server.started_unix_ms != newest.started_unix_ms:
        return server.started_unix_ms < newest.started_unix_ms
    return server.sequence < newest.sequence


def _same_incarnation(known: models.BackendServer, declared: models.BackendServer) -> bool:
    return _identity(known) == _identity(declared)


def _identity(server: models.BackendServer) -> tuple[object, ...]:
    return (server.started_unix_ms, server.host, server.port, server.service_id, server.version)


def _placement(server: models.BackendServer) -> tuple[object, ...]:
    """Return what decides whether a server may get a request."""
    return (server.draining, server.failure_domain)
