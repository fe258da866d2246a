"""Requests of a whole fleet to cold backend servers."""

import collections

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import models
from tests.gateway import conftest
from tests.gateway import fleet_network

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b'}
COLD_RATE_PER_S = 7
# The operators' bound on the requests to a cold server in a second.
PERMITTED = COLD_RATE_PER_S * 1.5 + 5
COLD_SERVERS = 30
STEP_MS = 50


def test_large_fleet_keeps_the_rate_of_cold_servers():
    """Guards against cold servers that get requests of many instances in the same second.

    An even part of the rate is less than one request in 17 s at each of these instances.
    """
    network = fleet_network.FleetNetwork(DOMAINS, 30)
    account = models.ClientAccount('large', ('key-1',), None, 0, 0)
    services = [models.Service('stock', 8000, COLD_RATE_PER_S)]
    network.write('config', models.make_configuration(1, [conftest.READS], services, [account]))
    network.run(2000)
    for number in range(COLD_SERVERS):
        domain = sorted(DOMAINS)[number % len(DOMAINS)]
        cold = conftest.make_server(f'cold-{number}', failure_domain=domain, cold_ms=8000)
        network.write(f'servers/cold-{number}', cold)
    sent_ms = collections.defaultdict(list)
    for step in range(8000 // STEP_MS):
        network.run(STEP_MS)
        for number, instance_id in enumerate(sorted(network.instances)):
            if (number + step) % 2:
                continue
            for output in network.send(instance_id, path='/stock/1', object_key=None):
                if isinstance(output, effects.StartAttempt):
                    sent_ms[output.server.server_id].append(network.now_ms)
    most = max(
        sum(first <= at < first + 1000 for at in times)
        for times in sent_ms.values()
        for first in times
    )
    assert most <= PERMITTED
    assert len(sent_ms) == COLD_SERVERS
