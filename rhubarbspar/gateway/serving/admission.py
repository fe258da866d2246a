"""Admission of requests.

Checks the route, the access key, whether the request has crashed servers, and the rate limit of the
account.
"""

import dataclasses

from rhubarbspar import const as package_const
from rhubarbspar.gateway import const
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state

# A gateway loads its configuration within about this time after its start.
START_RETRY_AFTER_MS = 500
STOP_RETRY_AFTER_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not admitted, and the HTTP status to answer it with.

    Attributes
    ----------
    retry_after_ms
        When the caller may retry; ``None`` if a retry would be refused as well.
    account_id, account_rate_per_s
        The account and its limit, if the account is over its rate.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None
    account_id: str | None = None
    account_rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The route and the account of an admitted request.

    Attributes
    ----------
    account
        ``None`` if the request has no known access key.
    """

    route: models.Route
    account: models.ClientAccount | None


def find_route(configuration: models.Configuration, host: str, path: str) -> models.Route | None:
    """Return the route of a host whose prefix is the longest one that matches a path.

    Prefixes end with a slash. The routes of a host are sorted by prefix length, longest first.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def admit(state: gateway_state.State, request: models.Request, now_ms: float) -> Admitted | Refusal:
    """Decide whether a request is admitted.

    A refused request has not been sent to any backend server. An admitted one has taken a token of
    its account's rate limit.
    """
    configuration = state.declared.configuration
    if configuration is None:
        return Refusal(
            const.STATUS_UNAVAILABLE, package_const.REASON_NO_CONFIGURATION, START_RETRY_AFTER_MS
        )
    if now_ms - state.lifecycle.stop_requested_ms > const.STOP_REFUSE_AFTER_MS:
        return Refusal(const.STATUS_UNAVAILABLE, const.REASON_STOPPING, STOP_RETRY_AFTER_MS)
    route = find_route(configuration, request.host, request.path)
    if route is None:
        return Refusal(const.STATUS_NOT_FOUND, package_const.REASON_UNKNOWN_ROUTE)
    account = configuration.accounts_by_key.get(request.access_key or '')
    if account is None and configuration.has_accounts and not route.public:
        return Refusal(const.STATUS_UNAUTHORIZED, package_const.REASON_KEY_UNKNOWN)
    return _check_account(state, request, Admitted(route, account), now_ms)


def crash_fingerprint(request: models.Request, account: models.ClientAccount | None) -> str:
    """Return the key under which crashes of a request are counted: its digest and its account."""
    account_id = '' if account is None else account.account_id
    return f'{request.fingerprint}.{account_id}'


def crashes_servers(
    state: gateway_state.State,
    request: models.Request,
    account: models.ClientAccount | None,
    now_ms: float,
) -> bool:
    """Return whether a request has crashed so many servers that no other one may get it."""
    fingerprint = crash_fingerprint(request, account)
    return state.crashes.is_poison_request(fingerprint, now_ms, state.servers.last_heard_ms)


def revoke(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> Refusal | None:
    """Return why an admitted request that was not sent yet must not be sent any more, if so."""
    if crashes_servers(state, pending.request, pending.account, now_ms):
        return Refusal(const.STATUS_UNAVAILABLE, package_const.REASON_CRASHES_SERVERS)
    configuration = state.declared.configuration
    if pending.account is None or configuration is None:
        return None
    account = configuration.accounts_by_key.get(pending.request.access_key or '')
    if account is None or account.account_id != pending.account.account_id:
        return Refusal(const.STATUS_UNAUTHORIZED, package_const.REASON_KEY_UNKNOWN)
    return None


def _check_account(
    state: gateway_state.State, request: models.Request, admitted: Admitted, now_ms: float
) -> Admitted | Refusal:
    """Refuse a request that has crashed servers, or whose account is over its rate limit."""
    account = admitted.account
    if crashes_servers(state, request, account, now_ms):
        return Refusal(const.STATUS_UNAVAILABLE, package_const.REASON_CRASHES_SERVERS)
    if account is None:
        return admitted
    retry_after_ms = state.quotas.admit(account, now_ms)
    if retry_after_ms is None:
        return admitted
    return Refusal(
        const.STATUS_TOO_MANY_REQUESTS,
        const.REASON_ACCOUNT_OVER_RATE,
        retry_after_ms,
        account.account_id,
        account.rate_per_s,
    )
