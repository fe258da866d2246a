"""Hooks of the usage reports in the reducer: counting, passing parts on, deciding windows.

Parts travel from each instance through its relay to two keepers: the holder of the duty and the
instance that would succeed it. Without the duty in the settings, every function returns at once.
"""

import itertools
import typing
from collections import abc

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.membership import multicast
from rhubarbspar.gateway.rollouts import version_results
from rhubarbspar.gateway.usage import counting
from rhubarbspar.gateway.usage import duty as usage_duty
from rhubarbspar.gateway.usage import events as usage_events
from rhubarbspar.gateway.usage import messages
from rhubarbspar.gateway.usage import parts
from rhubarbspar.gateway.usage import state as usage_state

# An instance that is killed loses what it has not passed on: with a tick of 50 ms, up to 200 ms of its
# requests, 4% of a window of 5 s. With 250 ms, an account that used only this instance lost 15 of 168.
PASS_ON_INTERVAL_MS: typing.Final = 150
# A window is closed this long after its end, when servers have refused what they do not run.
SETTLE_MS: typing.Final = 500
# Part of the permitted delay after which a window is reported without the parts that are missing;
# the rest is for the write and the call, and their repeats.
DECIDE_SHARE: typing.Final = 0.7
# A new holder gets the parts of the others within this time.
GATHER_MS: typing.Final = 1500
# A relay passes the parts of its children on at each third of these intervals, and its own at each one:
# they are lost only together with it. At each interval, a relay of 82 instances sent 38 KB/s.
FORWARD_EVERY: typing.Final = 3
PARTS_KEPT_MS: typing.Final = 60_000
# Parts in a message; with 80 accounts each, it has about 60 KB.
_PARTS_PER_MESSAGE: typing.Final = 64
_OUTSIDE_TREE: typing.Final = frozenset((fleet.Relation.NONE,))

Outputs: typing.TypeAlias = list[core_effects.Effect]


def record_end(
    state: gateway_state.State,
    attempt: gateway_state.Attempt,
    ended: events.AttemptEnded,
    now_ms: float,
) -> None:
    """Count an attempt that has ended, if the server may have run the request."""
    if ended.result in version_results.MAY_HAVE_RUN:
        _record(state, attempt, min(_begin_ms(state, attempt), now_ms))


def record_given_up(
    state: gateway_state.State, attempt: gateway_state.Attempt, now_ms: float
) -> None:
    """Count an attempt that was cancelled, if the server is expected to have begun by then."""
    begin_ms = _begin_ms(state, attempt)
    if begin_ms <= now_ms:
        _record(state, attempt, begin_ms)


def receive(
    state: gateway_state.State,
    peer_id: str,
    message: messages.UsagePart | messages.UsageStatus,
    now_ms: float,
) -> Outputs:
    """Keep the parts that a peer passes on, and learn what it knows of the duty."""
    usage = state.usage
    if usage is None:
        return []
    usage.clock.compare(now_ms, message.sent_unix_ms, message.settled_ms)
    if isinstance(message, messages.UsagePart):
        for part in message.parts:
            usage.parts.add(part, peer_id)
    outputs: Outputs = []
    if usage.duty.note_status(message.status):
        usage.told_status = usage.duty.status
        outputs.extend(multicast.spread(state, _status_message(usage, now_ms), peer_id))
    if message.status != usage.duty.status.merge(message.status):
        outputs.append(core_effects.SendMessage(peer_id, _status_message(usage, now_ms)))
    return outputs


def finish_call(
    state: gateway_state.State, event: usage_events.UsageEvent, now_ms: float
) -> Outputs:
    """Apply the outcome of a call to the store or to the platform, and start the next one."""
    usage = state.usage
    if usage is None:
        return []
    outputs = usage_duty.reduce(usage.duty, event, _moment(usage, now_ms))
    return [*outputs, *_tell_status(state, usage, now_ms), *_advance(state, usage, now_ms)]


def tick(state: gateway_state.State, unix_ms: float, now_ms: float) -> Outputs:
    """Pass parts on, decide windows and start the calls that are due.

    Parameters
    ----------
    unix_ms
        Time of day, which may jump.
    """
    usage = state.usage
    if usage is None:
        return []
    usage.clock.read(now_ms, unix_ms)
    outputs: Outputs = []
    if state.is_stopping or now_ms - usage.passed_on_ms >= PASS_ON_INTERVAL_MS:
        usage.passed_on_ms = now_ms
        _count(state, usage, now_ms)
        outputs.extend(_pass_parts_on(state, usage, now_ms))
        outputs.extend(_decide_windows(state, usage, now_ms))
        outputs.extend(_tell_status(state, usage, now_ms))
    return outputs + _advance(state, usage, now_ms)


def _begin_ms(state: gateway_state.State, attempt: gateway_state.Attempt) -> float:
    """Return when the server is expected to begin with a request."""
    round_trip_ms = state.network.round_trip_ms(attempt.view.server.failure_domain)
    return attempt.started_ms + round_trip_ms / 2 + attempt.wait_ms


