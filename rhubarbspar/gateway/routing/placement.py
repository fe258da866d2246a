"""Placement of a request: finds the permitted servers, collects the inputs, and chooses a server.

Pattern: constraint filtering, then shortest expected delay with prices.
"""

import dataclasses
import functools
import typing
from collections import abc

from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import affinity
from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.routing import overload
from rhubarbspar.gateway.routing import processing_times
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.routing import servers

# A queue that has made a request miss its deadline is expected to stand for this long.
DEADLINE_MISSED_RECENT_MS: typing.Final = 2000

_ANYWHERE: typing.Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpectedGain:
    """Why a server is expected to have an object cached, and the gain expected from that."""

    place: affinity.Place
    gain: float


_NO_GAIN: typing.Final = _ExpectedGain(affinity.Place.NONE, 0)


def choose_server(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> selection.Choice | None:
    """Return the server to which a request is sent next, or ``None`` if no server may get it."""
    if not state.region_shares.long_term.total:
        state.region_shares.seed(_region_slots(state), state.network.region, now_ms)
    group = _version_group(state, pending, now_ms)
    expected_gains = _expected_gains(state, pending, group, now_ms)
    gains = {server_id: expected.gain for server_id, expected in expected_gains.items()}
    inputs = _selection_inputs(state, pending, group, gains, now_ms)
    choice = selection.choose_server(_untried(pending, group.candidates(gains)), inputs)
    if choice is None or choice.view.ejected_until_ms > now_ms:
        # No server of the sample is usable; another one of the group may be.
        choice = selection.choose_server(_untried(pending, group.views), inputs)
    if choice is None:
        return None
    expected = expected_gains.get(choice.view.server.server_id, _NO_GAIN)
    return dataclasses.replace(choice, place=expected.place)


def estimate_all(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> tuple[selection.Choice, ...]:
    """Return the expected times and costs at all servers of the service, usable or not."""
    views = state.servers.of_service(pending.service_id)
    group = groups.ServerGroup(views, state.network)
    expected_gains = _expected_gains(state, pending, group, now_ms)
    gains = {server_id: expected.gain for server_id, expected in expected_gains.items()}
    inputs = _selection_inputs(state, pending, group, gains, now_ms)
    return tuple(selection.estimate(view, inputs) for view in views)


def permitted_ids(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> abc.Set[str]:
    """Return the ids of the servers that may get a request of the service, route and account."""
    return _permitted_group(state, pending).by_id.keys()


def load_per_slot(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> float:
    """Return the estimated requests for each slot of the servers that may get a request."""
    return _permitted_group(state, pending).load_summary(now_ms).load_per_slot


def turned_away_ms(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> float | None:
    """Return when the first server wants requests again, if all of them have turned some away."""
    views = _permitted_group(state, pending).views
    until_ms = min((view.turned_away_until_ms for view in views), default=now_ms)
    return until_ms - now_ms if until_ms > now_ms else None


def is_overloaded(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> bool:
    """Return whether a request is refused because of the queue at the chosen server.

    That is the case if its response would come after the deadline, or if the queue has stood for
    long. A request that was already sent to a server is never refused here.
    """
    if pending.send_count:
        return False
    if _is_too_late(pending, choice, now_ms):
        return True
    processing_ms = choice.expected_ms - choice.wait_ms
    objective_ms = pending.route.latency_objective_ms
    expected = overload.ExpectedTimes(choice.wait_ms, processing_ms, objective_ms)
    return choice.view.overload.should_refuse(expected, now_ms)


def _is_too_late(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> bool:
    """Return whether the queue of the best server delays the response beyond the deadline.

    The server would still work on the request, at the cost of those that could be in time. An
    estimate alone may rest on old reports, so another request must have missed its deadline there.
    """
    view = choice.view
    if choice.load < view.slots or now_ms - view.deadline_missed_ms > DEADLINE_MISSED_RECENT_MS:
        return False
    return now_ms + choice.expected_ms * view.lateness > pending.due_ms


def _untried(
    pending: gateway_state.PendingRequest, views: abc.Sequence[servers.ServerView]
) -> abc.Sequence[servers.ServerView]:
    """Return the servers to which a request was not sent yet."""
    if not pending.tried_server_ids:
        return views
    return [view for view in views if view.server.server_id not in pending.tried_server_ids]


def _version_group(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> groups.ServerGroup:
    """Return the permitted servers of the version that gets the request.

    During a rollout this may be the candidate version. Retries, and requests for which no candidate
    server may get one now, use the stable version.
    """
    group = _permitted_group(state, pending)
    if not group.versions:
        return group
    service_id = pending.service_id
    if not pending.tried_server_ids:
        version = state.rollouts.next_version(service_id, group.versions, now_ms)
        version_group = group.of_version(version)
        if any(view.may_send(now_ms) for view in version_group.views):
            return version_group
    return group.of_version(state.rollouts.stable_version(service_id, group.versions))


def _permitted_group(
    state: gateway_state.State, pending: gateway_state.PendingRequest
) -> groups.ServerGroup:
    """Return the servers that may get a request of the service, route and account; cached."""
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
        own_id = state.fleet.own_member.instance_id
        group = groups.ServerGroup(views, state.network, f'{own_id}/{epoch}')
        state.groups.groups[key] = group
    return group


def _is_permitted(
    state: gateway_state.State, key: groups.GroupKey, view: servers.ServerView
) -> bool:
    """Return whether a server is neither leaving nor evacuated, and in a permitted region."""
    server = view.server
    if not state.declared.may_get_requests(view):
        return False
    region = state.network.regions.get(server.failure_domain, '')
    if key.account_regions and region not in key.account_regions:
        return False
    return not key.route_regions or region in key.route_regions


def _selection_inputs(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    group: groups.ServerGroup,
    gains: abc.Mapping[str, float],
    now_ms: float,
) -> selection.SelectionInputs:
    processing = processing_times.of_route(state, pending.route)
    return selection.SelectionInputs(
        now_ms,
        processing.uncached_ms,
        processing.mean_ms,
        functools.partial(group.typical_other_requests, now_ms),
        state.network.round_trip_ms,
        functools.partial(_distance_cost_ms, state, processing.uncached_ms),
        gains,
        overload.congestion_price(group.load_summary(now_ms).load_per_slot),
        group.random.random,
        pending.due_ms - now_ms,
    )


def _expected_gains(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    group: groups.ServerGroup,
    now_ms: float,
) -> dict[str, _ExpectedGain]:
    """Return the servers that are expected to have the object of a request cached, by server id."""
    object_key = pending.request.object_key
    if object_key is None or not pending.route.sticky:
        return {}
    learned = processing_times.of_route(state, pending.route).gains
    places = group.preferred(object_key).items()
    expected = {
        server_id: _ExpectedGain(place, learned.expected_at(place)) for server_id, place in places
    }
    for server_id, recent_gain in state.object_history.gains(object_key, now_ms):
        if server_id in group.by_id and recent_gain > expected.get(server_id, _NO_GAIN).gain:
            expected[server_id] = _ExpectedGain(affinity.Place.RECENT, recent_gain)
    return expected


def _region_slots(state: gateway_state.State) -> dict[str, float]:
    """Return the slots of all servers in each region."""
    slots: dict[str, float] = {}
    for view in state.servers.views.values():
        region = state.network.regions.get(view.server.failure_domain, '')
        slots[region] = slots.get(region, 0) + view.slots
    return slots


def _distance_cost_ms(
    state: gateway_state.State, processing_ms: float, failure_domain: str
) -> float:
    """Return the price of transfers to a failure domain plus the cost of a shift to its region."""
    region = state.network.regions.get(failure_domain, '')
    return (
        state.network.transfer_price_ms(failure_domain)
        + state.region_shares.shift_cost(region) * processing_ms
    )
