"""Statistics of all instances, merged into the tests of each candidate."""

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
    """Count one request of this instance; returns the verdicts that it brings about."""
    relevant = [move for move in moves.moves_on_trial(state) if _concerns(move, key)]
    if not relevant:
        return []
    rollout = state.rollout
    route = models.RouteKey(key.service_id, key.path_prefix)
    threshold_ms = latencies.slow_threshold_ms(rollout, route, now_ms)
    slow = threshold_ms is not None and latency_ms > threshold_ms
    growth = models.Counts(1, int(failed), int(slow))
    rollout.counts[key] = rollout.counts.get(key, models.Counts()).plus(growth)
    if not failed and any(move.old_version == key.version for move in relevant):
        histogram = rollout.histograms.setdefault(route, models.LatencyHistogram())
        latencies.add_latency(histogram, latency_ms, now_ms)
    return list(_feed(state, key, growth, now_ms))


def merge_peer_statistics(state: core_state.State, now_ms: float) -> list[models.Verdict]:
    """Count what peers' statistics grew by; returns the verdicts that it brings about."""
    verdicts: list[models.Verdict] = []
    for peer_id, peer in sorted(state.membership.peers.items()):
        if not peer.incarnation:
            continue
        for key, growth in _growth(state.rollout, peer_id, peer):
            verdicts.extend(_feed(state, key, growth, now_ms))
    return verdicts


def own_statistics(state: core_state.State) -> tuple[membership_models.VersionStatistics, ...]:
    """Return the counters of versions on trial and of those they replace."""
    judged = list(moves.moves_on_trial(state))
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
        if any(_concerns(move, key) for move in judged)
    )


def is_accepted(state: core_state.State, move: configuration_models.Move) -> bool:
    """Tell whether the tests accepted the candidate on the routes that carry the traffic."""
    total = 0
    passed = 0
    for test in state.rollout.tests.get(move.move_id, {}).values():
        total += test.old_requests
        if test.failures.accepted and test.slow.accepted:
            passed += test.old_requests
    return passed > 0 and passed >= const.ACCEPTED_TRAFFIC_SHARE * total


def remove_finished(state: core_state.State) -> None:
    """Drop the tests and counters of moves that are no longer on trial."""
    rollout = state.rollout
    judged = list(moves.moves_on_trial(state))
    judged_ids = {move.move_id for move in judged}
    for move_id in rollout.tests.keys() - judged_ids:
        rollout.tests.pop(move_id)
    if not judged:
        rollout.counts.clear()
        rollout.histograms.clear()
    for peer_id in rollout.peer_counts.keys() - state.membership.peers.keys():
        rollout.peer_counts.pop(peer_id)
        rollout.peer_latencies.pop(peer_id, None)


def _growth(
    rollout: models.RolloutState, peer_id: str, peer: membership_models.Peer
) -> abc.Iterator[tuple[models.StatisticsKey, models.Counts]]:
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
    counts_now = models.PeerCounts(peer.incarnation, reported, peer.statistics)
    rollout.peer_counts[peer_id] = counts_now
    if earlier is None:
        # What the peer counted before this instance knew it may stem from another period.
        return
    known = earlier.counts if earlier.incarnation == peer.incarnation else {}
    for key, counts in reported.items():
        growth = counts.since(known.get(key, models.Counts()))
        if growth.requests:
            yield key, growth


def _feed(
    state: core_state.State, key: models.StatisticsKey, growth: models.Counts, now_ms: float
) -> abc.Iterator[models.Verdict]:
    concerned = [move for move in moves.moves_on_trial(state) if _concerns(move, key)]
    for move in concerned:
        by_route = state.rollout.tests.setdefault(move.move_id, {})
        share = moves.recorded_share(state, move)
        test = by_route.setdefault(key.path_prefix, models.RouteTest(share=share))
        _follow_share(test, share)
        if key.version == move.target:
            _count_candidate(test, growth)
        else:
            _count_old(test, growth, now_ms)
        reason = _judge(test, now_ms)
        if reason:
            yield models.Verdict(move.service_id, move.target, key.path_prefix, reason)


def _follow_share(test: models.RouteTest, share: float) -> None:
    if test.share == share:
        return
    test.share = share
    wald.clear(test.failures)
    wald.clear(test.slow)


def _count_candidate(test: models.RouteTest, growth: models.Counts) -> None:
    if growth.failures < growth.requests:
        test.consecutive_failures = 0
    else:
        test.consecutive_failures += growth.failures
    for window, faults in ((test.failures, growth.failures), (test.slow, growth.slow)):
        window.requests += growth.requests
        window.faults += faults


def _count_old(test: models.RouteTest, growth: models.Counts, now_ms: float) -> None:
    test.old_requests += growth.requests
    test.old_seen_ms = now_ms
    for window, faults in ((test.failures, growth.failures), (test.slow, growth.slow)):
        window.old_requests += growth.requests
        window.old_faults += faults
        window.baseline_requests += growth.requests
        window.baseline_faults += faults
        if window.baseline_requests >= const.BASELINE_BEFORE_DECAY:
            window.baseline_requests //= 2
            window.baseline_faults //= 2


def _judge(test: models.RouteTest, now_ms: float) -> str:
    """Return the reason of a verdict, or nothing; many faults without a comparison are a suspicion."""
    suspicions = list(_suspicions(test))
    test.suspected = bool(suspicions)
    for reason, window in suspicions:
        if comparison.is_worse(window):
            return reason
        compared = now_ms - test.old_seen_ms < const.COMPARISON_WAIT_MS
        if reason == const.REASON_CONSECUTIVE_FAILURES and not compared:
            return reason
    return ''


def _suspicions(test: models.RouteTest) -> abc.Iterator[tuple[str, models.TestWindow]]:
    if test.consecutive_failures >= const.CONSECUTIVE_FAILURES:
        yield const.REASON_CONSECUTIVE_FAILURES, test.failures
    if _decide(test.failures, const.FAILURE_SHARE_MIN, const.FAILURE_SHARE_RISE):
        yield const.REASON_FAILURES, test.failures
    if _decide(test.slow, const.SLOW_SHARE_MIN, const.SLOW_SHARE_RISE):
        yield const.REASON_SLOW, test.slow


def _decide(window: models.TestWindow, share_min: float, share_rise: float) -> bool:
    decision = wald.decide(window, share_min, share_rise)
    if decision is wald.Decision.ACCEPT:
        wald.restart(window)
    return decision is wald.Decision.REJECT


def _concerns(move: configuration_models.Move, key: models.StatisticsKey) -> bool:
    if move.service_id != key.service_id:
        return False
    return key.version in {move.old_version, move.target}
