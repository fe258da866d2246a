"""Tell backend servers that do not answer from deadlines that no server could meet.

A caller may allow a few milliseconds, and work that has waited in the queue may have no more left. Without
this distinction such requests eject healthy servers and take good versions back.
"""

from rhubarbspar.components.rollout import models as rollout_models
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models
from rhubarbspar.core import state as core_state


def note_latency(state: core_state.State, routed: models.RoutedRequest, latency_ms: float) -> None:
    """Take the latency of a complete response into the weighted mean of its route."""
    usual = state.routing.usual_latencies_ms
    route = _route_of(routed)
    mean_ms = usual.get(route, latency_ms)
    usual[route] = mean_ms + const.LATENCY_WEIGHT * (latency_ms - mean_ms)


def is_overdue(state: core_state.State, routed: models.RoutedRequest, elapsed_ms: float) -> bool:
    """Tell whether a response has taken far longer than usual; always, if none is known."""
    usual_ms = state.routing.usual_latencies_ms.get(_route_of(routed))
    return usual_ms is None or elapsed_ms >= const.OVERDUE_FACTOR * usual_ms


def _route_of(routed: models.RoutedRequest) -> rollout_models.RouteKey:
    return rollout_models.RouteKey(routed.request.service_id, routed.path_prefix)
