"""Rate limits that backend servers name, over all instances of a fleet."""

import collections
import dataclasses
import random

import pytest

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from tests.gateway import conftest
from tests.gateway import fleet_network

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b'}
STEP_MS = 50
SERVICE_MS = 200
# The operators' bound on the requests in a window, and the time from which it holds.
WINDOW_MS = 4000
SETTLED_MS = 4000
OPEN_SERVERS = ('stock-open-1', 'stock-open-2')


@dataclasses.dataclass
class Traffic:
    """Requests to a fleet, the answers of its backend servers, and where requests were sent.

    Attributes
    ----------
    limits
        Requests a second that each server names in its answers.
    sent_ms
        Times of the requests to each server.
    informed_ms
        Those from instances that knew a limit of the server.
    """

    network: fleet_network.FleetNetwork
    seed: int
    limits: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_ms: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    informed_ms: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def __post_init__(self):
        """Create the random number generator and the queue of answers."""
        self.random = random.Random(self.seed)
        self.answers = collections.deque()

    def run(self, duration_ms, demand_per_s, instance_ids=None):
        """Send requests to random instances, and answer them after ``SERVICE_MS``."""
        network = self.network
        until_ms = network.now_ms + duration_ms
        while network.now_ms < until_ms:
            network.run(STEP_MS)
            while self.answers and self.answers[0][0] <= network.now_ms:
                self._answer(*self.answers.popleft()[1:])
            expected = demand_per_s * STEP_MS / 1000
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                self._request(self.random.choice(sorted(instance_ids or network.instances)))

    def _request(self, instance_id):
        outputs = self.network.send(instance_id, path='/stock/1', object_key=None)
        self._note_attempts(instance_id, outputs)

    def _answer(self, instance_id, attempt):
        if instance_id not in self.network.instances:
            return
        limit_per_s = self.limits.get(attempt.server.server_id)
        answered = conftest.ended(
            attempt, events.AttemptResult.ANSWERED, status=200, limit_per_s=limit_per_s
        )
        self._note_attempts(instance_id, self.network.reduce(instance_id, answered))

    def _note_attempts(self, instance_id, outputs):
        now_ms = self.network.now_ms
        views = self.network.instances[instance_id].state.servers.views
        for output in outputs:
            if isinstance(output, effects.StartAttempt):
                server_id = output.server.server_id
                self.sent_ms[server_id].append(now_ms)
                if views[server_id].limit is not None:
                    self.informed_ms[server_id].append(now_ms)
                self.answers.append((now_ms + SERVICE_MS, instance_id, output))


def make_traffic(size, limits, seed=1, others=OPEN_SERVERS):
    """Return the traffic of a fleet whose service has limited servers and others."""
    network = fleet_network.FleetNetwork(DOMAINS, size, seed)
    account = models.ClientAccount('large', ('key-1',), None, 0, 0)
    services = [models.Service('stock', 3000, 7)]
    network.write('config', models.make_configuration(1, [conftest.READS], services, [account]))
    for number, server_id in enumerate((*limits, *others)):
        domain = sorted(DOMAINS)[number % len(DOMAINS)]
        server = conftest.make_server(server_id, failure_domain=domain, slots=50)
        network.write(f'servers/{server_id}', server)
    network.run(2000)
    return Traffic(network, seed, dict(limits))


