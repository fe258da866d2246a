"""Tests of at-most-once execution of requests with idempotency keys."""

import dataclasses
import random

import cbor2
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from rhubarbspar import const as package_const
from rhubarbspar.components.idempotency import const
from rhubarbspar.components.idempotency import models
from rhubarbspar.components.idempotency import reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state

NOT_RUN = core_models.Refused('full', core_models.ExecutionStatus.NOT_RUN)
LOST = core_models.Refused('backend_failed', core_models.ExecutionStatus.UNKNOWN)


def make_state(instance_id: str, incarnation: str = 'i1') -> core_state.State:
    """Return the state of an instance without peers."""
    known = membership_models.KnownPeer(instance_id, 'almaty-1', '127.0.0.1:1', '127.0.0.1:2')
    state = core_state.State(membership_models.MembershipState(known, incarnation))
    state.idempotency.fleet_key = b'fleet key of the tests'
    return state


def introduce(state: core_state.State, peer: core_state.State) -> None:
    """Make one instance know another one as from a heartbeat."""
    known = peer.membership.own
    entry = membership_models.Peer(
        known, peer.membership.incarnation, connected=True, last_heartbeat_ms=0.0
    )
    entry.adopted = reducer.adopted_incarnations(peer)
    state.membership.peers[known.instance_id] = entry


def order(request_id: str, key: str | None, body: bytes = b'ring') -> core_models.Request:
    """Return a non-idempotent request with an idempotency key."""
    return core_models.Request(
        request_id, 'commissions', 'POST', '/orders', (), body, None, key, 1e9
    )


def answered(size_bytes: int = 2) -> core_models.Answered:
    """Return an outcome with a response body of the given size."""
    return core_models.Answered(core_models.Response(201, (), b'x' * size_bytes))


def decided(reason: str, run: core_models.ExecutionStatus) -> models.Decided:
    """Return the decision to refuse a request."""
    return models.Decided(core_models.Refused(reason, run))


def messages(outputs: list[effects.Effect]) -> list[effects.SendMessage]:
    """Return the effects that send messages."""
    return [effect for effect in outputs if isinstance(effect, effects.SendMessage)]


def all_peers(state: core_state.State, now_ms: float) -> list[membership_models.Peer]:
    """Return every peer that ever sent a heartbeat, dead ones included."""
    return [peer for _, peer in sorted(state.membership.peers.items())]


@pytest.fixture(autouse=True)
def _all_peers_live(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership_reducer, 'live_peers', all_peers)


@pytest.fixture
def state() -> core_state.State:
    """Return the state of instance ``a``."""
    return make_state('a')


