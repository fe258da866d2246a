"""State of the backend servers at an instance."""

import dataclasses

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.routing import servers
from tests.gateway import conftest


def test_late_declaration_of_a_former_incarnation_is_ignored():
    """Guards against an outdated declaration that replaces that of the restarted server."""
    registry = servers.ServerRegistry()
    registry.declare(conftest.make_server('s', started_unix_ms=2000, sequence=1), 0)
    late = conftest.make_server('s', started_unix_ms=1000, sequence=9, draining=True)
    assert not registry.declare(late, 0)
    assert not registry.views['s'].server.draining


def test_late_declaration_does_not_revive_a_draining_server():
    """Guards against requests to a draining server after an older declaration arrives late."""
    registry = servers.ServerRegistry()
    registry.declare(conftest.make_server('s', sequence=4, draining=True), 0)
    registry.declare(conftest.make_server('s', sequence=3), 0)
    assert registry.views['s'].server.draining


def test_restart_under_the_same_id_is_a_new_server():
    """Guards against load and failures of the former process that count for a restarted server."""
    registry = servers.ServerRegistry()
    registry.declare(conftest.make_server('s'), 0)
    registry.views['s'].running = 5
    assert registry.declare(conftest.make_server('s', started_unix_ms=5000), 0)
    assert registry.views['s'].running == 0


def test_requests_to_a_cold_server_are_paced(gateway):
    """Guards against a cold server that crashes because it gets too many requests."""
    gateway.configure(conftest.READS, version=2)
    for server_id in ('stock-1', 'stock-2'):
        gateway.declare(f'servers/{server_id}', None)
    gateway.add_server('cold', cold_ms=60_000)
    sent = 0
    for _ in range(100):
        sent += sum(isinstance(out, effects.StartAttempt) for out in gateway.request())
        gateway.advance(100)
    # One instance, 7 requests per second, 10 s.
    assert 35 <= sent <= 71


def test_draining_and_removed_servers_get_no_requests(gateway):
    """Guards against requests to servers that are shutting down or gone."""
    gateway.add_server('stock-1', draining=True, sequence=2)
    gateway.declare('servers/stock-2', None)
    assert not [out for out in gateway.request() if isinstance(out, effects.StartAttempt)]


def test_evacuated_domain_gets_no_requests_until_the_evacuation_ends(gateway):
    """Guards against requests to a failure domain that the operators have evacuated."""
    gateway.declare('evacuate/almaty-a', models.Evacuation('almaty-a'))
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    assert started.server.failure_domain == 'almaty-b'
    gateway.declare('evacuate/almaty-a', None)
    assert not gateway.state.declared.evacuated_domains


def test_lapsed_registration_is_used_until_the_store_has_settled(gateway):
    """Guards against a service without servers because their leases ended in a store outage."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    server_id = started.server.server_id
    gateway.reduce(events.StoreLost('timeout'))
    gateway.reduce(events.StoreChanged((), gateway.revision))
    gateway.declare(f'servers/{server_id}', None)
    assert server_id in gateway.state.servers.views
    gateway.advance(2300)
    assert server_id not in gateway.state.servers.views


def test_lapsed_registration_is_used_if_another_instance_hears_the_server(gateway):
    """Guards against live servers dropped by an instance that has not used them lately itself."""
    gateway.reduce(events.StoreLost('timeout'))
    gateway.state.servers.views['stock-1'].answered_elsewhere_ms = gateway.now_ms
    gateway.reduce(events.StoreChanged((), gateway.revision))
    gateway.declare('servers/stock-1', None)
    assert 'stock-1' in gateway.state.servers.views
    gateway.advance(2300)
    assert 'stock-1' not in gateway.state.servers.views


def test_removed_registration_takes_effect_at_once_without_a_store_outage(gateway):
    """Guards against requests to a server that has left without draining."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    gateway.declare(f'servers/{started.server.server_id}', None)
    assert started.server.server_id not in gateway.state.servers.views


def test_ejection_grows_and_ends_with_a_success():
    """Guards against a dead server that every request tries, and a live one that stays ejected."""
    view = servers.ServerView(conftest.make_server('s'), cold_until_ms=0)
    view.eject(0)
    first_ms = view.ejected_until_ms
    view.eject(first_ms)
    assert view.ejected_until_ms - first_ms == 2 * servers.EJECTION_MIN_MS
    view.record_success(first_ms)
    assert view.ejected_until_ms < first_ms


def test_load_report_excludes_the_requests_of_this_instance():
    """Guards against counting the requests of this instance twice."""
    view = servers.ServerView(conftest.make_server('s'), cold_until_ms=0, running=2)
    view.record_load_report(events.LoadReport(3, 1, 3), 0)
    assert view.estimated_load(0, 0) == 4
    assert dataclasses.replace(view, running=0).estimated_load(0, 0) == 2


def test_full_server_gets_no_request_for_a_while(gateway):
    """Guards against requests that try one full server after the other.

    Pattern: load shedding at the source.
    """
    full = events.LoadReport(3, 9, 3)
    not_run = events.AttemptResult.NOT_RUN
    first = conftest.single_effect(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(first, not_run, status=503, load=full))
    second = conftest.single_effect(outputs, effects.StartAttempt)
    gateway.reduce(conftest.ended(second, not_run, status=503, load=full))
    assert conftest.single_effect(gateway.request(), effects.Refuse).retry_after_ms
    gateway.advance(servers.FULL_REPORT_MS + 50)
    assert conftest.single_effect(gateway.request(), effects.StartAttempt)


def test_reported_slowness_is_used_while_it_is_fresh():
    """Guards against a slowness that is remembered longer than it holds, or shared by peers."""
    view = servers.ServerView(conftest.make_server('s'), cold_until_ms=0)
    view.record_load_report(events.LoadReport(1, 0, 3, slowness=2.0), 1000)
    assert view.time_factor(1000) == 2
    assert 1.1 < view.time_factor(1000 + servers.SLOWNESS_DECAY_MS) < 1.5
    assert view.time_factor(1000 + 10 * servers.SLOWNESS_DECAY_MS) < 1.01
    view.record_load_elsewhere(5, 2000)
    assert view.time_factor(2000) < 1.01


def test_absurd_slowness_is_bounded():
    """Guards against a server that is never chosen, or always, because of one odd figure."""
    view = servers.ServerView(conftest.make_server('s'), cold_until_ms=0)
    for slowness, expected in ((1e9, servers.SLOWNESS_MAX), (1e-9, servers.SLOWNESS_MIN)):
        view.record_load_report(events.LoadReport(1, 0, 3, slowness=slowness), 0)
        assert view.time_factor(0) == expected
