"""Checks whether servers that broke a connection have crashed, and reports of these crashes.

An instance of a large fleet sends too little to a single server to notice by its own requests that
it is gone, so that it checks at once. What the check misses, the registration of the next process
shows.
"""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import multicast
from rhubarbspar.gateway.routing import crashes
from rhubarbspar.gateway.serving import admission


def note_broken_attempt(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> list[core_effects.Effect]:
    """Record that a server broke the connection of a request, and check the server."""
    pending = state.pending.get(attempt.request_number)
    if pending is None:
        return []
    fingerprint = admission.crash_fingerprint(pending.request, pending.account)
    server = attempt.view.server
    state.crashes.record_broken_attempt(fingerprint, server.incarnation, now_ms)
    fields = (
        ('request', pending.request.attempt_id),
        ('fingerprint', fingerprint),
        ('server', server.incarnation),
    )
    log = core_effects.Log('crash_suspected', fields)
    if attempt.forwarder is not None or server.server_id in state.crashes.checked_ids:
        return [log]
    state.crashes.checked_ids.add(server.server_id)
    timeout_ms = state.network.connect_timeout_ms(server.failure_domain)
    return [log, effects.ProbeServer(server, timeout_ms)]


def finish_check(
    state: gateway_state.State, ended: events.ProbeEnded, now_ms: float
) -> list[core_effects.Effect]:
    """Apply the result of a check; lost links say nothing about the server."""
    if ended.server_id not in state.crashes.checked_ids:
        return []
    state.crashes.checked_ids.discard(ended.server_id)
    view = state.servers.views.get(ended.server_id)
    if ended.opened or view is None or state.links.are_lost:
        return []
    return note_unreachable(state, view.server, now_ms)


def note_unreachable(
    state: gateway_state.State, server: models.BackendServer, now_ms: float
) -> list[core_effects.Effect]:
    """Count recent broken connections of an unreachable server as crashes."""
    since_ms = now_ms - crashes.CONFIRMATION_MS
    return _confirm(state, server.incarnation, since_ms, now_ms)


def note_ended(
    state: gateway_state.State, server: models.BackendServer, now_ms: float
) -> list[core_effects.Effect]:
    """Count broken connections of a server whose process has ended, by its registration.

    A server that was draining has ended as planned.
    """
    if server.draining:
        return []
    return _confirm(state, server.incarnation, now_ms - crashes.SUSPICION_MS, now_ms)


def _confirm(
    state: gateway_state.State, incarnation: str, since_ms: float, now_ms: float
) -> list[core_effects.Effect]:
    """Record the crashes of an incarnation since a time, and inform the peers."""
    outputs: list[core_effects.Effect] = []
    for crash in state.crashes.confirm_crash(incarnation, since_ms, now_ms):
        age_ms = round(now_ms - crash.crashed_ms)
        seen = messages.CrashSeen(crash.fingerprint, incarnation, age_ms)
        outputs.extend(multicast.spread(state, seen))
        fields = (('fingerprint', crash.fingerprint), ('server', incarnation), ('age_ms', age_ms))
        outputs.append(core_effects.Log('crash_confirmed', fields))
    return outputs
