"""Canary analysis: the request statistics of all instances feed the tests of each candidate."""

from collections import abc

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.rollout import comparison
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import latencies
from rhubarbspar.components.rollout import models
from rhubarbspar.components.rollout import moves
from rhubarbspar.components.rollout import wald
from rhubarbspar.core import state as core_state


def record_request(
    state: core_state.State,
    key: models.StatisticsKey,
    failed: bool,
    latency_ms: float,
    now_ms: float,
) -> list[models.Verdict]:
    """Count one request of this instance and return the verdicts that follow from it."""
    affected_moves = [move for move in moves.moves_on_trial(state) if _compares(move, key)]
    if not affected_moves:
        return []
    rollout = state.rollout
    route = models.RouteKey(key.service_id, key.path_prefix)
    threshold_ms = latencies.slow_threshold_ms(rollout, route, now_ms)
    slow = threshold_ms is not None and latency_ms > threshold_ms
    increase = models.Counts(1, int(failed), int(slow))
    rollout.counts[key] = rollout.counts.get(key, models.Counts()).plus(increase)
    if not failed and any(move.old_version == key.version for move in affected_moves):
        histogram = rollout.histograms.setdefault(route, models.LatencyHistogram())
        latencies.add_latency(histogram, latency_ms, now_ms)
    return list(_update_tests(state, key, increase, now_ms))


def merge_peer_statistics(state: core_state.State, now_ms: float) -> list[models.Verdict]:
    """Count the increase of the peers' counters and return the verdicts that follow from it."""
    verdicts: list[models.Verdict] = []
    for peer_id, peer in sorted(state.membership.peers.items()):
        if not peer.incarnation:
            continue
        for key, increase in _peer_increases(state.rollout, peer_id, peer):
            verdicts.extend(_update_tests(state, key, increase, now_ms))
    return verdicts


def own_statistics(state: core_state.State) -> tuple[membership_models.VersionStatistics, ...]:
    """Return this instance's counters of the candidates and of the versions that they replace."""
    trials = list(moves.moves_on_trial(state))
    return tuple(
        membership_models.VersionStatistics(
            service_id=key.service_id,
            version=key.version,
            path_prefix=key.path_prefix,
            requests=counts.requests,
            failures=counts.failures,
            slow=counts.slow,
        )
        for key, counts in state.rollout.counts.items()
        if any(_compares(move, key) for move in trials)
    )


def is_accepted(state: core_state.State, move: configuration_models.Move) -> bool:
    """Tell whether the tests accepted the candidate on routes that carry most of the traffic."""
    total_requests = 0
    accepted_requests = 0
    for test in state.rollout.tests.get(move.move_id, {}).values():
        total_requests += test.old_requests
        if test.failures.accepted and test.slow.accepted:
            accepted_requests += test.old_requests
    return (
        accepted_requests > 0 and accepted_requests >= const.ACCEPTED_TRAFFIC_SHARE * total_requests
    )


def remove_finished(state: core_state.State) -> None:
    """Remove the tests of moves that ended, and the counters of peers that no longer exist."""
    rollout = state.rollout
    trials = list(moves.moves_on_trial(state))
    trial_ids = {move.move_id for move in trials}
    for move_id in rollout.tests.keys() - trial_ids:
        rollout.tests.pop(move_id)
    if not trials:
        rollout.counts.clear()
        rollout.histograms.clear()
    for peer_id in rollout.peer_counts.keys() - state.membership.peers.keys():
        rollout.peer_counts.pop(peer_id)
        rollout.peer_latencies.pop(peer_id, None)


def _peer_increases(
    rollout: models.RolloutState, peer_id: str, peer: membership_models.Peer
) -> abc.Iterator[tuple[models.StatisticsKey, models.Counts]]:
    """Return by how much the counters of a peer have increased since they were last merged."""
    earlier = rollout.peer_counts.get(peer_id)
    if earlier is not None and earlier.source is peer.statistics:
        return
    reported = {
        models.StatisticsKey(line.service_id, line.version, line.path_prefix): models.Counts(
            line.requests,
            line.failures,
            line.slow,
        )
        for line in peer.statistics
    }
    peer_counts = models.PeerCounts(peer.incarnation, reported, peer.statistics)
    rollout.peer_counts[peer_id] = peer_counts
    if earlier is None:
        # The peer may have counted these requests before the tests here began.
        return
    earlier_counts = earlier.counts if earlier.incarnation == peer.incarnation else {}
    for key, counts in reported.items():
        increase = counts.since(earlier_counts.get(key, models.Counts()))
        if increase.requests:
            yield key, increase