@pytest.mark.parametrize(
    ('key', 'reason'),
    [
        (None, package_const.REASON_IDEMPOTENCY_KEY_REQUIRED),
        ('', package_const.REASON_IDEMPOTENCY_KEY_REQUIRED),
        ('nonsense', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('.x', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('\u00e9\u00e9.x', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('{prefix}', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('{prefix}.', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('{prefix}.a b', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('{prefix}$.x', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('{prefix}.' + 'x' * 129, package_const.REASON_IDEMPOTENCY_KEY_INVALID),
        ('{forged}.x', package_const.REASON_IDEMPOTENCY_KEY_INVALID),
    ],
)
def test_bad_keys_do_not_run(state: core_state.State, key: str | None, reason: str) -> None:
    """Guards against requests that run with a key that no instance issued."""
    prefix = reducer.key_prefix(state, 0)
    other_fleet = make_state('a')
    other_fleet.idempotency.fleet_key = b'other'
    formatted = key and key.format(prefix=prefix, forged=reducer.key_prefix(other_fleet, 0))
    decision = reducer.begin(state, order('r', formatted), 'joiner', 0)
    assert decision == decided(reason, core_models.ExecutionStatus.NOT_RUN)


def test_key_is_refused_after_expiry_and_record_kept_until_then(state: core_state.State) -> None:
    """Guards against a second run after the record has expired, and against its early removal."""
    key = reducer.key_prefix(state, 500.7) + '.1'
    assert reducer.begin(state, order('r1', key), 'joiner', 500.7) == models.RunHere()
    reducer.finish(state, order('r1', key), 'joiner', answered(), 600)
    last_ms = const.PREFIX_LIFETIME_MS + 499.9
    reducer.reduce(state, events.Tick(), last_ms)
    replay = reducer.begin(state, order('r2', key), 'joiner', last_ms)
    assert replay == models.Decided(answered())
    reducer.reduce(state, events.Tick(), last_ms + 3000)
    assert not state.idempotency.records
    assert not state.idempotency.expiries
    assert state.idempotency.responses_total_bytes == 0
    expired = reducer.begin(state, order('r3', key), 'joiner', last_ms + 3000)
    reason = package_const.REASON_IDEMPOTENCY_KEY_EXPIRED
    assert expired == decided(reason, core_models.ExecutionStatus.UNKNOWN)


def test_key_belongs_to_one_account_and_one_request(state: core_state.State) -> None:
    """Guards against replaying one account's response to another, and against reuse of a key."""
    key = reducer.key_prefix(state, 0) + '.1'
    assert reducer.begin(state, order('r1', key), 'joiner', 0) == models.RunHere()
    assert reducer.begin(state, order('r2', key), 'workshop', 0) == models.RunHere()
    for change in ({'method': 'PUT'}, {'target': '/other'}, {'body': b'x'}, {'service_id': 'x'}):
        other = dataclasses.replace(order('r3', key), **change)
        reused = decided(
            package_const.REASON_IDEMPOTENCY_KEY_REUSED, core_models.ExecutionStatus.NOT_RUN
        )
        assert reducer.begin(state, other, 'joiner', 0) == reused


def test_running_request_outlives_its_prefix(state: core_state.State) -> None:
    """Guards against duplicates that get no answer when the prefix expires during the run."""
    key = reducer.key_prefix(state, 0) + '.1'
    reducer.begin(state, order('r1', key), 'joiner', 0)
    reducer.begin(state, order('r2', key), 'joiner', 0)
    late_ms = const.PREFIX_LIFETIME_MS + 5000.0
    reducer.reduce(state, events.Tick(), late_ms)
    outputs = reducer.finish(state, order('r1', key), 'joiner', answered(), late_ms)
    assert outputs == [effects.Respond('r2', answered())]


@pytest.mark.parametrize('outcome', [answered(), answered(70_000), NOT_RUN, LOST])
def test_duplicates_wait_for_the_outcome(
    state: core_state.State, outcome: core_models.Outcome
) -> None:
    """Guards against duplicates that run, get no answer, or answer a caller that disconnected."""
    key = reducer.key_prefix(state, 0) + '.1'
    assert reducer.begin(state, order('r1', key), 'joiner', 0) == models.RunHere()
    for request_id in ('r2', 'r3', 'r4'):
        assert reducer.begin(state, order(request_id, key), 'joiner', 0) == models.AwaitFirst()
    reducer.reduce(state, events.RequestCancelled('r3'), 0)
    assert reducer.finish(state, order('r2', key), 'joiner', outcome, 0) == []
    outputs = reducer.finish(state, order('r1', key), 'joiner', outcome, 0)
    assert outputs == [effects.Respond('r2', outcome), effects.Respond('r4', outcome)]
    assert not state.idempotency.waiting_record_ids
    later = reducer.begin(state, order('r5', key), 'joiner', 0)
    if outcome == NOT_RUN:
        assert later == models.RunHere()
    elif outcome == answered():
        assert later == models.Decided(outcome)
    else:
        unknown = decided(package_const.REASON_OUTCOME_UNKNOWN, core_models.ExecutionStatus.UNKNOWN)
        assert later == unknown


def test_responses_are_evicted_and_records_are_not(
    state: core_state.State, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unbounded memory use, and against records removed to save memory."""
    prefix = reducer.key_prefix(state, 0)
    monkeypatch.setattr(const, 'RECORDS_MAX', 300)
    requests = [order(f'r{number}', f'{prefix}.{number}') for number in range(300)]
    for request in requests:
        assert reducer.begin(state, request, 'joiner', 0) == models.RunHere()
        reducer.finish(state, request, 'joiner', answered(65_536), 0)
    assert state.idempotency.responses_total_bytes == const.RESPONSES_MAX_BYTES
    full = decided(package_const.REASON_FULL, core_models.ExecutionStatus.NOT_RUN)
    assert reducer.begin(state, order('x', f'{prefix}.x'), 'joiner', 0) == full
    replays = [reducer.begin(state, request, 'joiner', 0) for request in requests]
    unknown = decided(package_const.REASON_OUTCOME_UNKNOWN, core_models.ExecutionStatus.UNKNOWN)
    assert replays == [unknown] * 44 + [models.Decided(answered(65_536))] * 256


@pytest.mark.parametrize('size_bytes', [0, 3000, 65_536])
@pytest.mark.parametrize('arrival', ['in order', 'reversed', 'repeated', 'lost', 'too full'])
def test_handover_transfers_all_records_or_none(
    state: core_state.State, size_bytes: int, arrival: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against oversized messages and against adopting only some of the records.

    Messages arrive reordered, repeated or not at all, or the successor has no room for the records.
    """
    successor = make_state('b')
    introduce(state, successor)
    prefix = reducer.key_prefix(state, 0)
    requests = [order(f'r{number}', f'{prefix}.{number}') for number in range(3000)]
    for request in requests:
        reducer.begin(state, request, 'joiner', 0)
        reducer.finish(state, request, 'joiner', answered(size_bytes) if size_bytes else LOST, 0)
    sent = messages(reducer.hand_over(state, 'b', 0))
    assert len(sent) > 1
    for effect in sent:
        assert len(cbor2.dumps(dataclasses.asdict(effect.message))) <= 524_288
    if arrival == 'too full':
        monkeypatch.setattr(const, 'RECORDS_MAX', 2999)
    arrivals = {'reversed': sent[::-1], 'repeated': sent[:1] * 3 + sent, 'lost': sent[1:]}
    outputs: list[effects.Effect] = []
    now_ms = 5_000_000.0
    for effect in arrivals.get(arrival, sent):
        assert not reducer.adopted_incarnations(successor)
        received = events.MessageReceived('a', effect.message)
        outputs += messages(reducer.reduce(successor, received, now_ms))
    if arrival in {'lost', 'too full'}:
        assert outputs == []
        assert not successor.idempotency.records
        return
    assert outputs == [effects.SendMessage('a', models.RecordsAccepted('a/i1'))]
    assert reducer.adopted_incarnations(successor) == ('a/i1',)
    reducer.reduce(state, events.MessageReceived('b', models.RecordsAccepted('a/i1')), 0)
    assert reducer.is_handed_over(state)
    replay = reducer.begin(successor, requests[-1], 'joiner', now_ms)
    assert replay != models.RunHere()
    assert (replay == models.Decided(answered(size_bytes))) == bool(size_bytes)
    new_key = reducer.begin(successor, order('x', f'{prefix}.x'), 'joiner', now_ms)
    assert new_key == models.RunHere()
    introduce(state, successor)
    assert reducer.begin(state, order('y', f'{prefix}.y'), 'joiner', 0) == models.RunAtPeer('b')


def test_handover_is_bound_to_one_incarnation_of_one_successor(state: core_state.State) -> None:
    """Guards against a second adoption after the first adopter ran a request and stopped.

    Neither a restarted successor nor another instance may adopt the records.
    """
    successor = make_state('b')
    introduce(state, successor)
    introduce(state, make_state('c'))
    key = reducer.key_prefix(state, 0) + '.1'
    (part,) = messages(reducer.hand_over(state, 'b', 0))
    reducer.reduce(successor, events.MessageReceived('a', part.message), 0)
    assert reducer.begin(successor, order('r', key), 'joiner', 0) == models.RunHere()
    restarted = make_state('b', 'i2')
    introduce(state, restarted)
    assert messages(reducer.hand_over(state, 'c', 0)) == [part]
    assert messages(reducer.reduce(state, events.PeerConnected('b', 'i2'), 0)) == [part]
    assert reducer.reduce(restarted, events.MessageReceived('a', part.message), 0) == []
    unknown = decided(package_const.REASON_OUTCOME_UNKNOWN, core_models.ExecutionStatus.UNKNOWN)
    assert reducer.begin(restarted, order('r', key), 'joiner', 0) == unknown
    assert reducer.begin(state, order('r', key), 'joiner', 0) == unknown


def test_adopted_keys_are_handed_over_again(state: core_state.State) -> None:
    """Guards against adopted keys whose expiry changes when they are handed over a second time.

    The records pass through three instances whose monotonic clocks differ. The keys must expire
    neither early nor never.
    """
    prefix = reducer.key_prefix(state, 0)
    chain = [(state, 0.0), (make_state('b'), 9e9), (make_state('c'), 5000.0)]
    for (sender, sent_ms), (receiver, received_ms) in zip(chain, chain[1:], strict=False):
        introduce(sender, receiver)
        (part,) = messages(reducer.hand_over(sender, receiver.membership.own.instance_id, sent_ms))
        sender_id = sender.membership.own.instance_id
        reducer.reduce(receiver, events.MessageReceived(sender_id, part.message), received_ms)
        assert not reducer.adopted_incarnations(sender)
        returned = dataclasses.replace(
            part.message, incarnation_name='c/i9', successor_incarnation='i1'
        )
        assert reducer.reduce(sender, events.MessageReceived('c', returned), sent_ms) == []
    last, last_ms = chain[-1]
    assert reducer.adopted_incarnations(last) == ('a/i1', 'b/i1')
    end_ms = last_ms + const.PREFIX_LIFETIME_MS
    before = reducer.begin(last, order('r1', f'{prefix}.1'), 'joiner', end_ms - 1)
    assert before == models.RunHere()
    after = reducer.begin(last, order('r2', f'{prefix}.2'), 'joiner', end_ms)
    reason = package_const.REASON_IDEMPOTENCY_KEY_EXPIRED
    assert after == decided(reason, core_models.ExecutionStatus.UNKNOWN)
    reducer.reduce(last, events.Tick(), end_ms)
    assert not reducer.adopted_incarnations(last)


class Fleet(stateful.RuleBasedStateMachine):
    """Instances that are killed, restarted and stopped while callers repeat requests.

    Checks that no key runs twice and that a refusal as "not run" is true.
    """

    ids = strategies.sampled_from('abc')
    some_index = strategies.integers(0, 1_000_000)

    def __init__(self) -> None:
        super().__init__()
        self.sequence_number = 0
        self.now_ms = 0.0
        self.clocks_ms = {'a': 0.0, 'b': 7e8, 'c': 123.4}
        self.states: dict[str, core_state.State] = {}
        self.prefixes: list[str] = []
        self.network: list[tuple[str, effects.SendMessage]] = []
        self.running: list[tuple[core_state.State, core_models.Request]] = []
        self.possible_runs: dict[str, int] = {}
        self.keys_of: dict[str, str] = {}
        for instance_id in 'abc':
            self.restart(instance_id)

    def clock(self, state: core_state.State) -> float:
        """Return the time on an instance's own clock."""
        return self.now_ms + self.clocks_ms[state.membership.own.instance_id]

    def carry_out(self, state: core_state.State, outputs: list[effects.Effect]) -> None:
        """Send the messages and check the answers to duplicates that waited."""
        for effect in outputs:
            match effect:
                case effects.SendMessage():
                    self.network.append((state.membership.own.instance_id, effect))
                case effects.Respond(request_id, outcome):
                    self.check(self.keys_of[request_id], outcome)

    def check(self, key: str, outcome: core_models.Outcome) -> None:
        """Check that a refusal as "not run" is true."""
        if (
            isinstance(outcome, core_models.Refused)
            and outcome.run is core_models.ExecutionStatus.NOT_RUN
        ):
            assert self.possible_runs.get(key, 0) == 0

    @stateful.rule(instance_id=ids)
    def restart(self, instance_id: str) -> None:
        """Kill an instance and start it again."""
        self.sequence_number += 1
        self.states[instance_id] = make_state(instance_id, f'i{self.sequence_number}')
        for state in self.states.values():
            introduce(state, self.states[instance_id])
            introduce(self.states[instance_id], state)

    @stateful.rule(sender=ids, receiver=ids)
    def apply_heartbeat(self, sender: str, receiver: str) -> None:
        """Deliver a heartbeat."""
        introduce(self.states[receiver], self.states[sender])

    @stateful.rule(instance_id=ids)
    def look_up(self, instance_id: str) -> None:
        """Issue a key prefix to a caller."""
        state = self.states[instance_id]
        self.prefixes.append(reducer.key_prefix(state, self.clock(state)))

    @stateful.precondition(lambda self: self.prefixes)
    @stateful.rule(instance_id=ids, index=some_index, suffix=strategies.integers(1, 2))
    def call(self, instance_id: str, index: int, suffix: int) -> None:
        """Send or repeat a request at any instance, and follow relays to other instances."""
        key = f'{self.prefixes[index % len(self.prefixes)]}.{suffix}'
        for _ in range(3):
            self.sequence_number += 1
            request = order(f'r{self.sequence_number}', key)
            state = self.states[instance_id]
            decision = reducer.begin(state, request, 'joiner', self.clock(state))
            self.keys_of[request.request_id] = key
            match decision:
                case models.RunAtPeer(peer_id):
                    instance_id = peer_id
                    continue
                case models.RunHere():
                    self.possible_runs[key] = self.possible_runs.get(key, 0) + 1
                    self.running.append((state, request))
                    assert self.possible_runs[key] == 1
                case models.Decided(outcome):
                    self.check(key, outcome)
            return

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(index=some_index, outcome=strategies.sampled_from([answered(), NOT_RUN, LOST]))
    def end(self, index: int, outcome: core_models.Outcome) -> None:
        """End a request, also at an instance that was killed: its backend server still ran it."""
        state, request = self.running.pop(index % len(self.running))
        key = request.idempotency_key or ''
        self.possible_runs[key] -= outcome == NOT_RUN
        outputs = reducer.finish(state, request, 'joiner', outcome, self.clock(state))
        self.carry_out(state, outputs)

    @stateful.rule(instance_id=ids, successor_id=ids)
    def stop(self, instance_id: str, successor_id: str) -> None:
        """Begin a planned stop while requests still run."""
        state = self.states[instance_id]
        if instance_id != successor_id:
            self.carry_out(state, reducer.hand_over(state, successor_id, self.clock(state)))

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=some_index, copies=strategies.integers(0, 2))
    def deliver(self, index: int, copies: int) -> None:
        """Lose, deliver or repeat one of the messages under way, in any order."""
        sender, effect = self.network.pop(index % len(self.network))
        state = self.states[effect.peer_id]
        for _ in range(copies):
            received = events.MessageReceived(sender, effect.message)
            self.carry_out(state, reducer.reduce(state, received, self.clock(state)))

    @stateful.rule(elapsed_ms=strategies.sampled_from([0, 10, 4000, 299_000, 600_000]))
    def wait(self, elapsed_ms: float) -> None:
        """Let time pass at all instances, with a tick at the end."""
        self.now_ms += elapsed_ms
        for state in self.states.values():
            self.carry_out(state, reducer.reduce(state, events.Tick(), self.clock(state)))


def test_key_runs_at_most_once_in_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second run, or a false "not run", after any short sequence of faults."""
    monkeypatch.setattr(const, 'HANDOVER_MESSAGE_MAX_BYTES', 1400)
    stateful.run_state_machine_as_test(
        Fleet,
        settings=hypothesis.settings(
            max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
        ),
    )


@pytest.mark.parametrize('seed', range(20))
def test_key_runs_at_most_once_in_long_random_runs(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against second runs that only a long sequence of handovers and repeats causes."""
    monkeypatch.setattr(const, 'HANDOVER_MESSAGE_MAX_BYTES', 1400)
    generator = random.Random(seed)
    fleet = Fleet()
    outcomes = (answered(), NOT_RUN, LOST)
    for _ in range(2000):
        instance_id, other_id = generator.choices('abc', k=2)
        actions = {
            fleet.call: (
                70,
                (
                    instance_id,
                    len(fleet.prefixes) - generator.randint(1, 4),
                    generator.randint(1, 2),
                ),
            ),
            fleet.look_up: (6, (instance_id,)),
            fleet.apply_heartbeat: (20, (instance_id, other_id)),
            fleet.end: (20, (generator.randint(0, 99), generator.choice(outcomes))),
            fleet.stop: (3, (instance_id, other_id)),
            fleet.deliver: (30, (generator.randint(0, 99), generator.choice((0, 1, 1, 1, 1, 2)))),
            fleet.restart: (1, (instance_id,)),
            fleet.wait: (6, (generator.choice((10, 10, 4000, 299_000)),)),
        }
        weights = [weight for weight, _ in actions.values()]
        action = generator.choices(list(actions), weights)[0]
        if action == fleet.call and not fleet.prefixes:
            continue
        if action == fleet.end and not fleet.running:
            continue
        if action == fleet.deliver and not fleet.network:
            continue
        action(*actions[action][1])
    assert sum(fleet.possible_runs.values()) > 5


@pytest.mark.parametrize(
    ('recorded', 'account_ids', 'now_ms', 'expected'),
    [
        (True, ('', 'joiner'), 0, True),
        (False, ('', 'joiner'), 0, False),
        (False, (), 0, True),
        (False, ('joiner',), 2 * const.PREFIX_LIFETIME_MS, True),
    ],
)
def test_refusal_before_the_record_is_read_tells_of_earlier_runs(
    state: core_state.State,
    recorded: bool,
    account_ids: tuple[str, ...],
    now_ms: float,
    expected: bool,
) -> None:
    """Guards against refusing a repeat as "not run" after its access key was revoked.

    The first request may have run; only the instance that the key names can exclude that.
    """
    request = order('r1', f'{reducer.key_prefix(state, 0)}.s')
    if recorded:
        reducer.begin(state, request, 'joiner', 0)
    assert reducer.may_have_run(state, request, account_ids, now_ms) is expected
    other = make_state('b')
    assert reducer.may_have_run(other, request, account_ids, now_ms)
    assert not reducer.may_have_run(other, order('r2', None), account_ids, now_ms)
