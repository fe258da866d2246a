"""Tests of heartbeats that carry only the sections which the receiver has not acknowledged."""

import dataclasses
import random
import typing

import pytest

from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import models
from rhubarbspar.components.membership import reducer
from rhubarbspar.components.membership import sections
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import heartbeat as core_heartbeat
from rhubarbspar.core import reducer as core_reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.peers import codec

CODEC = codec.Codec()
REPORTED_FIELDS = ('known', 'status', 'owned_servers', 'statistics', 'adopted', 'known_peers')


def _known(instance_id: str) -> models.KnownPeer:
    return models.KnownPeer(instance_id, f'{instance_id}-domain', '127.0.0.1:1', '127.0.0.1:2')


@dataclasses.dataclass
class Reported:
    """Values that instance ``a`` reports about itself in its heartbeats."""

    owned_servers: tuple[models.OwnedServer, ...] = ()
    statistics: tuple[models.VersionStatistics, ...] = ()
    adopted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Sent:
    """A frame in flight, and the values that ``a`` reported when it was sent."""

    sender_id: str
    frame: bytes
    reported: dict[str, typing.Any]


class Pair:
    """Instances ``a`` and ``b`` with the messages in flight between them.

    Whenever ``b`` accepts a heartbeat, its view of ``a`` must equal what ``a`` reported when it
    sent it.
    """

    def __init__(self, reported: Reported, seed: int) -> None:
        self.reported = reported
        self.random = random.Random(seed)
        self.now_ms = 1000.5
        self.starts = 0
        self.states: dict[str, core_state.State] = {}
        self.in_flight: list[Sent] = []
        for name in 'ab':
            self.start(name)
        self.connect()

    def start(self, name: str) -> None:
        """Start an instance with an empty state and a new incarnation."""
        self.starts += 1
        membership = models.MembershipState(_known(name), f'run-{self.starts}')
        self.states[name] = core_state.State(membership)

    def connect(self) -> None:
        """Open a new connection; messages in flight on the old one may still arrive."""
        for name, other in ('ab', 'ba'):
            incarnation = self.states[other].membership.incarnation
            self.handle(name, events.PeerConnected(other, incarnation))

    def handle(self, name: str, event: events.Event, arrived: Sent | None = None) -> None:
        """Pass an event to an instance, collect the heartbeats that it sends and check the view."""
        state = self.states[name]
        for effect in core_reducer.reduce(state, event, self.now_ms):
            if isinstance(effect, effects.SendMessage):
                frame = CODEC.encode(effect.message)
                self.in_flight.append(Sent(name, frame, self.current()))
        if arrived is not None and name == 'b' and self.peer().last_heartbeat_ms == self.now_ms:
            assert self.view() == arrived.reported

    def send_heartbeat(self, name: str) -> None:
        """Let an instance send a heartbeat to the other one, if it knows it."""
        (other,) = {'a', 'b'} - {name}
        if other in self.states[name].membership.peers:
            self.handle(name, models.HeartbeatDue(other))

    def deliver(self, index: int, again: bool = False) -> None:
        """Deliver a message in flight; with ``again`` it stays there, to be delivered twice."""
        sent = self.in_flight[index] if again else self.in_flight.pop(index)
        (receiver,) = {'a', 'b'} - {sent.sender_id}
        event = events.MessageReceived(sent.sender_id, CODEC.decode(sent.frame))
        self.now_ms += self.random.choice((0.25, 3, 40))
        self.handle(receiver, event, sent)

    def current(self) -> dict[str, typing.Any]:
        """Return the values that ``a`` reports now."""
        membership = self.states['a'].membership
        return {
            'known': membership.own,
            'status': membership.status,
            'owned_servers': {each.server_id: each for each in self.reported.owned_servers},
            'statistics': self.reported.statistics,
            'adopted': self.reported.adopted,
            'known_peers': reducer.reported_peers(self.states['a'], self.now_ms),
        }

    def peer(self) -> models.Peer:
        """Return the peer ``a`` in the state of ``b``."""
        return self.states['b'].membership.peers['a']

    def view(self) -> dict[str, typing.Any]:
        """Return the values of ``a`` that ``b`` knows."""
        return {name: getattr(self.peer(), name) for name in REPORTED_FIELDS}

    def change_report(self) -> None:
        """Change one of the values that ``a`` reports."""
        section = self.random.randint(0, 4)
        servers = self.reported.owned_servers
        match section:
            case 0:
                server_ids = self.random.sample(('s1', 's2', 's3', 's4'), self.random.randint(0, 3))
                self.reported.owned_servers = tuple(
                    models.OwnedServer(server_id, self.random.randint(0, 2), 0, 1)
                    for server_id in sorted(server_ids)
                )
            case 1:
                self.reported.owned_servers = tuple(
                    dataclasses.replace(server, free_slots=self.random.randint(0, 2))
                    for server in servers
                )
            case 2:
                counters = models.VersionStatistics('s', 'v', '/', self.random.randint(0, 2), 0, 0)
                self.reported.statistics = (counters,)
            case 3:
                self.reported.adopted = self.random.choice(((), ('x/1',), ('x/1', 'y/1')))
            case 4:
                statuses = tuple(models.InstanceStatus)
                self.states['a'].membership.status = self.random.choice(statuses)

    def step(self) -> None:
        """Take one random step: a change, a heartbeat, a delivery, a loss or a restart."""
        self.now_ms += self.random.choice((0, 0.25, 1, 200, 200, 5000))
        count = len(self.in_flight)
        index = self.random.randrange(count) if count else -1
        match self.random.choices(
            ('change', 'beat_a', 'beat_b', 'deliver', 'again', 'lose', 'connect', 'start'),
            (6, 8, 6, 8, 1, 2, 0.5, 0.3),
        )[0]:
            case 'change':
                self.change_report()
            case 'beat_a':
                self.send_heartbeat('a')
            case 'beat_b':
                self.send_heartbeat('b')
            case 'deliver' | 'again' as kind if count:
                self.deliver(index if self.random.random() < 0.3 else 0, kind == 'again')
            case 'lose' if count:
                self.in_flight.pop(index)
            case 'connect':
                self.connect()
            case 'start':
                self.start(self.random.choice('ab'))
                self.connect()

    def synchronize(self) -> None:
        """Exchange heartbeats without faults until everything is acknowledged."""
        for _ in range(4):
            self.now_ms += 200
            self.in_flight.clear()
            for name in 'ab':
                self.send_heartbeat(name)
            while self.in_flight:
                self.deliver(0)