def _record(state: gateway_state.State, attempt: gateway_state.Attempt, begin_ms: float) -> None:
    usage = state.usage
    if usage is None or usage.counter is None:
        return
    run = _run(state, usage, attempt, begin_ms)
    if run is not None:
        usage.counter.record(run)


def _run(
    state: gateway_state.State,
    usage: usage_state.UsageState,
    attempt: gateway_state.Attempt,
    begin_ms: float,
) -> counting.Run | None:
    """Return what an attempt counts for; ``None`` without a client account."""
    pending = state.pending.get(attempt.request_number)
    if pending is None or pending.account is None:
        return None
    window_id = usage.settings.window_at(usage.clock.unix_ms(begin_ms))
    return counting.Run(pending.account.account_id, window_id)


def _count(state: gateway_state.State, usage: usage_state.UsageState, now_ms: float) -> None:
    """Add the own counts to the parts, and drop the parts that are needed no more."""
    unix_ms = usage.clock.unix_ms(now_ms)
    window_id = usage.settings.window_at(unix_ms)
    if usage.counter is None:
        own = state.fleet.own_member
        usage.counter = counting.Counter(own.instance_id, own.incarnation, window_id)
    closed_before = usage.settings.window_at(unix_ms - SETTLE_MS)
    running = _running(state, usage, now_ms)
    for part in usage.counter.take_parts(running, window_id, closed_before):
        usage.parts.add(part, usage.duty.own_id)
    oldest = usage.settings.window_at(unix_ms - PARTS_KEPT_MS)
    usage.parts.forget_before(max(oldest, usage.duty.status.next_window))


def _running(
    state: gateway_state.State, usage: usage_state.UsageState, now_ms: float
) -> abc.Iterator[counting.Run]:
    """Yield the requests that servers are expected to run or to have run, without a response."""
    for attempt in state.attempts.values():
        begin_ms = _begin_ms(state, attempt)
        run = _run(state, usage, attempt, begin_ms) if begin_ms <= now_ms else None
        if run is not None:
            yield run


def _pass_parts_on(
    state: gateway_state.State, usage: usage_state.UsageState, now_ms: float
) -> Outputs:
    """Return the messages with the parts that have changed since the last ones."""
    outputs: Outputs = []
    sent_changes: dict[str, int] = {}
    is_forwarding = _is_forwarding(state, usage)
    for receiver in _receivers(state, usage, now_ms):
        receiver_id = receiver.member.instance_id
        known = usage.sent_changes.get(receiver_id, 0)
        sent_changes[receiver_id] = usage.parts.last_change if is_forwarding else known
        changed = usage.parts.changed_after(known if is_forwarding else usage.own_sent_change)
        passed = [
            kept.part
            for kept in changed
            if _is_for(state, receiver, kept.source_id)
            and (is_forwarding or kept.source_id == usage.duty.own_id)
        ]
        for batch in _batches(passed):
            message = messages.UsagePart(
                batch,
                usage.duty.status,
                usage.clock.unix_ms(now_ms),
                usage.clock.settled_ms(now_ms),
            )
            outputs.append(core_effects.SendMessage(receiver_id, message))
    # A receiver that comes back gets all parts again.
    usage.sent_changes = sent_changes
    usage.own_sent_change = usage.parts.last_change
    return outputs


def _is_forwarding(state: gateway_state.State, usage: usage_state.UsageState) -> bool:
    """Return whether parts of other instances are passed on now."""
    usage.pass_number += 1
    is_relay_of_tree = state.fleet.is_relay and not state.fleet.is_mesh
    return not is_relay_of_tree or state.is_stopping or usage.pass_number % FORWARD_EVERY == 0


def _batches(
    passed: list[messages.PartCounts],
) -> abc.Iterator[tuple[messages.PartCounts, ...]]:
    for start in range(0, len(passed), _PARTS_PER_MESSAGE):
        yield tuple(itertools.islice(passed, start, start + _PARTS_PER_MESSAGE))


def _receivers(
    state: gateway_state.State, usage: usage_state.UsageState, now_ms: float
) -> list[fleet.Peer]:
    """Return the peers to which this instance passes parts on."""
    connected = [
        peer
        for peer in state.fleet.peers.values()
        if peer.connected and peer.relation not in _OUTSIDE_TREE
    ]
    if not state.fleet.is_relay:
        return [peer for peer in connected if peer.relation == fleet.Relation.PARENT]
    holder_id = usage.duty.status.holder_id
    deputies = [each for each in _candidates(state, now_ms) if each != holder_id]
    own_id = usage.duty.own_id
    receivers: dict[str, fleet.Peer] = {}
    for keeper_id in {holder_id, *deputies[:1]} - {own_id, ''}:
        for peer in _way_to(state, connected, keeper_id):
            receivers[peer.member.instance_id] = peer
    return list(receivers.values())


