"""Whether a request may use a server of its service now: collects the inputs of the scheduler."""

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.routing import placement
from rhubarbspar.gateway.routing import processing_times
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.scheduling import decisions
from rhubarbspar.gateway.scheduling import models as scheduling
from rhubarbspar.gateway.scheduling import scheduler
from rhubarbspar.gateway.serving import admission
from rhubarbspar.gateway.serving import responses


def record_request(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> None:
    """Note the urgency and the account of a request at its service."""
    if not state.scheduler.is_enabled:
        return
    work_ms = processing_times.of_route(state, pending.route).mean_ms
    use = state.scheduler.use_of(pending.service_id)
    use.record_request(urgency_of(pending), _account_id(pending), work_ms, now_ms)


def record_sent(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> None:
    """Note that a request is sent to a server; it waits no longer."""
    if pending.send_count or not state.scheduler.is_enabled:
        return
    use = state.scheduler.use_of(pending.service_id)
    use.record_result(urgency_of(pending), now_ms, is_sent=True)
    state.scheduler.record_sent(pending.request.request_number, now_ms)


def record_given_up(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> None:
    """Note that a request is refused for lack of capacity."""
    if not state.scheduler.is_enabled:
        return
    use = state.scheduler.use_of(pending.service_id)
    use.mark_short(now_ms)
    if not pending.send_count:
        use.record_result(urgency_of(pending), now_ms, is_sent=False)


def decide_unplaced(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> scheduling.Decision:
    """Decide about a new request before a server is chosen.

    It waits behind others that wait for the same servers, without the cost of a choice.
    """
    rank = _rank(state, pending, now_ms)
    if rank == scheduling.Rank.FIRST or not state.scheduler.keys:
        return scheduling.Send()
    if not state.scheduler.is_blocked(_group_key(pending), _queue_urgency(pending, rank)):
        return scheduling.Send()
    processing_ms = processing_times.uncached_ms(state, pending.route)
    until_ms = decisions.latest_ms(processing_ms, pending.due_ms)
    if now_ms >= until_ms:
        return scheduling.Send()
    return _check_wait(state, pending, rank, until_ms, now_ms)


def decide(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> scheduling.Decision:
    """Decide whether a request is sent to the chosen server, waits, or is refused."""
    rank = _rank(state, pending, now_ms)
    if rank == scheduling.Rank.FIRST:
        return _decide_first(state, pending, choice, now_ms)
    use = state.scheduler.use_of(pending.service_id)
    is_starved = rank == scheduling.Rank.LESS_URGENT and use.is_starved(urgency_of(pending), now_ms)
    decision = decisions.decide(
        _candidate(choice, now_ms), rank, pending.due_ms, now_ms, is_starved=is_starved
    )
    if isinstance(decision, scheduling.Wait):
        return _check_wait(state, pending, rank, decision.until_ms, now_ms)
    return decision


def decide_without_server(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> scheduling.Wait | scheduling.Refuse:
    """Decide about a request that no server may get now.

    One that yields waits if that is because servers are full, which passes.
    """
    refusal = _refuse(state, pending, package_const.REASON_NO_SERVER, now_ms)
    turned_away_ms = placement.turned_away_ms(state, pending, now_ms)
    if turned_away_ms is not None:
        refusal = scheduling.Refuse(refusal.reason, turned_away_ms)
    rank = _rank(state, pending, now_ms)
    views = state.servers.of_service(pending.service_id)
    until_ms = decisions.latest_ms(
        processing_times.uncached_ms(state, pending.route), pending.due_ms
    )
    if rank == scheduling.Rank.FIRST or now_ms >= until_ms:
        return refusal
    if not any(view.is_full(now_ms) for view in views):
        return refusal
    return _check_wait(state, pending, rank, until_ms, now_ms)


def wait(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    until_ms: float,
    choice: selection.Choice | None,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Let a request wait, unless it waits already.

    Parameters
    ----------
    choice
        The server that had no room; ``None`` if the request waits behind others.
    """
    number = pending.request.request_number
    if number in state.scheduler.keys:
        return []
    rank = _rank(state, pending, now_ms)
    use = state.scheduler.use_of(pending.service_id)
    use.mark_short(now_ms)
    waiting = scheduling.WaitingRequest(
        number,
        _queue_urgency(pending, rank),
        _account_id(pending),
        processing_times.of_route(state, pending.route).mean_ms,
        now_ms,
        pending.due_ms,
        until_ms,
        pending.request.body_bytes,
    )
    state.scheduler.add(_group_key(pending), waiting, now_ms)
    reason = rank.name.lower()
    fields = (
        ('service', pending.service_id),
        ('account', waiting.account_id or None),
        ('reason', reason),
        ('urgency', urgency_of(pending)),
        ('first_urgency', use.most_urgent(now_ms)),
        ('server', None if choice is None else choice.view.server.server_id),
        ('load', None if choice is None else round(choice.load, 1)),
        ('slots', None if choice is None else choice.view.slots),
        (
            'load_age_ms',
            None if choice is None else responses.age_ms(choice.view.reported_ms, now_ms),
        ),
        ('until_ms', round(until_ms - now_ms)),
        ('waiting', len(state.scheduler.keys)),
    )
    return [
        core_effects.Count(const.METRIC_SCHEDULING, f'waits_{reason}'),
        core_effects.Log('request_waits', responses.log_fields(pending.request, fields)),
    ]


def refusal_log(
    pending: gateway_state.PendingRequest, choice: selection.Choice, now_ms: float
) -> core_effects.Log:
    """Return the log line of a refusal, with the load that decided on it."""
    fields = (
        ('service', pending.service_id),
        ('account', _account_id(pending) or None),
        ('urgency', urgency_of(pending)),
        ('server', choice.view.server.server_id),
        ('load', round(choice.load, 1)),
        ('slots', choice.view.slots),
        ('load_age_ms', responses.age_ms(choice.view.reported_ms, now_ms)),
        ('expected_ms', round(choice.expected_ms)),
        ('time_left_ms', round(pending.due_ms - now_ms)),
        ('waited_ms', round(now_ms - pending.arrived_ms)),
    )
    return core_effects.Log('capacity_missing', responses.log_fields(pending.request, fields))


def _decide_first(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    choice: selection.Choice,
    now_ms: float,
) -> scheduling.Decision:
    """Decide about a request that yields to none; one that waits already may wait on."""
    if not placement.is_overloaded(pending, choice, now_ms):
        return scheduling.Send()
    until_ms = decisions.latest_ms(choice.expected_ms - choice.wait_ms, pending.due_ms)
    if pending.request.request_number in state.scheduler.keys and now_ms < until_ms:
        return scheduling.Wait(until_ms)
    return _refuse(state, pending, const.REASON_OVERLOADED, now_ms)


def _check_wait(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    rank: scheduling.Rank,
    until_ms: float,
    now_ms: float,
) -> scheduling.Wait | scheduling.Refuse:
    """Refuse a request that cannot wait, or that would wait beyond its last time to be sent."""
    if now_ms - state.lifecycle.stop_requested_ms > const.STOP_REFUSE_AFTER_MS:
        return scheduling.Refuse(const.REASON_STOPPING, admission.STOP_RETRY_AFTER_MS)
    if pending.request.request_number in state.scheduler.keys:
        return scheduling.Wait(until_ms)
    if not state.scheduler.has_room(pending.request.body_bytes):
        return _refuse(state, pending, const.REASON_WAITING_FULL, now_ms)
    wait_ms = state.scheduler.expected_wait_ms(
        _group_key(pending), _queue_urgency(pending, rank), _account_id(pending), now_ms
    )
    if now_ms + wait_ms <= until_ms:
        return scheduling.Wait(until_ms)
    retry_after_ms = decisions.retry_after_ms(wait_ms, pending.due_ms, now_ms)
    return scheduling.Refuse(decisions.REASONS[rank], retry_after_ms)


def _refuse(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    reason: str,
    now_ms: float,
) -> scheduling.Refuse:
    """Return a refusal until a free slot is expected, as far as the caller can use that time."""
    slot_ms = processing_times.uncached_ms(state, pending.route) * responses.RETRY_AFTER_SHARE
    return scheduling.Refuse(reason, decisions.retry_after_ms(slot_ms, pending.due_ms, now_ms))


def _candidate(choice: selection.Choice, now_ms: float) -> scheduling.Candidate:
    return scheduling.Candidate(
        choice.load,
        choice.view.slots,
        now_ms - choice.view.reported_ms,
        choice.wait_ms,
        choice.expected_ms - choice.wait_ms,
        decisions.kept_slots(choice.view.server.server_id, choice.view.slots),
    )


def _rank(
    state: gateway_state.State, pending: gateway_state.PendingRequest, now_ms: float
) -> scheduling.Rank:
    """Return how far a request yields; one that was sent before does not.

    None does while the servers together have more slots than requests.
    """
    if pending.send_count or not state.scheduler.is_enabled:
        return scheduling.Rank.FIRST
    if placement.load_per_slot(state, pending, now_ms) < decisions.SHORT_LOAD_PER_SLOT:
        return scheduling.Rank.FIRST
    use = state.scheduler.use_of(pending.service_id)
    return use.rank(urgency_of(pending), _account_id(pending), now_ms)


def urgency_of(pending: gateway_state.PendingRequest) -> int:
    """Return the urgency of a request; the account's priority takes precedence."""
    account = pending.account
    if account is None or account.priority is None:
        return pending.route.priority
    return account.priority


def _queue_urgency(pending: gateway_state.PendingRequest, rank: scheduling.Rank) -> int:
    """Return the urgency in the queue, where accounts far above their share come last."""
    if rank == scheduling.Rank.OVER_SHARE:
        return scheduler.OVER_SHARE_URGENCY + urgency_of(pending)
    return urgency_of(pending)


def _account_id(pending: gateway_state.PendingRequest) -> str:
    """Return the account of a request, empty without one."""
    return '' if pending.account is None else pending.account.account_id


def _group_key(pending: gateway_state.PendingRequest) -> groups.GroupKey:
    """Return what selects the servers for which a request waits."""
    account = pending.account
    account_regions = frozenset[str]() if account is None else account.home_regions
    return groups.GroupKey(pending.service_id, pending.route.home_regions, account_regions)
