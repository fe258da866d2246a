"""Track the health of backend servers by their responses first and their load reports second."""

from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models


def accepts_requests(server: models.OwnedServerState, now_ms: float) -> bool:
    """Return whether a backend server may get new requests.

    A report that it is draining always counts, whatever its age. A report that it is unhealthy
    counts only together with a failed attempt, because health endpoints can be late and wrong.
    """
    if server.draining or now_ms < server.eject_until_ms:
        return False
    return server.healthy or server.failures == 0


def slow_start_slots(server: models.OwnedServerState, usable_slots: int, now_ms: float) -> int:
    """Return the usable slots during slow start; 1 for an ejected server that is tried again."""
    if usable_slots <= 0:
        return 0
    if server.failures >= const.EJECT_FAILURES:
        return 1
    elapsed_share = (now_ms - server.slow_start_since_ms) / const.SLOW_START_MS
    if elapsed_share >= 1:
        return usable_slots
    share = const.SLOW_START_INITIAL_SHARE + (1 - const.SLOW_START_INITIAL_SHARE) * elapsed_share
    return max(1, int(usable_slots * share))


def record_failure(server: models.OwnedServerState | None, now_ms: float) -> None:
    """Record an attempt without a complete response; eject the server after several in a row."""
    if server is None:
        return
    server.failures += 1
    if server.failures >= const.EJECT_FAILURES:
        exponent = min(server.failures - const.EJECT_FAILURES, 10)
        pause_ms = min(const.EJECT_BASE_MS * 2**exponent, const.EJECT_MAX_MS)
        server.eject_until_ms = now_ms + pause_ms


def record_response(server: models.OwnedServerState | None, now_ms: float) -> None:
    """Record a complete response; start slow start if the server was ejected before."""
    if server is None:
        return
    if server.failures >= const.EJECT_FAILURES:
        server.slow_start_since_ms = now_ms
    server.failures = 0


def record_load_report(
    server: models.OwnedServerState,
    draining: bool,
    healthy: bool,
) -> None:
    """Record what the server reports of itself."""
    server.draining = draining
    server.healthy = healthy
