"""Which server a request is sent to: candidates, what the choice depends on, the choice.

Pattern: constraint filtering, then shortest expected delay with prices.
"""

import functools
import typing

from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import overload
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers
from rhubarbspar.gateway import state as gateway_state

# Usual queue of the other instances, by the reports of all servers of a service.
USUAL_OTHERS_MAX: typing.Final = 8.0


def choose(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> selection.Choice | None:
    """Return the server that a request is to be sent to now, or ``None`` if none may get it."""
    if not state.shares.longer.total:
        state.shares.seed(_region_slots(state), state.network.region, now_ms)
    candidates = _candidates(state, pending, now_ms)
    conditions = _conditions(state, pending, candidates, now_ms)
    return selection.choose(candidates, conditions)


def is_overloaded(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> bool:
    """Return whether a request that was sent nowhere yet is refused because of a standing queue."""
    if pending.sends:
        return False
    work_ms = choice.expected_ms - choice.wait_ms
    objective_ms = pending.route.latency_objective_ms
    expected = overload.Expected(choice.wait_ms, work_ms, objective_ms)
    return choice.view.overload.refuses(expected, now_ms)


def _candidates(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> list[servers.ServerView]:
    views = [
        view
        for view in state.servers.of_service(pending.service_id)
        if _is_permitted(state, pending, view)
    ]
    if pending.tried:
        return state.rollouts.old_version_servers(pending.service_id, views)
    chosen = state.rollouts.usable(pending.service_id, views, now_ms)
    if any(view.may_send(now_ms) for view in chosen):
        return chosen
    return state.rollouts.old_version_servers(pending.service_id, views)


def _is_permitted(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    view: servers.ServerView,
) -> bool:
    server = view.server
    if server.draining or server.server_id in pending.tried:
        return False
    if server.failure_domain in state.declared.evacuated:
        return False
    region = state.network.regions.get(server.failure_domain, '')
    account = pending.account
    if account is not None and account.home_regions and region not in account.home_regions:
        return False
    return not pending.route.home_regions or region in pending.route.home_regions


def _conditions(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    candidates: list[servers.ServerView],
    now_ms: float,
) -> selection.Conditions:
    usual = outcomes.work_time(state, pending.route)
    return selection.Conditions(
        now_ms,
        usual.full_ms,
        usual.mean_ms,
        _usual_others(state, pending.service_id, now_ms),
        state.network.round_trip_ms,
        functools.partial(_distance_ms, state, usual.full_ms),
        _gains(state, pending, candidates, now_ms),
        overload.pressure(_load_per_slot(candidates, now_ms)),
    )


def _gains(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    candidates: list[servers.ServerView],
    now_ms: float,
) -> dict[str, float]:
    """Return the part of the work that each server is expected to save for the request's object."""
    object_key = pending.request.object_key
    if object_key is None or not pending.route.sticky:
        return {}
    gains = affinity.preferred(candidates, object_key, state.network.is_near)
    for view in candidates:
        server_id = view.server.server_id
        recent = state.object_memory.gain(object_key, server_id, now_ms)
        if recent:
            gains[server_id] = max(recent, gains.get(server_id, 0))
    return gains


def _region_slots(state: gateway_state.State) -> dict[str, float]:
    slots: dict[str, float] = {}
    for view in state.servers.views.values():
        region = state.network.regions.get(view.server.failure_domain, '')
        slots[region] = slots.get(region, 0) + view.slots
    return slots


def _load_per_slot(candidates: list[servers.ServerView], now_ms: float) -> float:
    slots = sum(view.slots for view in candidates)
    load = sum(view.load_at(now_ms, view.slots) for view in candidates)
    return load / slots if slots else 0


def _distance_ms(state: gateway_state.State, work_ms: float, failure_domain: str) -> float:
    """Return the price of the way to a failure domain, with that of a shift between regions."""
    region = state.network.regions.get(failure_domain, '')
    return state.network.price_ms(failure_domain) + state.shares.cost(region) * work_ms


def _usual_others(state: gateway_state.State, service_id: str, now_ms: float) -> float:
    reports = [
        view.others
        for view in state.servers.of_service(service_id)
        if now_ms - view.reported_ms < servers.REPORT_DECAY_MS
    ]
    return min(USUAL_OTHERS_MAX, sum(reports) / len(reports)) if reports else 1.0
