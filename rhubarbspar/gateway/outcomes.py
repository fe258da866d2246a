"""What an instance learns from the results of its attempts."""

import dataclasses
import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import admission
from rhubarbspar.gateway import const
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import rollouts
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import state as gateway_state

# Usual time of a route before any response, as a part of its latency objective.
DEFAULT_WORK_PART: typing.Final = 1.2

MAY_HAVE_RUN: typing.Final = frozenset(
    (
        events.AttemptResult.ANSWERED,
        events.AttemptResult.BROKEN,
        events.AttemptResult.MALFORMED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """What a result says about the server's version."""

    good: bool | None
    slow: bool


def usual_work_ms(state: gateway_state.State, route: models.Route) -> float:
    """Return the usual time of a route at a server without queue."""
    return work_time(state, route).full_ms


def work_time(state: gateway_state.State, route: models.Route) -> selection.ProcessingTime:
    """Return the usual times of a route; before any response they follow from its objective."""
    known = state.work_times.get(route.route_id)
    if known is None:
        default_ms = route.latency_objective_ms * DEFAULT_WORK_PART
        known = selection.ProcessingTime(default_ms, default_ms)
        state.work_times[route.route_id] = known
    return known


def note(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Learn from an attempt that has ended."""
    view = attempt.view
    view.running = max(0, view.running - 1)
    evidence = _version_evidence(state, attempt, ended, now_ms)
    state.rollouts.note_result(attempt.subject, good=evidence.good, slow=evidence.slow)
    if ended.load is not None:
        view.record_load_report(ended.load, now_ms)
    if ended.connect_ms is not None:
        state.network.note(view.server.failure_domain, ended.connect_ms)
    outputs = _note_server(state, attempt, ended, now_ms)
    return [core_effects.Count(const.METRIC_ATTEMPTS, ended.result.value), *outputs]


def note_timeout(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    attempt: gateway_state.Attempt,
    now_ms: float,
) -> None:
    """Count a request that ran out of time against a server that had its usual time."""
    had_ms = now_ms - attempt.started_ms
    if had_ms < attempt.expected_ms + usual_work_ms(state, pending.route):
        return
    attempt.view.note_failure(now_ms)
    if attempt.view.last_answer_ms < attempt.started_ms:
        attempt.view.eject(now_ms)


def _note_server(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    view = attempt.view
    match ended.result:
        case events.AttemptResult.ANSWERED if ended.status < const.STATUS_SERVER_ERROR:
            view.note_success(now_ms)
            if not (attempt.was_queued or _is_busy(ended.load)):
                _note_work(state, attempt, now_ms)
            return []
        case events.AttemptResult.NOT_RUN:
            view.last_answer_ms = now_ms
            if ended.load is not None:
                view.note_full(ended.load)
        case events.AttemptResult.BROKEN:
            _suspect(state, attempt, now_ms)
        case events.AttemptResult.UNREACHABLE:
            view.eject(now_ms)
            view.note_failure(now_ms)
            return _confirm_death(state, attempt, now_ms)
        case events.AttemptResult.WRONG_INSTANCE:
            view.eject(now_ms)
        case events.AttemptResult.ANSWERED:
            view.last_answer_ms = now_ms
    view.note_failure(now_ms)
    return []


def _version_evidence(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> _Evidence:
    pending = state.pending.get(attempt.request_number)
    if pending is None or ended.result not in MAY_HAVE_RUN:
        return _Evidence(good=None, slow=False)
    answered = ended.result == events.AttemptResult.ANSWERED
    extra_ms = usual_work_ms(state, pending.route) * (rollouts.SLOW_FACTOR - 1)
    return _Evidence(
        good=answered and ended.status < const.STATUS_SERVER_ERROR,
        slow=now_ms - attempt.started_ms > attempt.expected_ms + extra_ms,
    )


def _note_work(state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float) -> None:
    """Learn the usual time of the route and the server's speed from a response without queue."""
    pending = state.pending.get(attempt.request_number)
    if pending is None:
        return
    route = pending.route
    elapsed_ms = now_ms - attempt.started_ms
    round_trip_ms = state.network.round_trip_ms(attempt.view.server.failure_domain)
    work_ms = max(1.0, elapsed_ms - round_trip_ms)
    usual = work_time(state, route)
    attempt.view.note_speed(work_ms / max(1.0, usual.full_ms * (1 - attempt.gain)))
    usual.note(work_ms, attempt.place, attempt.gain)


def _is_busy(load: events.LoadReport | None) -> bool:
    """Return whether requests wait at a server, so that its time says little about the work."""
    return load is not None and load.waiting > 0


def _suspect(state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float) -> None:
    pending = state.pending.get(attempt.request_number)
    if pending is None:
        return
    fingerprint = admission.crash_fingerprint(pending.request, pending.account)
    state.crashes.suspect(fingerprint, _incarnation(attempt.view.server), now_ms)


def _confirm_death(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> list[core_effects.Effect]:
    incarnation = _incarnation(attempt.view.server)
    fingerprints = state.crashes.confirm(incarnation, now_ms)
    outputs: list[core_effects.Effect] = []
    for fingerprint in fingerprints:
        outputs.append(core_effects.Broadcast(messages.CrashSeen(fingerprint, incarnation)))
        fields = (('fingerprint', fingerprint), ('server', incarnation))
        outputs.append(core_effects.Log('crash_confirmed', fields))
    return outputs


def _incarnation(server: models.BackendServer) -> str:
    return f'{server.server_id}.{server.started_unix_ms}'
