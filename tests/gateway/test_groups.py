"""Groups of servers among which a request is placed."""

from rhubarbspar.gateway import groups
from rhubarbspar.gateway import events
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
    network = selection.NetworkTopology('almaty-a', 'almaty', conftest.REGIONS)
    return groups.ServerGroup(views, network)


def test_small_group_is_weighed_whole():
    """Guards against a choice that misses the best of a few servers."""
    small = group(groups.COMPARE_ALL_MAX)
    assert small.candidates({}) == small.views


def test_large_group_is_sampled_around_the_servers_of_the_object():
    """Guards against processor time that grows with the fleet; power of d choices."""
    large = group(LARGE)
    gains = large.preferred('7')
    weighed = large.candidates(gains)
    bound = groups.SAMPLE_SAME_REGION + groups.SAMPLE_OTHER_REGIONS + len(gains)
    assert len(weighed) <= bound
    assert set(gains) <= {view.server.server_id for view in weighed}


def test_every_server_of_a_large_group_is_sampled_in_turn():
    """Guards against servers of a large service that no request can reach."""
    large = group(LARGE)
    seen = set()
    for _ in range(LARGE):
        seen.update(view.server.server_id for view in large.candidates({}))
    assert len(seen) == LARGE


def test_load_is_summed_up_anew_after_the_interval():
    """Guards against a price of work that stays behind a burst."""
    known = group(4)
    assert known.load_summary(0).load_per_slot == 0.25 * 4
    for view in known.views:
        view.running = 3
    assert known.load_summary(groups.SUMMARY_INTERVAL_MS - 1).load_per_slot == 1
    assert known.load_summary(groups.SUMMARY_INTERVAL_MS).load_per_slot > 3


def test_usual_load_is_that_of_the_region():
    """Guards against a region that is taken for full because the own one is."""
    known = group(4)
    for view in known.views[::2]:
        view.record_load_report(events.LoadReport(3, 4, 3), 0)
    for view in known.views[1::2]:
        view.record_load_report(events.LoadReport(1, 0, 3), 0)
    assert known.usual_others(0, 'almaty-a') == 7
    assert known.usual_others(0, 'astana-a') == 1
