"""Requests that crash each backend server that runs them, in fleets of 6 and of 60 instances."""

import heapq
import itertools
import random

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from tests.gateway import conftest
from tests.gateway import fleet_network

DOMAINS = {'almaty-a': 'almaty', 'almaty-b': 'almaty', 'astana-a': 'astana'}
SERVERS_PER_DOMAIN = 10
STEP_MS = 50
RESPONSE_MS = 300
DOWN_MS = 4000
# Requests a second of each instance besides the one that crashes servers.
REQUESTS_PER_S = 2
# Time until an instance that starts gets requests; all of them start before crashes expire.
START_MS = 800
# The caller sends the request again at this interval, at any instance.
REPEAT_MS = 400
POISON_PATHS = {'reads': '/stock/poison', 'orders': '/orders/poison'}
# Crashes before the request has to be refused, time to find out, and what is tolerated then.
CRASHES_MAX = 3
REACTION_MS = 4000
REPEATS_MAX = 3


class Fleet:
    """A fleet, its backend servers, and callers of which one sends a request that crashes servers.

    Attributes
    ----------
    poison_ms
        When the request that crashes servers reached one.
    crashed_ms
        When it crashed one.
    refusals
        Reasons for which it was refused.
    senders
        Instances that get requests.
    """

    def __init__(self, size, poison_path, seed=1):
        """Start the instances and the servers."""
        self.network = fleet_network.FleetNetwork(DOMAINS, size, seed)
        self.random = random.Random(seed)
        self.poison_ms = []
        self.crashed_ms = []
        self.refusals = []
        self.senders = sorted(self.network.instances)
        self._poison_path = poison_path
        self._service_id = poison_path.split('/')[1]
        self._numbers = itertools.count(1)
        self._due = []
        self._running = {}
        self._down = {}
        services = [models.Service(name, 0, 0) for name in ('stock', 'orders')]
        routes = (conftest.READS, conftest.ORDERS)
        self.network.write(
            'config', models.make_configuration(1, routes, services, [conftest.ACCOUNT])
        )
        for domain, number in itertools.product(DOMAINS, range(SERVERS_PER_DOMAIN)):
            self._register(f'{domain}-{number}', domain, 1000)
        self.network.run(1000)

    def run(self, duration_ms):
        """Let callers send requests for some time."""
        due_requests = 0.0
        for step in range(int(duration_ms / STEP_MS)):
            self._apply(self.network.run(STEP_MS))
            self._deliver()
            due_requests += len(self.network.instances) * REQUESTS_PER_S * STEP_MS / 1000
            for _ in range(int(due_requests)):
                self.send(f'/{self._service_id}/{next(self._numbers)}')
            due_requests %= 1
            if step * STEP_MS % REPEAT_MS == 0:
                self.send(self._poison_path)

    def send(self, path, instance_id=None):
        """Send a request to any instance."""
        chosen = instance_id or self.random.choice(self.senders)
        self._apply({chosen: self.network.send(chosen, path=path)}, path)

    @property
    def late_repeats(self):
        """Return how often the request reached a server although its crashes were known."""
        if len(self.crashed_ms) < CRASHES_MAX:
            return 0
        known_ms = self.crashed_ms[CRASHES_MAX - 1] + REACTION_MS
        return sum(sent_ms > known_ms for sent_ms in self.poison_ms)

    def _register(self, server_id, domain, started_unix_ms):
        server = conftest.make_server(
            server_id,
            service_id=self._service_id,
            failure_domain=domain,
            started_unix_ms=started_unix_ms,
        )
        self.network.write(f'servers/{server_id}', server)

    def _apply(self, outputs, path=''):
        for instance_id, instance_outputs in outputs.items():
            for output in instance_outputs:
                match output:
                    case effects.StartAttempt():
                        self._serve(instance_id, output)
                    case effects.ProbeServer(server):
                        opened = server.server_id not in self._down
                        ended = events.ProbeEnded(server.server_id, opened)
                        self._later(2, instance_id, ended)
                    case effects.Refuse() if path == self._poison_path:
                        self.refusals.append(output.reason)

    def _serve(self, instance_id, started):
        server_id = started.server.server_id
        if server_id in self._down:
            unreachable = events.AttemptResult.UNREACHABLE
            self._later(2, instance_id, conftest.ended(started, unreachable))
            return
        pending = self.network.instances[instance_id].state.pending[started.request_number]
        if pending.request.path == self._poison_path:
            self.poison_ms.append(self.network.now_ms)
            self.crashed_ms.append(self.network.now_ms)
            self._crash(server_id)
            self._later(20, instance_id, conftest.ended(started, events.AttemptResult.BROKEN))
            return
        self._running.setdefault(server_id, []).append((instance_id, started))
        ended = conftest.ended(started, events.AttemptResult.ANSWERED, status=200)
        self._later(RESPONSE_MS, instance_id, ended)

    def _crash(self, server_id):
        self._down[server_id] = self.network.now_ms + DOWN_MS
        for instance_id, started in self._running.pop(server_id, ()):
            self._later(20, instance_id, conftest.ended(started, events.AttemptResult.BROKEN))

    def _later(self, delay_ms, instance_id, event):
        entry = (self.network.now_ms + delay_ms, next(self._numbers), instance_id, event)
        heapq.heappush(self._due, entry)

    def _deliver(self):
        now_ms = self.network.now_ms
        while self._due and self._due[0][0] <= now_ms:
            _, _, instance_id, event = heapq.heappop(self._due)
            if instance_id in self.network.instances:
                self._apply({instance_id: self.network.reduce(instance_id, event)})
        for server_id in [name for name, up_ms in self._down.items() if up_ms <= now_ms]:
            self._down.pop(server_id)
            self._register(server_id, server_id.rpartition('-')[0], int(now_ms))


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('path', POISON_PATHS.values())
@pytest.mark.parametrize('size', [2, 20])
def test_request_is_refused_by_all_instances_after_it_has_crashed_servers(size, path, seed):
    """Guards against a request that crashes servers for ever in a large fleet.

    No instance sends often enough to one server to see that it broke a connection and is
    unreachable afterwards.
    """
    fleet = Fleet(size, path, seed)
    fleet.run(20_000)
    assert fleet.late_repeats <= REPEATS_MAX
    assert fleet.refusals[-1] == package_const.REASON_CRASHES_SERVERS


