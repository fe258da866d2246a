"""Which server a request is sent to: candidates, what the choice depends on, the choice.

Pattern: constraint filtering, then shortest expected delay with prices.
"""

import dataclasses
import functools
import typing
from collections import abc

from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import groups
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import overload
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers
from rhubarbspar.gateway import state as gateway_state

_ANYWHERE: typing.Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Expected:
    """Why a server has an object at hand, and the part of the work that this saves."""

    place: affinity.Place
    gain: float


_NOWHERE: typing.Final = _Expected(affinity.Place.NONE, 0)


def choose(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> selection.Choice | None:
    """Return the server that a request is to be sent to now, or ``None`` if none may get it."""
    if not state.region_shares.longer.total:
        state.region_shares.seed(_region_slots(state), state.network.region, now_ms)
    group = _version_group(state, pending, now_ms)
    at_hand = _at_hand(state, pending, group, now_ms)
    gains = {server_id: expected.gain for server_id, expected in at_hand.items()}
    conditions = _conditions(state, pending, group, gains, now_ms)
    choice = selection.choose(_untried(pending, group.candidates(gains)), conditions)
    if choice is None or choice.view.ejected_until_ms > now_ms:
        # No usable server is among those that were compared; another one may be.
        choice = selection.choose(_untried(pending, group.views), conditions)
    if choice is None:
        return None
    expected = at_hand.get(choice.view.server.server_id, _NOWHERE)
    return dataclasses.replace(choice, place=expected.place)


def is_overloaded(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> bool:
    """Return whether a request that was sent nowhere yet is refused because of a standing queue."""
    if pending.send_count:
        return False
    work_ms = choice.expected_ms - choice.wait_ms
    objective_ms = pending.route.latency_objective_ms
    expected = overload.Expected(choice.wait_ms, work_ms, objective_ms)
    return choice.view.overload.refuses(expected, now_ms)


def _untried(
    pending: gateway_state.PendingRequest, views: abc.Sequence[servers.ServerView]
) -> abc.Sequence[servers.ServerView]:
    if not pending.tried_server_ids:
        return views
    return [view for view in views if view.server.server_id not in pending.tried_server_ids]


def _version_group(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> groups.ServerGroup:
    """Return the permitted servers of the version whose turn it is."""
    group = _permitted_group(state, pending)
    if not group.versions:
        return group
    service_id = pending.service_id
    if not pending.tried_server_ids:
        version = state.rollouts.next_version(service_id, group.versions, now_ms)
        chosen = group.of_version(version)
        if any(view.may_send(now_ms) for view in chosen.views):
            return chosen
    return group.of_version(state.rollouts.incumbent(service_id, group.versions))


def _permitted_group(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> groups.ServerGroup:
    account = pending.account
    account_regions = _ANYWHERE if account is None else account.home_regions
    key = groups.GroupKey(pending.service_id, pending.route.home_regions, account_regions)
    epoch = state.servers.epoch + state.declared.evacuation_epoch
    group = state.groups.find(key, epoch)
    if group is None:
        views = [
            view
            for view in state.servers.of_service(pending.service_id)
            if _is_permitted(state, key, view)
        ]
        group = groups.ServerGroup(views, state.network)
        state.groups.groups[key] = group
    return group


def _is_permitted(
    state: gateway_state.State, key: groups.GroupKey, view: servers.ServerView
) -> bool:
    server = view.server
    if server.draining or server.failure_domain in state.declared.evacuated_domains:
        return False
    region = state.network.regions.get(server.failure_domain, '')
    if key.account_regions and region not in key.account_regions:
        return False
    return not key.route_regions or region in key.route_regions


def _conditions(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    group: groups.ServerGroup,
    gains: abc.Mapping[str, float],
    now_ms: float,
) -> selection.Conditions:
    usual = outcomes.work_time(state, pending.route)
    return selection.Conditions(
        now_ms,
        usual.full_ms,
        usual.mean_ms,
        functools.partial(group.usual_others, now_ms),
        state.network.round_trip_ms,
        functools.partial(_distance_ms, state, usual.full_ms),
        gains,
        overload.pressure(group.load_summary(now_ms).load_per_slot),
    )


def _at_hand(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    group: groups.ServerGroup,
    now_ms: float,
) -> dict[str, _Expected]:
    """Return the servers that are expected to have the request's object at hand."""
    object_key = pending.request.object_key
    if object_key is None or not pending.route.sticky:
        return {}
    gains = outcomes.work_time(state, pending.route).gains
    places = group.preferred(object_key).items()
    found = {server_id: _Expected(place, gains.at(place)) for server_id, place in places}
    for server_id, recent in state.object_memory.gains(object_key, now_ms):
        if server_id in group.by_id and recent > found.get(server_id, _NOWHERE).gain:
            found[server_id] = _Expected(affinity.Place.RECENT, recent)
    return found


def _region_slots(state: gateway_state.State) -> dict[str, float]:
    slots: dict[str, float] = {}
    for view in state.servers.views.values():
        region = state.network.regions.get(view.server.failure_domain, '')
        slots[region] = slots.get(region, 0) + view.slots
    return slots


def _distance_ms(state: gateway_state.State, work_ms: float, failure_domain: str) -> float:
    """Return the price of the way to a failure domain, with that of a shift between regions."""
    region = state.network.regions.get(failure_domain, '')
    return state.network.price_ms(failure_domain) + state.region_shares.cost(region) * work_ms