def _update_tests(
    state: core_state.State, key: models.StatisticsKey, increase: models.Counts, now_ms: float
) -> abc.Iterator[models.Verdict]:
    """Count an increase in the tests of the affected moves and return the resulting verdicts."""
    affected_moves = [move for move in moves.moves_on_trial(state) if _compares(move, key)]
    for move in affected_moves:
        tests = state.rollout.tests.setdefault(move.move_id, {})
        share = moves.recorded_share(state, move)
        test = tests.setdefault(key.path_prefix, models.RouteTest(share=share))
        _restart_on_share_change(test, share)
        if key.version == move.target:
            _count_candidate(test, increase)
        else:
            _count_old_version(test, increase, now_ms)
        reason = _rejection_reason(test, now_ms)
        if reason:
            yield models.Verdict(move.service_id, move.target, key.path_prefix, reason)


def _restart_on_share_change(test: models.RouteTest, share: float) -> None:
    if test.share == share:
        return
    test.share = share
    wald.clear(test.failures)
    wald.clear(test.slow)


def _count_candidate(test: models.RouteTest, increase: models.Counts) -> None:
    if increase.failures < increase.requests:
        test.consecutive_failures = 0
    else:
        test.consecutive_failures += increase.failures
    for window, faults in ((test.failures, increase.failures), (test.slow, increase.slow)):
        window.requests += increase.requests
        window.faults += faults


def _count_old_version(test: models.RouteTest, increase: models.Counts, now_ms: float) -> None:
    test.old_requests += increase.requests
    test.old_seen_ms = now_ms
    for window, faults in ((test.failures, increase.failures), (test.slow, increase.slow)):
        window.old_requests += increase.requests
        window.old_faults += faults
        window.baseline_requests += increase.requests
        window.baseline_faults += faults
        if window.baseline_requests >= const.BASELINE_REQUESTS_BEFORE_DECAY:
            window.baseline_requests //= 2
            window.baseline_faults //= 2


def _rejection_reason(test: models.RouteTest, now_ms: float) -> str:
    """Return the reason to reject the candidate, or an empty string.

    Many faults alone make the candidate only suspected. It is rejected if Fisher's test shows that
    the old version has fewer faults. Consecutive failures are enough if there are no recent
    requests of the old version to compare with.
    """
    suspicions = list(_suspicions(test))
    test.suspected = bool(suspicions)
    for reason, window in suspicions:
        if comparison.is_worse(window):
            return reason
        comparable = now_ms - test.old_seen_ms < const.COMPARISON_WAIT_MS
        if reason == const.REASON_CONSECUTIVE_FAILURES and not comparable:
            return reason
    return ''


def _suspicions(test: models.RouteTest) -> abc.Iterator[tuple[str, models.TestWindow]]:
    """Return the reasons to suspect the candidate, each with the requests to compare."""
    if test.consecutive_failures >= const.CONSECUTIVE_FAILURES:
        yield const.REASON_CONSECUTIVE_FAILURES, test.failures
    if _test_rejects(test.failures, const.FAILURE_SHARE_MIN, const.FAILURE_SHARE_RISE):
        yield const.REASON_FAILURES, test.failures
    if _test_rejects(test.slow, const.SLOW_SHARE_MIN, const.SLOW_SHARE_RISE):
        yield const.REASON_SLOW, test.slow


def _test_rejects(window: models.TestWindow, share_min: float, share_rise: float) -> bool:
    """Tell whether the sequential test rejects the candidate; restart the test if it accepts."""
    decision = wald.decide(window, share_min, share_rise)
    if decision is wald.Decision.ACCEPT:
        wald.restart(window)
    return decision is wald.Decision.REJECT


def _compares(move: configuration_models.Move, key: models.StatisticsKey) -> bool:
    """Tell whether a version is the candidate or the old version of a move."""
    if move.service_id != key.service_id:
        return False
    return key.version in {move.old_version, move.target}
