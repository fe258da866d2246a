"""Usage reports of whole fleets: one instance, a mesh and a tree of 82, without a network.

Load pattern: 20 to 200 requests a second of eight accounts that come to all instances in turn.
"""

import pytest

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway.usage import reports
from tests.gateway.usage import usage_backends
from tests.gateway.usage import usage_fleet

SINGLE = {'a-1': 'a'}
MESH = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b'}
TREE = {f'{region}-{number}': region for region in 'abc' for number in (1, 2, 3)}
TOLERANCE = 0.05


@pytest.fixture
def mesh():
    """Return a mesh of 8 instances whose first windows were reported."""
    fleet = usage_fleet.UsageFleet(MESH, 2)
    fleet.run_load(12_000, 4)
    return fleet


@pytest.fixture
def tree():
    """Return a tree of 27 instances whose first windows were reported."""
    fleet = usage_fleet.UsageFleet(TREE, 3)
    fleet.run_load(12_000, 6)
    return fleet


def end_request(fleet, key, attempt_result, **fields):
    """Send a request to an instance and end all its attempts in one way; return their number."""
    attempt_count = 0
    started = fleet.send('a-1-0', access_key=key, **fields)
    while attempts := [each for each in started if isinstance(each, effects.StartAttempt)]:
        [attempt] = attempts
        attempt_count += 1
        fleet.run(50)
        ended = events.AttemptEnded(attempt.attempt_number, attempt_result, status=200)
        started = fleet.reduce('a-1-0', ended)
    return attempt_count


def contiguous(fleet):
    """Return whether no window was left out or out of order."""
    sent = fleet.backends.sent()
    return sent == list(range(sent[0], sent[0] + len(sent)))


def last_windows(fleet, count):
    """Return the last windows that were reported."""
    return fleet.backends.sent()[-count:]


@pytest.mark.parametrize(('domains', 'size', 'extra'), [(SINGLE, 1, 0), (MESH, 4, 0), (TREE, 9, 1)])
def test_reports_are_exact_and_early_in_a_quiet_fleet(domains, size, extra):
    """Guards against sizes of the fleet in which parts do not reach the holder.

    These are one instance, a mesh of 16, and a tree of 82.
    """
    fleet = usage_fleet.UsageFleet(domains, size)
    for number in range(extra):
        fleet.start(f'a-1-more-{number}', 'a-1')
    fleet.run_load(22_000, 10)
    fleet.backends.check()
    assert contiguous(fleet)
    windows = last_windows(fleet, 2)
    assert fleet.largest_error(windows) == 0
    assert max(fleet.lateness_ms()[window_id] for window_id in windows) < 2000


def test_requests_of_no_account_and_refused_ones_are_not_counted(mesh):
    """Guards against counts above those of the servers."""
    mesh.run(15_000)
    before = len(mesh.backends.sent())
    may_have_run = 0
    for _ in range(10):
        end_request(mesh, 'key-0', events.AttemptResult.NOT_RUN)
        end_request(mesh, None, events.AttemptResult.ANSWERED, path='/public/1')
        may_have_run += end_request(mesh, 'key-1', events.AttemptResult.BROKEN)
        mesh.run(50)
    mesh.run(12_000)
    reported = [mesh.reported()[each] for each in mesh.backends.sent()[before:]]
    assert [counts for counts in reported if counts] == [{'account-1': may_have_run}]
    assert may_have_run >= 10


@pytest.mark.parametrize('fleet_name', ['mesh', 'tree'])
def test_holder_that_is_killed_is_replaced_in_time(fleet_name, request):
    """Guards against windows that are late or wrong because the holder has ended."""
    fleet = request.getfixturevalue(fleet_name)
    fleet.kill(fleet.holder().member.instance_id)
    fleet.run_load(20_000, 6)
    fleet.backends.check()
    assert contiguous(fleet)
    assert max(fleet.lateness_ms().values()) < 9000
    assert fleet.largest_error(fleet.backends.sent()[1:]) <= TOLERANCE


@pytest.mark.parametrize('killed_after_ms', [2300, 2350, 2400, 2450, 4700])
def test_killed_instance_loses_less_than_the_tolerance(mesh, killed_after_ms):
    """Guards against counts that are passed on only once for each window.

    Each account has all its requests at one instance, which is the worst case.
    """
    mesh.run_load(7000, 20)
    holder_id = mesh.holder().member.instance_id
    victim = next(key for key in sorted(mesh.instances, reverse=True) if key != holder_id)
    mesh.run_load(killed_after_ms, 20)
    mesh.kill(victim)
    mesh.run_load(15_000, 20)
    mesh.backends.check()
    assert 0 < mesh.largest_error(mesh.backends.sent()[1:]) <= TOLERANCE


