"""Tests of planned stops."""

from rhubarbspar import const as package_const
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.shutdown import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models as core_models

OK = core_models.Answered(core_models.Response(200, (), b'whole'))


def run(instance, duration_ms):
    """Apply ticks for a duration and return all effects."""
    outputs = []
    for _ in range(int(duration_ms // 50)):
        outputs += instance.tick(50)
    return outputs


def started_attempts(outputs):
    """Return the attempts that the effects start."""
    return [effect for effect in outputs if isinstance(effect, effects.StartAttempt)]


def exits_process(outputs):
    """Tell whether the effects end the process."""
    return any(isinstance(effect, effects.ExitProcess) for effect in outputs)


def test_instance_serves_while_lookups_may_be_cached(instance):
    """Guards against a stop that refuses callers which still use an older lookup answer."""
    instance.handle(events.StopRequested())
    run(instance, 2_900)
    (attempt,) = started_attempts(instance.receive())
    outputs = instance.handle(events.AttemptFinished(attempt.attempt_id, OK, 5.0))
    assert effects.Respond('r1', OK) in outputs
    assert instance.state.membership.status is membership_models.InstanceStatus.LEAVING


def test_instance_waits_for_running_requests(instance):
    """Guards against a planned stop that aborts a running request."""
    instance.handle(events.StopRequested())
    run(instance, 2_900)
    (attempt,) = started_attempts(instance.receive(deadline_ms=instance.now_ms + 20_000))
    assert not exits_process(run(instance, 10_000))
    outputs = instance.handle(events.AttemptFinished(attempt.attempt_id, OK, 5.0))
    assert effects.Respond('r1', OK) in outputs
    assert exits_process(run(instance, 10_000))


def test_late_request_is_refused_as_not_run(instance):
    """Guards against a late request that the exit aborts or that delays the exit.

    It is refused as not run, so that the caller can send it to another instance.
    """
    instance.handle(events.StopRequested())
    outputs = run(instance, 3_100)
    assert sum(isinstance(effect, effects.StopAccepting) for effect in outputs) == 1
    late = instance.receive()
    refused = core_models.Refused(
        package_const.REASON_INSTANCE_STOPPING, core_models.ExecutionStatus.NOT_RUN
    )
    assert effects.Respond('r1', refused) in late
    assert exits_process(run(instance, 10_000))


def test_continuous_requests_do_not_delay_the_exit(instance):
    """Guards against a stop that never ends while callers keep sending requests."""
    instance.handle(events.StopRequested())
    outputs = []
    for number in range(200):
        outputs += instance.receive(request_id=f's{number}')
        outputs += run(instance, 50)
        for attempt in started_attempts(outputs):
            outputs = instance.handle(events.AttemptFinished(attempt.attempt_id, OK, 5.0))
        if exits_process(outputs):
            return
    raise AssertionError('the instance did not exit')


def test_second_stop_request_changes_nothing(instance):
    """Guards against a repeated signal that restarts the planned stop."""
    instance.handle(events.StopRequested())
    run(instance, 2_000)
    instance.handle(events.StopRequested())
    run(instance, 1_100)
    assert instance.state.shutdown.phase is not models.Phase.SERVING


def test_stop_ends_without_peers_and_without_the_store(instance):
    """Guards against an instance that cannot stop while it is cut off from peers and store."""
    instance.state.membership.peers.clear()
    instance.handle(events.StopRequested())
    assert exits_process(run(instance, 10_000))
