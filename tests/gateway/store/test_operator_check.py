"""Instances that lack a change of operators without knowing it."""

import pytest

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.store import operator_check
from tests.gateway import conftest
from tests.gateway import fleet_network

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b'}
CONFIG_KEY = 'op/config'
OPERATOR_PREFIX = 'op/'
# The strictest bound of the operators on the time until a configuration is in force, and that of
# larger fleets.
APPLY_MS = 2500
APPLY_LARGE_MS = 4000
PEER = models.Member('front-2', 'b', 'almaty-b', 'almaty', '', '')


def make_configuration(version):
    """Return a configuration without routes."""
    return models.make_configuration(version, [], [], [])


def make_network(size):
    """Return a fleet that has a configuration."""
    network = fleet_network.FleetNetwork(DOMAINS, size)
    network.write(CONFIG_KEY, make_configuration(1))
    network.run(3000)
    assert len(network.applied_ms[1]) == len(network.instances)
    return network


def skip_changes(network, instance_id):
    """Let an instance claim all changes that the store has, without their records."""
    network.reduce(instance_id, events.StoreChanged((), network.store_revision + 1))


def lacking(network, version):
    """Return the instances that have not put a version of the configuration in force."""
    return network.instances.keys() - network.applied_ms[version].keys()


def followers(network):
    """Return the instances that watch the store."""
    return sorted(
        instance_id
        for instance_id, instance in network.instances.items()
        if instance.state.replica.directly_reachable
    )


def test_gap_in_the_follower_of_a_region_is_closed_in_time():
    """Guards against a whole region that stays on an old configuration.

    Its follower claims a revision of which it lacks a change, so that nobody asks for it.
    """
    network = make_network(2)
    follower = next(each for each in followers(network) if each.startswith('a-'))
    skip_changes(network, follower)
    network.run(600)
    network.without_watch.add(follower)
    network.write(CONFIG_KEY, make_configuration(2))
    network.run(APPLY_MS)
    assert not lacking(network, 2)


def test_gap_in_a_relay_and_its_children_is_closed_in_time():
    """Guards against a failure domain that stays on an old configuration.

    Its relay lacks a change that it claims to know, and so do the children that follow its claim.
    """
    network = make_network(7)
    relays = {instance.state.fleet.relay_id for instance in network.instances.values()}
    relay = next(each for each in sorted(relays) if each not in followers(network))
    children = {
        instance_id
        for instance_id, instance in network.instances.items()
        if instance.state.fleet.relay_id == relay
    }
    for instance_id in children:
        skip_changes(network, instance_id)
    network.without_changes |= children
    network.write(CONFIG_KEY, make_configuration(2))
    network.run(APPLY_LARGE_MS)
    assert not lacking(network, 2)


def test_nothing_is_read_while_nothing_is_missing():
    """Guards against reads of the store for changes that arrive by themselves, or for deletions."""
    network = make_network(2)
    for version in range(2, 8):
        network.write(CONFIG_KEY, make_configuration(version))
        network.write('op/evacuate/a-1', models.Evacuation('a-1'))
        network.run(700)
        network.write('op/evacuate/a-1', None)
        network.run(700)
    network.run(3000)
    assert not lacking(network, 7)
    assert not network.prefix_reads[OPERATOR_PREFIX]


def test_started_instance_reads_at_most_once_for_a_deletion_that_it_never_saw():
    """Guards against an instance that asks the store once a second for good.

    Its peers have the tombstone of a record that was deleted before it started.
    """
    network = make_network(2)
    network.write('op/evacuate/a-1', models.Evacuation('a-1'))
    network.run(1000)
    network.write('op/evacuate/a-1', None)
    network.run(1000)
    network.kill('a-1-0')
    network.run(3000)
    network.start('a-1-0', 'a-1')
    network.run(10_000)
    assert network.prefix_reads[OPERATOR_PREFIX] <= 1


def heartbeat_of_peer(gateway, operator_revision):
    """Receive a heartbeat of a peer with a revision of the operators' records."""
    heartbeat = messages.Heartbeat(
        'b', gateway.revision, False, False, operator_revision=operator_revision
    )
    gateway.reduce(core_events.MessageReceived('front-2', heartbeat))


def reads_within(gateway, duration_ms, operator_revision):
    """Return how often the operators' records are read while the peer stays ahead."""
    count = 0
    for _ in range(duration_ms // 50):
        heartbeat_of_peer(gateway, operator_revision)
        outputs = gateway.advance(50)
        count += sum(isinstance(output, effects.ReadPrefix) for output in outputs)
    return count


@pytest.fixture
def behind(gateway):
    """Return an instance with a peer."""
    gateway.declare('fleet/instances/front-2', PEER)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    return gateway


def test_store_is_asked_once_a_second_while_the_instance_is_behind(behind):
    """Guards against a store that hundreds of instances ask with each tick, or that fails once.

    The read fails each time here, so that the instance stays behind.
    """
    ahead = behind.revision + 100
    assert not reads_within(behind, operator_check.BEHIND_MAX_MS - 100, ahead)
    assert reads_within(behind, 3000, ahead) in {2, 3}


def test_read_ends_the_repeats_even_if_it_finds_nothing(behind):
    """Guards against reads without end for the tombstone that a peer has."""
    ahead = behind.revision + 100
    assert reads_within(behind, 1000, ahead) == 1
    behind.reduce(events.PrefixRead(OPERATOR_PREFIX, (), ahead))
    assert not reads_within(behind, 3000, ahead)


def test_records_that_the_read_lacks_are_removed(behind):
    """Guards against an evacuation that stays in force after operators have ended it."""
    behind.declare('op/evacuate/almaty-b', models.Evacuation('almaty-b'))
    behind.reduce(events.PrefixRead(OPERATOR_PREFIX, (), behind.revision + 1))
    assert not behind.state.declared.evacuated_domains


def test_heartbeats_carry_the_newest_revision_of_operators_records(behind):
    """Guards against peers that cannot see that they lack a change."""
    behind.declare(CONFIG_KEY, make_configuration(9))
    revision = behind.revision
    behind.declare('servers/stock-1', conftest.make_server('stock-1', slots=9))
    sent = [
        output.message
        for output in behind.advance(600)
        if isinstance(output, core_effects.Multicast | core_effects.SendMessage)
    ]
    assert {message.operator_revision for message in sent} == {revision}
