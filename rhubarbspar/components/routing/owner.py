"""Run work at the backend servers that this instance owns, with exact slot counts."""

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


def run(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    """Start work on a free slot, or queue it, or refuse it as not run."""
    refusal = _refusal(state, routed, now_ms)
    if refusal is not None:
        return results.refuse_not_run(state, routed, refusal)
    if _may_run(state, routed):
        server_id = _choose_server(state, routed, now_ms)
        if server_id is not None:
            return _start(state, routed, server_id, now_ms)
    return _enqueue(state, routed, now_ms)


def start_now(
    state: core_state.State,
    routed: models.RoutedRequest,
    now_ms: float,
) -> list[effects.Effect] | None:
    """Start work on a free slot, or return ``None`` if it has to wait, to go elsewhere or be refused."""
    server_id = _choose_server(state, routed, now_ms)
    if server_id is None or _refusal(state, routed, now_ms) or not _may_run(state, routed):
        return None
    return _start(state, routed, server_id, now_ms)


def fill_slots(
    state: core_state.State,
    service_id: str,
    version: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Start queued work of a version while slots are free."""
    queue = state.routing.queues.get(_queue_key(service_id, version))
    if queue is None:
        return []

    runnable = functools.partial(_is_runnable, state, now_ms)
    outputs: list[effects.Effect] = []
    while queue.length:
        routed = queueing.pop(queue, runnable)
        if routed is None:
            break
        outputs.extend(run(state, routed, now_ms))
    return outputs


def fill_all(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Start queued work of every version; return work that this instance can no longer run."""
    outputs: list[effects.Effect] = []
    for key, queue in list(state.routing.queues.items()):
        if not queue.length:
            state.routing.queues.pop(key)
            continue
        service_id, _, version = key.partition('/')
        if not usable_slots(state, service_id, version, now_ms):
            outputs.extend(_refuse_queue(state, queue))
        outputs.extend(fill_slots(state, service_id, version, now_ms))
    return outputs


def _refuse_queue(state: core_state.State, queue: models.ServiceQueue) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    for routed in queueing.remove(queue, _any_work):
        outputs.extend(results.refuse_not_run(state, routed, package_const.REASON_NOT_OWNER))
    return outputs


def _any_work(routed: models.RoutedRequest) -> bool:
    return True


def _is_due(now_ms: float, routed: models.RoutedRequest) -> bool:
    return routed.request.deadline_ms <= now_ms


def _is_request(request_id: str, routed: models.RoutedRequest) -> bool:
    return routed.request.request_id == request_id


def usable_slots(state: core_state.State, service_id: str, version: str, now_ms: float) -> int:
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
    """Start and end the bookkeeping of servers as claims come and go."""
    if now_ms - state.routing.synced_ms < const.SYNC_INTERVAL_MS:
        return
    state.routing.synced_ms = now_ms
    servers = state.routing.servers
    usable = {
        server_id
        for server_id in claims_reducer.owned_server_ids(state, now_ms)
        if claims_reducer.usable_slots(state, server_id, now_ms)
    }
    for gained in sorted(usable.difference(servers)):
        servers[gained] = models.OwnedServerState()
    for lost in set(servers).difference(usable):
        if not servers[lost].busy_slots:
            servers.pop(lost)


def expire(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Refuse queued work and end attempts whose deadline has passed."""
    outputs: list[effects.Effect] = []
    for queue in state.routing.queues.values():
        for routed in queueing.remove(queue, functools.partial(_is_due, now_ms)):
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
    """Drop a request whose caller has gone; a non-idempotent one that runs goes on."""
    for queue in state.routing.queues.values():
        queueing.remove(queue, functools.partial(_is_request, request_id))
    outputs: list[effects.Effect] = []
    for attempt_id, attempt in list(state.routing.attempts.items()):
        if attempt.routed.request.request_id == request_id and attempt.routed.idempotent:
            # The server must be told first: the freed slot may be filled at once.
            outputs.append(effects.CancelAttempt(attempt_id))
            outputs += _release(state, attempt_id, now_ms)
    return outputs


def finished(
    state: core_state.State,
    attempt_id: str,
    now_ms: float,
) -> models.Attempt | None:
    """Free the slot of an attempt and return it, or ``None`` if it was cancelled before."""
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
    if not health.accepts(server, now_ms):
        return 0
    if not claims_reducer.accepting(state, server_id, now_ms):
        return 0
    if not rollout_reducer.accepts_work(state, server_id, now_ms):
        return 0
    allowed = health.ramped_slots(server, _server_slots(state, server_id, now_ms), now_ms)
    return max(0, allowed - server.busy_slots)


def owned_free_slots(
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
    """Return how much work of a version waits here."""
    queue = state.routing.queues.get(_queue_key(service_id, version))
    return 0 if queue is None else queue.length


def _queue_key(service_id: str, version: str) -> str:
    return f'{service_id}/{version}'


def _server_ids(state: core_state.State, service_id: str, version: str) -> list[str]:
    servers = state.routing.servers
    known = server_index.current(state).by_version.get((service_id, version), ())
    return [server_id for server_id in known if server_id in servers]


def _refusal(state: core_state.State, routed: models.RoutedRequest, now_ms: float) -> str | None:
    if routed.request.deadline_ms <= now_ms:
        return package_const.REASON_DEADLINE_EXCEEDED
    if state.routing.suspects and crashes.is_blocked(state, crashes.fingerprint(routed), now_ms):
        return package_const.REASON_CRASHES_SERVERS
    return _key_refusal(state, routed, now_ms)


def _key_refusal(
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


def _is_runnable(state: core_state.State, now_ms: float, routed: models.RoutedRequest) -> bool:
    return _may_run(state, routed) and _choose_server(state, routed, now_ms) is not None


def _may_run(state: core_state.State, routed: models.RoutedRequest) -> bool:
    # A suspect runs once at a time, so that it cannot break two servers at once.
    mark = crashes.fingerprint(routed) if state.routing.suspects else ''
    if not mark or not crashes.is_suspect(state, mark):
        return True
    if not crashes.is_settled(state, mark):
        return False
    return all(
        crashes.fingerprint(attempt.routed) != mark for attempt in state.routing.attempts.values()
    )


def _choose_server(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> str | None:
    best: str | None = None
    best_free = 0
    by_id = server_index.current(state).by_id
    servers = state.routing.servers
    for server_id in _server_ids(state, routed.request.service_id, routed.version):
        # All its slots less the busy ones bound what a server has free, so that most are passed over.
        bound = by_id[server_id].server.slots - servers[server_id].busy_slots
        if bound <= best_free or server_id == routed.avoid_server_id:
            continue
        free = free_slots(state, server_id, now_ms)
        if free > best_free:
            best = server_id
            best_free = free
    return best


def _start(
    state: core_state.State,
    routed: models.RoutedRequest,
    server_id: str,
    now_ms: float,
) -> list[effects.Effect]:
    routing = state.routing
    routing.next_number += 1
    attempt_id = f'a{routing.next_number}'
    routing.attempts[attempt_id] = models.Attempt(routed, server_id, now_ms)
    routing.servers[server_id].busy_slots += 1
    address = server_index.current(state).by_id[server_id].server.address
    return [effects.StartAttempt(attempt_id, server_id, address, routed.request)]


def _enqueue(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    service_id = routed.request.service_id
    owned = _server_ids(state, service_id, routed.version)
    usable = usable_slots(state, service_id, routed.version, now_ms)
    if not usable or owned == [routed.avoid_server_id]:
        return results.refuse_not_run(state, routed, package_const.REASON_NOT_OWNER)
    if not routed.may_wait:
        return results.refuse_not_run(state, routed, package_const.REASON_FULL)
    key = _queue_key(service_id, routed.version)
    queue = state.routing.queues.setdefault(key, models.ServiceQueue())
    dropped = queueing.push(queue, routed, const.QUEUE_PER_SLOT * usable)
    if dropped is None:
        return []
    return results.refuse_not_run(state, dropped, package_const.REASON_FULL)


def _release(state: core_state.State, attempt_id: str, now_ms: float) -> list[effects.Effect]:
    attempt = finished(state, attempt_id, now_ms)
    if attempt is None:
        return []
    return fill_slots(state, attempt.routed.request.service_id, attempt.routed.version, now_ms)


def _time_out(state: core_state.State, attempt_id: str, now_ms: float) -> list[effects.Effect]:
    attempt = finished(state, attempt_id, now_ms)
    if attempt is None:
        return []
    routed = attempt.routed
    refused = core_models.Refused(
        package_const.REASON_DEADLINE_EXCEEDED,
        core_models.ExecutionStatus.UNKNOWN,
    )
    outputs: list[effects.Effect] = [effects.CancelAttempt(attempt_id)]
    outputs += _blame(state, attempt, now_ms)
    outputs += results.finish(state, routed, refused)
    return outputs + fill_slots(state, routed.request.service_id, routed.version, now_ms)


def _blame(state: core_state.State, attempt: models.Attempt, now_ms: float) -> list[effects.Effect]:
    """Hold a missed deadline against server and version, unless it was too short for any server."""
    elapsed_ms = now_ms - attempt.started_ms
    routed = attempt.routed
    if not timeouts.is_overdue(state, routed, elapsed_ms):
        return []
    health.failed(state.routing.servers.get(attempt.server_id), now_ms)
    return rollout_reducer.observe(
        state,
        routed.request.service_id,
        routed.version,
        routed.path_prefix,
        True,
        elapsed_ms,
        now_ms,
    )