@pytest.fixture
def reported(monkeypatch: pytest.MonkeyPatch) -> Reported:
    """Return the values that ``a`` reports in the patched heartbeats; ``b`` reports empty ones."""
    values = Reported()
    module = core_heartbeat

    def report_of(name: str) -> typing.Callable[..., typing.Any]:
        return lambda state, *_: (
            getattr(values, name) if state.membership.own.instance_id == 'a' else ()
        )

    monkeypatch.setattr(module, '_owned_servers', report_of('owned_servers'))
    monkeypatch.setattr(module.rollout_reducer, 'statistics', report_of('statistics'))
    monkeypatch.setattr(module.idempotency_reducer, 'adopted_incarnations', report_of('adopted'))
    return values


@pytest.fixture
def pair(reported: Reported) -> Pair:
    """Return a connected pair that has acknowledged everything."""
    reported.owned_servers = (models.OwnedServer('s1', 3, 0), models.OwnedServer('s2', 2, 1))
    reported.adopted = ('x/1',)
    connected = Pair(reported, 1)
    connected.synchronize()
    return connected


def _send_heartbeats(pair: Pair, count: int) -> list[models.Heartbeat]:
    """Let ``a`` send heartbeats and return the messages in flight."""
    pair.in_flight.clear()
    for _ in range(count):
        pair.now_ms += 200
        pair.send_heartbeat('a')
    messages = [CODEC.decode(sent.frame) for sent in pair.in_flight]
    return [message for message in messages if isinstance(message, models.Heartbeat)]


