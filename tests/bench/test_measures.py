"""Tests of the fleet, backend servers, callers and figures behind the group ``measures``."""

import io
import pickle

import pytest

from rhubarbspar.bench import __main__ as bench
from rhubarbspar.bench import deployment
from rhubarbspar.bench import measures
from rhubarbspar.bench import models
from rhubarbspar.bench import wide_fleet


@pytest.fixture(scope='module')
def warm():
    """Return a warm run of the guild; every test gets its own copy."""
    return pickle.dumps(measures.warmed_up(deployment.load('guild'), seed=1))


@pytest.fixture
def run(warm):
    """Return a run that no other test has changed."""
    return pickle.loads(warm)


@pytest.mark.parametrize(('name', 'slots'), [('guild', 108), ('valdivieso', 228)])
def test_deployment_has_ten_instances_and_the_slots_of_its_answers(name, slots):
    """Guards against figures of another deployment than the one in the answers."""
    deployed = deployment.load(name)
    assert len(deployed.instances) == 10
    assert sum(deployed.slots(service) for service in deployed.configuration.services) == slots
    rates = [entry.rate_per_s for entry in deployed.configuration.client_accounts.values()]
    assert sum(rates) == pytest.approx(deployed.capacity_per_s())


@pytest.mark.parametrize(
    ('one', 'other', 'delay_ms'),
    [
        ('almaty-1', 'almaty-2', 1),
        ('almaty-1', 'astana-1', 35),
        ('almaty', 'almaty-1', 3),
        ('almaty', 'astana-1', 38),
    ],
)
def test_delays_follow_the_places(one, other, delay_ms):
    """Guards against latencies without the distance between regions."""
    assert deployment.load('guild').delay_ms(one, other) == delay_ms


def test_calm_run_answers_everything_once(run):
    """Guards against callers or servers that lose requests without a fault."""
    least = measures.measure_headroom(run, 'calm', 0.5)
    assert len(run.callers.calls) > 300
    assert all(call.answered for call in run.callers.calls)
    assert set(run.servers.executions.values()) == {1}
    assert run.servers.overloads == 0
    assert set(least) == {'almaty', 'astana', 'aktobe'}


def test_killed_instance_breaks_requests_that_callers_repeat(run):
    """Guards against a fault that no caller notices."""
    measures.measure_headroom(run, 'instance_killed', 0.5)
    assert run.victim() not in run.fleet.nodes
    assert any(call.attempts > 1 for call in run.callers.calls)
    assert max(run.servers.executions.values()) == 1
    assert all(call.ended_ms for call in run.callers.calls)


def test_cut_domain_can_be_reached_by_nobody_until_it_is_mended(run):
    """Guards against a cut that leaves callers or the store within reach."""
    domain = run.victim_domain()
    run.fleet.cut([domain], ['aktobe', 'almaty-1'])
    assert not wide_fleet.reachable(run.fleet, 'aktobe', domain)
    assert not wide_fleet.reachable(run.fleet, domain, 'almaty-1')
    run.fleet.end_faults_and_cuts()
    assert wide_fleet.reachable(run.fleet, 'aktobe', domain)


def test_drain_time_counts_from_the_operators_change(run):
    """Guards against a drain time of a server that was idle before the drain."""
    measures.measure_headroom(run, 'server_drain', 0.5)
    server = run.servers.servers[run.leaving_id]
    assert not server.busy
    assert server.received_ms < run.leaving_ms + 3_000


def test_choice_of_fault_and_deployment_is_passed_on(monkeypatch):
    """Guards against a long run of all classes when one was asked for."""

    def only(seed, *, name='', fault=''):
        yield models.Figure(f'{name}/{fault}', 1, 's', seed)

    monkeypatch.setattr(bench, 'GROUPS', {'measures': only})
    output = io.StringIO()
    chosen = ['--only', 'measures', '--deployment', 'guild', '--fault', 'store_down']
    bench.main(chosen, output, io.StringIO())
    assert '"guild/store_down"' in output.getvalue()


def test_choice_of_fault_without_its_group_is_refused(capsys):
    """Guards against a choice that is silently ignored by other groups."""
    with pytest.raises(SystemExit):
        bench.main(['--only', 'lookups', '--fault', 'calm'], io.StringIO(), io.StringIO())
    assert '--only measures' in capsys.readouterr().err
