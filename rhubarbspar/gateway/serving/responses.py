"""Final responses to callers, with their metrics and log lines."""

import math
import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import processing_times
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.serving import admission

# Share of the processing time after which a full server is expected to have a free slot.
RETRY_AFTER_SHARE: typing.Final = 0.5
RETRY_AFTER_MIN_MS: typing.Final = 50


def relay(
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Pass the response of a backend server to the caller."""
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
        core_effects.Log('request_answered', log_fields(pending.request, fields)),
    ]


def refuse_unserved(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    reason: str,
    retry_after_ms: float | None = None,
) -> list[core_effects.Effect]:
    """Refuse a request without a response of a server; the status says whether it may have run.

    Parameters
    ----------
    reason
        Reason of a refusal that says that the request has not run.
    retry_after_ms
        Time after which the caller may retry then; by default, when a free slot is expected.
    """
    if pending.may_have_run:
        status = const.STATUS_BAD_GATEWAY
        return refuse(state, pending.request, status, package_const.REASON_OUTCOME_UNKNOWN)
    if retry_after_ms is None:
        processing_ms = processing_times.uncached_ms(state, pending.route)
        retry_after_ms = max(RETRY_AFTER_MIN_MS, processing_ms * RETRY_AFTER_SHARE)
    status = const.STATUS_UNAVAILABLE
    return refuse(state, pending.request, status, reason, retry_after_ms)


def refuse(
    state: gateway_state.State,
    request: models.Request,
    status: int,
    reason: str,
    retry_after_ms: float | None = None,
    decision: admission.Refusal | None = None,
) -> list[core_effects.Effect]:
    """Answer a request with an error status of this instance.

    Parameters
    ----------
    decision
        The refusal by admission, if the request was not admitted.
    """
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
        core_effects.Log('request_refused', log_fields(request, fields)),
    ]


def log_fields(request: models.Request, fields: core_effects.LogFields) -> core_effects.LogFields:
    """Return the fields of a log line about a request, with the id of the request."""
    return (('request', request.attempt_id), *fields)


def attempt_started_log(
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    forwarder: models.Member | None,
    now_ms: float,
) -> core_effects.Log:
    """Return the log line of a started attempt, with the inputs that decided on its server."""
    server = choice.view.server
    account = pending.account
    fields = (
        ('account', None if account is None else account.account_id),
        ('server', server.server_id),
        ('domain', server.failure_domain),
        ('version', server.version),
        ('load', round(choice.load, 1)),
        ('load_age_ms', age_ms(choice.view.reported_ms, now_ms)),
        ('limit_per_s', choice.view.limit_per_s),
        ('expected_ms', round(choice.expected_ms)),
        ('object', pending.request.object_key),
        ('gain', round(choice.gain, 2)),
        ('place', choice.place.name.lower()),
        ('attempt', pending.send_count),
        ('waited_ms', round(now_ms - pending.arrived_ms)),
        ('forwarder', None if forwarder is None else forwarder.instance_id),
    )
    return core_effects.Log('attempt_started', log_fields(pending.request, fields))


def age_ms(since_ms: float, now_ms: float) -> int | None:
    """Return the time since an event, or ``None`` if it never happened."""
    return None if since_ms == -math.inf else round(now_ms - since_ms)
