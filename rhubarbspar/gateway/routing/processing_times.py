"""Processing times of the routes, as this instance has learned them."""

import typing

from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import selection

# Processing time of a route before any response, as a multiple of its latency objective.
DEFAULT_PROCESSING_FACTOR: typing.Final = 1.2


def uncached_ms(state: gateway_state.State, route: models.Route) -> float:
    """Return the processing time of a route at a server that does not have the object cached."""
    return of_route(state, route).uncached_ms


def of_route(state: gateway_state.State, route: models.Route) -> selection.ProcessingTime:
    """Return the processing time of a route; before any response it follows from the objective."""
    known = state.processing_times.get(route.route_id)
    if known is None:
        default_ms = route.latency_objective_ms * DEFAULT_PROCESSING_FACTOR
        known = selection.ProcessingTime(default_ms, default_ms)
        state.processing_times[route.route_id] = known
    return known
