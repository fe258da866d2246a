"""Backend servers of a deployment with faults, and what they ran."""

import collections
import dataclasses
import functools
import http
import typing

from rhubarbspar import const as package_const
from rhubarbspar.bench import wide_fleet
from rhubarbspar.components.routing import const as routing_const
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.server import const as server_const

HEADER_SERVICE_TIME: typing.Final = 'x-service-time-ms'
LOAD_INTERVAL_MS: typing.Final = 500
_NOT_RUN: typing.Final = models.Refused(
    package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.NOT_RUN
)
_UNKNOWN: typing.Final = models.Refused(
    package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.UNKNOWN
)
_OK: typing.Final = models.Answered(models.Response(http.HTTPStatus.OK, (), b'done'))
_SHED: typing.Final = models.Answered(
    models.Response(
        routing_const.STATUS_SHED,
        ((routing_const.HEADER_REQUEST_RUN, models.ExecutionStatus.NOT_RUN.value),),
        b'',
    )
)

Run: typing.TypeAlias = tuple[str, str]


@dataclasses.dataclass
class Backend:
    """A backend server.

    Attributes
    ----------
    busy
        Instance of each running attempt, by incarnation and attempt.
    dead
        Connections are refused.
    silent_connections
        Idle connections that stopped carrying traffic; each attempt takes one while there are any.
    leaving
        Its slots are no longer headroom.
    """

    failure_domain: str
    slots: int
    busy: dict[Run, str] = dataclasses.field(default_factory=dict)
    dead: bool = False
    leaving: bool = False
    silent_connections: int = 0
    received_ms: float = 0
    ended_ms: float = 0


class Backends:
    """All backend servers; ``executions`` counts runs by idempotency key."""

    def __init__(self, fleet: wide_fleet.Fleet) -> None:
        """Start all servers and the reading of their load endpoints."""
        services = fleet.configuration.services.values()
        self.servers = {
            server.server_id: Backend(server.failure_domain, server.slots)
            for service in services
            for server in service.backend_servers
        }
        self.executions: collections.Counter[str] = collections.Counter()
        self.overloads = 0
        self._fleet = fleet
        fleet.listeners.append(self._on_effect)
        fleet.schedule(LOAD_INTERVAL_MS, self._report_load)

    def crash(self, server_id: str) -> None:
        """Kill a server: what runs there ends, new connections are refused."""
        server = self.servers[server_id]
        server.dead = True
        running = list(server.busy.items())
        server.busy.clear()
        for run, instance_id in running:
            self._finish(instance_id, run, _UNKNOWN, server, lost=True)

    def silence(self, server_id: str) -> None:
        """Make a server's connections silent: those in use and as many idle ones as fill its slots."""
        server = self.servers[server_id]
        server.silent_connections = server.slots - len(server.busy)
        server.busy.clear()

    def free_slots(self, region: str) -> int:
        """Return the free slots of the servers of a region that serve and can be reached."""
        deployed = self._fleet.deployed
        return sum(
            server.slots - len(server.busy)
            for server in self.servers.values()
            if deployed.region_of(server.failure_domain) == region and self._is_healthy(server)
        )

    def _is_healthy(self, server: Backend) -> bool:
        region = self._fleet.deployed.region_of(server.failure_domain)
        reachable = wide_fleet.reachable(self._fleet, region, server.failure_domain)
        return reachable and not (server.dead or server.leaving or server.silent_connections)

    def _report_load(self) -> None:
        self._fleet.schedule(LOAD_INTERVAL_MS, self._report_load)
        for instance_id, node in list(self._fleet.nodes.items()):
            for server_id in node.state.routing.servers:
                server = self.servers[server_id]
                if not server.dead and self._reaches(instance_id, server):
                    report = events.LoadReported(server_id, len(server.busy), False, True)
                    self._fleet.dispatch_later(instance_id, report)

    def _on_effect(self, instance_id: str, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt(_, server_id):
                delay_ms = self._delay_ms(instance_id, self.servers[server_id])
                run = self._run(instance_id, effect.attempt_id)
                receive = functools.partial(self._receive, instance_id, run, effect)
                self._fleet.schedule(delay_ms, receive)
            case effects.CancelAttempt(attempt_id):
                self._cancel(instance_id, self._run(instance_id, attempt_id))

    def _cancel(self, instance_id: str, run: Run) -> None:
        running = [server for server in self.servers.values() if run in server.busy]
        for server in running:
            delay_ms = self._delay_ms(instance_id, server)
            self._fleet.schedule(delay_ms, functools.partial(_free, server, run))

    def _run(self, instance_id: str, attempt_id: str) -> Run:
        membership = self._fleet.nodes[instance_id].state.membership
        return membership.incarnation, attempt_id

    def _reaches(self, instance_id: str, server: Backend) -> bool:
        return wide_fleet.reachable(
            self._fleet, self._fleet.domains[instance_id], server.failure_domain
        )

    def _delay_ms(self, instance_id: str, server: Backend) -> float:
        domain = self._fleet.domains[instance_id]
        return self._fleet.deployed.delay_ms(domain, server.failure_domain)

    def _receive(self, instance_id: str, run: Run, effect: effects.StartAttempt) -> None:
        server = self.servers[effect.server_id]
        if self._reaches(instance_id, server):
            self._accept(instance_id, run, server, effect.request)
            return
        timeout_ms = server_const.BACKEND_CONNECT_TIMEOUT_MS
        failed = events.AttemptFinished(run[1], _NOT_RUN, timeout_ms)
        self._fleet.dispatch_later(instance_id, failed, timeout_ms)

    def _accept(self, instance_id: str, run: Run, server: Backend, request: models.Request) -> None:
        if server.dead:
            self._finish(instance_id, run, _NOT_RUN, server)
        elif server.silent_connections:
            server.silent_connections -= 1
        elif len(server.busy) >= server.slots:
            self.overloads += 1
            self._finish(instance_id, run, _SHED, server)
        else:
            self._start(instance_id, run, server, request)

    def _start(self, instance_id: str, run: Run, server: Backend, request: models.Request) -> None:
        server.received_ms = self._fleet.now_ms
        server.busy[run] = instance_id
        if request.idempotency_key:
            self.executions[request.idempotency_key] += 1
        service_time_ms = float(dict(request.headers)[HEADER_SERVICE_TIME])
        end = functools.partial(self._end, instance_id, run, server, service_time_ms)
        self._fleet.schedule(service_time_ms, end)

    def _end(self, instance_id: str, run: Run, server: Backend, service_time_ms: float) -> None:
        if server.busy.pop(run, None) is not None:
            server.ended_ms = self._fleet.now_ms
            self._finish(instance_id, run, _OK, server, service_time_ms)

    def _finish(
        self,
        instance_id: str,
        run: Run,
        outcome: models.Outcome,
        server: Backend,
        service_time_ms: float = 0,
        *,
        lost: bool = False,
    ) -> None:
        node = self._fleet.nodes.get(instance_id)
        if node is None or node.state.membership.incarnation != run[0]:
            return
        if self._reaches(instance_id, server):
            delay_ms = self._delay_ms(instance_id, server)
            latency_ms = service_time_ms + 2 * delay_ms
            event = events.AttemptFinished(run[1], outcome, latency_ms, connection_lost=lost)
            self._fleet.dispatch_later(instance_id, event, delay_ms)


def _free(server: Backend, run: Run) -> None:
    server.busy.pop(run, None)
