"""Fleets of which only relays exchange heartbeats between failure domains."""

import collections

import pytest

from rhubarbspar.gateway import models
from rhubarbspar.gateway.serving import directory
from tests.gateway import conftest
from tests.gateway import fleet_network

DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}
SIZE = 9
ACCOUNT = models.ClientAccount('large', ('key-1',), None, 100, 100)
# The strictest bound of the operators on the time until a change of the store is in force.
CONFIGURATION_APPLIED_MS = 2500
ACCOUNT_MAX = (5 * 100 + 100) * 1.1 + 20


def make_network(size=SIZE, seed=1):
    """Return a fleet with a configuration and a backend server."""
    network = fleet_network.FleetNetwork(DOMAINS, size, seed)
    services = [models.Service('stock', 3000, 7)]
    configuration = models.make_configuration(1, [conftest.READS], services, [ACCOUNT])
    network.write('config', configuration)
    network.write('servers/stock-1', conftest.make_server('stock-1', failure_domain='a-1'))
    network.run(2000)
    return network


@pytest.fixture
def network():
    """Return a fleet of 27 instances."""
    return make_network()


def relays(network):
    """Return the relays that the instances report to, by failure domain."""
    chosen = collections.defaultdict(set)
    for instance in network.instances.values():
        chosen[instance.member.failure_domain].add(instance.state.fleet.relay_id)
    return chosen


def relay_of(network, domain):
    """Return the only relay of a failure domain."""
    (relay_id,) = relays(network)[domain]
    return relay_id


def live_counts(network):
    """Return the numbers of live instances that the instances know."""
    return {
        instance.state.fleet.live_count(network.now_ms) for instance in network.instances.values()
    }


def send_requests(network, duration_ms, demand_per_s, instance_ids=None):
    """Send requests to the instances in turn; return the times of the admitted ones."""
    admitted_ms = []
    sent = 0.0
    number = 0
    for _ in range(int(duration_ms / 50)):
        network.run(50)
        sent += demand_per_s * 0.05
        while sent >= 1:
            sent -= 1
            targets = sorted(instance_ids or network.instances)
            if network.request(targets[number * 7 % len(targets)], path='/stock/1'):
                admitted_ms.append(network.now_ms)
            number += 1
    return admitted_ms


def most_in_window(times, window_ms=5000):
    """Return the maximum number of times in a sliding window."""
    return max(sum(first <= at < first + window_ms for at in times) for first in set(times))


def test_each_failure_domain_has_one_relay(network):
    """Guards against a fleet whose connections grow with the square of its size."""
    assert all(len(relay_ids) == 1 for relay_ids in relays(network).values())
    assert len(network.connections) <= 2 * len(network.instances) + 9
    assert live_counts(network) == {27}


