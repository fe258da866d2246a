"""Fleet with the sizes of a large deployment, on links of unequal rates."""

import statistics

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest
from tests.gateway import fleet_network
from tests.gateway import links

REGIONS = ('a', 'b', 'c')
DOMAINS = {f'{region}-{number}': region for number in (1, 2, 3) for region in REGIONS}
INSTANCES_PER_DOMAIN = 22
SERVER_COUNT = 717
ACCOUNT_COUNT = 140
ROUTE_COUNT = 20
# The first instances of each failure domain have wide links, all others narrow ones.
WIDE_PER_DOMAIN = 3
WIDE_MBIT_PER_S = 60
NARROW_MBIT_PER_S = 6


def link_rate(instance_id):
    """Return the rate of the link of an instance, bytes per millisecond."""
    number = int(instance_id.rpartition('-')[2])
    is_wide = number < WIDE_PER_DOMAIN
    return links.bytes_per_ms(WIDE_MBIT_PER_S if is_wide else NARROW_MBIT_PER_S)


def narrow_rate(_):
    """Return the rate of the links of a fleet without wide ones."""
    return links.bytes_per_ms(NARROW_MBIT_PER_S)


def make_configuration(version, route_count=ROUTE_COUNT):
    """Return a configuration with some routes and the accounts."""
    targets = (models.RouteTarget('stock', 1),)
    routes = [
        models.Route(f'r{n}', f'h{n % 7}.example', f'/p{n}/', True, 2500, 500, 2, targets, 2)
        for n in range(route_count)
    ]
    accounts = [
        models.ClientAccount(f'account-{n}', (f'key-{n}-{n * 7919:x}',), None, 100, 50)
        for n in range(ACCOUNT_COUNT)
    ]
    services = [models.Service('stock', 3000, 7)]
    return models.make_configuration(version, routes, services, accounts)


def make_network(seed=1, size=INSTANCES_PER_DOMAIN, rate=link_rate, server_count=SERVER_COUNT):
    """Return a fleet whose instances know a configuration and all servers."""
    network = fleet_network.FleetNetwork(DOMAINS, 0, seed, rate)
    network.write('config', make_configuration(1))
    domains = tuple(DOMAINS)
    for number in range(server_count):
        server_id = f'i-{number * 2654435761 % 2**32:08x}'
        domain = domains[number % len(domains)]
        network.write(
            f'servers/{server_id}', conftest.make_server(server_id, failure_domain=domain)
        )
    for number in range(size):
        for domain in domains:
            network.start(f'{domain}-{number}', domain)
    network.run(4000)
    return network


def write_configuration(network, version, route_count=ROUTE_COUNT):
    """Write a configuration; return when."""
    network.write('config', make_configuration(version, route_count))
    return network.now_ms


def change_bytes(network):
    """Return the bytes of changes that each instance has sent."""
    kinds = (messages.StoreNews, messages.StoreSnapshotPart)
    return {
        instance_id: sum(uplink.sent_bytes[kind] for kind in kinds)
        for instance_id, uplink in network.uplinks.items()
    }


def most_sent_bytes(network, sent_before):
    """Return the most bytes of changes that a running instance has sent since then."""
    sent = change_bytes(network)
    return max(sent[each] - sent_before.get(each, 0) for each in sent)


class Arrival:
    """How long after it was written a version was in force: median, 99th percentile, largest."""

    def __init__(self, network, version, written_ms):
        """Collect the times of all running instances; infinity for one that lacks the version."""
        applied_ms = network.applied_ms[version]
        delays = sorted(
            applied_ms.get(instance_id, float('inf')) - written_ms
            for instance_id in network.instances
        )
        self.median_ms = statistics.median(delays)
        self.late_ms = delays[int(len(delays) * 0.99)]
        self.largest_ms = delays[-1]

    def __repr__(self):
        """Return the three times."""
        return f'{self.median_ms:.0f} {self.late_ms:.0f} {self.largest_ms:.0f} ms'
