"""Rollouts of a new version."""

from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest

ANSWERED = events.AttemptResult.ANSWERED


def start_rollout(gateway):
    """Register servers of a new version and request its rollout."""
    for number in range(2):
        gateway.add_server(f'new-{number}', version='v2', failure_domain='almaty-b')
    request_rollout(gateway)


def request_rollout(gateway):
    """Request the rollout of the new version."""
    gateway.declare('rollout/stock', models.RolloutRequest('stock', 'v2', 14_000, 0))


def serve(gateway, duration_ms, bad_share=0.0):
    """Send 100 requests per second.

    Returns
    -------
    tuple of list
        The versions that got the requests, and the phases that were written.
    """
    versions = []
    statuses = []
    failures_due = 0.0
    for _ in range(int(duration_ms / 10)):
        gateway.now_ms += 10
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        versions.append(started.server.version)
        failures_due += bad_share if started.server.version == 'v2' else 0
        status = 500 if failures_due >= 1 else 200
        failures_due -= failures_due >= 1
        outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=status))
        for retry in [out for out in outputs if isinstance(out, effects.StartAttempt)]:
            versions.append(retry.server.version)
            gateway.reduce(conftest.ended(retry, ANSWERED, status=200))
        outputs = gateway.reduce(events.ClockTicked())
        for write in [out for out in outputs if isinstance(out, effects.WriteStatus)]:
            statuses.append(write.status.phase)
            record = write.status
            gateway.declare(f'status/{record.service_id}', record)
    return versions, statuses


def test_version_without_a_rollout_request_gets_no_requests(gateway):
    """Guards against requests to a new version before the operators request its rollout."""
    gateway.add_server('new-1', version='v2')
    versions, _ = serve(gateway, 1000)
    assert set(versions) == {'v1'}


def test_good_version_completes_before_its_deadline(gateway):
    """Guards against a rollout of a good version that misses its deadline."""
    start_rollout(gateway)
    versions, statuses = serve(gateway, 13_000)
    assert statuses == [const.PHASE_RUNNING, const.PHASE_COMPLETED]
    assert versions[-1] == 'v2'


def test_bad_version_is_rolled_back_before_it_gets_a_large_share(gateway):
    """Guards against a bad version that gets too many requests; canary analysis."""
    start_rollout(gateway)
    versions, statuses = serve(gateway, 14_000, bad_share=0.5)
    assert statuses == [const.PHASE_RUNNING, const.PHASE_ROLLED_BACK]
    assert versions.count('v2') <= 0.1 * len(versions) + 50
    assert set(versions[-500:]) == {'v1'}


def test_verdict_of_a_peer_is_applied(gateway):
    """Guards against an instance that still uses a version that a peer has rejected."""
    start_rollout(gateway)
    (request,) = [found.request for found in gateway.state.rollouts.active.values()]
    verdict = messages.RejectedVersion('stock', 'v2', request.revision)
    gateway.state.rollouts.apply_verdict(verdict)
    versions, _ = serve(gateway, 9000)
    assert set(versions) == {'v1'}


def test_version_is_not_rejected_if_all_versions_fail(gateway):
    """Guards against rolling back a good version because the whole service fails."""
    start_rollout(gateway)
    rollouts = gateway.state.rollouts
    (rollout,) = rollouts.active.values()
    for version in ('v1', 'v2'):
        use = messages.VersionResults(
            'stock', version, rollout.request.revision, 90, 0, 60, 30, 0, 'r'
        )
        rollouts.evidence.apply_report(version, 'a', (use,))
    assert not rollouts.reject_bad_candidates()


def test_recorded_verdict_is_applied_after_a_restart(gateway):
    """Guards against a rejected version that gets requests again from a restarted instance."""
    start_rollout(gateway)
    gateway.declare('status/stock', models.RolloutStatus('stock', 'v2', 'rolled_back', 0))
    versions, statuses = serve(gateway, 9000)
    assert set(versions) == {'v1'}
    assert not statuses


def test_old_version_serves_again_once_its_servers_register(gateway):
    """Guards against an instance that takes a new version for the old one for good.

    It starts while the servers of the old version have not registered again.
    """
    for number in (1, 2):
        gateway.declare(f'servers/stock-{number}', None)
    start_rollout(gateway)
    assert set(serve(gateway, 100)[0]) == {'v2'}
    gateway.add_server('stock-1', sequence=2)
    versions, _ = serve(gateway, 1000)
    assert versions.count('v2') <= 0.1 * len(versions)


def test_version_that_was_assumed_gives_way_to_the_request(gateway):
    """Guards against a new version that gets all requests since it was known before its request."""
    gateway.declare('servers/stock-2', None)
    for number in range(3):
        gateway.add_server(f'new-{number}', version='v2')
    assert set(serve(gateway, 100)[0]) == {'v2'}
    request_rollout(gateway)
    versions, _ = serve(gateway, 1000)
    assert versions.count('v2') <= 0.1 * len(versions)


def test_rejected_version_gets_no_requests_while_no_other_one_is_known(gateway):
    """Guards against requests to a rejected version while the others have not registered again."""
    start_rollout(gateway)
    gateway.declare('status/stock', models.RolloutStatus('stock', 'v2', 'rolled_back', 0))
    assert set(serve(gateway, 100)[0]) == {'v1'}
    for number in (1, 2):
        gateway.declare(f'servers/stock-{number}', None)
    assert conftest.single_effect(gateway.request(), effects.Refuse).status == 503
    gateway.add_server('stock-1', sequence=2)
    assert set(serve(gateway, 100)[0]) == {'v1'}
