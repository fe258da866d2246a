"""Tests of requests that crash backend servers while some peers can't be reached."""

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models

LOST = models.Refused(package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.UNKNOWN)


@pytest.fixture
def crash(instance):
    """Return a function that runs a request, crashes its server and returns the effects."""

    def run():
        outputs = instance.receive()
        (attempt,) = started_attempts(outputs)
        return instance.handle(events.AttemptFinished(attempt.attempt_id, LOST, 5.0, True))

    return run


def started_attempts(outputs):
    """Return the attempts that were started."""
    return [effect for effect in outputs if isinstance(effect, effects.StartAttempt)]


def test_request_is_tried_at_a_second_server_while_all_peers_are_heard(instance, crash):
    """Guards against refusing a request because of a single faulty server."""
    instance.tick(50)
    assert not started_attempts(crash())
    assert len(started_attempts(instance.tick(50))) == 1


def test_request_waits_until_every_peer_knows_of_the_crash(instance, crash):
    """Guards against a second attempt on each side of a network partition that has just begun."""
    crash()
    for peer in instance.state.membership.peers.values():
        peer.last_heartbeat_ms = instance.now_ms + 100
    instance.now_ms += 100
    assert not started_attempts(instance.handle(events.Tick()))
    assert len(started_attempts(instance.tick(50))) == 1


def test_request_is_not_tried_again_while_a_peer_is_not_heard(instance, crash):
    """Guards against two crashes on each side of a partition, each unknown to the other side."""
    instance.tick(50)
    instance.now_ms += 700
    outputs = crash()
    assert not started_attempts(outputs)
    refused = models.Refused(package_const.REASON_CRASHES_SERVERS, models.ExecutionStatus.UNKNOWN)
    assert effects.Respond('r1', refused) in outputs


def test_crashes_are_reported_again_on_a_new_connection(instance, crash):
    """Guards against a peer that never learns of a crash because its connection lost the report."""
    crash()
    outputs = instance.handle(events.PeerConnected('i2', 'inc2'))
    reports = [
        effect.message
        for effect in outputs
        if isinstance(effect, effects.SendMessage)
        and isinstance(effect.message, routing_models.CrashReport)
    ]
    assert len(reports) == 1


def test_repeated_report_does_not_extend_the_block(instance):
    """Guards against instances that extend a block for ever by repeating reports to each other."""
    report = events.MessageReceived('i2', routing_models.CrashReport('mark', 'server'))
    instance.handle(report)
    expires_ms = instance.state.routing.suspects['mark'].expires_ms
    instance.tick(const.CRASH_BLOCK_MS / 2)
    instance.handle(report)
    assert instance.state.routing.suspects['mark'].expires_ms == expires_ms
