"""Final responses: what the caller gets, and what is counted and logged about it."""

import math
import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import admission
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import outcomes
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import state as gateway_state

# Part of the usual work after which a full server has room again.
RETRY_AFTER_PART: typing.Final = 0.5
RETRY_AFTER_MIN_MS: typing.Final = 50


def relay(
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Pass a backend server's response on."""
    elapsed_ms = now_ms - pending.arrived_ms
    number = pending.request.request_number
    fields = (
        ('status', ended.status),
        ('server', attempt.view.server.server_id),
        ('elapsed_ms', round(elapsed_ms)),
        ('attempts', pending.send_count),
    )
    return [
        effects.RelayResponse(number, attempt.attempt_number),
        core_effects.Count(const.METRIC_REQUESTS, str(ended.status)),
        effects.Observe(const.METRIC_LATENCY, pending.service_id, elapsed_ms),
        core_effects.Log('request_answered', of(pending.request, fields)),
    ]


def unserved(
    state: gateway_state.State, pending: gateway_state.PendingRequest, reason: str
) -> list[core_effects.Effect]:
    """Refuse a request that has not run, with the time after which room is expected."""
    work_ms = outcomes.usual_work_ms(state, pending.route)
    retry_after_ms = max(RETRY_AFTER_MIN_MS, work_ms * RETRY_AFTER_PART)
    status = const.STATUS_UNAVAILABLE
    return refused(state, pending.request, status, reason, retry_after_ms)


def refused(
    state: gateway_state.State,
    request: models.Request,
    status: int,
    reason: str,
    retry_after_ms: float | None = None,
    decision: admission.Refusal | None = None,
) -> list[core_effects.Effect]:
    """Answer with a status of this instance."""
    configuration = state.declared.configuration
    fields = (
        ('status', status),
        ('reason', reason),
        ('retry_after_ms', None if retry_after_ms is None else round(retry_after_ms)),
        ('account', None if decision is None else decision.account_id),
        ('account_rate_per_s', None if decision is None else decision.account_rate_per_s),
        ('configuration', None if configuration is None else configuration.version),
        ('store_revision', state.replica.revision),
        ('store_reachable', state.replica.reachable),
    )
    return [
        effects.Refuse(request.request_number, status, reason, retry_after_ms),
        core_effects.Count(package_const.METRIC_REFUSALS, reason),
        core_effects.Log('request_refused', of(request, fields)),
    ]


def of(request: models.Request, fields: core_effects.LogFields) -> core_effects.LogFields:
    """Return the fields of a log line about a request."""
    return (('request', request.attempt_id), *fields)


def attempt_line(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> core_effects.Log:
    """Return the log line of an attempt, with what decided on its server."""
    server = choice.view.server
    account = pending.account
    fields = (
        ('account', None if account is None else account.account_id),
        ('server', server.server_id),
        ('domain', server.failure_domain),
        ('version', server.version),
        ('load', round(choice.load, 1)),
        ('load_age_ms', _age_ms(choice.view.reported_ms, now_ms)),
        ('expected_ms', round(choice.expected_ms)),
        ('object', pending.request.object_key),
        ('gain', round(choice.gain, 2)),
        ('place', choice.place.name.lower()),
        ('attempt', pending.send_count),
    )
    return core_effects.Log('attempt_started', of(pending.request, fields))


def _age_ms(since_ms: float, now_ms: float) -> int | None:
    return None if since_ms == -math.inf else round(now_ms - since_ms)
