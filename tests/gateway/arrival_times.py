"""Table of how long changes take to reach a fleet, calm and under trouble, and what they cost.

``python -m tests.gateway.arrival_times SIZE [SEED]`` simulates SIZE instances in each of nine failure
domains, all with the narrowest link.
"""

import random
import sys

from tests.gateway import large_fleet
from tests.gateway import links

SETTLE_MS = 4000
SILENT_MS = 1000
FULL_LINK_MBIT_PER_S = 1
VERSION = 2


def write(network):
    """Write the configuration that is measured; return when."""
    return large_fleet.write_configuration(network, VERSION)


def write_many_routes(network):
    """Write it with 1,400 routes more."""
    return large_fleet.write_configuration(network, VERSION, large_fleet.ROUTE_COUNT + 1400)


def after_lost_history(network):
    """Write it just after the watching instances have read the store anew."""
    network.stop_watches()
    network.write('servers/i-0', None)
    network.run(SILENT_MS)
    network.read_anew()
    return write(network)


def in_lost_history(network):
    """Write it while the watches hear nothing, a second before the store is read anew."""
    network.stop_watches()
    written_ms = write(network)
    network.run(SILENT_MS)
    network.read_anew()
    return written_ms


def after_restore(network):
    """Write it after the store was restored."""
    network.restore(set())
    return write(network)


def with_some_turned_away(network):
    """Write it when the store has begun to refuse a third of the instances, followers first."""
    followers = [key for key, instance in network.instances.items() if instance.following]
    others = sorted(network.instances.keys() - set(followers))
    count = len(network.instances) // 3 - len(followers)
    network.turn_away({*followers, *network.random.sample(others, count)})
    return write(network)


def relay_of(network, domain):
    """Return the relay of a failure domain."""
    return network.instances[f'{domain}-0'].state.fleet.relay_id


def with_dead_relay(network):
    """Write it when a relay has just been killed."""
    network.kill(relay_of(network, 'a-1'))
    return write(network)


def with_full_link(network):
    """Write it while the link of a relay is full of other bytes."""
    uplink = network.uplinks[relay_of(network, 'a-1')]
    uplink.rate = links.bytes_per_ms(FULL_LINK_MBIT_PER_S)
    return write(network)


SCENARIOS = (
    write,
    write_many_routes,
    after_lost_history,
    in_lost_history,
    after_restore,
    with_some_turned_away,
    with_dead_relay,
    with_full_link,
)


def measure(scenario, size, seed):
    """Return how long the configuration takes to reach all instances, and the most sent bytes."""
    network = large_fleet.make_network(seed, size, large_fleet.narrow_rate)
    network.random = random.Random(seed)
    sent_before = large_fleet.change_bytes(network)
    written_ms = scenario(network)
    network.run(SETTLE_MS)
    arrival = large_fleet.Arrival(network, VERSION, written_ms)
    return arrival, large_fleet.most_sent_bytes(network, sent_before)


def main():
    """Print median, 99th percentile and largest time, and what the busiest instance has sent."""
    size = int(sys.argv[1])
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for scenario in SCENARIOS:
        arrival, sent_bytes = measure(scenario, size, seed)
        measured = f'{arrival}, {sent_bytes} bytes'
        print(f'{size * 9} instances, {scenario.__name__}: {measured}', flush=True)  # noqa: T201


if __name__ == '__main__':
    main()
