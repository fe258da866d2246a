"""Restores of the store from an older copy, and what they must not undo."""

import pytest

from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.store import revisions
from rhubarbspar.gateway.store import store_replica
from tests.gateway import conftest
from tests.gateway import fleet_network
from tests.gateway.rollouts import test_rollouts


def restore(gateway, lost_keys=()):
    """Let the gateway read a store that was restored from a copy without some keys."""
    era = revisions.era_of(gateway.state.replica.revision) + 1
    copied = tuple(
        events.RecordRead(
            record.key,
            revisions.combine(era, revisions.number_in_era(record.revision)),
            record.content,
        )
        for record in gateway.state.replica.records.values()
        if record.content is not None and record.key not in lost_keys
    )
    gateway.revision = revisions.combine(era, 1000)
    return gateway.reduce(events.StoreSnapshot(copied, gateway.revision))


def is_served(gateway, path):
    """Return whether a request is sent to a server."""
    return any(isinstance(out, effects.StartAttempt) for out in gateway.request(path))


def test_evacuation_that_the_copy_lacks_stays_until_it_is_written_again(gateway):
    """Guards against requests to an evacuated domain while the operators write their orders again."""
    gateway.declare('servers/stock-2', None)
    gateway.declare('evacuate/almaty-a', models.Evacuation('almaty-a'))
    restore(gateway, {'evacuate/almaty-a'})
    assert not is_served(gateway, '/stock/1')
    gateway.advance(1000)
    gateway.declare('evacuate/almaty-a', models.Evacuation('almaty-a'))
    gateway.advance(store_replica.RESTORE_GRACE_MS * 2)
    assert not is_served(gateway, '/stock/1')


def test_record_that_is_not_written_again_is_removed(gateway):
    """Guards against an evacuation that lasts forever because its end was lost."""
    gateway.declare('servers/stock-2', None)
    gateway.declare('evacuate/almaty-a', models.Evacuation('almaty-a'))
    restore(gateway, {'evacuate/almaty-a'})
    gateway.advance(store_replica.RESTORE_GRACE_MS + 100)
    gateway.advance(20_000)
    assert is_served(gateway, '/stock/1')


@pytest.mark.parametrize('written_again', [True, False])
def test_server_that_the_copy_lacks_is_used_for_a_short_time(gateway, written_again):
    """Guards against a fleet without servers while they register again, and against gone ones."""
    gateway.declare('servers/stock-2', None)
    restore(gateway, {'servers/stock-1'})
    assert is_served(gateway, '/stock/1')
    gateway.advance(1000)
    if written_again:
        gateway.add_server('stock-1', sequence=2)
    gateway.advance(store_replica.RESTORE_GRACE_MS)
    assert is_served(gateway, '/stock/1') == written_again


def test_configuration_of_an_older_copy_is_not_put_in_force(gateway):
    """Guards against a return to an older configuration until the newest is written again."""
    gateway.configure(conftest.READS, conftest.ORDERS, version=7)
    record = gateway.state.replica.records['config']
    era = revisions.era_of(gateway.state.replica.revision) + 1
    older = models.make_configuration(3, [conftest.ORDERS], [models.Service('orders', 0, 0)], [])
    gateway.records[b'older'] = older
    content = events.RecordRead('config', revisions.combine(era, 3), b'older')
    gateway.reduce(events.StoreSnapshot((content,), revisions.combine(era, 3)))
    assert record.content != b'older'
    assert gateway.state.declared.configuration.version == 7


@pytest.mark.parametrize('size', [2, 9])
def test_instances_that_do_not_watch_the_store_follow_a_restore(size):
    """Guards against instances that keep lost records, or drop those that were kept."""
    network = fleet_network.FleetNetwork({'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}, size)
    services = [models.Service('stock', 3000, 7)]
    for number in (1, 2, 3):
        network.write(f'servers/stock-{number}', conftest.make_server(f'stock-{number}'))
    network.write('config', models.make_configuration(5, [conftest.READS], services, []))
    network.run(3000)
    network.restore({'servers/stock-2', 'servers/stock-3', 'config'})
    network.write('servers/stock-3', conftest.make_server('stock-3'))
    network.write('config', models.make_configuration(6, [conftest.READS], services, []))
    network.run(2500)
    states = [instance.state for instance in network.instances.values()]
    assert {state.declared.configuration.version for state in states} == {6}
    network.run(3000)
    assert {tuple(sorted(state.servers.views)) for state in states} == {('stock-1', 'stock-3')}
    assert {len(state.fleet.peers) for state in states} == {3 * size - 1}


def restore_without_progress(gateway):
    """Restore the store without the rollout request and its status; write the request again."""
    lost_keys = {'rollout/stock', 'status/stock'}
    outputs = restore(gateway, lost_keys)
    gateway.advance(500)
    test_rollouts.request_rollout(gateway)
    return outputs


def test_rollout_goes_on_after_a_restore(gateway):
    """Guards against a rollout that begins again and misses its deadline."""
    test_rollouts.start_rollout(gateway)
    test_rollouts.serve(gateway, 7000)
    restore_without_progress(gateway)
    versions, statuses = test_rollouts.serve(gateway, 5500)
    assert statuses[-1] == const.PHASE_COMPLETED
    assert versions[-1] == 'v2'


def test_verdict_on_a_version_outlasts_a_restore(gateway):
    """Guards against requests to a bad version whose verdict was lost with the store's records."""
    test_rollouts.start_rollout(gateway)
    test_rollouts.serve(gateway, 8000, bad_share=0.5)
    restore_without_progress(gateway)
    versions, statuses = test_rollouts.serve(gateway, 4000, bad_share=0.5)
    assert 'v2' not in versions
    assert statuses == [const.PHASE_ROLLED_BACK]


def test_new_request_for_a_version_starts_a_new_rollout(gateway):
    """Guards against an operator's second attempt that is taken for the first one."""
    test_rollouts.start_rollout(gateway)
    test_rollouts.serve(gateway, 8000, bad_share=0.5)
    restore(gateway)
    gateway.advance(store_replica.RESTORE_GRACE_MS * 2)
    test_rollouts.request_rollout(gateway)
    versions, _ = test_rollouts.serve(gateway, 2000)
    assert 'v2' in versions
