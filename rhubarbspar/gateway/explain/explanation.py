"""Explains where a request would be sent now.

The request is reduced on a copy of the state by the code that serves callers, so that the explanation
cannot differ from what happens to a request, and nothing changes.
"""

import copy
import dataclasses
import math
import typing
from collections import abc

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import models as gateway_models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.explain import errors
from rhubarbspar.gateway.explain import models
from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.routing import placement
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.serving import admission
from rhubarbspar.gateway.serving import capacity
from rhubarbspar.gateway.serving import dispatch
from rhubarbspar.gateway.serving import responses

# Numbers of callers' requests are positive.
_REQUEST_NUMBER: typing.Final = -1


def explain(state: gateway_state.State, query: models.Query, now_ms: float) -> models.Explanation:
    """Return where a request would be sent now, and why; the state stays as it is.

    Raises
    ------
    errors.UnknownAccountError
        If the configuration in force has no such client account.
    """
    trial = _copy_state(state)
    request = _make_request(trial, query)
    configuration = trial.declared.configuration
    route = None
    if configuration is not None:
        route = admission.find_route(configuration, query.host, query.path)
    outputs = dispatch.receive_request(trial, request, now_ms)
    started = _find(outputs, effects.StartAttempt)
    refused = _find(outputs, effects.Refuse)
    pending = _pending_or_assumed(trial, request, route, now_ms)
    return models.Explanation(
        instance_id=state.fleet.own_member.instance_id,
        configuration_version=None if configuration is None else configuration.version,
        store_revision=state.replica.revision,
        store_age_ms=responses.age_ms(state.replica.last_contact_ms, now_ms),
        route_id='' if route is None else route.route_id,
        service_id='' if pending is None else pending.service_id,
        priority=None if pending is None else capacity.urgency_of(pending),
        server_id='' if started is None else started.server.server_id,
        waits=started is None and refused is None,
        refusal=_describe_refusal(refused),
        candidates=() if pending is None else _candidates(_copy_state(state), pending, now_ms),
    )


def _copy_state(state: gateway_state.State) -> gateway_state.State:
    """Return a copy without requests under way; the groups of servers are built again.

    What requests do not change is shared, which keeps the copy small.
    """
    bare = dataclasses.replace(
        state, groups=groups.GroupCache(), pending={}, attempts={}, forwards={}
    )
    shared = (
        state.declared.configuration,
        state.declared.records,
        state.network.regions,
        state.replica,
    )
    return copy.deepcopy(bare, {id(part): part for part in shared})


def _make_request(state: gateway_state.State, query: models.Query) -> gateway_models.Request:
    """Return the request that the query describes, with a key of its account."""
    return gateway_models.Request(
        request_number=_REQUEST_NUMBER,
        attempt_id='',
        method=query.method,
        host=query.host,
        path=query.path,
        access_key=_find_key(state, query.account_id),
        object_key=query.object_key or None,
        caller_timeout_ms=None,
        fingerprint='',
    )


def _find_key(state: gateway_state.State, account_id: str) -> str | None:
    """Return an access key of an account."""
    configuration = state.declared.configuration
    if not account_id or configuration is None:
        return None
    for key, account in configuration.accounts_by_key.items():
        if account.account_id == account_id:
            return key
    raise errors.UnknownAccountError(f'client account {account_id} is unknown or has no access key')


EffectT = typing.TypeVar('EffectT', bound=core_effects.Effect)


def _find(outputs: abc.Iterable[core_effects.Effect], kind: type[EffectT]) -> EffectT | None:
    """Return the first effect of a type."""
    return next((output for output in outputs if isinstance(output, kind)), None)


def _pending_or_assumed(
    state: gateway_state.State,
    request: gateway_models.Request,
    route: gateway_models.Route | None,
    now_ms: float,
) -> gateway_state.PendingRequest | None:
    """Return the request as it was placed, or as it would be if it had been admitted."""
    pending = state.pending.get(request.request_number)
    if pending is not None or route is None:
        return pending
    configuration = state.declared.configuration
    accounts = {} if configuration is None else configuration.accounts_by_key
    account = accounts.get(request.access_key or '')
    service_id = route.targets[0].service_id
    due_ms = now_ms + route.timeout_ms
    return gateway_state.PendingRequest(request, route, account, service_id, now_ms, due_ms)


def _describe_refusal(refused: effects.Refuse | None) -> models.Refusal | None:
    if refused is None:
        return None
    return models.Refusal(refused.status, refused.reason, refused.retry_after_ms)


def _candidates(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> tuple[models.Candidate, ...]:
    """Return all servers of the service of a request, the cheapest first."""
    permitted = placement.permitted_ids(state, pending)
    choices = placement.estimate_all(state, pending, now_ms)
    described = [_describe(state, choice, permitted, now_ms) for choice in choices]
    return tuple(sorted(described, key=_rank))


def _rank(candidate: models.Candidate) -> tuple[bool, float]:
    return candidate.exclusion != models.Exclusion.NONE, candidate.cost_ms


def _describe(
    state: gateway_state.State,
    choice: selection.Choice,
    permitted: abc.Container[str],
    now_ms: float,
) -> models.Candidate:
    server = choice.view.server
    return models.Candidate(
        server_id=server.server_id,
        failure_domain=server.failure_domain,
        version=server.version,
        slots=choice.view.slots,
        load=round(choice.load, 1),
        load_age_ms=responses.age_ms(choice.view.reported_ms, now_ms),
        expected_ms=round(choice.expected_ms),
        cost_ms=round(choice.cost_ms),
        exclusion=_exclusion(state, choice, permitted, now_ms),
    )


def _exclusion(
    state: gateway_state.State,
    choice: selection.Choice,
    permitted: abc.Container[str],
    now_ms: float,
) -> models.Exclusion:
    """Return the first reason for which a server may not get the request now."""
    view = choice.view
    if view.leaving or view.server.draining:
        return models.Exclusion.LEAVING
    if view.server.failure_domain in state.declared.evacuated_domains:
        return models.Exclusion.EVACUATED
    if view.server.server_id not in permitted:
        return models.Exclusion.OUTSIDE_HOME_REGIONS
    if now_ms < view.turned_away_until_ms:
        return models.Exclusion.TURNED_AWAY
    if not view.may_send(now_ms):
        return models.Exclusion.PACED
    if now_ms < view.ejected_until_ms < math.inf:
        return models.Exclusion.EJECTED
    return models.Exclusion.FULL if view.is_full(now_ms) else models.Exclusion.NONE
