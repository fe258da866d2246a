"""Relay of store changes between instances that start, stop and lose contact."""

import random

import pytest

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway.store import store_replica
from tests.gateway import conftest
from tests.gateway import fleet_network

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}
SERVER_IDS = tuple(f'stock-{number}' for number in range(6))
# A watch returns changes together, up to this long after they happened.
WATCH_DELAY_MS = 350
# The strictest bound of the operators on requests to a server that has left.
DRAIN_MS = 2500
SETTLE_MS = 6000
TROUBLES = ('restart', 'remove', 'write', 'turn away', 'cut', 'heal')


def make_network(seed, size):
    """Return a fleet whose instances know a configuration and some servers."""
    network = fleet_network.FleetNetwork(DOMAINS, size, seed)
    network.write('config', 'anything')
    for server_id in SERVER_IDS:
        network.write(f'servers/{server_id}', conftest.make_server(server_id))
    network.run(2000)
    network.watch_delay_ms = WATCH_DELAY_MS
    return network


def existing(records):
    """Return the contents of the keys that are not deleted."""
    return {key: content for key, content in records.items() if content is not None}


def differing(network):
    """Return the ids of the instances whose replica differs from the store."""
    stored = existing({key: content for key, (_, content) in network.records.items()})
    return [
        instance_id
        for instance_id, instance in network.instances.items()
        if existing({key: record.content for key, record in instance.state.replica.records.items()})
        != stored
    ]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('size', [1, 2, 7])
def test_removals_during_a_restart_reach_all_instances(size, seed):
    """Guards against instances that use a removed server for good.

    The restarted instance watches the store for its region. It has read the store after the removal
    and the others have not heard of it yet.
    """
    network = make_network(seed, size)
    restarted = 'a-1-0'
    for server_id in SERVER_IDS[:3]:
        network.kill(restarted)
        network.run(1500)
        network.write(f'servers/{server_id}', None)
        network.start(restarted, 'a-1')
        network.run(DRAIN_MS)
        assert not differing(network)


@pytest.mark.parametrize('seed', range(12))
@pytest.mark.parametrize('troubles', [TROUBLES, (*TROUBLES, 'stop watches', 'read anew')])
def test_replicas_equal_the_store_after_any_trouble(seed, troubles):
    """Guards against interleavings of restarts, cuts and changes that leave a replica wrong."""
    network = make_network(seed, 2)
    rng = random.Random(seed)  # noqa: S311
    for step in range(25):
        instance_id = rng.choice(sorted(network.instances))
        domain, _, _ = instance_id.rpartition('-')
        server_id = rng.choice(SERVER_IDS)
        match rng.choice(troubles):
            case 'restart':
                network.kill(instance_id)
                network.run(rng.choice((50, 500, 1500)))
                network.start(instance_id, domain)
            case 'remove':
                network.write(f'servers/{server_id}', None)
            case 'write':
                server = conftest.make_server(server_id, slots=step + 1)
                network.write(f'servers/{server_id}', server)
            case 'turn away':
                network.turn_away(rng.sample(sorted(network.instances), 2))
            case 'cut':
                network.cut({instance_id})
            case 'heal':
                network.cut(set())
                network.turn_away(set())
            case 'stop watches':
                network.stop_watches()
            case 'read anew':
                network.read_anew()
        network.run(rng.choice((50, 300, 1200)))
    network.cut(set())
    network.turn_away(set())
    network.read_anew()
    network.run(SETTLE_MS)
    assert not differing(network)


def test_instance_without_the_store_gets_a_snapshot_from_a_restarted_peer():
    """Guards against an instance that keeps removed servers because all its peers have restarted."""
    network = make_network(1, 1)
    network.turn_away({'a-2-0'})
    network.run(500)
    for peer_id, domain in (('a-1-0', 'a-1'), ('b-1-0', 'b-1')):
        network.kill(peer_id)
    network.write(f'servers/{SERVER_IDS[0]}', None)
    for peer_id, domain in (('a-1-0', 'a-1'), ('b-1-0', 'b-1')):
        network.start(peer_id, domain)
    network.run(SETTLE_MS)
    assert not differing(network)


def test_replica_is_complete_from_its_snapshot_on():
    """Guards against a peer that is told of all changes by one that lacks the deletions."""
    replica = store_replica.StoreReplica()
    replica.apply_snapshot(events.StoreSnapshot((events.RecordRead('a', 5, b'x'),), 9), 0)
    assert replica.history.complete_from == 9
    replica.apply_changes((events.RecordRead('a', 10, None),), 10, 0)
    assert replica.history.complete_from == 9


def test_dropped_tombstones_are_not_claimed():
    """Guards against a replica that claims to know deletions which it has dropped."""
    replica = store_replica.StoreReplica()
    dropped = 3
    for revision in range(1, store_replica.TOMBSTONES_MAX + dropped + 1):
        replica.apply_changes((events.RecordRead(f'k{revision}', revision, None),), revision, 0)
    assert replica.history.complete_from == dropped


def test_snapshot_in_parts_replaces_all_records(gateway):
    """Guards against a part that counts as the whole, and against parts that were lost."""

    def part(after_key, is_last, *keys):
        records = tuple(messages.RelayedRecord(key, 90, b'1') for key in keys)
        message = messages.StoreSnapshotPart(100, after_key, is_last, records)
        return core_events.MessageReceived('front-2', message)

    gateway.records[b'1'] = conftest.make_server('stock-9')
    gateway.reduce(part('b', True, 'servers/stock-9'))
    gateway.reduce(part('', False, 'servers/a'))
    gateway.reduce(part('servers/b', True, 'servers/stock-9'))
    assert 'stock-1' in gateway.state.servers.views
    gateway.reduce(part('', False, 'servers/a'))
    gateway.reduce(part('servers/a', True, 'servers/stock-9'))
    assert set(gateway.state.servers.views) == {'stock-9'}
    assert not gateway.state.replica.history.is_complete_after(99)
    assert gateway.state.replica.history.is_complete_after(100)