def test_messages_do_not_grow_with_the_fleet():
    """Guards against a cost for each instance that grows with the fleet."""
    per_s = {}
    for size in (9, 27):
        network = make_network(size)
        before = {key: instance.message_count for key, instance in network.instances.items()}
        network.run(5000)
        counts = sorted(
            instance.message_count - before[key] for key, instance in network.instances.items()
        )
        per_s[size] = counts[len(counts) // 2] / 5
    assert per_s[27] <= 1.2 * per_s[9]


def test_killed_relay_is_replaced(network):
    """Guards against a failure domain that is cut off after the failure of its relay."""
    former_id = relay_of(network, 'a-1')
    network.kill(former_id)
    network.run(4000)
    assert relay_of(network, 'a-1') != former_id
    assert live_counts(network) == {26}


def test_cut_off_relay_is_replaced(network):
    """Guards against instances that wait for a relay whose connections are silent."""
    former_id = relay_of(network, 'b-1')
    network.cut({former_id})
    network.run(5000)
    others = [key for key in network.instances if key != former_id]
    assert {network.instances[key].state.fleet.live_count(network.now_ms) for key in others} == {26}
    network.cut(set())
    network.run(6000)
    assert live_counts(network) == {27}
    assert relay_of(network, 'b-1') == former_id


def test_restarted_fleet_connects_again(network):
    """Guards against a fleet that stays in parts after most of it was killed at once."""
    killed = sorted(network.instances)[::2]
    for instance_id in killed:
        network.kill(instance_id)
    network.run(2000)
    for instance_id in killed:
        network.start(instance_id, instance_id.rpartition('-')[0])
    network.run(5000)
    assert live_counts(network) == {27}
    assert all(len(relay_ids) == 1 for relay_ids in relays(network).values())


def test_dead_instances_leave_the_look_up_in_time(network):
    """Guards against callers that are sent to a failure domain that has lost power."""
    lost = [key for key in network.instances if key.startswith('a-2')]
    for instance_id in lost:
        network.kill(instance_id)
    network.run(5000)
    for instance in network.instances.values():
        answer = directory.find_instances(instance.state, 'a-2', 'a', network.now_ms)
        assert all(address.startswith('a-1') for address in answer.caller_addresses)


def test_change_of_the_store_reaches_all_instances(network):
    """Guards against instances that keep an old configuration.

    Only one instance of each region watches the store.
    """
    following = [key for key, instance in network.instances.items() if instance.following]
    assert len(following) == 2
    network.write('evacuate/a-1', models.Evacuation('a-1'))
    network.run(400)
    for instance in network.instances.values():
        assert instance.state.declared.evacuated_domains == {'a-1'}


def test_follower_is_replaced_by_few_instances(network):
    """Guards against a region that calls the store all at once when its follower has failed."""
    (follower,) = [
        key
        for key, instance in network.instances.items()
        if instance.following and key.startswith('a')
    ]
    network.kill(follower)
    most = 0
    for _ in range(100):
        network.run(50)
        most = max(most, sum(instance.following for instance in network.instances.values()))
    network.write('evacuate/a-1', models.Evacuation('a-1'))
    network.run(500)
    assert most <= 6
    for instance in network.instances.values():
        assert instance.state.declared.evacuated_domains == {'a-1'}


@pytest.mark.parametrize('seed', range(6))
def test_changes_reach_all_instances_while_the_store_refuses_some(seed):
    """Guards against instances that keep an old configuration.

    The store refuses a third of the instances, among them relays and followers.
    """
    network = make_network(seed=seed)
    names = sorted(network.instances)
    for number in range(8):
        network.turn_away(network.random.sample(names, 9))
        network.run(network.random.uniform(0, 3000))
        domain = network.random.choice(sorted(DOMAINS))
        evacuated = models.Evacuation(domain) if number % 2 else None
        network.write('evacuate/a-1', evacuated)
        network.run(CONFIGURATION_APPLIED_MS)
        stale = [
            key
            for key, instance in network.instances.items()
            if instance.state.replica.revision_of('evacuate/a-1')
            != (network.store_revision if evacuated else 0)
        ]
        assert not stale, (number, stale)


def test_instance_that_missed_a_change_gets_it_without_a_follower_in_the_region(network):
    """Guards against instances that stay behind their own relay.

    The store refuses a whole region, and a change got lost on its way to one instance there.
    """
    region_b = [key for key in network.instances if key.startswith('b-1')]
    network.turn_away(region_b)
    network.run(4000)
    missing_id = next(key for key in region_b if key != relay_of(network, 'b-1'))
    network.without_changes = {missing_id}
    network.write('evacuate/a-1', models.Evacuation('a-1'))
    network.run(3000)
    network.without_changes = set()
    network.run(CONFIGURATION_APPLIED_MS)
    for instance in network.instances.values():
        assert instance.state.declared.evacuated_domains == {'a-1'}


@pytest.mark.parametrize('load', [0.5, 0.8])
def test_account_within_its_rate_is_admitted(network, load):
    """Guards against refusals of an account whose rate is divided among many instances."""
    admitted_ms = send_requests(network, 10_000, load * ACCOUNT.rate_per_s)
    assert len(admitted_ms) >= 0.99 * 10 * load * ACCOUNT.rate_per_s - 1


def test_account_over_its_rate_is_limited(network):
    """Guards against an account that gets its rate in every failure domain."""
    admitted_ms = send_requests(network, 15_000, 7 * ACCOUNT.rate_per_s)
    assert most_in_window(admitted_ms) <= ACCOUNT_MAX
    assert len(admitted_ms) >= 0.8 * 15 * ACCOUNT.rate_per_s


@pytest.mark.parametrize('seed', range(3))
def test_account_stays_limited_while_relays_fail(seed):
    """Guards against sums that are lost or counted twice when another instance becomes the relay."""
    network = make_network(seed=seed)
    admitted_ms = send_requests(network, 5000, 5 * ACCOUNT.rate_per_s)
    for domain in ('a-1', 'b-1'):
        network.kill(relay_of(network, domain))
    admitted_ms += send_requests(network, 8000, 5 * ACCOUNT.rate_per_s)
    assert most_in_window(admitted_ms) <= ACCOUNT_MAX


@pytest.mark.parametrize('side', ['b-1', 'a-1'])
def test_account_stays_limited_in_a_partition(network, side):
    """Guards against both sides of a cut fleet handing out the whole rate."""
    admitted_ms = send_requests(network, 5000, 4 * ACCOUNT.rate_per_s)
    network.cut([key for key in network.instances if key.startswith(side)])
    admitted_ms += send_requests(network, 6000, 4 * ACCOUNT.rate_per_s)
    network.cut(())
    admitted_ms += send_requests(network, 6000, 4 * ACCOUNT.rate_per_s)
    assert most_in_window(admitted_ms) <= ACCOUNT_MAX


@pytest.mark.parametrize('seed', range(3))
def test_account_stays_limited_when_instances_of_all_domains_are_cut_off(seed):
    """Guards against a cut-off side whose new relays take its sums for those of the whole fleet."""
    network = make_network(seed=seed)
    admitted_ms = send_requests(network, 6000, 0.6 * ACCOUNT.rate_per_s)
    network.cut(sorted(network.instances)[::3])
    admitted_ms += send_requests(network, 4300, 0.6 * ACCOUNT.rate_per_s)
    admitted_ms += send_requests(network, 7000, 4 * ACCOUNT.rate_per_s)
    assert most_in_window(admitted_ms) <= ACCOUNT_MAX


def test_account_is_admitted_again_after_a_relay_has_failed(network):
    """Guards against demand that is counted at a failed relay and at the one that replaced it."""
    send_requests(network, 4000, 0.6 * ACCOUNT.rate_per_s)
    network.kill(relay_of(network, 'a-1'))
    send_requests(network, 5000, 0.6 * ACCOUNT.rate_per_s)
    admitted_ms = send_requests(network, 5000, 0.6 * ACCOUNT.rate_per_s)
    assert len(admitted_ms) >= 0.98 * 5 * 0.6 * ACCOUNT.rate_per_s


@pytest.mark.parametrize('size', [2, SIZE])
@pytest.mark.parametrize('down_ms', [200, 1000])
def test_fleet_that_restarts_under_load_keeps_to_the_rate(size, down_ms):
    """Guards against instances that all start with the whole burst of an account."""
    network = make_network(size)
    demand_per_s = 3 * ACCOUNT.rate_per_s
    admitted_ms = send_requests(network, 4000, demand_per_s)
    restarted = sorted(network.instances)
    for instance_id in restarted:
        network.kill(instance_id)
    network.run(down_ms)
    for instance_id in restarted:
        network.start(instance_id, instance_id.rpartition('-')[0])
    after_ms = send_requests(network, 5000, demand_per_s)
    assert most_in_window(admitted_ms + after_ms) <= ACCOUNT_MAX
    assert len(after_ms) >= 0.8 * (5 * ACCOUNT.rate_per_s - ACCOUNT.burst)


def test_fleet_that_restarts_serves_accounts_within_their_rates():
    """Guards against shares of less than one request that refuse small accounts after a restart."""
    network = make_network()
    accounts = [
        models.ClientAccount(f'small-{number}', (f'small-{number}',), None, 5, 5)
        for number in range(8)
    ]
    services = [models.Service('stock', 3000, 7)]
    network.write('config', models.make_configuration(2, [conftest.READS], services, accounts))
    restarted = sorted(network.instances)
    for instance_id in restarted:
        network.kill(instance_id)
    network.run(400)
    for instance_id in restarted:
        network.start(instance_id, instance_id.rpartition('-')[0])
    results = []
    for number in range(80):
        network.run(50)
        target = restarted[number * 7 % len(restarted)]
        access_key = accounts[number % len(accounts)].keys[0]
        results.append(network.request(target, path='/stock/1', access_key=access_key))
    assert results.count(False) <= 0.1 * len(results)
