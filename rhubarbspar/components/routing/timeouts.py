"""Distinguish backend servers that do not answer from deadlines that no server could meet.

A caller may allow only a few milliseconds, and a queued request may have no more left when it
starts. Without this distinction such requests would eject healthy servers and roll back good
versions.
"""

from rhubarbspar.components.rollout import models as rollout_models
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models
from rhubarbspar.core import state as core_state


def record_latency(
    state: core_state.State, routed: models.RoutedRequest, latency_ms: float
) -> None:
    """Update the exponentially weighted mean latency of a route after a complete response."""
    mean_latencies_ms = state.routing.mean_latencies_ms
    route = _route_key(routed)
    mean_ms = mean_latencies_ms.get(route, latency_ms)
    mean_latencies_ms[route] = mean_ms + const.LATENCY_WEIGHT * (latency_ms - mean_ms)


def is_overdue(state: core_state.State, routed: models.RoutedRequest, elapsed_ms: float) -> bool:
    """Return whether an attempt took far longer than the mean of its route, or no mean is known."""
    mean_ms = state.routing.mean_latencies_ms.get(_route_key(routed))
    return mean_ms is None or elapsed_ms >= const.OVERDUE_FACTOR * mean_ms


def _route_key(routed: models.RoutedRequest) -> rollout_models.RouteKey:
    return rollout_models.RouteKey(routed.request.service_id, routed.path_prefix)
