"""Find requests that crash the backend servers that run them.

Every request that was running at a backend server when its connection broke is a suspect. One that was
running at two servers is refused; one that later completes is cleared.

A peer may have seen a death that is unknown here. So a suspect runs again only after all peers have
acknowledged a heartbeat sent after the death, and while a peer is not heard one death is enough to refuse.
"""

import hashlib

from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def fingerprint(routed: models.RoutedRequest) -> str:
    """Return the identity of a request's content for one client account."""
    digest = hashlib.sha256()
    request = routed.request
    for part in (routed.account_id, request.service_id, request.method, request.target):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def is_suspect(state: core_state.State, mark: str) -> bool:
    """Tell whether one backend server has died running this request."""
    return mark in state.routing.suspects


def is_settled(state: core_state.State, mark: str) -> bool:
    """Tell whether all peers know the deaths that are known here, and theirs are known here."""
    suspect = state.routing.suspects.get(mark)
    if suspect is None:
        return True
    return membership_reducer.all_peers_acknowledged_since(state, suspect.learned_ms)


def is_blocked(state: core_state.State, mark: str, now_ms: float) -> bool:
    """Tell whether so many backend servers died that the request is refused."""
    suspect = state.routing.suspects.get(mark)
    if suspect is None:
        return False
    deaths = len(suspect.server_ids)
    if deaths >= const.CRASH_SERVERS_MAX:
        return True
    return deaths > 0 and not membership_reducer.all_peers_heard_recently(state, now_ms)


def record(state: core_state.State, mark: str, server_id: str, now_ms: float) -> None:
    """Record that a backend server died while it ran the request."""
    suspect = state.routing.suspects.setdefault(mark, models.Suspect(set(), now_ms))
    suspect.server_ids.add(server_id)
    suspect.learned_ms = now_ms
    suspect.until_ms = now_ms + const.CRASH_BLOCK_MS


def learn(state: core_state.State, mark: str, server_id: str, now_ms: float) -> None:
    """Record a death that a peer reports; a repeated report does not extend the block."""
    suspect = state.routing.suspects.get(mark)
    if suspect is None or server_id not in suspect.server_ids:
        record(state, mark, server_id, now_ms)


def clear(state: core_state.State, mark: str) -> None:
    """Forget a suspect that has completed, unless two backend servers died running it."""
    suspect = state.routing.suspects.get(mark)
    if suspect is not None and len(suspect.server_ids) < const.CRASH_SERVERS_MAX:
        state.routing.suspects.pop(mark)


def report(
    state: core_state.State, routed: models.RoutedRequest, server_id: str, now_ms: float
) -> list[effects.Effect]:
    """Record a death here and tell all peers."""
    mark = fingerprint(routed)
    record(state, mark, server_id, now_ms)
    return [
        effects.Broadcast(models.CrashReport(mark, server_id)),
        effects.Log(
            'server_died',
            (('server', server_id), ('fingerprint', mark[: const.FINGERPRINT_LOG_CHARS])),
        ),
    ]


def tell(state: core_state.State, peer_id: str) -> list[effects.Effect]:
    """Repeat the known deaths to a peer whose earlier connection may have lost them."""
    return [
        effects.SendMessage(peer_id, models.CrashReport(mark, server_id))
        for mark, suspect in state.routing.suspects.items()
        for server_id in sorted(suspect.server_ids)
    ]


def expire(state: core_state.State, now_ms: float) -> None:
    """Forget suspects after their time."""
    suspects = state.routing.suspects
    ended = [mark for mark, suspect in suspects.items() if suspect.until_ms <= now_ms]
    for mark in ended:
        suspects.pop(mark)