def _way_to(
    state: gateway_state.State, connected: list[fleet.Peer], keeper_id: str
) -> list[fleet.Peer]:
    """Return the keeper if it is connected, otherwise the relays of its failure domain."""
    keeper = state.fleet.peers.get(keeper_id)
    if keeper is None:
        return []
    if any(peer is keeper for peer in connected):
        return [keeper]
    domain = keeper.member.failure_domain
    return [
        peer
        for peer in connected
        if peer.relation == fleet.Relation.RELAY and peer.member.failure_domain == domain
    ]


def _is_for(state: gateway_state.State, receiver: fleet.Peer, source_id: str) -> bool:
    """Return whether a receiver gets the parts that came from a source."""
    if source_id == receiver.member.instance_id:
        return False
    is_own = source_id == state.fleet.own_member.instance_id
    if is_own or receiver.relation == fleet.Relation.CHILD:
        return True
    source = state.fleet.peers.get(source_id)
    # Other relays have sent their parts to the keepers themselves.
    is_from_relay = source is not None and source.relation == fleet.Relation.RELAY
    return receiver.relation == fleet.Relation.RELAY and not is_from_relay


def _candidates(state: gateway_state.State, now_ms: float) -> list[str]:
    """Return the relays that could take the duty, in order."""
    peer_ids = [
        peer_id
        for peer_id, peer in state.fleet.peers.items()
        if peer.relation == fleet.Relation.RELAY and peer.is_live(now_ms) and not peer.leaving
    ]
    own_ids = [state.fleet.own_member.instance_id] if state.fleet.is_relay else []
    return sorted((*own_ids, *peer_ids))


def _rank(state: gateway_state.State, usage: usage_state.UsageState, now_ms: float) -> int | None:
    """Return the place of this instance in the succession; ``None`` if it must not hold the duty."""
    if state.is_stopping or usage.clock.offset_ms is None:
        return None
    if usage.duty.is_holder:
        return 0
    own_id = usage.duty.own_id
    candidates = _candidates(state, now_ms)
    if own_id not in candidates:
        return None
    holder_id = usage.duty.status.holder_id
    return sum(each < own_id and each != holder_id for each in candidates)


def _decide_windows(
    state: gateway_state.State, usage: usage_state.UsageState, now_ms: float
) -> Outputs:
    """Decide the counts of the windows that are complete or due, if this instance is the holder."""
    duty = usage.duty
    outputs: Outputs = []
    if duty.needs_windows or duty.needs_duty:
        return outputs
    while duty.may_act(now_ms):
        window_id = duty.backlog.next_undecided()
        if not _is_due(state, usage, window_id, now_ms):
            break
        outputs.extend(usage_duty.decide(duty, usage.parts.sum_window(window_id)))
    return outputs


def _is_due(
    state: gateway_state.State, usage: usage_state.UsageState, window_id: int, now_ms: float
) -> bool:
    """Return whether the counts of a window are complete, or cannot wait for the missing ones."""
    late_ms = usage.clock.unix_ms(now_ms) - usage.settings.end_unix_ms(window_id)
    if late_ms < SETTLE_MS:
        return False
    has_gathered = now_ms - usage.duty.held_since_ms >= GATHER_MS
    if has_gathered and late_ms >= usage.settings.late_ms * DECIDE_SHARE:
        return True
    own = state.fleet.own_member
    members = [own, *(peer.member for peer in state.fleet.live_peers(now_ms))]
    expected = [parts.Incarnation(each.instance_id, each.incarnation) for each in members]
    return not usage.parts.missing(window_id, expected)


def _tell_status(
    state: gateway_state.State, usage: usage_state.UsageState, now_ms: float
) -> Outputs:
    """Tell all instances what has changed about the duty."""
    if usage.duty.status == usage.told_status:
        return []
    usage.told_status = usage.duty.status
    return multicast.spread(state, _status_message(usage, now_ms))


def _advance(state: gateway_state.State, usage: usage_state.UsageState, now_ms: float) -> Outputs:
    """Start the calls that are due."""
    if usage.counter is None:
        return []
    earliest = usage.parts.earliest_window()
    first_window = usage.counter.first_open if earliest is None else earliest
    instance_count = 1 + len(state.fleet.peers)
    standing = usage_duty.Standing(
        _rank(state, usage, now_ms),
        first_window,
        hears_fleet=2 * state.fleet.live_count(now_ms) >= instance_count,
    )
    return usage_duty.tick(usage.duty, standing, _moment(usage, now_ms))


def _moment(usage: usage_state.UsageState, now_ms: float) -> usage_duty.Moment:
    return usage_duty.Moment(now_ms, usage.clock.unix_ms(now_ms))


def _status_message(usage: usage_state.UsageState, now_ms: float) -> messages.UsageStatus:
    return messages.UsageStatus(
        usage.duty.status, usage.clock.unix_ms(now_ms), usage.clock.settled_ms(now_ms)
    )
