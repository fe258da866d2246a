"""Usual latencies of the old version per route."""

import math
import statistics

from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models


def add_latency(histogram: models.LatencyHistogram, latency_ms: float, now_ms: float) -> None:
    """Count one latency."""
    if _decay_due(histogram, now_ms):
        _decay(histogram)
        histogram.decayed_ms = now_ms
    bucket = _bucket(latency_ms)
    histogram.weights[bucket] = histogram.weights.get(bucket, 0) + 1
    histogram.total_weight += 1


def quantile_ms(histogram: models.LatencyHistogram | None) -> float | None:
    """Return the upper edge of the bucket of the quantile, or ``None`` with too few latencies."""
    if histogram is None or histogram.total_weight < const.LATENCIES_FOR_QUANTILE:
        return None
    wanted = const.SLOW_QUANTILE * histogram.total_weight
    cumulated = float(0)
    last = 0
    for bucket in sorted(histogram.weights):
        cumulated += histogram.weights[bucket]
        last = bucket
        if cumulated >= wanted:
            break
    return const.LATENCY_MIN_MS * const.LATENCY_BUCKET_GROWTH ** (last + 1)


def slow_threshold_ms(
    rollout: models.RolloutState, route: models.RouteKey, now_ms: float
) -> float | None:
    """Return the latency above which a request is slow: from own requests, else from peers."""
    own = quantile_ms(rollout.histograms.get(route))
    if own is not None:
        return own
    reported = [
        peer.latencies[route]
        for peer in rollout.peer_latencies.values()
        if route in peer.latencies and now_ms - peer.received_ms <= const.LATENCY_REPORT_FRESH_MS
    ]
    return statistics.median(reported) if reported else None


def build_report(rollout: models.RolloutState) -> models.LatencyReport:
    """Return the usual latencies of this instance."""
    usual = ((route, quantile_ms(histogram)) for route, histogram in rollout.histograms.items())
    return models.LatencyReport(
        tuple(
            models.BaselineLatency(route.service_id, route.path_prefix, latency_ms)
            for route, latency_ms in usual
            if latency_ms is not None
        ),
    )


def record_peer_report(
    rollout: models.RolloutState, peer_id: str, message: models.LatencyReport, now_ms: float
) -> None:
    """Record a peer's usual latencies."""
    by_route = {
        models.RouteKey(usual.service_id, usual.path_prefix): usual.latency_ms
        for usual in message.latencies
    }
    rollout.peer_latencies[peer_id] = models.PeerLatencies(now_ms, by_route)


def _decay_due(histogram: models.LatencyHistogram, now_ms: float) -> bool:
    """Tell whether older latencies lose weight; by time alone a quantile is never lost."""
    if histogram.total_weight >= const.LATENCIES_BEFORE_DECAY:
        return True
    if histogram.total_weight < 2 * const.LATENCIES_FOR_QUANTILE:
        return False
    return now_ms - histogram.decayed_ms >= const.LATENCIES_DECAY_MS


def _decay(histogram: models.LatencyHistogram) -> None:
    halved = {bucket: weight / 2 for bucket, weight in histogram.weights.items()}
    histogram.weights = {
        bucket: weight for bucket, weight in halved.items() if weight >= const.LATENCY_WEIGHT_MIN
    }
    histogram.total_weight = sum(histogram.weights.values())


def _bucket(latency_ms: float) -> int:
    ratio = max(latency_ms, const.LATENCY_MIN_MS) / const.LATENCY_MIN_MS
    return int(math.log(ratio) / math.log(const.LATENCY_BUCKET_GROWTH))
