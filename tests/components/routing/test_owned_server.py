"""Tests of the heartbeat's report of owned backend servers."""

import dataclasses

from rhubarbspar.components.routing import reducer
from rhubarbspar.core import events


def test_drained_server_reports_its_busy_slots(instance):
    """Guards against a drain that counts as complete while requests still run."""
    (attempt,) = (
        effect for effect in instance.receive() if type(effect).__name__ == 'StartAttempt'
    )
    instance.handle(events.LoadReported(attempt.server_id, 1, True, True))
    report = reducer.owned_server_report(instance.state, attempt.server_id, instance.now_ms)
    assert (report.free_slots, report.busy_slots) == (0, 1)


def test_server_removed_from_the_configuration_is_forgotten(instance):
    """Guards against removed servers that stay in memory until the process ends."""
    configuration = instance.state.configuration.current
    services = {
        name: dataclasses.replace(service, backend_servers=service.backend_servers[1:])
        for name, service in configuration.services.items()
    }
    removed = configuration.services['commissions'].backend_servers[0].server_id
    assert removed in instance.state.routing.servers
    instance.state.configuration.current = dataclasses.replace(
        configuration, revision=configuration.revision + 1, services=services
    )
    instance.tick(50)
    assert removed not in instance.state.routing.servers
    assert instance.state.routing.servers
