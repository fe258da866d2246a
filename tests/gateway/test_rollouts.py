"""Moves to a new version."""

from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest

ANSWERED = events.AttemptResult.ANSWERED


def start(gateway):
    """Register servers of a new version and order the move to it."""
    for number in range(2):
        gateway.add_server(f'new-{number}', version='v2', failure_domain='almaty-b')
    gateway.declare('rollout/stock', models.RolloutOrder('stock', 'v2', 14_000, 0))


def serve(gateway, duration_ms, bad_share=0.0):
    """Send 100 requests a second and return the versions that got them."""
    versions = []
    statuses = []
    failing = 0.0
    for _ in range(int(duration_ms / 10)):
        gateway.now_ms += 10
        started = conftest.only(gateway.request(), effects.StartAttempt)
        versions.append(started.server.version)
        failing += bad_share if started.server.version == 'v2' else 0
        status = 500 if failing >= 1 else 200
        failing -= failing >= 1
        outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=status))
        for again in [out for out in outputs if isinstance(out, effects.StartAttempt)]:
            versions.append(again.server.version)
            gateway.reduce(conftest.ended(again, ANSWERED, status=200))
        outputs = gateway.reduce(events.ClockTicked())
        for write in [out for out in outputs if isinstance(out, effects.WriteStatus)]:
            statuses.append(write.status.phase)
            record = write.status
            gateway.declare(f'status/{record.service_id}', record)
    return versions, statuses


def test_version_without_an_order_gets_nothing(gateway):
    """Guards against exposure before the operators order it."""
    gateway.add_server('new-1', version='v2')
    versions, _ = serve(gateway, 1000)
    assert set(versions) == {'v1'}


def test_good_version_completes_before_its_deadline(gateway):
    """Guards against a good version that is not in place in time."""
    start(gateway)
    versions, statuses = serve(gateway, 13_000)
    assert statuses == [const.PHASE_RUNNING, const.PHASE_COMPLETED]
    assert versions[-1] == 'v2'


def test_bad_version_is_taken_back_within_its_exposure(gateway):
    """Guards against a bad version that gets more than a small share; canary analysis."""
    start(gateway)
    versions, statuses = serve(gateway, 14_000, bad_share=0.5)
    assert statuses == [const.PHASE_RUNNING, const.PHASE_ROLLED_BACK]
    assert versions.count('v2') <= 0.1 * len(versions) + 50
    assert set(versions[-500:]) == {'v1'}


def test_verdict_of_a_peer_holds_here(gateway):
    """Guards against an instance that goes on with a version found bad elsewhere."""
    start(gateway)
    (order,) = [found.order for found in gateway.state.rollouts.active.values()]
    verdict = messages.CondemnedVersion('stock', 'v2', order.revision)
    gateway.state.rollouts.apply_verdict(verdict)
    versions, _ = serve(gateway, 9000)
    assert set(versions) == {'v1'}


def test_failing_service_is_not_blamed_on_the_new_version(gateway):
    """Guards against taking back a good version for a fault of everything."""
    start(gateway)
    rollouts = gateway.state.rollouts
    (rollout,) = rollouts.active.values()
    for version in ('v1', 'v2'):
        use = messages.VersionResults(
            'stock', version, rollout.order.revision, 90, 0, 60, 30, 0, 'r'
        )
        rollouts.peers[version] = (use,)
    assert not rollouts.reject_bad_candidates()


def test_restarted_instance_knows_a_recorded_verdict(gateway):
    """Guards against a bad version that comes back with a new process."""
    start(gateway)
    gateway.declare('status/stock', models.RolloutStatus('stock', 'v2', 'rolled_back', 0))
    versions, statuses = serve(gateway, 9000)
    assert set(versions) == {'v1'}
    assert not statuses
