"""Run requests at the backend servers that this instance owns, with exact slot counts."""

import functools

from rhubarbspar import const as package_const
from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import crashes
from rhubarbspar.components.routing import health
from rhubarbspar.components.routing import models
from rhubarbspar.components.routing import queueing
from rhubarbspar.components.routing import results
from rhubarbspar.components.routing import server_index
from rhubarbspar.components.routing import timeouts
from rhubarbspar.core import effects
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state


def run_or_queue(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    """Start a request on a free slot, queue it, or refuse it as not run."""
    refusal = _refusal_reason(state, routed, now_ms)
    if refusal is not None:
        return results.refuse_not_run(state, routed, refusal)
    if _may_run_now(state, routed):
        server_id = _choose_server(state, routed, now_ms)
        if server_id is not None:
            return _start(state, routed, server_id, now_ms)
    return _enqueue(state, routed, now_ms)


def start_on_free_slot(
    state: core_state.State,
    routed: models.RoutedRequest,
    now_ms: float,
) -> list[effects.Effect] | None:
    """Start a request if it may run and a slot is free, otherwise return ``None``."""
    server_id = _choose_server(state, routed, now_ms)
    if (
        server_id is None
        or _refusal_reason(state, routed, now_ms)
        or not _may_run_now(state, routed)
    ):
        return None
    return _start(state, routed, server_id, now_ms)


def start_queued(
    state: core_state.State,
    service_id: str,
    version: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Start queued requests of a version while slots are free."""
    queue = state.routing.queues.get(_queue_key(service_id, version))
    if queue is None:
        return []

    runnable = functools.partial(_can_start, state, now_ms)
    outputs: list[effects.Effect] = []
    while queue.length:
        routed = queueing.pop(queue, runnable)
        if routed is None:
            break
        outputs.extend(run_or_queue(state, routed, now_ms))
    return outputs


def start_all_queued(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Start queued requests of all versions; refuse those that this instance can no longer run."""
    outputs: list[effects.Effect] = []
    for key, queue in list(state.routing.queues.items()):
        if not queue.length:
            state.routing.queues.pop(key)
            continue
        service_id, _, version = key.partition('/')
        if not version_usable_slots(state, service_id, version, now_ms):
            outputs.extend(_refuse_queue(state, queue))
        outputs.extend(start_queued(state, service_id, version, now_ms))
    return outputs


def _refuse_queue(state: core_state.State, queue: models.VersionQueue) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    for routed in queueing.remove(queue, _any_request):
        outputs.extend(results.refuse_not_run(state, routed, package_const.REASON_NOT_OWNER))
    return outputs


def _any_request(routed: models.RoutedRequest) -> bool:
    return True


def _is_past_deadline(now_ms: float, routed: models.RoutedRequest) -> bool:
    return routed.request.deadline_ms <= now_ms


def _has_request_id(request_id: str, routed: models.RoutedRequest) -> bool:
    return routed.request.request_id == request_id


def version_usable_slots(
    state: core_state.State, service_id: str, version: str, now_ms: float
) -> int:
    """Return the slots of all owned servers of a version that this instance may use."""
    return sum(
        _server_slots(state, server_id, now_ms)
        for server_id in _server_ids(state, service_id, version)
    )


def _server_slots(state: core_state.State, server_id: str, now_ms: float) -> int:
    return min(
        claims_reducer.usable_slots(state, server_id, now_ms),
        rollout_reducer.allowed_slots(state, server_id),
    )


def sync_servers(state: core_state.State, now_ms: float) -> None:
    """Add servers that this instance can use by its claims; remove idle ones that it can't."""
    if now_ms - state.routing.last_sync_ms < const.SYNC_INTERVAL_MS:
        return
    state.routing.last_sync_ms = now_ms
    servers = state.routing.servers
    usable_ids = {
        server_id
        for server_id in claims_reducer.owned_server_ids(state, now_ms)
        if claims_reducer.usable_slots(state, server_id, now_ms)
    }
    for added_id in sorted(usable_ids.difference(servers)):
        servers[added_id] = models.OwnedServerState()
    for removed_id in set(servers).difference(usable_ids):
        if not servers[removed_id].busy_slots:
            servers.pop(removed_id)


def expire(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Refuse queued requests and cancel attempts whose deadline has passed."""
    outputs: list[effects.Effect] = []
    for queue in state.routing.queues.values():
        for routed in queueing.remove(queue, functools.partial(_is_past_deadline, now_ms)):
            outputs.extend(
                results.refuse_not_run(state, routed, package_const.REASON_DEADLINE_EXCEEDED),
            )
    attempts = state.routing.attempts
    due = [
        attempt_id
        for attempt_id, attempt in attempts.items()
        if attempt.routed.request.deadline_ms <= now_ms
    ]
    for attempt_id in due:
        outputs.extend(_time_out(state, attempt_id, now_ms))
    return outputs


def cancel(state: core_state.State, request_id: str, now_ms: float) -> list[effects.Effect]:
    """Cancel a request whose caller has disconnected, unless it runs and is not idempotent."""
    for queue in state.routing.queues.values():
        queueing.remove(queue, functools.partial(_has_request_id, request_id))
    outputs: list[effects.Effect] = []
    for attempt_id, attempt in list(state.routing.attempts.items()):
        if attempt.routed.request.request_id == request_id and attempt.routed.idempotent:
            # Cancel before the slot is released, because a queued request may take it at once.
            outputs.append(effects.CancelAttempt(attempt_id))
            outputs += _release_and_start_queued(state, attempt_id, now_ms)
    return outputs


def release_slot(
    state: core_state.State,
    attempt_id: str,
    now_ms: float,
) -> models.Attempt | None:
    """Release the slot of an attempt and return it, or ``None`` if it was cancelled before."""
    attempt = state.routing.attempts.pop(attempt_id, None)
    if attempt is None:
        return None
    server = state.routing.servers.get(attempt.server_id)
    if server is not None:
        server.busy_slots = max(0, server.busy_slots - 1)
    return attempt


def free_slots(state: core_state.State, server_id: str, now_ms: float) -> int:
    """Return how many more requests an owned backend server may get now."""
    server = state.routing.servers.get(server_id)
    entry = server_index.current(state).by_id.get(server_id)
    if server is None or entry is None:
        return 0
    if not health.accepts_requests(server, now_ms):
        return 0
    if not claims_reducer.is_accepting(state, server_id, now_ms):
        return 0
    if not rollout_reducer.accepts_work(state, server_id, now_ms):
        return 0
    allowed = health.slow_start_slots(server, _server_slots(state, server_id, now_ms), now_ms)
    return max(0, allowed - server.busy_slots)


def version_free_slots(
    state: core_state.State,
    service_id: str,
    version: str,
    now_ms: float,
) -> int:
    """Return the free slots of all owned servers of a version."""
    return sum(
        free_slots(state, server_id, now_ms)
        for server_id in _server_ids(state, service_id, version)
    )


def queue_length(state: core_state.State, service_id: str, version: str) -> int:
    """Return the number of queued requests of a version."""
    queue = state.routing.queues.get(_queue_key(service_id, version))
    return 0 if queue is None else queue.length


def _queue_key(service_id: str, version: str) -> str:
    return f'{service_id}/{version}'


def _server_ids(state: core_state.State, service_id: str, version: str) -> list[str]:
    servers = state.routing.servers
    known = server_index.current(state).by_version.get((service_id, version), ())
    return [server_id for server_id in known if server_id in servers]


def _refusal_reason(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> str | None:
    if routed.request.deadline_ms <= now_ms:
        return package_const.REASON_DEADLINE_EXCEEDED
    if state.routing.suspects and crashes.is_blocked(
        state, crashes.request_fingerprint(routed), now_ms
    ):
        return package_const.REASON_CRASHES_SERVERS
    return _key_refusal_reason(state, routed, now_ms)


def _key_refusal_reason(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> str | None:
    # The key may have been revoked while the request was queued or forwarded.
    configuration = state.configuration.current
    if configuration is None:
        return package_const.REASON_NO_CONFIGURATION
    if not routed.account_id:
        return None
    digest = routed.request.access_key_digest or ''
    if not configuration_reducer.keys_usable(state, now_ms):
        return package_const.REASON_KEYS_STALE
    key = configuration.access_keys.get(digest)
    if key is None or key.account_id != routed.account_id:
        return package_const.REASON_KEY_UNKNOWN
    return None


def _can_start(state: core_state.State, now_ms: float, routed: models.RoutedRequest) -> bool:
    return _may_run_now(state, routed) and _choose_server(state, routed, now_ms) is not None


def _may_run_now(state: core_state.State, routed: models.RoutedRequest) -> bool:
    # A suspect runs only once at a time, so that it can't crash two servers together.
    fingerprint = crashes.request_fingerprint(routed) if state.routing.suspects else ''
    if not fingerprint or not crashes.is_suspect(state, fingerprint):
        return True
    if not crashes.is_known_to_all_peers(state, fingerprint):
        return False
    return all(
        crashes.request_fingerprint(attempt.routed) != fingerprint
        for attempt in state.routing.attempts.values()
    )


def _choose_server(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> str | None:
    best_id: str | None = None
    best_free = 0
    by_id = server_index.current(state).by_id
    servers = state.routing.servers
    for server_id in _server_ids(state, routed.request.service_id, routed.version):
        # Slots less busy slots is an upper bound of the free ones and rules out most servers.
        bound = by_id[server_id].server.slots - servers[server_id].busy_slots
        if bound <= best_free or server_id == routed.avoid_server_id:
            continue
        free = free_slots(state, server_id, now_ms)
        if free > best_free:
            best_id = server_id
            best_free = free
    return best_id


def _start(
    state: core_state.State,
    routed: models.RoutedRequest,
    server_id: str,
    now_ms: float,
) -> list[effects.Effect]:
    routing = state.routing
    routing.last_id_number += 1
    attempt_id = f'a{routing.last_id_number}'
    routing.attempts[attempt_id] = models.Attempt(routed, server_id, now_ms)
    routing.servers[server_id].busy_slots += 1
    address = server_index.current(state).by_id[server_id].server.address
    return [effects.StartAttempt(attempt_id, server_id, address, routed.request)]


def _enqueue(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    service_id = routed.request.service_id
    owned = _server_ids(state, service_id, routed.version)
    usable = version_usable_slots(state, service_id, routed.version, now_ms)
    if not usable or owned == [routed.avoid_server_id]:
        return results.refuse_not_run(state, routed, package_const.REASON_NOT_OWNER)
    if not routed.may_wait:
        return results.refuse_not_run(state, routed, package_const.REASON_FULL)
    key = _queue_key(service_id, routed.version)
    queue = state.routing.queues.setdefault(key, models.VersionQueue())
    dropped = queueing.push(queue, routed, const.QUEUED_REQUESTS_PER_SLOT * usable)
    if dropped is None:
        return []
    return results.refuse_not_run(state, dropped, package_const.REASON_FULL)


def _release_and_start_queued(
    state: core_state.State, attempt_id: str, now_ms: float
) -> list[effects.Effect]:
    attempt = release_slot(state, attempt_id, now_ms)
    if attempt is None:
        return []
    return start_queued(state, attempt.routed.request.service_id, attempt.routed.version, now_ms)


def _time_out(state: core_state.State, attempt_id: str, now_ms: float) -> list[effects.Effect]:
    attempt = release_slot(state, attempt_id, now_ms)
    if attempt is None:
        return []
    routed = attempt.routed
    refused = core_models.Refused(
        package_const.REASON_DEADLINE_EXCEEDED,
        core_models.ExecutionStatus.UNKNOWN,
    )
    outputs: list[effects.Effect] = [effects.CancelAttempt(attempt_id)]
    outputs += _record_missed_deadline(state, attempt, now_ms)
    outputs += results.finish(state, routed, refused)
    return outputs + start_queued(state, routed.request.service_id, routed.version, now_ms)


def _record_missed_deadline(
    state: core_state.State, attempt: models.Attempt, now_ms: float
) -> list[effects.Effect]:
    """Record a missed deadline as a failure of server and version if the attempt is overdue."""
    elapsed_ms = now_ms - attempt.started_ms
    routed = attempt.routed
    if not timeouts.is_overdue(state, routed, elapsed_ms):
        return []
    health.record_failure(state.routing.servers.get(attempt.server_id), now_ms)
    return rollout_reducer.record_attempt(
        state,
        routed.request.service_id,
        routed.version,
        routed.path_prefix,
        True,
        elapsed_ms,
        now_ms,
    )
