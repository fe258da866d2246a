"""Updates of servers, routes, rollouts and crash detection by the results of attempts."""

import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import server_limits
from rhubarbspar.gateway.rollouts import version_results
from rhubarbspar.gateway.routing import crash_checks
from rhubarbspar.gateway.routing import link_checks
from rhubarbspar.gateway.routing import load_reports
from rhubarbspar.gateway.routing import processing_times
from rhubarbspar.gateway.routing import server_notices
from rhubarbspar.gateway.routing import servers
from rhubarbspar.gateway.usage import reports

# Results of a connection that could not be opened or has failed.
_CONNECTION_FAILURES: typing.Final = frozenset(
    (
        events.AttemptResult.BROKEN,
        events.AttemptResult.NOT_FORWARDED,
        events.AttemptResult.UNREACHABLE,
    )
)

# Results with a response of the expected server.
_FROM_THE_SERVER: typing.Final = frozenset(
    (events.AttemptResult.ANSWERED, events.AttemptResult.NOT_RUN)
)


def record_result(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Update the state by the result of an attempt that has ended.

    Returns
    -------
    list of core_effects.Effect
        A metric, and the report of crashes to the peers.
    """
    view = attempt.view
    attempt.release()
    version_results.record_end(state, attempt, ended, now_ms)
    reports.record_end(state, attempt, ended, now_ms)
    if ended.result in _FROM_THE_SERVER and attempt.forwarder is None:
        view.idle.record_response(now_ms)
    outputs = _record_reports(state, view, ended, now_ms)
    outputs.extend(server_notices.record(state, view, ended, now_ms))
    if ended.connect_ms is not None and attempt.forwarder is None:
        state.network.record_connect_time(view.server.failure_domain, ended.connect_ms)
        state.links.record_opened(attempt.started_ms + ended.connect_ms)
    outputs.extend(_record_server_result(state, attempt, ended, now_ms))
    return [core_effects.Count(const.METRIC_ATTEMPTS, ended.result.value), *outputs]


def record_timeout(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Record a failure of the server of a request that has timed out.

    The server is only blamed if it had the expected time and the processing time of the route. It
    is ejected if it has answered nothing since the attempt started.
    """
    if _is_link_failure(state, attempt):
        return []
    elapsed_ms = now_ms - attempt.started_ms
    attempt.view.record_lateness(elapsed_ms, attempt.expected_ms)
    attempt.view.deadline_missed_ms = now_ms
    if elapsed_ms < attempt.expected_ms + processing_times.uncached_ms(state, pending.route):
        return []
    if attempt.view.last_answer_ms < attempt.started_ms:
        return record_silence(state, attempt, now_ms)
    attempt.view.record_failure(now_ms)
    return []


def record_silence(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> list[core_effects.Effect]:
    """Record that a server has answered nothing for too long, and eject it."""
    if _is_link_failure(state, attempt):
        return []
    if attempt.forwarder is not None:
        # The peer may be the one that does not respond.
        attempt.forwarder.forward_failed_ms = now_ms
    attempt.view.record_failure(now_ms)
    attempt.view.eject(now_ms)
    return _note_link_failure(state, attempt, now_ms)


def _is_link_failure(state: gateway_state.State, attempt: gateway_state.Attempt) -> bool:
    """Return whether an attempt has failed because of the links of this instance.

    Such a failure says nothing about the server.
    """
    return attempt.forwarder is None and state.links.explains(attempt.started_ms)


def _note_link_failure(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> list[core_effects.Effect]:
    """Note the failure of a direct attempt, which may be one of the links."""
    if attempt.forwarder is not None:
        return []
    return link_checks.note_failure(state, attempt.view.server.server_id, now_ms)


def _record_server_result(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Update the server of an attempt by its result."""
    view = attempt.view
    if ended.result == events.AttemptResult.NOT_SENT:
        return []
    if ended.result in _CONNECTION_FAILURES:
        return _record_connection_failure(state, attempt, ended.result, now_ms)
    match ended.result:
        case events.AttemptResult.ANSWERED if ended.status < const.STATUS_SERVER_ERROR:
            _record_success(attempt, now_ms)
            if not (attempt.was_queued or _has_queue(ended.load)):
                _record_processing_time(state, attempt, now_ms)
            return []
        case events.AttemptResult.NOT_RUN:
            view.last_answer_ms = now_ms
            if ended.load is not None:
                view.record_refusal(ended.load)
        case events.AttemptResult.WRONG_INSTANCE:
            view.eject(now_ms)
        case events.AttemptResult.ANSWERED:
            view.last_answer_ms = now_ms
    view.record_failure(now_ms)
    return []


def _record_connection_failure(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    attempt_result: events.AttemptResult,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Record a failed connection as one of the forwarder, the links or the server."""
    if attempt_result == events.AttemptResult.NOT_FORWARDED:
        if attempt.forwarder is not None:
            attempt.forwarder.forward_failed_ms = now_ms
        return []
    if _is_link_failure(state, attempt):
        return []
    attempt.view.record_failure(now_ms)
    outputs: list[core_effects.Effect] = []
    if attempt_result == events.AttemptResult.UNREACHABLE:
        attempt.view.eject(now_ms)
        outputs.extend(crash_checks.note_unreachable(state, attempt.view.server, now_ms))
    else:
        outputs.extend(crash_checks.note_broken_attempt(state, attempt, now_ms))
    return outputs + _note_link_failure(state, attempt, now_ms)


def _record_reports(
    state: gateway_state.State,
    view: servers.ServerView,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Record the load and the rate limit that a response reports, and tell the peers of them."""
    requests: int | None = None
    if ended.load is not None:
        view.record_load_report(ended.load, now_ms)
        requests = ended.load.running + ended.load.waiting
    outputs: list[core_effects.Effect] = []
    if ended.result in _FROM_THE_SERVER:
        view.limit_reported_ms = now_ms
        outputs = server_limits.record_limit(state, view, ended.limit_per_s, now_ms)
    if requests is not None or ended.result in _FROM_THE_SERVER:
        reported = load_reports.ReportedLoad(requests, now_ms, view.limit_per_s)
        state.load_reports.record(view.server.server_id, reported)
    return outputs


def _record_success(attempt: gateway_state.Attempt, now_ms: float) -> None:
    attempt.view.record_success(now_ms)
    attempt.view.record_lateness(now_ms - attempt.started_ms, attempt.expected_ms)


def _record_processing_time(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> None:
    """Update the processing time of the route and the slowdown of the server.

    Only called for responses that did not wait in a queue. A version on trial is measured by the
    usual times, so it does not change them.
    """
    pending = state.pending.get(attempt.request_number)
    if pending is None or version_results.is_on_trial(state, attempt.view.server):
        return
    route = pending.route
    elapsed_ms = now_ms - attempt.started_ms
    round_trip_ms = state.network.round_trip_ms(attempt.view.server.failure_domain)
    processing_ms = max(1.0, elapsed_ms - round_trip_ms)
    typical = processing_times.of_route(state, route)
    attempt.view.record_slowdown(processing_ms / max(1.0, typical.uncached_ms * (1 - attempt.gain)))
    typical.record(processing_ms, attempt.place, attempt.gain)


def _has_queue(load: events.LoadReport | None) -> bool:
    """Return whether requests are queued at a server.

    Its response times then say little about the processing time.
    """
    return load is not None and load.waiting > 0
