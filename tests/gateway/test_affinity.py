"""Which servers are expected to have an object at hand."""

from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import servers
from tests.gateway import conftest


def views():
    """Return servers in two regions."""
    domains = ['near-a', 'near-b', 'near-a', 'near-b', 'far-a', 'far-b']
    return [
        servers.ServerView(conftest.make_server(f's{number}', failure_domain=domain), 0)
        for number, domain in enumerate(domains)
    ]


REGIONS = {'near-a': 'near', 'near-b': 'near', 'far-a': 'far', 'far-b': 'far'}


def preferred(object_key, candidates=None, own_region='near'):
    """Return the places of an object."""
    return affinity.preferred_servers(candidates or views(), object_key, REGIONS, own_region)


def test_instances_of_a_region_prefer_the_same_servers():
    """Guards against objects that every instance sends elsewhere; rendezvous hashing."""
    forward = preferred('7')
    assert forward == preferred('7', views()[::-1])
    assert set(forward.values()) == set(affinity.PREFERRED_GAINS)


def test_own_region_comes_first():
    """Guards against bytes between regions for objects that are asked for in one region."""
    by_domain = {view.server.server_id: view.server.failure_domain for view in views()}
    for server_id, place in preferred('7').items():
        near = REGIONS[by_domain[server_id]] == 'near'
        assert near == (place is not affinity.Place.OTHER)


def test_objects_spread_over_the_servers():
    """Guards against a server that all objects prefer."""
    first = set()
    for number in range(40):
        places = preferred(str(number))
        first.update(found for found, place in places.items() if place is affinity.Place.FIRST)
    assert first == {'s0', 's1', 's2', 's3'}


def test_small_region_sends_the_objects_it_cannot_carry_to_one_place():
    """Guards against a small region whose servers all handle every object and keep none at hand."""
    by_domain = {view.server.server_id: view.server.failure_domain for view in views()}
    homes = []
    for number in range(600):
        places = preferred(str(number), own_region='far')
        (first,) = (found for found, place in places.items() if place is affinity.Place.FIRST)
        homes.append(REGIONS[by_domain[first]])
    # Two of six servers are in the own region, which has half of the demand.
    assert 0.6 < homes.count('far') / len(homes) < 0.73


def test_gain_of_a_place_is_learnt_from_responses():
    """Guards against work that is done anew elsewhere because a gain is taken for too small."""
    gains = affinity.Gains()
    assert gains.at(affinity.Place.OTHER) == affinity.PREFERRED_GAINS[affinity.Place.OTHER]
    for _ in range(100):
        gains.note(affinity.Place.OTHER, 0.7)
    assert 0.65 < gains.at(affinity.Place.OTHER) <= 0.7
    assert gains.at(affinity.Place.NONE) == 0


def test_objects_at_hand_nowhere_still_come_together():
    """Guards against an affinity that is given up because the servers know no object yet."""
    gains = affinity.Gains()
    for _ in range(100):
        gains.note(affinity.Place.FIRST, 0)
    assert gains.at(affinity.Place.FIRST) == affinity.PREFERRED_GAINS[affinity.Place.FIRST]


def test_recent_request_counts_and_is_forgotten():
    """Guards against sending an object back to a server that has lost it."""
    memory = affinity.ObjectHistory()
    memory.note('7', 's0', 0)
    assert memory.gains('7', 1000) == [('s0', affinity.RECENT_GAIN)]
    ((_, fading),) = memory.gains('7', 7000)
    assert 0 < fading < affinity.RECENT_GAIN
    assert not memory.gains('7', 20_000)
    assert not memory.gains('8', 0)


def test_memory_is_bounded():
    """Guards against memory that grows with the number of objects, or with the servers of one."""
    memory = affinity.ObjectHistory()
    for number in range(affinity.OBJECTS_MAX + 10):
        memory.note(str(number), 's0', number)
    assert len(memory.sent_ms) == affinity.OBJECTS_MAX
    for number in range(affinity.SERVERS_MAX + 10):
        memory.note('1', f's{number}', number)
    assert len(memory.sent_ms['1']) == affinity.SERVERS_MAX
