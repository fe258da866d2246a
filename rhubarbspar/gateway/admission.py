"""Which requests are admitted: route, access key, crash evidence and account rate."""

import dataclasses

from rhubarbspar import const as package_const
from rhubarbspar.gateway import const
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state

# A gateway that has just started knows its configuration within about this time.
START_RETRY_AFTER_MS = 500
STOP_RETRY_AFTER_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request is not admitted."""

    status: int
    reason: str
    retry_after_ms: float | None = None
    account_id: str | None = None
    account_rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request may be passed on."""

    route: models.Route
    account: models.ClientAccount | None


def find_route(configuration: models.Configuration, host: str, path: str) -> models.Route | None:
    """Return the route with the longest prefix of a path; prefixes end with a slash."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def admit(state: gateway_state.State, request: models.Request, now_ms: float) -> Admitted | Refusal:
    """Decide whether a request is admitted; nothing of it has run so far."""
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
    return _admit_account(state, request, Admitted(route, account), now_ms)


def crash_fingerprint(request: models.Request, account: models.ClientAccount | None) -> str:
    """Return what identifies a repeated request: its content and its account."""
    account_id = '' if account is None else account.account_id
    return f'{request.fingerprint}.{account_id}'


def _admit_account(
    state: gateway_state.State, request: models.Request, admitted: Admitted, now_ms: float
) -> Admitted | Refusal:
    account = admitted.account
    if state.crashes.is_refused(crash_fingerprint(request, account), now_ms):
        return Refusal(const.STATUS_UNAVAILABLE, package_const.REASON_CRASHES_SERVERS)
    if account is None:
        return admitted
    wait_ms = state.quotas.admit(account, now_ms)
    if wait_ms is None:
        return admitted
    return Refusal(
        const.STATUS_TOO_MANY_REQUESTS,
        const.REASON_ACCOUNT_OVER_RATE,
        wait_ms,
        account.account_id,
        account.rate_per_s,
    )
