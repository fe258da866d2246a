"""Operators' records that overtake other changes on narrow links."""

import random

import pytest

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest
from tests.gateway import fleet_network
from tests.gateway import links

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}
# The narrowest link of the operators.
RATE = links.bytes_per_ms(5)
CONFIG_KEY = 'op/config'
# Close to what the store takes as one value.
ENTRY_BYTES = 1_000_000
# Less than half of the strictest bound of the operators (2.5 s), and than two heartbeats and the wait
# before instances read the records themselves.
IN_FORCE_MS = 1000


def make_configuration(version):
    """Return a configuration without routes."""
    return models.make_configuration(version, [], [], [])


def large_server(number):
    """Return a server whose registration is long and does not compress well."""
    text = random.Random(number).randbytes(ENTRY_BYTES // 2).hex()
    return conftest.make_server(f'large-{number}', version=text)


@pytest.mark.parametrize('gap_ms', [0, 700])
def test_configuration_does_not_wait_for_large_entries(gap_ms):
    """Guards against a configuration behind large entries, in a batch or in the send queues.

    Two entries take about 1.6 s for each child on the narrowest link, and a relay has six children.
    """
    network = fleet_network.FleetNetwork(DOMAINS, 7, link_rate=lambda _: RATE)
    network.write(CONFIG_KEY, make_configuration(1))
    network.run(3000)
    for number in range(2):
        network.write(f'servers/large-{number}', large_server(number))
    network.run(gap_ms)
    network.write(CONFIG_KEY, make_configuration(2))
    network.run(IN_FORCE_MS)
    assert network.applied_ms[2].keys() == network.instances.keys()


def test_nothing_is_sent_twice_while_nothing_waits():
    """Guards against each configuration being sent twice on narrow links."""
    network = fleet_network.FleetNetwork(DOMAINS, 7, link_rate=lambda _: RATE)
    for version in range(1, 4):
        network.write(CONFIG_KEY, make_configuration(version))
        network.run(2000)
    sent = [uplink.sent_bytes[messages.OperatorChanges] for uplink in network.uplinks.values()]
    assert not any(sent)


def receive(gateway, *records):
    """Receive operators' records ahead of other changes."""
    relayed = messages.OperatorChanges(tuple(records))
    return gateway.reduce(core_events.MessageReceived('front-2', relayed))


def test_records_that_came_ahead_do_not_hide_the_changes_before_them(gateway):
    """Guards against a revision that is claimed without the changes that follow a configuration."""
    known = gateway.state.replica.revision
    gateway.records[b'ahead'] = make_configuration(9)
    receive(gateway, messages.RelayedRecord(CONFIG_KEY, known + 5, b'ahead'))
    assert gateway.state.declared.configuration.version == 9
    assert gateway.state.replica.revision == known
    gateway.records[b'server'] = conftest.make_server('stock-9')
    later = messages.StoreNews(
        known,
        known + 5,
        (
            messages.RelayedRecord('servers/stock-9', known + 3, b'server'),
            messages.RelayedRecord(CONFIG_KEY, known + 5, b'ahead'),
        ),
    )
    gateway.reduce(core_events.MessageReceived('front-2', later))
    assert gateway.state.replica.revision == known + 5
    assert 'stock-9' in gateway.state.servers.views


def test_records_from_before_do_not_come_back(gateway):
    """Guards against an evacuation, or a configuration, that a late message puts in force again."""
    gateway.records[b'old'] = models.Evacuation('almaty-b')
    outputs = receive(gateway, messages.RelayedRecord('op/evacuate/almaty-b', 1, b'old'))
    assert not gateway.state.declared.evacuated_domains
    assert not outputs


def test_only_operators_records_are_taken_ahead(gateway):
    """Guards against servers that are declared again by a message outside the order of changes."""
    gateway.records[b'server'] = conftest.make_server('stock-9')
    revision = gateway.revision + 3
    receive(gateway, messages.RelayedRecord('servers/stock-9', revision, b'server'))
    assert 'stock-9' not in gateway.state.servers.views


def test_instance_without_a_first_read_takes_nothing_ahead():
    """Guards against an instance that is ready with a configuration and no backend server."""
    gateway = conftest.Gateway()
    gateway.records[b'ahead'] = make_configuration(9)
    receive(gateway, messages.RelayedRecord(CONFIG_KEY, 5, b'ahead'))
    assert not gateway.state.is_ready


def test_earlier_release_gets_no_unknown_message(gateway):
    """Guards against messages that an earlier release only counts as unknown."""
    gateway.declare('fleet/instances/front-2', models.Member('front-2', 'b', 'x', 'y', '', ''))
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    gateway.state.replica.directly_reachable = True
    gateway.declare('servers/large-1', large_server(1))
    heartbeat = messages.Heartbeat('b', 1, store_reachable=False, leaving=False)
    gateway.reduce(core_events.MessageReceived('front-2', heartbeat))
    outputs = gateway.declare(CONFIG_KEY, make_configuration(9))
    assert not [
        output
        for output in outputs
        if isinstance(output, core_effects.Multicast)
        and isinstance(output.message, messages.OperatorChanges)
    ]
