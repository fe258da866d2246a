"""Groups of servers from which the server of a request is chosen."""

from rhubarbspar.gateway import events
from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.routing import servers
from tests.gateway import conftest

LARGE = 120


def group(count, **fields):
    """Return a group; every second server is in the own region."""
    domains = ('almaty-a', 'astana-a')
    views = [
        servers.ServerView(
            conftest.make_server(f's{number}', failure_domain=domains[number % 2], **fields), 0
        )
        for number in range(count)
    ]
    network = selection.NetworkTopology('almaty-a', 'almaty', conftest.REGIONS)
    return groups.ServerGroup(views, network)


def test_all_servers_of_a_small_group_are_compared():
    """Guards against a choice that misses the best of a few servers."""
    small = group(groups.COMPARE_ALL_MAX)
    assert small.candidates({}) == small.views


def test_large_group_is_sampled_around_the_servers_of_the_object():
    """Guards against processor time for each request that grows with the group."""
    large = group(LARGE)
    preferred = large.preferred('7')
    candidates = large.candidates(preferred)
    bound = groups.SAMPLE_SAME_REGION + groups.SAMPLE_OTHER_REGIONS + len(preferred)
    assert len(candidates) <= bound
    assert set(preferred) <= {view.server.server_id for view in candidates}


def test_every_server_of_a_large_group_is_sampled_in_turn():
    """Guards against servers of a large group that are never compared."""
    large = group(LARGE)
    seen = set()
    for _ in range(LARGE):
        seen.update(view.server.server_id for view in large.candidates({}))
    assert len(seen) == LARGE


def test_load_summary_is_computed_again_after_its_interval():
    """Guards against a load estimate that ignores a burst because the summary is outdated."""
    four = group(4)
    assert four.load_summary(0).load_per_slot == 0.25 * 4
    for view in four.views:
        view.running = 3
    assert four.load_summary(groups.SUMMARY_INTERVAL_MS - 1).load_per_slot == 1
    assert four.load_summary(groups.SUMMARY_INTERVAL_MS).load_per_slot > 3


def test_usual_load_is_separate_for_each_region():
    """Guards against a region that counts as full because the own region is."""
    four = group(4)
    for view in four.views[::2]:
        view.record_load_report(events.LoadReport(3, 4, 3), 0)
    for view in four.views[1::2]:
        view.record_load_report(events.LoadReport(1, 0, 3), 0)
    assert four.typical_other_requests(0, 'almaty-a') == 7
    assert four.typical_other_requests(0, 'astana-a') == 1
