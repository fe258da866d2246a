"""Changes on a fleet of 198 instances whose links are as narrow as the operators' narrowest."""

import pytest

from rhubarbspar.gateway import const
from tests.gateway import fleet_network
from tests.gateway import large_fleet
from tests.gateway import links

# Half of the time within which the operators want a change of a large fleet in force.
IN_FORCE_MS = 2000
# Time between a change that a watch misses and the next read of the store.
SILENT_MS = 1000
SOON_MS = 100
SETTLE_MS = 5000


@pytest.mark.parametrize('route_count', [20, 1420])
def test_changes_after_lost_history_are_in_force_in_time(route_count):
    """Guards against relays that send all records again after each new read of the store.

    On their links, the changes that follow wait behind the copies of the records.
    """
    network = large_fleet.make_network(rate=large_fleet.narrow_rate)
    large_fleet.write_configuration(network, 2, route_count)
    network.run(SETTLE_MS)
    sent_before = large_fleet.change_bytes(network)
    network.stop_watches()
    network.write('servers/i-0', None)
    network.run(SILENT_MS)
    network.read_anew()
    network.run(SOON_MS)
    written_ms = large_fleet.write_configuration(network, 3)
    network.run(SETTLE_MS)
    arrival = large_fleet.Arrival(network, 3, written_ms)
    assert arrival.largest_ms <= IN_FORCE_MS, arrival
    most_sent = large_fleet.most_sent_bytes(network, sent_before)
    # The link of a relay takes 1.5 MB in the time.
    assert most_sent < IN_FORCE_MS * large_fleet.narrow_rate('') / 4


def relay_silence_ms(network, relay_ids):
    """Return how long ago an instance has heard its relay, at most."""
    return max(
        network.now_ms - network.instances[child_id].state.fleet.peers[relay_id].last_heartbeat_ms
        for child_id, relay_id in relay_ids.items()
        if child_id != relay_id
    )


def test_heartbeats_overtake_changes_of_all_records():
    """Guards against relays that seem dead while they send long changes, and are replaced."""
    network = large_fleet.make_network(rate=large_fleet.narrow_rate)
    large_fleet.write_configuration(network, 2, 1420)
    network.run(SETTLE_MS)
    relay_ids = {
        instance_id: instance.state.fleet.relay_id
        for instance_id, instance in network.instances.items()
    }
    network.restore(set())
    network.run(SOON_MS)
    written_ms = large_fleet.write_configuration(network, 3, 1420)
    silence_ms = 0
    for _ in range(SETTLE_MS // fleet_network.TICK_MS):
        network.run(fleet_network.TICK_MS)
        silence_ms = max(silence_ms, relay_silence_ms(network, relay_ids))
    # Heartbeats are late by less than their interval.
    assert silence_ms < 2 * const.HEARTBEAT_INTERVAL_MS
    arrival = large_fleet.Arrival(network, 3, written_ms)
    assert arrival.largest_ms <= IN_FORCE_MS, arrival


@pytest.mark.parametrize('route_count', [20, 1420])
def test_relays_have_wide_links(route_count):
    """Guards against changes that wait for the link of a small instance with many children."""
    network = large_fleet.make_network()
    relay_ids = {instance.state.fleet.relay_id for instance in network.instances.values()}
    rates = {network.link_rate(relay_id) for relay_id in relay_ids}
    assert rates == {links.bytes_per_ms(large_fleet.WIDE_MBIT_PER_S)}
    written_ms = large_fleet.write_configuration(network, 2, route_count)
    network.run(SETTLE_MS)
    arrival = large_fleet.Arrival(network, 2, written_ms)
    assert arrival.largest_ms <= IN_FORCE_MS / 2, arrival


def test_changes_on_their_way_are_not_sent_again():
    """Guards against relays whose links are full of repeated changes.

    The links leave 2 Mbit/s, and the changes take longer than the time after which those without an
    acknowledgement are sent again.
    """
    network = large_fleet.make_network(rate=lambda _: links.bytes_per_ms(2))
    large_fleet.write_configuration(network, 2, 1420)
    network.run(2 * SETTLE_MS)
    network.sent_changes.clear()
    network.restore(set())
    network.run(2 * SETTLE_MS)
    assert max(network.sent_changes.values()) == 1
