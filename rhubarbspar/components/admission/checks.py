"""Check a request against the routes and access keys of the configuration."""

import dataclasses
import typing

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request may run on this route; ``account_id`` is empty if the route needs no key."""

    account_id: str
    route: configuration_models.Route


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request is refused before it runs."""

    reason: str


CheckResult: typing.TypeAlias = Accepted | Rejected


def check_request(
    state: core_state.State, request: core_models.Request, now_ms: float
) -> CheckResult:
    """Return whether a request is for a known route and carries a valid access key if needed."""
    configuration = state.configuration.current
    if configuration is None:
        return Rejected(package_const.REASON_NO_CONFIGURATION)
    service = configuration.services.get(request.service_id)
    if service is None:
        return Rejected(package_const.REASON_UNKNOWN_SERVICE)
    route = find_route(service, request)
    if route is None:
        return Rejected(package_const.REASON_UNKNOWN_ROUTE)
    if request.method not in route.methods:
        return Rejected(package_const.REASON_METHOD_NOT_ALLOWED)
    if route.open_to_all:
        return Accepted('', route)
    return _check_key(state, configuration, request, route, now_ms)


def recorded_account_ids(
    state: core_state.State,
    request: core_models.Request,
) -> tuple[str, ...]:
    """Return the client accounts for which an earlier copy of a refused request may have run.

    The empty account stands for a route without access keys. The result is empty if the access key
    is not in the configuration, so that its account is unknown.
    """
    if request.access_key_digest is None:
        return ('',)
    configuration = state.configuration.current
    access_keys = configuration.access_keys if configuration else {}
    key = access_keys.get(request.access_key_digest)
    return () if key is None else ('', key.account_id)


def find_route(
    service: configuration_models.Service,
    request: core_models.Request,
) -> configuration_models.Route | None:
    """Return the route with the longest matching path prefix, or ``None`` if none matches.

    Of routes with the same prefix, one that allows the request's method is preferred. A prefix
    matches whole path segments only.
    """
    path = request.target.partition('?')[0]
    matching_routes = [route for route in service.routes if _matches(route.path_prefix, path)]
    return max(
        matching_routes,
        key=lambda route: (len(route.path_prefix), request.method in route.methods),
        default=None,
    )


def _matches(path_prefix: str, path: str) -> bool:
    prefix = path_prefix.rstrip('/')
    return path == prefix or path.startswith(f'{prefix}/')


def _check_key(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    request: core_models.Request,
    route: configuration_models.Route,
    now_ms: float,
) -> CheckResult:
    """Return whether a request carries an access key of a client account.

    A key is refused if this instance's configuration is too old to know of a revocation.
    """
    if request.access_key_digest is None:
        return Rejected(package_const.REASON_KEY_MISSING)
    if not configuration_reducer.keys_usable(state, now_ms):
        return Rejected(package_const.REASON_KEYS_STALE)
    key = configuration.access_keys.get(request.access_key_digest)
    if key is None or key.account_id not in configuration.client_accounts:
        return Rejected(package_const.REASON_KEY_UNKNOWN)
    return Accepted(key.account_id, route)
