"""Planned stop."""

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from tests.gateway import conftest


def kinds(outputs):
    """Return the classes of effects."""
    return [type(effect) for effect in outputs]


def stop(gateway):
    """Ask the gateway to stop."""
    return gateway.reduce(core_events.StopRequested())


def test_stopping_instance_is_not_ready_but_serves(gateway):
    """Guards against callers that are refused while they still come here."""
    assert effects.Leave in kinds(stop(gateway))
    assert not gateway.state.is_ready
    gateway.advance(2000)
    assert conftest.only(gateway.request(), effects.StartAttempt)


def test_late_requests_are_refused_as_not_run(gateway):
    """Guards against a stop that cuts requests which came late."""
    stop(gateway)
    gateway.advance(const.STOP_REFUSE_AFTER_MS + 50)
    refused = conftest.only(gateway.request(), effects.Refuse)
    assert (refused.status, refused.reason) == (503, const.REASON_STOPPING)


def test_process_exits_when_its_last_request_has_ended(gateway):
    """Guards against a planned stop that cuts a request."""
    stop(gateway)
    gateway.advance(2000)
    started = conftest.only(gateway.request('/orders/1', deadline_ms=None), effects.StartAttempt)
    outputs = gateway.advance(1100)
    assert effects.StopListening in kinds(outputs)
    assert effects.Exit not in kinds(outputs)
    gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    assert effects.Exit in kinds(gateway.advance(50))


def test_process_exits_before_it_is_killed(gateway):
    """Guards against a kill in the middle of a response."""
    route = conftest.dataclasses.replace(conftest.READS, timeout_ms=60_000)
    gateway.configure(route, conftest.ORDERS, version=2)
    stop(gateway)
    gateway.request(deadline_ms=None)
    outputs = gateway.advance(gateway.state.bounds.stop_grace_ms - 100)
    assert kinds(outputs).count(effects.Exit) == 1


def test_second_request_to_stop_changes_nothing(gateway):
    """Guards against a stop that starts anew."""
    stop(gateway)
    assert not stop(gateway)
