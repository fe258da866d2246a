"""Model of a fleet that sends requests to servers with slots, queues and changing speed.

A seeded event loop without network around the real decisions: each instance is a gateway's state
with its reducer. Load reports reach the instance that has sent the request at once, and the other
instances with the ages that heartbeats along the tree give them.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.serving import backend_client
from tests.gateway import conftest

SLOTS = 3
QUEUE_MAX = 9
TICK_MS = 100
HEARTBEAT_MS = 500
# Age of a load report when the tree has brought it to an instance: three heartbeats, each of which
# waits for half an interval on average.
REPORT_DELAY_MS = 750
SLOWNESS_INTERVAL_MS = 150
# The windows of 2 s before this one belong to the start.
SETTLED_WINDOW = 2


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request: its route, how often it comes, and how long the work takes."""

    route: models.Route
    per_s: float
    work_ms: float


@dataclasses.dataclass(frozen=True)
class Load:
    """What a fleet is given.

    Attributes
    ----------
    instances, servers
        Number in each region.
    wave
        Demand of a region varies by this share of it around its mean, in turn.
    wave_ms
        Period of that.
    slowness_spread
        Standard deviation of the logarithm of the servers' slowness.
    reports_slowness
        Whether load reports have a fourth figure.
    """

    instances: dict[str, int]
    servers: dict[str, int]
    kinds: tuple[Kind, ...]
    duration_ms: float = 8000
    wave: float = 0
    wave_ms: float = 16_000
    slowness_spread: float = 0
    reports_slowness: bool = False
    region_round_trip_ms: float = 24
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What has happened to the requests of a run.

    Attributes
    ----------
    served
        Responses in time, by the region of the instance.
    ran_in
        Attempts by the region of the instance, the window of 2 s and the region of the server.
    rejected
        Attempts that a full server has refused.
    """

    offered: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    served: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    refused: int = 0
    timed_out: int = 0
    attempts: int = 0
    rejected: int = 0
    opened: int = 0
    times_ms: list = dataclasses.field(default_factory=list)
    by_route: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    ran_in: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )

    @property
    def served_share(self):
        """Return the share of the requests that were served in time."""
        return self.served.total() / self.offered.total()

    def region_share(self, region):
        """Return the share of the requests of a region that were served in time."""
        return self.served[region] / self.offered[region]

    @property
    def mean_ms(self):
        """Return the mean time of the responses."""
        return sum(self.times_ms) / len(self.times_ms)

    def shift_max(self):
        """Return the largest share of a region's requests that changed region between windows."""
        shifts = [0.0]
        for (region, window), ran in self.ran_in.items():
            if window < SETTLED_WINDOW:
                continue
            before = self.ran_in.get((region, window - 1))
            if before is None:
                continue
            names = set(ran) | set(before)
            changed = sum(
                abs(ran[name] / ran.total() - before[name] / before.total()) for name in names
            )
            shifts.append(changed / 2)
        return max(shifts)


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A request under way; it is counted if its deadline lies within the run."""

    kind: Kind
    arrived_ms: float
    counted: bool


class Server:
    """A server with slots and a bounded queue, whose speed changes."""

    def __init__(self, declared, region):
        """Create an idle server of usual speed."""
        self.declared = declared
        self.region = region
        self.running = 0
        self.queue = collections.deque()
        self.slowness = 1.0
        self.reports = collections.deque(maxlen=64)

    @property
    def load(self):
        """Return the running and waiting requests."""
        return self.running + len(self.queue)


class Fleet:
    """A run of a load; ``outcome`` has its results."""

    def __init__(self, load):
        """Create all instances and servers."""
        self.load = load
        self.random = random.Random(load.seed)
        self.now_ms = 0.0
        self.outcome = Outcome()
        self._events = []
        self._order = itertools.count()
        self._requests = {}
        self._idle = collections.defaultdict(list)
        self._connected = {}
        self._regions = {f'{region}-a': region for region in load.instances}
        self.servers = {}
        for region, count in load.servers.items():
            for number in range(count):
                declared = conftest.make_server(
                    f'{region}-{number}', failure_domain=f'{region}-a', slots=SLOTS
                )
                self.servers[declared.server_id] = Server(declared, region)
        self.instances = [
            self._make_instance(region, number)
            for region, count in load.instances.items()
            for number in range(count)
        ]

    def run(self):
        """Play the load; return the outcome."""
        self._start_all()
        while self._events:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            if self.now_ms > self.load.duration_ms:
                break
            call(*arguments)
        return self.outcome

    def at(self, time_ms, call, *arguments):
        """Call something at a time."""
        heapq.heappush(self._events, (time_ms, next(self._order), call, arguments))

    def _make_instance(self, region, number):
        instance = conftest.Gateway()
        instance.region = region
        member = models.Member(f'{region}-{number}', 'a', f'{region}-a', region, 'x:1', 'x:2')
        instance.state.fleet.own_member = member
        instance.state.network = selection.NetworkTopology(f'{region}-a', region, self._regions)
        for name in self.load.instances:
            round_trip_ms = 1.0 if name == region else self.load.region_round_trip_ms
            instance.state.network.measured_ms[f'{name}-a'] = round_trip_ms
        instance.configure(*(kind.route for kind in self.load.kinds))
        for server in self.servers.values():
            instance.state.servers.declare(server.declared, 0)
        instance.now_ms = 0.0
        return instance

    def _start_all(self):
        for instance in self.instances:
            self.at(self.random.random() * TICK_MS, self._tick, instance)
            self.at(self.random.random() * HEARTBEAT_MS, self._heartbeat, instance)
        for kind in self.load.kinds:
            self.at(0, self._arrive, kind)
        if self.load.slowness_spread:
            for server in self.servers.values():
                self.at(0, self._change_speed, server)

    def _change_speed(self, server):
        spread = self.load.slowness_spread
        server.slowness = math.exp(self.random.gauss(-spread * spread / 2, spread))
        self.at(
            self.now_ms + self.random.expovariate(1 / SLOWNESS_INTERVAL_MS),
            self._change_speed,
            server,
        )

    def _tick(self, instance):
        self._reduce(instance, events.ClockTicked())
        self.at(self.now_ms + TICK_MS, self._tick, instance)

    def _heartbeat(self, instance):
        for server_id, server in self.servers.items():
            view = instance.state.servers.views[server_id]
            for reported_ms, requests in reversed(server.reports):
                if reported_ms <= self.now_ms - REPORT_DELAY_MS:
                    view.record_load_elsewhere(requests, reported_ms)
                    break
        self.at(self.now_ms + HEARTBEAT_MS, self._heartbeat, instance)

    def _demand(self, region):
        """Return the demand of a region, as a multiple of its mean."""
        position = list(self.load.instances).index(region) / len(self.load.instances)
        angle = 2 * math.pi * (self.now_ms / self.load.wave_ms + position)
        return 1 + self.load.wave * math.sin(angle)

    def _arrive(self, kind):
        rate_per_ms = kind.per_s / 1000
        weights = [self._demand(instance.region) for instance in self.instances]
        (instance,) = self.random.choices(self.instances, weights)
        self.at(self.now_ms + self.random.expovariate(rate_per_ms), self._arrive, kind)
        counted = self.now_ms < self.load.duration_ms - kind.route.timeout_ms
        if counted:
            self.outcome.offered[instance.region] += 1
            self.outcome.by_route[kind.route.route_id, 'offered'] += 1
        instance.now_ms = self.now_ms
        path = f'{kind.route.path_prefix}1'
        outputs = instance.request(path, caller_timeout_ms=None)
        number = instance._last_number
        self._requests[id(instance), number] = _Sent(kind, self.now_ms, counted)
        self._apply(instance, outputs)

    def _reduce(self, instance, event):
        instance.now_ms = self.now_ms
        self._apply(instance, instance.reduce(event))

    def _apply(self, instance, outputs):
        for output in outputs:
            match output:
                case effects.StartAttempt():
                    self._send(instance, output)
                case effects.CancelAttempt(attempt_number):
                    self._cancel(instance, attempt_number)
                case effects.RelayResponse(number):
                    sent = self._requests.pop((id(instance), number))
                    if sent.counted:
                        self.outcome.served[instance.region] += 1
                        self.outcome.by_route[sent.kind.route.route_id, 'served'] += 1
                        self.outcome.times_ms.append(self.now_ms - sent.arrived_ms)
                case effects.Refuse(number, status):
                    sent = self._requests.pop((id(instance), number))
                    self.outcome.timed_out += sent.counted and status == 504
                    self.outcome.refused += sent.counted and status != 504

    def _one_way_ms(self, instance, server):
        return instance.state.network.measured_ms[server.declared.failure_domain] / 2

    def _send(self, instance, started):
        server = self.servers[started.server.server_id]
        kind = self._requests[id(instance), started.request_number].kind
        window = int(self.now_ms // 2000)
        self.outcome.ran_in[instance.region, window][server.region] += 1
        self.outcome.attempts += 1
        idle = self._idle[id(instance), started.server.server_id]
        while idle and idle[0] < self.now_ms - backend_client.IDLE_MAX_MS:
            idle.pop(0)
        one_way_ms = self._one_way_ms(instance, server)
        connect_ms = None
        if idle:
            idle.pop()
        else:
            self.outcome.opened += 1
            connect_ms = 2 * one_way_ms
        self._connected[id(instance), started.attempt_number] = connect_ms
        call = (instance, started, kind, server)
        self.at(self.now_ms + one_way_ms + (connect_ms or 0), self._reach, call)

    def _cancel(self, instance, attempt_number):
        """Remove a cancelled attempt from the queue of its server; what runs goes on."""
        self._connected.pop((id(instance), attempt_number))
        for server in self.servers.values():
            for call in server.queue:
                if call[0] is instance and call[1].attempt_number == attempt_number:
                    server.queue.remove(call)
                    return

    def _reach(self, call):
        instance, started, kind, server = call
        if (id(instance), started.attempt_number) not in self._connected:
            return
        if server.load >= SLOTS + QUEUE_MAX:
            self.outcome.rejected += 1
            self._respond(call, events.AttemptResult.NOT_RUN)
        elif server.running < SLOTS:
            self._work(call)
        else:
            server.queue.append(call)

    def _work(self, call):
        _, _, kind, server = call
        server.running += 1
        # Erlang distribution of order 4: less variable than an exponential one.
        work_ms = self.random.gammavariate(4, kind.work_ms / 4) * server.slowness
        self.at(self.now_ms + work_ms, self._finish, call)

    def _finish(self, call):
        server = call[3]
        self._respond(call, events.AttemptResult.ANSWERED)
        server.running -= 1
        if server.queue:
            self._work(server.queue.popleft())

    def _respond(self, call, result):
        instance, started, _, server = call
        slowness = server.slowness if self.load.reports_slowness else None
        load = events.LoadReport(server.running, len(server.queue), SLOTS)
        if slowness is not None:
            load = dataclasses.replace(load, slowness=slowness)
        server.reports.append((self.now_ms, server.load))
        self.at(self.now_ms + self._one_way_ms(instance, server), self._deliver, call, result, load)

    def _deliver(self, call, result, load):
        instance, started, _, server = call
        key = (id(instance), started.attempt_number)
        if key not in self._connected:
            return
        connect_ms = self._connected.pop(key)
        self._idle[id(instance), started.server.server_id].append(self.now_ms)
        status = 200 if result == events.AttemptResult.ANSWERED else 503
        ended = events.AttemptEnded(
            started.attempt_number,
            result,
            status,
            load,
            reused_connection=connect_ms is None,
            connect_ms=connect_ms,
        )
        self._reduce(instance, ended)


def run(load: Load) -> typing.Any:
    """Play a load; return its outcome."""
    return Fleet(load).run()
