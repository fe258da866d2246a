"""Changes on a fleet of 198 instances whose links are as narrow as the operators' narrowest."""

import pytest

from rhubarbspar.gateway import messages
from tests.gateway import large_fleet

# Half of the time within which the operators want a change of a large fleet in force.
IN_FORCE_MS = 2000
# Time between a change that a watch misses and the next read of the store.
SILENT_MS = 1000
SOON_MS = 100
SETTLE_MS = 5000


def change_bytes(network):
    """Return the bytes of changes that each instance has sent."""
    kinds = (messages.StoreNews, messages.StoreSnapshotPart)
    return {
        instance_id: sum(uplink.sent_bytes[kind] for kind in kinds)
        for instance_id, uplink in network.uplinks.items()
    }


@pytest.mark.parametrize('route_count', [20, 1420])
def test_changes_after_lost_history_are_in_force_in_time(route_count):
    """Guards against relays that send all records again after each new read of the store.

    On their links, the changes that follow wait behind the copies of the records.
    """
    network = large_fleet.make_network(rate=large_fleet.narrow_rate)
    large_fleet.write_configuration(network, 2, route_count)
    network.run(SETTLE_MS)
    sent_before = change_bytes(network)
    network.stop_watches()
    network.write('servers/i-0', None)
    network.run(SILENT_MS)
    network.read_anew()
    network.run(SOON_MS)
    written_ms = large_fleet.write_configuration(network, 3)
    network.run(SETTLE_MS)
    arrival = large_fleet.Arrival(network, 3, written_ms)
    assert arrival.largest_ms <= IN_FORCE_MS, arrival
    sent = change_bytes(network)
    most_sent = max(sent[each] - sent_before[each] for each in sent)
    # The link of a relay takes 1.5 MB in the time.
    assert most_sent < IN_FORCE_MS * large_fleet.narrow_rate('') / 4
