"""Attempts that this instance passes on for a peer that has lost its links to the servers.

The peer has admitted the request and chosen the server. This instance only checks that the server
may get requests, and passes the attempt on itself or not at all.
"""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import link_checks
from rhubarbspar.gateway.routing import server_notices


def receive(
    state: gateway_state.State, forwarded: models.ForwardedAttempt, now_ms: float
) -> list[core_effects.Effect]:
    """Pass an attempt of a peer on to its server, or return it as not sent."""
    refusal = _find_refusal(state, forwarded, now_ms)
    if refusal is not None:
        return _refuse(forwarded, refusal)
    view = state.servers.views[forwarded.server_id]
    server = view.server
    state.last_attempt_number += 1
    number = state.last_attempt_number
    due_ms = now_ms + forwarded.time_left_ms
    state.forwards[number] = gateway_state.Forward(forwarded, view, due_ms)
    timeout_ms = state.network.connect_timeout_ms(server.failure_domain)
    return [
        effects.StartForward(forwarded.forward_number, number, server, timeout_ms),
        _log(forwarded, 'forward_started', ()),
    ]


def finish(
    state: gateway_state.State, ended: events.AttemptEnded, now_ms: float
) -> list[core_effects.Effect]:
    """Return the result of an attempt to the peer."""
    forward = state.forwards.pop(ended.attempt_number)
    forwarded = forward.forwarded
    fields = (('result', ended.result.value), ('status', ended.status))
    seen = ended.result
    if seen == events.AttemptResult.NOT_SENT:
        seen = events.AttemptResult.NOT_FORWARDED
    outputs: list[core_effects.Effect] = [
        effects.AnswerForward(forwarded.forward_number, seen, ended.attempt_number),
        core_effects.Count(const.METRIC_FORWARDS, ended.result.value),
        _log(forwarded, 'forward_ended', fields),
        *server_notices.record(state, forward.view, ended, now_ms),
    ]
    if ended.result == events.AttemptResult.UNREACHABLE:
        outputs.extend(link_checks.note_failure(state, forwarded.server_id, now_ms))
    return outputs


def abandon(state: gateway_state.State, forward_number: int) -> list[core_effects.Effect]:
    """Cancel an attempt whose peer has closed its connection."""
    for number, forward in state.forwards.items():
        if forward.forwarded.forward_number == forward_number:
            state.forwards.pop(number)
            return [
                effects.CancelAttempt(number),
                _log(forward.forwarded, 'forward_abandoned', ()),
            ]
    return []


def check_deadlines(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Cancel the attempts whose deadline has passed."""
    overdue = [number for number, forward in state.forwards.items() if now_ms >= forward.due_ms]
    outputs: list[core_effects.Effect] = []
    for number in overdue:
        forwarded = state.forwards.pop(number).forwarded
        broken = events.AttemptResult.BROKEN
        outputs.append(effects.CancelAttempt(number))
        outputs.append(effects.AnswerForward(forwarded.forward_number, broken))
    return outputs


def _find_refusal(
    state: gateway_state.State, forwarded: models.ForwardedAttempt, now_ms: float
) -> events.AttemptResult | None:
    """Return the result of an attempt that is not passed on, or ``None``."""
    if state.is_stopping or not state.links.are_up:
        return events.AttemptResult.NOT_FORWARDED
    view = state.servers.views.get(forwarded.server_id)
    if view is None or not state.declared.may_get_requests(view):
        return events.AttemptResult.WRONG_INSTANCE
    if now_ms < view.turned_away_until_ms:
        # Another peer may reach a server that has not turned it away.
        return events.AttemptResult.NOT_FORWARDED
    return None


def _refuse(
    forwarded: models.ForwardedAttempt, refusal: events.AttemptResult
) -> list[core_effects.Effect]:
    fields = (('result', refusal.value),)
    return [
        effects.AnswerForward(forwarded.forward_number, refusal),
        core_effects.Count(const.METRIC_FORWARDS, refusal.value),
        _log(forwarded, 'forward_refused', fields),
    ]


def _log(
    forwarded: models.ForwardedAttempt, event_name: str, fields: core_effects.LogFields
) -> core_effects.Log:
    subject = (('request', forwarded.attempt_id), ('server', forwarded.server_id))
    return core_effects.Log(event_name, (*subject, *fields))
