"""Detect requests that crash the backend servers that run them.

A request whose connection to a backend server breaks becomes a suspect. It is refused after crashes
of two servers and cleared when it completes.

A peer may know of a crash that is unknown here. So a suspect runs again only after all peers have
acknowledged a heartbeat sent after the crash. While a peer can't be reached, one crash is enough to
refuse it.
"""

import hashlib

from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def request_fingerprint(routed: models.RoutedRequest) -> str:
    """Return a hash of a request's account, service, method, target and body."""
    digest = hashlib.sha256()
    request = routed.request
    for part in (routed.account_id, request.service_id, request.method, request.target):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def is_suspect(state: core_state.State, fingerprint: str) -> bool:
    """Return whether a backend server has crashed while it ran this request."""
    return fingerprint in state.routing.suspects


def is_known_to_all_peers(state: core_state.State, fingerprint: str) -> bool:
    """Return whether all peers know the crashes known here and this instance knows theirs."""
    suspect = state.routing.suspects.get(fingerprint)
    if suspect is None:
        return True
    return membership_reducer.all_peers_acknowledged_since(state, suspect.learned_ms)


def is_blocked(state: core_state.State, fingerprint: str, now_ms: float) -> bool:
    """Return whether the request is refused because of the backend servers that it has crashed."""
    suspect = state.routing.suspects.get(fingerprint)
    if suspect is None:
        return False
    crash_count = len(suspect.server_ids)
    if crash_count >= const.CRASH_SERVERS_MAX:
        return True
    return crash_count > 0 and not membership_reducer.all_peers_heard_recently(state, now_ms)


def record_crash(state: core_state.State, fingerprint: str, server_id: str, now_ms: float) -> None:
    """Record that a backend server crashed while it ran the request, and restart its block."""
    suspect = state.routing.suspects.setdefault(fingerprint, models.Suspect(set(), now_ms))
    suspect.server_ids.add(server_id)
    suspect.learned_ms = now_ms
    suspect.expires_ms = now_ms + const.CRASH_BLOCK_MS


def record_reported_crash(
    state: core_state.State, fingerprint: str, server_id: str, now_ms: float
) -> None:
    """Record a crash that a peer reports; a repeated report does not extend the block."""
    suspect = state.routing.suspects.get(fingerprint)
    if suspect is None or server_id not in suspect.server_ids:
        record_crash(state, fingerprint, server_id, now_ms)


def clear_suspect(state: core_state.State, fingerprint: str) -> None:
    """Remove a suspect that has completed, unless it has crashed two backend servers."""
    suspect = state.routing.suspects.get(fingerprint)
    if suspect is not None and len(suspect.server_ids) < const.CRASH_SERVERS_MAX:
        state.routing.suspects.pop(fingerprint)


def report_crash(
    state: core_state.State, routed: models.RoutedRequest, server_id: str, now_ms: float
) -> list[effects.Effect]:
    """Record a crash, report it to all peers and log it."""
    fingerprint = request_fingerprint(routed)
    record_crash(state, fingerprint, server_id, now_ms)
    return [
        effects.Broadcast(models.CrashReport(fingerprint, server_id)),
        effects.Log(
            'server_died',
            (('server', server_id), ('fingerprint', fingerprint[: const.FINGERPRINT_LOG_CHARS])),
        ),
    ]


def resend_reports(state: core_state.State, peer_id: str) -> list[effects.Effect]:
    """Report the known crashes again to a peer whose old connection may have lost the reports."""
    return [
        effects.SendMessage(peer_id, models.CrashReport(fingerprint, server_id))
        for fingerprint, suspect in state.routing.suspects.items()
        for server_id in sorted(suspect.server_ids)
    ]


def expire(state: core_state.State, now_ms: float) -> None:
    """Remove the suspects whose block has ended."""
    suspects = state.routing.suspects
    ended = [
        fingerprint for fingerprint, suspect in suspects.items() if suspect.expires_ms <= now_ms
    ]
    for fingerprint in ended:
        suspects.pop(fingerprint)
