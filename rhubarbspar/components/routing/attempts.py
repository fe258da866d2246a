"""Apply the outcomes of attempts: answer or retry, and record them for server and version."""

import dataclasses

from rhubarbspar import const as package_const
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import crashes
from rhubarbspar.components.routing import health
from rhubarbspar.components.routing import models
from rhubarbspar.components.routing import owner
from rhubarbspar.components.routing import results
from rhubarbspar.components.routing import timeouts
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state


def end_attempt(
    state: core_state.State,
    event: events.AttemptFinished,
    now_ms: float,
) -> list[effects.Effect]:
    """Free the slot of an attempt and apply its outcome; ignore an attempt cancelled before."""
    attempt = owner.release_slot(state, event.attempt_id, now_ms)
    if attempt is None:
        return []
    outputs = _apply_outcome(state, attempt, event, now_ms)
    service_id = attempt.routed.request.service_id
    return outputs + owner.start_queued(state, service_id, attempt.routed.version, now_ms)


def _apply_outcome(
    state: core_state.State,
    attempt: models.Attempt,
    event: events.AttemptFinished,
    now_ms: float,
) -> list[effects.Effect]:
    server = state.routing.servers.get(attempt.server_id)
    match event.outcome:
        case core_models.Answered(response) if _is_shed(response):
            return _retry(state, attempt, _not_run_refusal(package_const.REASON_FULL), now_ms)
        case core_models.Answered(response):
            health.record_response(server, now_ms)
            timeouts.record_latency(state, attempt.routed, event.latency_ms)
            if state.routing.suspects:
                crashes.clear_suspect(state, crashes.request_fingerprint(attempt.routed))
            failed = response.status >= const.STATUS_SERVER_ERROR
            outputs = _report_to_rollout(state, attempt, failed, event.latency_ms, now_ms)
            return outputs + results.finish(state, attempt.routed, event.outcome)
        case core_models.Refused(run=core_models.ExecutionStatus.NOT_RUN):
            health.record_failure(server, now_ms)
            return _retry(state, attempt, event.outcome, now_ms)
        case core_models.Refused():
            health.record_failure(server, now_ms)
            return _apply_failure_without_response(state, attempt, event, event.outcome, now_ms)


def _apply_failure_without_response(
    state: core_state.State,
    attempt: models.Attempt,
    event: events.AttemptFinished,
    refusal: core_models.Refused,
    now_ms: float,
) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    routed = attempt.routed
    # A failure of a request that has crashed another server before does not count for the version.
    if not crashes.is_suspect(state, crashes.request_fingerprint(routed)):
        outputs += _report_to_rollout(state, attempt, True, event.latency_ms, now_ms)
    if event.connection_lost:
        outputs += crashes.report_crash(state, routed, attempt.server_id, now_ms)
    if not routed.idempotent:
        return outputs + results.finish(state, routed, refusal)
    uncertain = dataclasses.replace(attempt, routed=dataclasses.replace(routed, may_have_run=True))
    return outputs + _retry(state, uncertain, refusal, now_ms)


def _retry(
    state: core_state.State,
    attempt: models.Attempt,
    refusal: core_models.Refused,
    now_ms: float,
) -> list[effects.Effect]:
    routed = attempt.routed
    if routed.avoid_server_id:
        return results.finish(state, routed, refusal)
    counted = effects.Count(package_const.METRIC_RETRIES, refusal.reason)
    retried = dataclasses.replace(routed, avoid_server_id=attempt.server_id)
    return [counted, *owner.run_or_queue(state, retried, now_ms)]


def _report_to_rollout(
    state: core_state.State,
    attempt: models.Attempt,
    failed: bool,
    latency_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    return rollout_reducer.record_attempt(
        state,
        attempt.routed.request.service_id,
        attempt.routed.version,
        attempt.routed.path_prefix,
        failed,
        latency_ms,
        now_ms,
    )


def _is_shed(response: core_models.Response) -> bool:
    if response.status != const.STATUS_SHED:
        return False
    return any(
        name.lower() == const.HEADER_REQUEST_RUN and text == core_models.ExecutionStatus.NOT_RUN
        for name, text in response.headers
    )


def _not_run_refusal(reason: str) -> core_models.Refused:
    return core_models.Refused(
        reason, core_models.ExecutionStatus.NOT_RUN, float(const.RETRY_AFTER_FULL_MS)
    )
