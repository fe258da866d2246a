"""Baseline latencies: a high quantile of the old version's latencies on each route.

A request that takes longer than the baseline latency of its route counts as slow.
"""

import math
import statistics

from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models


def add_latency(histogram: models.LatencyHistogram, latency_ms: float, now_ms: float) -> None:
    """Add one latency to a histogram and let older ones lose weight."""
    if _is_decay_due(histogram, now_ms):
        _decay(histogram)
        histogram.last_decay_ms = now_ms
    bucket = _bucket(latency_ms)
    histogram.weights[bucket] = histogram.weights.get(bucket, 0) + 1
    histogram.total_weight += 1


def quantile_ms(histogram: models.LatencyHistogram | None) -> float | None:
    """Return the upper bound of the quantile's bucket, or ``None`` with too few latencies."""
    if histogram is None or histogram.total_weight < const.LATENCIES_FOR_QUANTILE:
        return None
    target_weight = const.SLOW_QUANTILE * histogram.total_weight
    cumulative_weight = float(0)
    quantile_bucket = 0
    for bucket in sorted(histogram.weights):
        cumulative_weight += histogram.weights[bucket]
        quantile_bucket = bucket
        if cumulative_weight >= target_weight:
            break
    return const.LATENCY_MIN_MS * const.LATENCY_BUCKET_GROWTH ** (quantile_bucket + 1)


def slow_threshold_ms(
    rollout: models.RolloutState, route: models.RouteKey, now_ms: float
) -> float | None:
    """Return the latency above which a request on a route is slow.

    It is the quantile of this instance's own requests, else the median of the peers' reports, or
    ``None`` without either.
    """
    own_ms = quantile_ms(rollout.histograms.get(route))
    if own_ms is not None:
        return own_ms
    reported_ms = [
        peer.latencies[route]
        for peer in rollout.peer_latencies.values()
        if route in peer.latencies and now_ms - peer.received_ms <= const.LATENCY_REPORT_FRESH_MS
    ]
    return statistics.median(reported_ms) if reported_ms else None


def build_report(rollout: models.RolloutState) -> models.LatencyReport:
    """Return this instance's baseline latencies as a message for its peers."""
    quantiles = ((route, quantile_ms(histogram)) for route, histogram in rollout.histograms.items())
    return models.LatencyReport(
        tuple(
            models.BaselineLatency(route.service_id, route.path_prefix, latency_ms)
            for route, latency_ms in quantiles
            if latency_ms is not None
        ),
    )


def record_peer_report(
    rollout: models.RolloutState, peer_id: str, message: models.LatencyReport, now_ms: float
) -> None:
    """Record a peer's baseline latencies, in place of its previous report."""
    latencies_ms = {
        models.RouteKey(baseline.service_id, baseline.path_prefix): baseline.latency_ms
        for baseline in message.latencies
    }
    rollout.peer_latencies[peer_id] = models.PeerLatencies(now_ms, latencies_ms)


def _is_decay_due(histogram: models.LatencyHistogram, now_ms: float) -> bool:
    """Tell whether the weights are to be halved.

    Decay by time alone never leaves too few latencies for a quantile.
    """
    if histogram.total_weight >= const.LATENCIES_BEFORE_DECAY:
        return True
    if histogram.total_weight < 2 * const.LATENCIES_FOR_QUANTILE:
        return False
    return now_ms - histogram.last_decay_ms >= const.LATENCIES_DECAY_MS


def _decay(histogram: models.LatencyHistogram) -> None:
    """Halve all weights and remove the buckets whose weight becomes negligible."""
    halved = {bucket: weight / 2 for bucket, weight in histogram.weights.items()}
    histogram.weights = {
        bucket: weight for bucket, weight in halved.items() if weight >= const.LATENCY_WEIGHT_MIN
    }
    histogram.total_weight = sum(histogram.weights.values())


def _bucket(latency_ms: float) -> int:
    """Return the index of the bucket of a latency; bucket bounds grow geometrically."""
    ratio = max(latency_ms, const.LATENCY_MIN_MS) / const.LATENCY_MIN_MS
    return int(math.log(ratio) / math.log(const.LATENCY_BUCKET_GROWTH))