@pytest.mark.parametrize('size', [2, 20])
def test_instance_that_starts_later_refuses_it_as_well(size):
    """Guards against restarts that make the fleet forget which requests crash servers."""
    fleet = Fleet(size, POISON_PATHS['orders'])
    fleet.run(12_000)
    known = len(fleet.poison_ms)
    for instance_id in tuple(fleet.network.instances):
        fleet.network.kill(instance_id)
        fleet.network.start(instance_id, instance_id.rpartition('-')[0])
        fleet.network.run(START_MS)
        fleet.send(POISON_PATHS['orders'], instance_id)
    assert len(fleet.poison_ms) == known


@pytest.mark.parametrize('size', [2, 20])
def test_instance_that_was_cut_off_refuses_it_as_well(size):
    """Guards against crash reports that are lost with the links between the instances."""
    fleet = Fleet(size, POISON_PATHS['orders'])
    cut_off = [name for name in fleet.network.instances if name.startswith('astana')]
    fleet.network.cut(cut_off)
    fleet.senders = sorted(fleet.network.instances.keys() - set(cut_off))
    fleet.run(12_000)
    fleet.network.cut(())
    fleet.network.run(8000)
    known = len(fleet.poison_ms)
    for instance_id in tuple(fleet.network.instances):
        fleet.send(POISON_PATHS['orders'], instance_id)
    assert len(fleet.poison_ms) == known
