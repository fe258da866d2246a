"""Groups of servers among which a request is placed."""

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import groups
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers
from tests.gateway import conftest

LARGE = 120


def group(count, **fields):
    """Return a group of which every second server is in the own region."""
    domains = ('almaty-a', 'astana-a')
    views = [
        servers.ServerView(
            conftest.make_server(f's{number}', failure_domain=domains[number % 2], **fields), 0
        )
        for number in range(count)
    ]
    network = selection.NetworkTimes('almaty-a', 'almaty', conftest.REGIONS)
    return groups.ServerGroup(views, network)


def test_small_group_is_weighed_whole():
    """Guards against a choice that misses the best of a few servers."""
    small = group(groups.WEIGHED_ALL_MAX)
    assert small.weighed({}) == small.views


def test_large_group_is_sampled_around_the_servers_of_the_object():
    """Guards against processor time that grows with the fleet; power of d choices."""
    large = group(LARGE)
    gains = large.preferred('7')
    weighed = large.weighed(gains)
    bound = groups.SAMPLED_NEAR + groups.SAMPLED_FAR + len(gains)
    assert len(weighed) <= bound
    assert set(gains) <= {view.server.server_id for view in weighed}


def test_every_server_of_a_large_group_is_sampled_in_turn():
    """Guards against servers of a large service that no request can reach."""
    large = group(LARGE)
    seen = set()
    for _ in range(LARGE):
        seen.update(view.server.server_id for view in large.weighed({}))
    assert len(seen) == LARGE


def test_load_is_summed_up_anew_after_the_interval():
    """Guards against a price of work that stays behind a burst."""
    known = group(4)
    assert known.load(0).per_slot == 0.25 * 4
    for view in known.views:
        view.running = 3
    assert known.load(groups.SUMMARY_INTERVAL_MS - 1).per_slot == 1
    assert known.load(groups.SUMMARY_INTERVAL_MS).per_slot > 3


def test_draining_server_leaves_its_group(gateway):
    """Guards against a cached group that outlives a declaration."""
    conftest.only(gateway.request(), effects.StartAttempt)
    gateway.add_server('stock-1', draining=True, sequence=2)
    for _ in range(6):
        started = conftest.only(gateway.request(), effects.StartAttempt)
        assert started.server.server_id == 'stock-2'


def test_evacuated_domain_leaves_its_groups_and_returns(gateway):
    """Guards against a cached group that outlives an evacuation."""
    conftest.only(gateway.request(), effects.StartAttempt)
    gateway.declare('evacuate/almaty-b', models.Evacuation('almaty-b'))
    for _ in range(6):
        started = conftest.only(gateway.request(), effects.StartAttempt)
        assert started.server.server_id == 'stock-1'
    gateway.declare('evacuate/almaty-b', None)
    # The servers of the domain are taken for cold at first, so that they get little.
    gateway.now_ms += 10_000
    found = {
        conftest.only(gateway.request(), effects.StartAttempt).server.server_id for _ in range(6)
    }
    assert 'stock-2' in found


def test_ejected_sample_falls_back_on_the_whole_group(gateway):
    """Guards against sending to a failed server because the sample holds no other one."""
    for number in range(LARGE):
        gateway.add_server(f'many-{number}', failure_domain='astana-a')
    for view in gateway.state.servers.of_service('stock'):
        view.eject(gateway.now_ms)
    sound = gateway.state.servers.views[f'many-{LARGE - 1}']
    sound.ejected_until_ms = 0
    started = conftest.only(gateway.request(), effects.StartAttempt)
    assert started.server.server_id == sound.server.server_id


def test_usual_load_is_that_of_the_region():
    """Guards against a region that is taken for full because the own one is."""
    known = group(4)
    for view in known.views[::2]:
        view.take_report(events.LoadReport(3, 4, 3), 0)
    for view in known.views[1::2]:
        view.take_report(events.LoadReport(1, 0, 3), 0)
    assert known.usual_others(0, 'almaty-a') == 7
    assert known.usual_others(0, 'astana-a') == 1


def test_time_at_a_server_with_a_queue_says_nothing_about_the_work(gateway):
    """Guards against work that is taken for long everywhere because one region has queues."""
    usual = outcomes.work_time(gateway.state, conftest.READS).mean_ms
    for waiting in (2, 0):
        # Old reports say nothing of the load any more.
        gateway.now_ms += 10_000
        started = conftest.only(gateway.request(), effects.StartAttempt)
        gateway.now_ms += 900
        load = events.LoadReport(3, waiting, 3)
        answered = events.AttemptResult.ANSWERED
        gateway.reduce(conftest.ended(started, answered, status=200, load=load))
        learnt = outcomes.work_time(gateway.state, conftest.READS).mean_ms
        assert (learnt == usual) == bool(waiting)