@pytest.mark.parametrize('seed', range(60))
def test_accepted_heartbeat_gives_the_report_of_its_sender(reported: Reported, seed: int) -> None:
    """Guards against a mixture of old and new sections after losses, duplicates and restarts.

    An instance that takes over a server relies on the report: a missing server means that its
    former owner has stopped using it.
    """
    pair = Pair(reported, seed)
    for _ in range(400):
        pair.step()
    pair.synchronize()
    assert pair.view() == pair.current()
    pair.now_ms += 200
    pair.in_flight.clear()
    pair.send_heartbeat('a')
    assert len(pair.in_flight[0].frame) < 40


def test_acknowledged_report_is_not_sent_again(pair: Pair) -> None:
    """Guards against heartbeats that repeat acknowledged sections in every interval."""
    for heartbeat in _send_heartbeats(pair, 3):
        assert heartbeat.sender is None
        assert (heartbeat.status, heartbeat.slots, heartbeat.owned_servers) == (None, None, None)
        assert (heartbeat.statistics, heartbeat.adopted, heartbeat.known_peers) == (None,) * 3


def test_lost_change_is_repeated_until_it_is_acknowledged(pair: Pair) -> None:
    """Guards against a change that is lost with the only heartbeat that carried it."""
    pair.reported.owned_servers = (models.OwnedServer('s1', 0, 4), models.OwnedServer('s2', 2, 1))
    lost = _send_heartbeats(pair, 3)
    assert [heartbeat.slots for heartbeat in lost] == [(0, 4, 0, 2, 1, 0)] * 3
    assert [heartbeat.owned_servers for heartbeat in lost] == [None] * 3
    pair.synchronize()
    assert pair.view() == pair.current()
    assert _send_heartbeats(pair, 1)[0].slots is None


def test_server_that_is_no_longer_owned_is_missing_at_once(pair: Pair) -> None:
    """Guards against a new owner that waits for a former owner which has stopped already."""
    pair.reported.owned_servers = pair.reported.owned_servers[1:]
    _send_heartbeats(pair, 1)
    pair.deliver(0)
    assert set(pair.peer().owned_servers) == {'s2'}


def test_new_connection_starts_with_a_complete_heartbeat(pair: Pair) -> None:
    """Guards against a restarted peer that never learns who is connected to it."""
    pair.start('b')
    pair.connect()
    first = CODEC.decode(pair.in_flight[-2].frame)
    assert isinstance(first, models.Heartbeat)
    assert first.sender == pair.states['a'].membership.own
    pair.synchronize()
    assert pair.view() == pair.current()


def test_peer_without_state_gets_a_complete_heartbeat(pair: Pair) -> None:
    """Guards against a receiver that takes an incomplete heartbeat for a complete one.

    A receiver that does not know the sender refuses it, and recovers with the next connection.
    """
    pair.states['b'].membership.peers.pop('a')
    (heartbeat,) = _send_heartbeats(pair, 1)
    outputs = core_reducer.reduce(
        pair.states['b'], events.MessageReceived('a', heartbeat), pair.now_ms
    )
    assert [effect.reason for effect in outputs if isinstance(effect, effects.Count)] == [
        const.REASON_HEARTBEAT_INCOMPLETE
    ]
    assert 'a' not in pair.states['b'].membership.peers
    pair.connect()
    pair.synchronize()
    assert pair.view() == pair.current()


def test_peer_that_echoes_nothing_gets_complete_heartbeats(pair: Pair) -> None:
    """Guards against a peer that lost what it knew of this instance on an open connection."""
    pair.peer().last_heartbeat_sent_ms = None
    pair.synchronize()
    assert pair.peer().last_heartbeat_sent_ms is not None
    assert pair.view() == pair.current()


def test_peer_that_never_acknowledges_costs_no_memory(reported: Reported) -> None:
    """Guards against sections that accumulate for a peer whose heartbeats are lost."""
    reported.owned_servers = (models.OwnedServer('s1', 3, 0),)
    pair = Pair(reported, 1)
    sent = _send_heartbeats(pair, 500)
    assert all(heartbeat.sender and heartbeat.owned_servers for heartbeat in sent)
    assert len(pair.states['a'].membership.peers['b'].sent.sections) == 7


