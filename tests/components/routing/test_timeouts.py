"""Tests of when a missed deadline counts as a failure of server and version."""

import pytest

from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import const
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models

OK = models.Answered(models.Response(200, (), b'whole'))
SERVICE_MS = 40.0
MEASURED_REQUESTS = 40
MISSED_REQUESTS = 12


@pytest.fixture
def recorded_failures(monkeypatch):
    """Return a list of the results recorded for versions: whether each attempt failed."""
    seen = []

    def record_attempt(state, service_id, version, path_prefix, failed, latency_ms, now_ms):
        seen.append(failed)
        return []

    monkeypatch.setattr(rollout_reducer, 'record_attempt', record_attempt)
    return seen


@pytest.fixture
def measured_instance(instance):
    """Return an instance that has measured the latency of a route."""
    instance.state.membership.peers.clear()
    for number in range(MEASURED_REQUESTS):
        (attempt,) = start(instance, number)
        instance.tick(SERVICE_MS)
        instance.handle(events.AttemptFinished(attempt.attempt_id, OK, SERVICE_MS))
    return instance


def start(instance, number, **changes):
    """Send a request and return the attempts that it started."""
    outputs = instance.receive(number, **changes)
    return [effect for effect in outputs if isinstance(effect, effects.StartAttempt)]


def send_unanswered(instance, deadline_ms):
    """Send requests that get no answer before their deadline; return how many were started."""
    count = 0
    for number in range(1_000, 1_000 + MISSED_REQUESTS):
        count += len(start(instance, number, deadline_ms=instance.now_ms + deadline_ms))
        instance.tick(deadline_ms)
    return count


def test_short_deadlines_do_not_eject_a_healthy_server(measured_instance, recorded_failures):
    """Guards against a caller whose very short deadlines eject servers for all callers."""
    assert send_unanswered(measured_instance, 5) == MISSED_REQUESTS
    assert not any(server.failures for server in measured_instance.state.routing.servers.values())
    assert not recorded_failures


def test_server_that_never_answers_is_ejected(measured_instance, recorded_failures):
    """Guards against servers that never answer and keep getting requests."""
    sent = send_unanswered(measured_instance, 2_000)
    assert recorded_failures == [True] * sent
    failures = [server.failures for server in measured_instance.state.routing.servers.values()]
    assert min(failures) >= const.EJECT_FAILURES


def test_missed_deadlines_without_a_known_latency_count(instance, recorded_failures):
    """Guards against a version that has never answered and keeps its traffic."""
    instance.state.membership.peers.clear()
    send_unanswered(instance, 100)
    assert recorded_failures
    assert all(recorded_failures)
