"""Servers to which a request may be sent."""

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import models
from tests.gateway import conftest

LARGE = 120


def test_draining_server_leaves_its_group(gateway):
    """Guards against a cached group that ignores a new declaration of a server."""
    conftest.single_effect(gateway.request(), effects.StartAttempt)
    gateway.add_server('stock-1', draining=True, sequence=2)
    for _ in range(6):
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        assert started.server.server_id == 'stock-2'


def test_evacuated_domain_leaves_its_groups_and_returns(gateway):
    """Guards against a cached group that ignores the start or the end of an evacuation."""
    conftest.single_effect(gateway.request(), effects.StartAttempt)
    gateway.declare('evacuate/almaty-b', models.Evacuation('almaty-b'))
    for _ in range(6):
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        assert started.server.server_id == 'stock-1'
    gateway.declare('evacuate/almaty-b', None)
    # The servers of the domain count as cold at first and get few requests.
    gateway.now_ms += 10_000
    server_ids = {
        conftest.single_effect(gateway.request(), effects.StartAttempt).server.server_id
        for _ in range(6)
    }
    assert 'stock-2' in server_ids


def test_ejected_sample_falls_back_on_the_whole_group(gateway):
    """Guards against a request to an ejected server because the sample holds only ejected ones."""
    for number in range(LARGE):
        gateway.add_server(f'many-{number}', failure_domain='astana-a')
    for view in gateway.state.servers.of_service('stock'):
        view.eject(gateway.now_ms)
    usable = gateway.state.servers.views[f'many-{LARGE - 1}']
    usable.ejected_until_ms = 0
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    assert started.server.server_id == usable.server.server_id
