"""Route requests to backend servers owned by this instance or by a peer."""

from rhubarbspar import const as package_const
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import attempts
from rhubarbspar.components.routing import crashes
from rhubarbspar.components.routing import forwards
from rhubarbspar.components.routing import health
from rhubarbspar.components.routing import models
from rhubarbspar.components.routing import owner
from rhubarbspar.components.routing import results
from rhubarbspar.components.routing import server_index
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Apply one event to the state and return the effects."""
    match event:
        case events.Tick():
            return _tick(state, now_ms)
        case events.AttemptFinished():
            return attempts.end_attempt(state, event, now_ms)
        case events.MessageReceived(peer_id, message):
            return _apply_message(state, peer_id, message, now_ms)
        case events.PeerConnected() | events.PeerDisconnected():
            return _apply_connection(state, event, now_ms)
        case models.LocalRunEnded(routed, outcome):
            return forwards.apply_local_outcome(state, routed, outcome, now_ms)
        case models.ForwardAnswersReady():
            return results.send_delayed(state, now_ms)
        case events.LoadReported(server_id, _, draining, healthy):
            server = state.routing.servers.get(server_id)
            if server is not None:
                health.record_load_report(server, draining, healthy)
            return []
        case events.RequestCancelled(request_id):
            return forwards.cancel(state, request_id) + owner.cancel(state, request_id, now_ms)
        case _:
            return []


def submit(
    state: core_state.State, routed: models.RoutedRequest, now_ms: float
) -> list[effects.Effect]:
    """Run a request here or at a peer; ``RequestFinished`` follows once unless it is cancelled."""
    return forwards.route(state, routed, now_ms)


def relay(
    state: core_state.State,
    routed: models.RoutedRequest,
    peer_id: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Relay a request to the instance named in its idempotency key; ``RequestFinished`` follows."""
    return forwards.forward(state, routed, peer_id, True, now_ms)


def answer_relayed_request(
    state: core_state.State,
    peer_id: str,
    forward_id: str,
    outcome: core_models.Outcome,
    deadline_ms: float,
) -> list[effects.Effect]:
    """Queue the answer to a relayed request, to be sent to the peer that relayed it."""
    answer = results.to_answer(forward_id, outcome)
    state.routing.delayed_answers.append(models.DelayedAnswer(peer_id, answer, deadline_ms))
    return [effects.Emit(models.ForwardAnswersReady())]


def owned_server_report(
    state: core_state.State,
    server_id: str,
    now_ms: float,
) -> membership_models.OwnedServer:
    """Return the free slots, queue length and busy slots of an owned server for the heartbeat."""
    entry = server_index.current(state).by_id.get(server_id)
    server = state.routing.servers.get(server_id)
    busy_slots = 0 if server is None else server.busy_slots
    if entry is None:
        return membership_models.OwnedServer(server_id, 0, 0, busy_slots)
    if not rollout_reducer.accepts_work(state, server_id, now_ms):
        # The queue is of the version: its requests run elsewhere, and a drain need not wait for
        # them.
        return membership_models.OwnedServer(server_id, 0, 0, busy_slots)
    queued = owner.queue_length(state, entry.service_id, entry.server.version)
    free_slots = 0 if queued else owner.free_slots(state, server_id, now_ms)
    return membership_models.OwnedServer(server_id, free_slots, queued, busy_slots)


def is_idle(state: core_state.State) -> bool:
    """Return whether no request runs, is queued or forwarded, or has an answer still to be sent."""
    routing = state.routing
    waiting = any(queue.length for queue in routing.queues.values())
    return not (routing.attempts or routing.forwards or routing.delayed_answers or waiting)


def _apply_connection(
    state: core_state.State,
    event: events.PeerConnected | events.PeerDisconnected,
    now_ms: float,
) -> list[effects.Effect]:
    if isinstance(event, events.PeerConnected):
        return crashes.resend_reports(state, event.peer_id)
    return forwards.end_forwards_to(state, event.peer_id, now_ms)


def _tick(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    owner.sync_servers(state, now_ms)
    crashes.expire(state, now_ms)
    outputs = owner.expire(state, now_ms)
    outputs += forwards.expire(state, now_ms)
    outputs += owner.start_all_queued(state, now_ms)
    return outputs + results.send_delayed(state, now_ms)


def _apply_message(
    state: core_state.State,
    peer_id: str,
    message: messages.Message,
    now_ms: float,
) -> list[effects.Effect]:
    match message:
        case models.ForwardRequest(relayed=False):
            return owner.run_or_queue(state, _to_routed_request(peer_id, message, now_ms), now_ms)
        case models.ForwardAnswer():
            return forwards.apply_answer(state, peer_id, message, now_ms)
        case models.ForwardCancel(forward_id):
            return owner.cancel(state, forwarded_request_id(peer_id, forward_id), now_ms)
        case models.CrashReport(fingerprint, server_id):
            crashes.record_reported_crash(state, fingerprint, server_id, now_ms)
            return [effects.Count(package_const.METRIC_EVENTS, 'crash_report')]
        case _:
            return []


def forwarded_request_id(peer_id: str, forward_id: str) -> str:
    """Return the id that this instance gives to a request forwarded by a peer."""
    return f'{peer_id}/{forward_id}'


def to_request(
    peer_id: str,
    message: models.ForwardRequest,
    now_ms: float,
) -> core_models.Request:
    """Return the request in a forward, with its deadline by this instance's clock."""
    return core_models.Request(
        request_id=forwarded_request_id(peer_id, message.forward_id),
        service_id=message.service_id,
        method=message.method,
        target=message.target,
        headers=message.headers,
        body=message.body,
        access_key_digest=message.access_key_digest,
        idempotency_key=message.idempotency_key,
        deadline_ms=now_ms + message.remaining_ms,
    )


def _to_routed_request(
    peer_id: str, message: models.ForwardRequest, now_ms: float
) -> models.RoutedRequest:
    return models.RoutedRequest(
        request=to_request(peer_id, message, now_ms),
        account_id=message.account_id,
        path_prefix=message.path_prefix,
        idempotent=message.idempotent,
        version=message.version,
        origin_peer_id=peer_id,
        forward_id=message.forward_id,
        avoid_server_id=message.avoid_server_id,
        may_wait=message.may_wait,
    )