def permitted(limit_per_s):
    """Return the operators' bound on the requests in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5


def most_in_window(times, since_ms):
    """Return the maximum number of times in a sliding window."""
    counted = [at for at in times if at >= since_ms]
    return max((sum(t <= at < t + WINDOW_MS for at in counted) for t in set(counted)), default=0)


def check_limits(sent_ms, since_ms):
    """Check that no server got more requests than it permits."""
    for server_id, limit_per_s in LIMITS.items():
        assert most_in_window(sent_ms[server_id], since_ms) <= permitted(limit_per_s), server_id


LIMITS = {'stock-1': 4.8, 'stock-2': 9.0, 'stock-3': 0.6}


@pytest.mark.parametrize(('size', 'demand_per_s'), [(2, 120), (15, 200), (60, 900)])
def test_fleet_keeps_the_limits_of_servers(size, demand_per_s):
    """Guards against a limit that every instance obeys for itself, or not at all.

    An even part of the limit is less than one request in the window at most of these instances.
    """
    traffic = make_traffic(size, LIMITS)
    traffic.run(3000, demand_per_s)
    since_ms = traffic.network.now_ms + SETTLED_MS
    traffic.run(SETTLED_MS + 8000, demand_per_s)
    check_limits(traffic.sent_ms, since_ms)


def test_limits_are_used():
    """Guards against a limit of which the fleet uses a small part only."""
    traffic = make_traffic(2, LIMITS, others=())
    traffic.run(3000, 120)
    since_ms = traffic.network.now_ms
    traffic.run(10_000, 120)
    for server_id, limit_per_s in LIMITS.items():
        sent = sum(at >= since_ms for at in traffic.sent_ms[server_id])
        assert sent >= 0.7 * 10 * limit_per_s, server_id


@pytest.fixture
def network_of_8():
    """Return the traffic of a fleet of 8 instances."""
    return make_traffic(2, LIMITS)


def test_limit_of_one_response_is_known_to_all_instances(network_of_8):
    """Guards against instances that learn of a limit only when the server tells them itself."""
    traffic = network_of_8
    traffic.run(2000, 20, instance_ids=['a-1-0'])
    known = {
        instance.state.servers.views['stock-1'].limit_per_s
        for instance in traffic.network.instances.values()
    }
    assert known == {LIMITS['stock-1']}


def test_ended_limit_is_known_to_all_instances(network_of_8):
    """Guards against a limit that stands at the instances that do not use the server."""
    traffic = network_of_8
    traffic.run(6000, 120)
    traffic.limits.clear()
    traffic.run(4000, 120)
    known = {
        view.limit_per_s
        for instance in traffic.network.instances.values()
        for view in instance.state.servers.views.values()
    }
    assert known == {None}


def test_server_is_used_if_its_holders_have_no_requests():
    """Guards against a limited server that idles because the callers use other instances."""
    traffic = make_traffic(2, LIMITS, others=())
    traffic.run(6000, 120)
    ranks = {
        instance_id: instance.state.servers.views['stock-1'].limit.position.rank
        for instance_id, instance in traffic.network.instances.items()
    }
    last_id = max(ranks, key=ranks.get)
    since_ms = traffic.network.now_ms
    traffic.run(30_000, 20, instance_ids=[last_id])
    assert sum(at >= since_ms for at in traffic.sent_ms['stock-1']) >= 2


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_limits_hold_while_instances_restart(seed):
    """Guards against new holders that add to the requests of those that they replace.

    A restarted instance does not know the limits until a peer or the server tells it.
    """
    traffic = make_traffic(2, LIMITS, seed)
    network = traffic.network
    traffic.run(3000, 120)
    since_ms = network.now_ms + SETTLED_MS
    traffic.run(SETTLED_MS, 120)
    for instance_id in sorted(network.instances):
        domain = network.instances[instance_id].member.failure_domain
        network.kill(instance_id)
        traffic.run(1000, 120)
        network.start(instance_id, domain)
        traffic.run(1000, 120)
    check_limits(traffic.informed_ms, since_ms)


@pytest.mark.parametrize('side', [['a-1-0'], ['a-1-0', 'a-1-1', 'a-2-0', 'a-2-1']])
def test_limits_hold_in_a_partition(side):
    """Guards against two sides of a partitioned fleet that each use the whole limit."""
    traffic = make_traffic(2, LIMITS)
    traffic.run(3000, 120)
    since_ms = traffic.network.now_ms + SETTLED_MS
    traffic.run(SETTLED_MS, 120)
    traffic.network.cut(side)
    traffic.run(8000, 120)
    traffic.network.cut([])
    traffic.run(6000, 120)
    check_limits(traffic.sent_ms, since_ms)