def test_killed_relay_delays_no_report(tree):
    """Guards against parts of a whole failure domain that are lost with its relay."""
    holder = tree.holder()
    relay_id = next(
        instance.state.fleet.relay_id
        for instance in tree.instances.values()
        if instance.state.fleet.relay_id != holder.state.fleet.relay_id
    )
    tree.run_load(2000, 6)
    tree.kill(relay_id)
    tree.run_load(18_000, 6)
    tree.backends.check()
    assert contiguous(tree)
    assert max(tree.lateness_ms().values()) < 9000
    assert tree.largest_error(tree.backends.sent()[1:]) <= TOLERANCE


def test_jump_of_one_clock_changes_no_count(mesh):
    """Guards against requests that are reported in windows seconds away."""
    mesh.skew_ms['b-2-1'] = 4000
    mesh.run_load(10_000, 4)
    mesh.skew_ms.clear()
    mesh.run_load(10_000, 4)
    assert mesh.largest_error(mesh.backends.sent()[1:]) == 0


def test_cut_off_failure_domain_is_reported_without_its_late_parts(mesh):
    """Guards against reports that wait for parts beyond the time at which they are due."""
    holder_id = mesh.holder().member.instance_id
    side = {key for key in mesh.instances if key.startswith('b-2')} - {holder_id}
    mesh.cut(side)
    mesh.run_load(20_000, 4, sorted(mesh.instances.keys() - side))
    mesh.backends.check()
    assert contiguous(mesh)
    assert max(mesh.lateness_ms().values()) < 9000
    mesh.cut(set())
    mesh.run_load(15_000, 4)
    mesh.backends.check()
    assert mesh.largest_error(last_windows(mesh, 1)) == 0


def test_restarted_instance_takes_no_duty_and_changes_no_report(mesh):
    """Guards against new instances that report windows which they did not see."""
    holder_id = mesh.holder().member.instance_id
    for key in ('a-1-0', 'b-2-1'):
        if key != holder_id:
            mesh.kill(key)
            mesh.start(key, key[:3])
    mesh.run_load(20_000, 4, [key for key in mesh.instances if key == holder_id])
    mesh.backends.check()
    assert mesh.backends.holder_ids() == [holder_id]
    assert mesh.largest_error(last_windows(mesh, 2)) == 0


def test_whole_fleet_that_restarts_goes_on_after_the_last_report(mesh):
    """Guards against windows that are reported twice, or never, after all instances were killed."""
    mesh.run_load(2000, 4)
    for key in sorted(mesh.instances):
        mesh.kill(key)
        mesh.start(key, key[:3])
    mesh.run(5000)
    mesh.run_load(25_000, 4)
    mesh.backends.check()
    assert contiguous(mesh)
    assert mesh.largest_error(last_windows(mesh, 2)) == 0


def test_restored_store_changes_no_report(mesh):
    """Guards against other counts when the store loses what was reported."""
    record, windows = mesh.backends.record, dict(mesh.backends.windows)
    mesh.run_load(10_000, 4)
    mesh.backends.restore(record, windows)
    mesh.run_load(20_000, 4)
    mesh.backends.check()
    assert contiguous(mesh)
    assert mesh.largest_error(mesh.backends.sent()[1:]) == 0


def test_parts_cost_few_messages(tree):
    """Guards against messages that grow with the square of the fleet."""
    before = tree.usage_messages
    tree.run_load(10_000, 6)
    per_s = (tree.usage_messages - before) / 10
    # Every instance sends to its relay, and each relay to the holder and the deputy.
    sender_count = len(tree.instances) + len(TREE)
    assert per_s <= sender_count * 1000 / reports.PASS_ON_INTERVAL_MS


def test_idle_fleet_reports_empty_windows_with_few_messages(mesh):
    """Guards against silence that the platform takes for a missing report."""
    mesh.run(12_000)
    before = mesh.usage_messages
    mesh.run(10_000)
    assert mesh.reported()[last_windows(mesh, 1)[0]] == {}
    assert mesh.usage_messages - before <= 6 * len(mesh.instances)
    assert contiguous(mesh)
    assert usage_backends.FIRST <= mesh.backends.sent()[0]
