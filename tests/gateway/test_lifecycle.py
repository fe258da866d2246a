"""Planned stop of a gateway."""

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from tests.gateway import conftest


def effect_types(outputs):
    """Return the class of each effect."""
    return [type(effect) for effect in outputs]


def stop(gateway):
    """Request a planned stop."""
    return gateway.reduce(core_events.StopRequested())


def test_stopping_instance_is_not_ready_but_serves(gateway):
    """Guards against refused requests of callers that have not yet learned of the stop."""
    assert effects.Leave in effect_types(stop(gateway))
    assert not gateway.state.is_ready
    gateway.advance(2000)
    assert conftest.single_effect(gateway.request(), effects.StartAttempt)


def test_late_requests_are_refused_as_not_run(gateway):
    """Guards against late requests that are accepted and then cut off by the exit."""
    stop(gateway)
    gateway.advance(const.STOP_REFUSE_AFTER_MS + 50)
    refused = conftest.single_effect(gateway.request(), effects.Refuse)
    assert (refused.status, refused.reason) == (503, const.REASON_STOPPING)


def test_process_exits_when_its_last_request_has_ended(gateway):
    """Guards against a planned stop that cuts off a pending request."""
    stop(gateway)
    gateway.advance(2000)
    started = conftest.single_effect(
        gateway.request('/orders/1', caller_timeout_ms=None), effects.StartAttempt
    )
    outputs = gateway.advance(1100)
    assert effects.StopListening in effect_types(outputs)
    assert effects.Exit not in effect_types(outputs)
    gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    assert effects.Exit in effect_types(gateway.advance(50))


def test_process_exits_before_it_is_killed(gateway):
    """Guards against a kill at the end of the grace period, in the middle of a response."""
    route = conftest.dataclasses.replace(conftest.READS, timeout_ms=60_000)
    gateway.configure(route, conftest.ORDERS, version=2)
    stop(gateway)
    gateway.request(caller_timeout_ms=None)
    outputs = gateway.advance(gateway.state.bounds.stop_grace_ms - 100)
    assert effect_types(outputs).count(effects.Exit) == 1


def test_process_waits_until_its_responses_are_sent(gateway):
    """Guards against slow callers whose responses a planned stop cuts off."""
    stop(gateway)
    gateway.advance(const.STOP_REFUSE_AFTER_MS - 50)
    gateway.now_ms += 50
    assert effects.Exit not in effect_types(gateway.reduce(events.ClockTicked(unsent_count=1)))
    gateway.now_ms += 50
    assert effects.Exit in effect_types(gateway.reduce(events.ClockTicked()))


def test_slow_callers_do_not_outlast_the_grace_period(gateway):
    """Guards against a caller that takes nothing, so that the process is killed."""
    stop(gateway)
    gateway.advance(const.STOP_REFUSE_AFTER_MS - 50)
    gateway.now_ms = gateway.state.stop_ends_ms
    assert effects.Exit in effect_types(gateway.reduce(events.ClockTicked(unsent_count=1)))


def test_second_request_to_stop_changes_nothing(gateway):
    """Guards against a second request to stop that restarts the sequence and delays the exit."""
    stop(gateway)
    assert not stop(gateway)


def test_request_that_cannot_end_before_the_stop_is_refused(gateway):
    """Guards against an order that is taken late in a planned stop and cut off by its end."""
    slow = conftest.dataclasses.replace(
        conftest.ORDERS, timeout_ms=20_000, latency_objective_ms=2500
    )
    gateway.configure(conftest.READS, slow, version=2)
    stop(gateway)
    gateway.advance(2000)
    refused = conftest.single_effect(gateway.request('/orders/1'), effects.Refuse)
    assert (refused.status, refused.reason) == (503, const.REASON_STOPPING)
    assert refused.retry_after_ms
    assert conftest.single_effect(gateway.request('/stock/1'), effects.StartAttempt)


def test_requests_that_outlive_the_stop_are_answered(gateway):
    """Guards against callers whose connection ends without an answer at the end of a stop."""
    slow = conftest.dataclasses.replace(conftest.ORDERS, timeout_ms=20_000)
    gateway.configure(conftest.READS, slow, version=2)
    gateway.request('/orders/1', caller_timeout_ms=None)
    stop(gateway)
    outputs = gateway.advance(gateway.state.bounds.stop_grace_ms - 100)
    assert conftest.single_effect(outputs, effects.Refuse).status == const.STATUS_BAD_GATEWAY
    kinds = effect_types(outputs)
    assert kinds.index(effects.Refuse) < kinds.index(effects.Exit)
    assert not gateway.state.pending
