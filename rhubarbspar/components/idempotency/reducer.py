"""Run each non-idempotent request at most once, and replay its response to repeats.

A key names the instance that runs its requests, so that only this instance has to keep its record.
"""

from rhubarbspar import const as package_const
from rhubarbspar.components.idempotency import const
from rhubarbspar.components.idempotency import errors
from rhubarbspar.components.idempotency import handover
from rhubarbspar.components.idempotency import keys
from rhubarbspar.components.idempotency import models
from rhubarbspar.components.idempotency import records
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Return the effects of one event on records, waiting duplicates and handovers."""
    match event:
        case events.Tick():
            records.expire(state.idempotency, now_ms)
            handover.refresh_announced(state.idempotency, now_ms)
            return _retry_handover(state, now_ms)
        case events.RequestCancelled(request_id):
            records.remove_waiting(state.idempotency, request_id)
        case events.PeerConnected(peer_id):
            outgoing = state.idempotency.handover
            if outgoing is not None and outgoing.successor_id == peer_id:
                return handover.resend(outgoing, now_ms)
        case events.PeerDisconnected(peer_id):
            handover.discard_incoming(state, peer_id)
        case events.MessageReceived(peer_id, models.RecordsHandover() as part):
            return handover.receive_part(state, peer_id, part, now_ms)
        case events.MessageReceived(peer_id, models.RecordsAccepted() as accepted):
            return handover.mark_accepted(state, peer_id, accepted)
    return []


def key_prefix(state: core_state.State, now_ms: float) -> str:
    """Return a signed key prefix that names this instance, its incarnation and an expiry."""
    expires_ms = int(now_ms) + const.PREFIX_LIFETIME_MS
    statement = models.PrefixStatement(handover.own_incarnation_name(state), expires_ms)
    return keys.sign(state.idempotency.fleet_key, statement)


def begin(
    state: core_state.State,
    request: core_models.Request,
    account_id: str,
    now_ms: float,
) -> models.Decision:
    """Decide whether a non-idempotent request runs, and record its key if it does.

    After ``RunHere``, ``finish`` has to be called exactly once, even if the caller that sent the
    request has disconnected.
    """
    key = request.idempotency_key
    if not key:
        return _refuse_as_not_run(package_const.REASON_IDEMPOTENCY_KEY_REQUIRED)
    try:
        statement = keys.parse(state.idempotency.fleet_key, key)
    except errors.KeyFormError:
        return _refuse_as_not_run(package_const.REASON_IDEMPOTENCY_KEY_INVALID)
    offset_ms = _clock_offset_ms(state, statement.incarnation_name)
    if offset_ms is None:
        return _find_peer(state, statement, now_ms)
    record_id = keys.record_id(account_id, key)
    record = state.idempotency.records.get(record_id)
    if record is not None:
        return _decide_duplicate(state, request, record_id, record)
    expires_ms = statement.expires_ms - offset_ms
    if expires_ms <= now_ms:
        return _refuse_as_unknown(package_const.REASON_IDEMPOTENCY_KEY_EXPIRED)
    if state.idempotency.handover is not None:
        return _find_adopter(state, statement, now_ms)
    if len(state.idempotency.records) >= const.RECORDS_MAX:
        return _refuse_as_not_run(package_const.REASON_FULL)
    new_record = models.Record(keys.request_digest(request), expires_ms, request.request_id)
    records.add(state.idempotency, record_id, new_record)
    return models.RunHere()


def may_have_run(
    state: core_state.State,
    request: core_models.Request,
    account_ids: tuple[str, ...],
    now_ms: float,
) -> bool:
    """Return whether an earlier request with the same idempotency key may have run.

    Meant for requests that are refused before ``begin``, which looks up the key's record.

    Parameters
    ----------
    state
        State of this instance; only read.
    request
        The refused request.
    account_ids
        Client accounts for which the key may be recorded; empty if they are unknown.
    now_ms
        Monotonic time of this process, milliseconds.
    """
    try:
        statement = keys.parse(state.idempotency.fleet_key, request.idempotency_key or '')
    except errors.KeyFormError:
        return False
    offset_ms = _clock_offset_ms(state, statement.incarnation_name)
    if offset_ms is None or state.idempotency.handover is not None:
        # Only the instance that runs requests with this key has its record.
        return True
    if not account_ids or statement.expires_ms - offset_ms <= now_ms:
        return True
    record_ids = (
        keys.record_id(account_id, request.idempotency_key or '') for account_id in account_ids
    )
    return any(record_id in state.idempotency.records for record_id in record_ids)


def finish(
    state: core_state.State,
    request: core_models.Request,
    account_id: str,
    outcome: core_models.Outcome,
    now_ms: float,
) -> list[effects.Effect]:
    """Record the outcome of a request and answer the duplicates that wait for it.

    If the request certainly did not run, its record is removed, so that the caller may retry with
    the same key.
    """
    record_id = keys.record_id(account_id, request.idempotency_key or '')
    record = state.idempotency.records.get(record_id)
    if record is None or record.running_request_id != request.request_id:
        return []
    record.running_request_id = ''
    waiting_ids = records.take_waiting(state.idempotency, record)
    match outcome:
        case core_models.Answered(response):
            records.keep_response(state.idempotency, record_id, response)
        case core_models.Refused(run=core_models.ExecutionStatus.NOT_RUN):
            records.forget(state.idempotency, record_id)
    return [effects.Respond(request_id, outcome) for request_id in waiting_ids]


def hand_over(state: core_state.State, successor_id: str, now_ms: float) -> list[effects.Effect]:
    """Send the records to a successor at a planned stop.

    From now on this instance runs no request with an idempotency key. Later calls keep the first
    successor: another one could not know which requests the first has run.
    """
    return handover.start(state, successor_id, now_ms)


def is_handed_over(state: core_state.State) -> bool:
    """Return whether the successor runs this instance's keys, by its confirmation or heartbeat."""
    outgoing = state.idempotency.handover
    if outgoing is None:
        return False
    successor = state.membership.peers.get(outgoing.successor_id)
    adopted_names = successor.adopted if successor else ()
    return outgoing.accepted or handover.own_incarnation_name(state) in adopted_names