def test_echo_of_an_earlier_value_acknowledges_nothing(pair: Pair) -> None:
    """Guards against a value that counts as acknowledged because it was echoed before it changed.

    The value changes and changes back; an echo of its first use must not acknowledge the last one.
    """
    first, second = (models.OwnedServer('s1', free, 0) for free in (1, 2))
    for server in (first, second, first):
        pair.reported.owned_servers = (server, pair.reported.owned_servers[1])
        _send_heartbeats(pair, 1)
        pair.now_ms += 1
    pair.in_flight.clear()
    pair.synchronize()
    assert pair.peer().owned_servers['s1'] == first


def test_second_heartbeat_of_a_millisecond_is_repeated(pair: Pair) -> None:
    """Guards against a change that counts as acknowledged although the peer dropped it.

    Times in heartbeats are whole milliseconds. A peer drops the second of two heartbeats with the
    same time, but its echo of this time could stand for either of them.
    """
    pair.now_ms = float(int(pair.now_ms) + 200)
    pair.in_flight.clear()
    pair.send_heartbeat('a')
    pair.reported.adopted = ('x/1', 'y/1')
    pair.now_ms += 0.5
    pair.send_heartbeat('a')
    while pair.in_flight:
        pair.deliver(0)
    pair.synchronize()
    assert pair.peer().adopted == ('x/1', 'y/1')


def test_partial_heartbeat_of_a_past_incarnation_is_refused(pair: Pair) -> None:
    """Guards against sections of a replaced incarnation in the report of its successor."""
    pair.reported.adopted = ('old/1',)
    (late,) = _send_heartbeats(pair, 1)
    pair.start('a')
    pair.reported.adopted = ()
    pair.connect()
    pair.synchronize()
    late = dataclasses.replace(late, sent_ms=late.sent_ms + 90_000)
    core_reducer.reduce(pair.states['b'], events.MessageReceived('a', late), pair.now_ms)
    assert pair.peer().adopted == ()


@pytest.mark.parametrize(
    'fields',
    [
        {'slots': (1, 2, 3)},
        {'slots': (1,) * 7},
        {'slots': ()},
        {'slots': (1,) * 6, 'owned_servers': ()},
    ],
)
def test_slot_counts_that_match_no_servers_are_refused(
    pair: Pair, fields: dict[str, typing.Any]
) -> None:
    """Guards against slot counts that are recorded for the wrong server, or raise an exception."""
    view_before = pair.view()
    (heartbeat,) = _send_heartbeats(pair, 1)
    malformed = dataclasses.replace(heartbeat, **fields)
    outputs = core_reducer.reduce(
        pair.states['b'], events.MessageReceived('a', malformed), pair.now_ms
    )
    assert [effect.reason for effect in outputs if isinstance(effect, effects.Count)] == [
        const.REASON_HEARTBEAT_MALFORMED
    ]
    assert pair.view() == view_before
    assert pair.peer().last_heartbeat_ms < pair.now_ms


def test_ages_and_times_are_rounded_to_look_older(pair: Pair) -> None:
    """Guards against access keys that stay usable for longer because of rounding."""
    state = pair.states['a']
    state.configuration.confirmed_ms = pair.now_ms - 10.3
    pair.now_ms = float(int(pair.now_ms)) + 0.75
    state.configuration.confirmed_ms = pair.now_ms - 10.3
    heartbeat = core_heartbeat.compose(state, 'b', pair.now_ms)
    assert heartbeat.sent_ms == int(pair.now_ms)
    assert heartbeat.confirmed_age_ms == 11


def test_removed_peer_is_added_again_from_an_unchanged_list(
    pair: Pair,
) -> None:
    """Guards against a peer that is removed while it is cut off and never found again.

    Peers send their list of known peers only when it changes.
    """
    membership = pair.states['a'].membership
    membership.peers['d'] = models.Peer(_known('d'), last_heartbeat_ms=float('inf'))
    pair.synchronize()
    assert 'd' in pair.states['b'].membership.peers
    pair.states['b'].membership.peers.pop('d')
    pair.now_ms += 100
    core_reducer.reduce(pair.states['b'], events.Tick(), pair.now_ms)
    assert 'd' in pair.states['b'].membership.peers


def test_short_incarnations_differ() -> None:
    """Guards against successive incarnations with the same short form."""
    assert len({sections.short_incarnation(f'run-{number}') for number in range(1000)}) == 1000
