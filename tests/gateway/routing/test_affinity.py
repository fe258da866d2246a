"""Which servers are expected to have an object cached."""

from rhubarbspar.gateway.routing import affinity
from rhubarbspar.gateway.routing import servers
from tests.gateway import conftest


def views():
    """Return six servers in two regions."""
    domains = ['near-a', 'near-b', 'near-a', 'near-b', 'far-a', 'far-b']
    return [
        servers.ServerView(conftest.make_server(f's{number}', failure_domain=domain), 0)
        for number, domain in enumerate(domains)
    ]


REGIONS = {'near-a': 'near', 'near-b': 'near', 'far-a': 'far', 'far-b': 'far'}


def preferred_places(object_key, candidates=None, own_region='near'):
    """Return the places of the preferred servers of an object, by server id."""
    return affinity.preferred_servers(candidates or views(), object_key, REGIONS, own_region)


def test_instances_of_a_region_prefer_the_same_servers():
    """Guards against instances that send the same object to different servers.

    Pattern: rendezvous hashing; the order of the candidates does not matter.
    """
    forward = preferred_places('7')
    assert forward == preferred_places('7', views()[::-1])
    assert set(forward.values()) == set(affinity.MIN_GAINS)


def test_history_keeps_no_long_keys():
    """Guards against callers whose long keys of objects fill the memory."""
    history = affinity.ObjectHistory()
    for number in range(3):
        history.record('x' * 15_000 + str(number), f's{number}', 0)
    assert max(map(len, history.sent_ms)) <= affinity.KEY_MAX_CHARS
    ((server_id, _gain),) = history.gains('x' * 15_000 + '1', 0)
    assert server_id == 's1'


def test_first_two_servers_are_in_the_own_region():
    """Guards against transfers between regions for objects that are requested in one region."""
    by_domain = {view.server.server_id: view.server.failure_domain for view in views()}
    for server_id, place in preferred_places('7').items():
        near = REGIONS[by_domain[server_id]] == 'near'
        assert near == (place is not affinity.Place.OTHER)


def test_objects_are_spread_over_the_servers_of_the_own_region():
    """Guards against one server that is preferred for all objects."""
    first = set()
    for number in range(40):
        places = preferred_places(str(number))
        first.update(found for found, place in places.items() if place is affinity.Place.FIRST)
    assert first == {'s0', 's1', 's2', 's3'}


def test_objects_beyond_the_capacity_of_a_small_region_get_another_home_region():
    """Guards against a small region whose servers evict objects before the next request.

    This happens if few servers get the requests of all objects.
    """
    by_domain = {view.server.server_id: view.server.failure_domain for view in views()}
    home_regions = []
    for number in range(600):
        places = preferred_places(str(number), own_region='far')
        (first,) = (found for found, place in places.items() if place is affinity.Place.FIRST)
        home_regions.append(REGIONS[by_domain[first]])
    # Two of six servers are in the own region, which has half of the demand.
    assert 0.6 < home_regions.count('far') / len(home_regions) < 0.73


def test_gain_of_a_place_is_learned_from_responses():
    """Guards against choosing a server without the object because its gain is underestimated."""
    gains = affinity.LearnedGains()
    assert gains.expected_at(affinity.Place.OTHER) == affinity.MIN_GAINS[affinity.Place.OTHER]
    for _ in range(100):
        gains.record(affinity.Place.OTHER, 0.7)
    assert 0.65 < gains.expected_at(affinity.Place.OTHER) <= 0.7
    assert gains.expected_at(affinity.Place.NONE) == 0


def test_learned_gain_never_falls_below_the_least_gain():
    """Guards against requests of an object that are spread because no server has it cached yet."""
    gains = affinity.LearnedGains()
    for _ in range(100):
        gains.record(affinity.Place.FIRST, 0)
    assert gains.expected_at(affinity.Place.FIRST) == affinity.MIN_GAINS[affinity.Place.FIRST]


def test_gain_of_a_recent_request_expires():
    """Guards against requests sent back to a server that has evicted the object."""
    history = affinity.ObjectHistory()
    history.record('7', 's0', 0)
    assert history.gains('7', 1000) == [('s0', affinity.RECENT_GAIN)]
    ((_, later_gain),) = history.gains('7', 7000)
    assert 0 < later_gain < affinity.RECENT_GAIN
    assert not history.gains('7', 20_000)
    assert not history.gains('8', 0)


def test_history_is_bounded():
    """Guards against memory use that grows with the objects, or with the servers of an object."""
    history = affinity.ObjectHistory()
    for number in range(affinity.OBJECTS_MAX + 10):
        history.record(str(number), 's0', number)
    assert len(history.sent_ms) == affinity.OBJECTS_MAX
    for number in range(affinity.SERVERS_MAX + 10):
        history.record('1', f's{number}', number)
    assert len(history.sent_ms['1']) == affinity.SERVERS_MAX
