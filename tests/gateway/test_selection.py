"""Choice of the backend server."""

from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers
from tests.gateway import conftest


def views(count, **fields):
    """Return servers without load."""
    return [
        servers.ServerView(conftest.make_server(f's{number}', **fields), 0, slots=3)
        for number in range(count)
    ]


def conditions(**fields):
    """Return conditions in one place."""
    members = {
        'now_ms': 0,
        'work_ms': 200,
        'mean_ms': 200,
        'usual_others': lambda _domain: 0.0,
        'round_trip_ms': lambda _domain: 1.0,
        'distance_ms': lambda _domain: 0.0,
        'gains': {},
        **fields,
    }
    return selection.Conditions(**members)


def test_server_with_the_object_at_hand_is_worth_a_short_queue():
    """Guards against objects that are at hand nowhere; affinity by expected delay."""
    candidates = views(3)
    candidates[1].running = 2
    chosen = selection.choose(candidates, conditions(gains={'s1': 0.5}))
    assert chosen.view is candidates[1]
    assert chosen.gain == 0.5


def test_full_preferred_server_spills():
    """Guards against a long queue at the preferred server while others are free."""
    candidates = views(3)
    candidates[1].running = 9
    assert selection.choose(candidates, conditions(gains={'s1': 0.5})).view is not candidates[1]


def test_far_server_is_used_when_the_near_ones_are_full():
    """Guards against a region that is overloaded while another has room."""
    near = views(2)
    far = views(4, failure_domain='astana-a')[3:]
    distances = {'almaty-a': 1.0, 'astana-a': 80.0}
    place = conditions(round_trip_ms=distances.__getitem__)
    assert selection.choose([*near, *far], place).view in near
    for view in near:
        view.running = 6
    assert selection.choose([*near, *far], place).view in far


def test_failing_server_is_avoided_but_not_forever():
    """Guards against a grey server that keeps its share, and one that never returns."""
    candidates = views(2)
    for _ in range(5):
        candidates[0].note_failure(0)
    assert selection.choose(candidates, conditions()).view is candidates[1]
    candidates[1].running = 2
    later = conditions(now_ms=20_000)
    assert selection.choose(candidates, later).view is candidates[0]


def test_all_ejected_servers_leave_one_to_try():
    """Guards against a service that is refused because every server once failed."""
    candidates = views(2)
    for view in candidates:
        view.eject(0)
    candidates[0].eject(600)
    assert selection.choose(candidates, conditions()) is not None


def test_network_times_are_learnt_and_fade():
    """Guards against a path that is taken for short after it has become long."""
    network = selection.NetworkTopology('a', 'r', {'a': 'r', 'b': 'r', 'c': 'other'})
    assert network.round_trip_ms('a') < network.round_trip_ms('b') < network.round_trip_ms('c')
    network.note('c', 70)
    assert network.round_trip_ms('c') == 70
    for _ in range(20):
        network.note('c', 200)
    assert network.round_trip_ms('c') == 200


def test_pressure_makes_work_dearer_than_waiting():
    """Guards against work that is done anew on every server while all of them are full."""
    candidates = views(3)
    candidates[1].running = 9
    gains = {'s1': 0.6}
    assert selection.choose(candidates, conditions(gains=gains)).view is not candidates[1]
    pressed = conditions(gains=gains, pressure=4)
    assert selection.choose(candidates, pressed).view is candidates[1]
