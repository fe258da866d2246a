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
    """

    network: fleet_network.FleetNetwork
    seed: int
    limits: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_ms: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    refused: int = 0

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

    def most_in_window(self, server_id, since_ms):
        """Return the maximum number of requests to a server in a sliding window."""
        times = [at for at in self.sent_ms[server_id] if at >= since_ms]
        return max((sum(t <= at < t + WINDOW_MS for at in times) for t in set(times)), default=0)

    def _request(self, instance_id):
        outputs = self.network.send(instance_id, path='/stock/1', object_key=None)
        self.refused += any(isinstance(output, effects.Refuse) for output in outputs)
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
        for output in outputs:
            if isinstance(output, effects.StartAttempt):
                self.sent_ms[output.server.server_id].append(now_ms)
                self.answers.append((now_ms + SERVICE_MS, instance_id, output))


def make_traffic(size, limits, seed=1):
    """Return the traffic of a fleet whose service has limited servers and two others."""
    network = fleet_network.FleetNetwork(DOMAINS, size, seed)
    account = models.ClientAccount('large', ('key-1',), None, 0, 0)
    services = [models.Service('stock', 3000, 7)]
    network.write('config', models.make_configuration(1, [conftest.READS], services, [account]))
    for number, server_id in enumerate((*limits, *OPEN_SERVERS)):
        domain = sorted(DOMAINS)[number % len(DOMAINS)]
        server = conftest.make_server(server_id, failure_domain=domain, slots=50)
        network.write(f'servers/{server_id}', server)
    network.run(2000)
    return Traffic(network, seed, dict(limits))


def permitted(limit_per_s):
    """Return the operators' bound on the requests in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5


def check_limits(traffic, limits, since_ms):
    """Check that no server got more requests than it permits."""
    for server_id, limit_per_s in limits.items():
        assert traffic.most_in_window(server_id, since_ms) <= permitted(limit_per_s), server_id


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
    check_limits(traffic, LIMITS, since_ms)
