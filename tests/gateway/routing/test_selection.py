"""Choice of the backend server for a request among the candidates."""

import itertools

from rhubarbspar.gateway.routing import idle_connections
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.routing import servers
from rhubarbspar.gateway.serving import backend_client
from tests.gateway import conftest


def views(count, **fields):
    """Return servers without load and with three slots each."""
    return [
        servers.ServerView(conftest.make_server(f's{number}', **fields), 0, slots=3)
        for number in range(count)
    ]


def selection_inputs(**fields):
    """Return inputs in which all servers are equally near."""
    defaults = {
        'now_ms': 0,
        'processing_ms': 200,
        'mean_processing_ms': 200,
        'typical_other_requests': lambda _domain: 0.0,
        'round_trip_ms': lambda _domain: 1.0,
        'distance_cost_ms': lambda _domain: 0.0,
        'gains': {},
        **fields,
    }
    return selection.SelectionInputs(**defaults)


def test_server_with_the_object_cached_is_chosen_despite_a_higher_load():
    """Guards against spreading the requests of an object, so that no server has it cached."""
    candidates = views(3)
    candidates[1].running = 2
    chosen = selection.choose_server(candidates, selection_inputs(gains={'s1': 0.5}))
    assert chosen.view is candidates[1]
    assert chosen.gain == 0.5


def test_full_preferred_server_is_not_chosen():
    """Guards against a long queue at the preferred server while others have free slots."""
    candidates = views(3)
    candidates[1].running = 9
    assert (
        selection.choose_server(candidates, selection_inputs(gains={'s1': 0.5})).view
        is not candidates[1]
    )


def test_far_server_is_used_when_the_near_ones_are_full():
    """Guards against an overloaded region while another one has free slots."""
    near = views(2)
    far = views(4, failure_domain='astana-a')[3:]
    distances = {'almaty-a': 1.0, 'astana-a': 80.0}
    inputs = selection_inputs(round_trip_ms=distances.__getitem__)
    assert selection.choose_server([*near, *far], inputs).view in near
    for view in near:
        view.running = 6
    assert selection.choose_server([*near, *far], inputs).view in far


def test_failing_server_is_avoided_for_some_time():
    """Guards against a failing server that keeps its share, and one that never gets it back."""
    candidates = views(2)
    for _ in range(5):
        candidates[0].record_failure(0)
    assert selection.choose_server(candidates, selection_inputs()).view is candidates[1]
    candidates[1].running = 2
    later = selection_inputs(now_ms=20_000)
    assert selection.choose_server(candidates, later).view is candidates[0]


def test_one_server_is_tried_if_all_are_ejected():
    """Guards against refusing all requests of a service whose servers are all ejected."""
    candidates = views(2)
    for view in candidates:
        view.eject(0)
    candidates[0].eject(600)
    assert selection.choose_server(candidates, selection_inputs()) is not None


def test_measured_round_trip_times_follow_a_longer_path():
    """Guards against a minimum that is kept after the path has become longer."""
    network = selection.NetworkTopology('a', 'r', {'a': 'r', 'b': 'r', 'c': 'other'})
    assert network.round_trip_ms('a') < network.round_trip_ms('b') < network.round_trip_ms('c')
    network.record_connect_time('c', 70)
    assert network.round_trip_ms('c') == 70
    for _ in range(20):
        network.record_connect_time('c', 200)
    assert network.round_trip_ms('c') == 200


def test_congestion_price_favours_the_server_that_has_the_object_cached():
    """Guards against processing without the cached object while all servers are full."""
    candidates = views(3)
    candidates[1].running = 9
    gains = {'s1': 0.6}
    assert (
        selection.choose_server(candidates, selection_inputs(gains=gains)).view is not candidates[1]
    )
    congested = selection_inputs(gains=gains, congestion_price=4)
    assert selection.choose_server(candidates, congested).view is candidates[1]


def test_server_that_cannot_be_in_time_is_not_chosen_if_an_equal_one_can():
    """Guards against a random choice of a queue behind which the deadline passes."""
    candidates = views(2)
    for view, requests in zip(candidates, (32, 26), strict=True):
        view.other_requests = requests
        view.reported_ms = -1000
    fractions = itertools.cycle((0.0, 1.0))
    early = selection_inputs(random_fraction=fractions.__next__)
    assert selection.choose_server(candidates, early).expected_ms > 430
    late = selection_inputs(time_left_ms=430, random_fraction=fractions.__next__)
    assert selection.choose_server(candidates, late).view is candidates[1]


def test_server_is_returned_if_none_can_be_in_time():
    """Guards against a request without a choice, which is refused as if there were no servers."""
    candidates = views(2)
    assert selection.choose_server(candidates, selection_inputs(time_left_ms=1)) is not None


def test_far_or_uncached_servers_are_no_equals():
    """Guards against random choices that cost a round trip between regions or a cached object."""
    near, far = views(1), views(2, failure_domain='astana-a')[1:]
    distances = {'almaty-a': 1.0, 'astana-a': 80.0}
    fractions = iter((1.0, 0.0) * 2)
    inputs = selection_inputs(
        round_trip_ms=distances.__getitem__, random_fraction=fractions.__next__
    )
    assert selection.choose_server([*near, *far], inputs).view is near[0]
    cached = selection_inputs(gains={'s0': 0.5}, random_fraction=fractions.__next__)
    assert selection.choose_server(views(2), cached).gain == 0.5


def test_server_with_an_idle_connection_is_preferred_among_equals():
    """Guards against a new connection for each request, where they are expensive."""
    candidates = views(3)
    candidates[2].record_sent(0)
    candidates[2].running = 0
    candidates[2].idle.record_response(0)
    assert selection.choose_server(candidates, selection_inputs(now_ms=100)).view is candidates[2]
    candidates[2].record_sent(100)
    candidates[2].running = 0
    assert selection.choose_server(candidates, selection_inputs(now_ms=200)).view is candidates[0]


def test_expired_connection_is_not_preferred():
    """Guards against a preference for connections that the pool has closed by now."""
    candidates = views(2)
    candidates[1].idle.record_response(0)
    later = selection_inputs(now_ms=idle_connections.IDLE_CONNECTION_MS)
    assert selection.choose_server(candidates, later).view is candidates[0]
    assert idle_connections.IDLE_CONNECTION_MS < backend_client.IDLE_MAX_MS