def adopted_incarnations(state: core_state.State) -> tuple[str, ...]:
    """Return the adopted incarnations for the heartbeat, none once a handover has begun."""
    if state.idempotency.handover is not None:
        return ()
    return state.idempotency.announced


def _retry_handover(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    outgoing = state.idempotency.handover
    if outgoing is None or now_ms - outgoing.sent_ms < const.HANDOVER_RETRY_MS:
        return []
    return handover.resend(outgoing, now_ms)


def _clock_offset_ms(state: core_state.State, incarnation_name: str) -> float | None:
    """Return the clock offset of an incarnation whose keys run here, ``None`` for any other."""
    if incarnation_name == handover.own_incarnation_name(state):
        return 0.0
    adoption = state.idempotency.adoptions.get(incarnation_name)
    return None if adoption is None else adoption.clock_offset_ms


def _decide_duplicate(
    state: core_state.State,
    request: core_models.Request,
    record_id: bytes,
    record: models.Record,
) -> models.Decision:
    """Decide on a request whose key is already recorded."""
    if record.request_digest != keys.request_digest(request):
        return _refuse_as_not_run(package_const.REASON_IDEMPOTENCY_KEY_REUSED)
    if record.running_request_id:
        records.add_waiting(state.idempotency, record_id, request.request_id)
        return models.AwaitFirst()
    if record.response is None:
        return _refuse_as_unknown(package_const.REASON_OUTCOME_UNKNOWN)
    return models.Decided(core_models.Answered(record.response))


def _find_peer(
    state: core_state.State, statement: models.PrefixStatement, now_ms: float
) -> models.Decision:
    """Return the live peer that runs a key: one that adopted it, else the one that it names."""
    adopter = _find_adopter(state, statement, now_ms)
    if isinstance(adopter, models.RunAtPeer):
        return adopter
    for peer in membership_reducer.live_peers(state, now_ms):
        peer_name = keys.incarnation_name(peer.known.instance_id, peer.incarnation)
        if statement.incarnation_name == peer_name:
            return models.RunAtPeer(peer.known.instance_id)
    return adopter


def _find_adopter(
    state: core_state.State, statement: models.PrefixStatement, now_ms: float
) -> models.Decision:
    """Return the live peer that adopted a key's incarnation, else a refusal."""
    for peer in membership_reducer.live_peers(state, now_ms):
        if statement.incarnation_name in peer.adopted:
            return models.RunAtPeer(peer.known.instance_id)
    return _refuse_as_unknown(package_const.REASON_OUTCOME_UNKNOWN)


def _refuse_as_not_run(reason: str) -> models.Decided:
    return models.Decided(core_models.Refused(reason, core_models.ExecutionStatus.NOT_RUN))


def _refuse_as_unknown(reason: str) -> models.Decided:
    return models.Decided(core_models.Refused(reason, core_models.ExecutionStatus.UNKNOWN))
