"""Tests of heartbeats that carry only what the addressee has not acknowledged."""

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
MAIN_FIELDS = ('known', 'status', 'owned_servers', 'statistics', 'adopted', 'known_peers')


def _known(instance_id: str) -> models.KnownPeer:
    return models.KnownPeer(instance_id, f'{instance_id}-domain', '127.0.0.1:1', '127.0.0.1:2')


@dataclasses.dataclass
class Reported:
    """What instance ``a`` reports of itself."""

    owned_servers: tuple[models.OwnedServer, ...] = ()
    statistics: tuple[models.VersionStatistics, ...] = ()
    adopted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Sent:
    """A frame under way and what its sender reported when it sent it."""

    sender_id: str
    frame: bytes
    reported: dict[str, typing.Any]


class Pair:
    """Instances ``a`` and ``b`` and the messages between them; ``a``'s reports are checked at ``b``."""

    def __init__(self, reported: Reported, seed: int) -> None:
        self.reported = reported
        self.random = random.Random(seed)
        self.now_ms = 1000.5
        self.runs = 0
        self.states: dict[str, core_state.State] = {}
        self.under_way: list[Sent] = []
        for name in 'ab':
            self.start(name)
        self.connect()

    def start(self, name: str) -> None:
        """Start an instance with empty memory and a new incarnation."""
        self.runs += 1
        membership = models.MembershipState(_known(name), f'run-{self.runs}')
        self.states[name] = core_state.State(membership)

    def connect(self) -> None:
        """Make a new connection; what is under way on the old one may still arrive."""
        for name, other in ('ab', 'ba'):
            incarnation = self.states[other].membership.incarnation
            self.feed(name, events.PeerConnected(other, incarnation))

    def feed(self, name: str, event: events.Event, arrived: Sent | None = None) -> None:
        """Give an event to an instance; put the heartbeats that it sends under way."""
        state = self.states[name]
        for effect in core_reducer.reduce(state, event, self.now_ms):
            if isinstance(effect, effects.SendMessage):
                frame = CODEC.encode(effect.message)
                self.under_way.append(Sent(name, frame, self.current()))
        if arrived is not None and name == 'b' and self.peer().last_heartbeat_ms == self.now_ms:
            assert self.view() == arrived.reported

    def beat(self, name: str) -> None:
        """Send a heartbeat."""
        (other,) = {'a', 'b'} - {name}
        if other in self.states[name].membership.peers:
            self.feed(name, models.HeartbeatDue(other))

    def deliver(self, number: int, again: bool = False) -> None:
        """Deliver a message that is under way."""
        sent = self.under_way[number] if again else self.under_way.pop(number)
        (receiver,) = {'a', 'b'} - {sent.sender_id}
        event = events.MessageReceived(sent.sender_id, CODEC.decode(sent.frame))
        self.now_ms += self.random.choice((0.25, 3, 40))
        self.feed(receiver, event, sent)

    def current(self) -> dict[str, typing.Any]:
        """Return what ``a`` reports now."""
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
        """Return ``a`` as ``b`` knows it."""
        return self.states['b'].membership.peers['a']

    def view(self) -> dict[str, typing.Any]:
        """Return what ``b`` knows of ``a``."""
        return {name: getattr(self.peer(), name) for name in MAIN_FIELDS}

    def change(self) -> None:
        """Change one part of ``a``'s report."""
        chance = self.random.randint(0, 4)
        own = self.reported.owned_servers
        match chance:
            case 0:
                names = self.random.sample(('s1', 's2', 's3', 's4'), self.random.randint(0, 3))
                self.reported.owned_servers = tuple(
                    models.OwnedServer(name, self.random.randint(0, 2), 0, 1)
                    for name in sorted(names)
                )
            case 1:
                self.reported.owned_servers = tuple(
                    dataclasses.replace(each, free_slots=self.random.randint(0, 2)) for each in own
                )
            case 2:
                line = models.VersionStatistics('s', 'v', '/', self.random.randint(0, 2), 0, 0)
                self.reported.statistics = (line,)
            case 3:
                self.reported.adopted = self.random.choice(((), ('x/1',), ('x/1', 'y/1')))
            case 4:
                statuses = tuple(models.InstanceStatus)
                self.states['a'].membership.status = self.random.choice(statuses)

    def step(self) -> None:
        """Do something that a network or an instance does."""
        self.now_ms += self.random.choice((0, 0.25, 1, 200, 200, 5000))
        count = len(self.under_way)
        number = self.random.randrange(count) if count else -1
        match self.random.choices(
            ('change', 'beat_a', 'beat_b', 'deliver', 'again', 'lose', 'connect', 'start'),
            (6, 8, 6, 8, 1, 2, 0.5, 0.3),
        )[0]:
            case 'change':
                self.change()
            case 'beat_a':
                self.beat('a')
            case 'beat_b':
                self.beat('b')
            case 'deliver' | 'again' as kind if count:
                self.deliver(number if self.random.random() < 0.3 else 0, kind == 'again')
            case 'lose' if count:
                self.under_way.pop(number)
            case 'connect':
                self.connect()
            case 'start':
                self.start(self.random.choice('ab'))
                self.connect()

    def settle(self) -> None:
        """Exchange some heartbeats without faults."""
        for _ in range(4):
            self.now_ms += 200
            self.under_way.clear()
            for name in 'ab':
                self.beat(name)
            while self.under_way:
                self.deliver(0)


@pytest.fixture
def reported(monkeypatch: pytest.MonkeyPatch) -> Reported:
    """Return what ``a`` reports; ``b`` reports nothing of it."""
    found = Reported()
    module = core_heartbeat

    def of(name: str) -> typing.Callable[..., typing.Any]:
        return lambda state, *_: (
            getattr(found, name) if state.membership.own.instance_id == 'a' else ()
        )

    monkeypatch.setattr(module, '_owned_servers', of('owned_servers'))
    monkeypatch.setattr(module.rollout_reducer, 'statistics', of('statistics'))
    monkeypatch.setattr(module.idempotency_reducer, 'adopted', of('adopted'))
    return found


@pytest.fixture
def pair(reported: Reported) -> Pair:
    """Return a connected pair that has acknowledged everything."""
    reported.owned_servers = (models.OwnedServer('s1', 3, 0), models.OwnedServer('s2', 2, 1))
    reported.adopted = ('x/1',)
    found = Pair(reported, 1)
    found.settle()
    return found


def _beats(pair: Pair, count: int) -> list[models.Heartbeat]:
    """Let ``a`` send heartbeats and return the messages under way."""
    pair.under_way.clear()
    for _ in range(count):
        pair.now_ms += 200
        pair.beat('a')
    messages = [CODEC.decode(sent.frame) for sent in pair.under_way]
    return [message for message in messages if isinstance(message, models.Heartbeat)]


@pytest.mark.parametrize('seed', range(60))
def test_accepted_heartbeat_gives_the_report_of_its_sender(reported: Reported, seed: int) -> None:
    """Guards against a mixture of old and new reports after losses, repeats and restarts.

    Who takes a server over relies on it: a missing server means that the former owner has stopped.
    """
    pair = Pair(reported, seed)
    for _ in range(400):
        pair.step()
    pair.settle()
    assert pair.view() == pair.current()
    pair.now_ms += 200
    pair.under_way.clear()
    pair.beat('a')
    assert len(pair.under_way[0].frame) < 40


def test_acknowledged_report_is_not_sent_again(pair: Pair) -> None:
    """Guards against heartbeats that repeat the report in each interval."""
    for heartbeat in _beats(pair, 3):
        assert heartbeat.sender is None
        assert (heartbeat.status, heartbeat.slots, heartbeat.owned_servers) == (None, None, None)
        assert (heartbeat.statistics, heartbeat.adopted, heartbeat.known_peers) == (None,) * 3


def test_lost_change_is_repeated_until_it_is_acknowledged(pair: Pair) -> None:
    """Guards against a change that is lost with the one heartbeat that carried it."""
    pair.reported.owned_servers = (models.OwnedServer('s1', 0, 4), models.OwnedServer('s2', 2, 1))
    lost = _beats(pair, 3)
    assert [heartbeat.slots for heartbeat in lost] == [(0, 4, 0, 2, 1, 0)] * 3
    assert [heartbeat.owned_servers for heartbeat in lost] == [None] * 3
    pair.settle()
    assert pair.view() == pair.current()
    assert _beats(pair, 1)[0].slots is None


def test_server_that_is_no_longer_owned_is_missing_at_once(pair: Pair) -> None:
    """Guards against a taker that waits for a former owner which has stopped."""
    pair.reported.owned_servers = pair.reported.owned_servers[1:]
    _beats(pair, 1)
    pair.deliver(0)
    assert set(pair.peer().owned_servers) == {'s2'}


def test_complete_report_follows_a_new_connection(pair: Pair) -> None:
    """Guards against a peer that restarted and never learns who calls it."""
    pair.start('b')
    pair.connect()
    first = CODEC.decode(pair.under_way[-2].frame)
    assert isinstance(first, models.Heartbeat)
    assert first.sender == pair.states['a'].membership.own
    pair.settle()
    assert pair.view() == pair.current()


def test_peer_that_lost_its_memory_gets_a_complete_report(pair: Pair) -> None:
    """Guards against a peer without knowledge that accepts a part for the whole, or never recovers."""
    pair.states['b'].membership.peers.pop('a')
    (heartbeat,) = _beats(pair, 1)
    outputs = core_reducer.reduce(
        pair.states['b'], events.MessageReceived('a', heartbeat), pair.now_ms
    )
    assert [effect.reason for effect in outputs if isinstance(effect, effects.Count)] == [
        const.REASON_HEARTBEAT_INCOMPLETE
    ]
    assert 'a' not in pair.states['b'].membership.peers
    pair.connect()
    pair.settle()
    assert pair.view() == pair.current()


def test_peer_that_echoes_nothing_gets_complete_reports(pair: Pair) -> None:
    """Guards against a peer that has forgotten this instance although the connection lives."""
    pair.peer().last_heartbeat_sent_ms = None
    pair.settle()
    assert pair.peer().last_heartbeat_sent_ms is not None
    assert pair.view() == pair.current()


def test_peer_that_never_acknowledges_costs_no_memory(reported: Reported) -> None:
    """Guards against reports that pile up for a peer whose answers are lost."""
    reported.owned_servers = (models.OwnedServer('s1', 3, 0),)
    pair = Pair(reported, 1)
    sent = _beats(pair, 500)
    assert all(heartbeat.sender and heartbeat.owned_servers for heartbeat in sent)
    assert len(pair.states['a'].membership.peers['b'].sent.sections) == 7


def test_echo_of_an_earlier_value_acknowledges_nothing(pair: Pair) -> None:
    """Guards against an echo of the value before last that is taken for the present one."""
    first, second = (models.OwnedServer('s1', free, 0) for free in (1, 2))
    for server in (first, second, first):
        pair.reported.owned_servers = (server, pair.reported.owned_servers[1])
        _beats(pair, 1)
        pair.now_ms += 1
    pair.under_way.clear()
    pair.settle()
    assert pair.peer().owned_servers['s1'] == first


def test_second_heartbeat_of_a_millisecond_is_repeated(pair: Pair) -> None:
    """Guards against a change that the peer drops as a repeat and that counts as acknowledged."""
    pair.now_ms = float(int(pair.now_ms) + 200)
    pair.under_way.clear()
    pair.beat('a')
    pair.reported.adopted = ('x/1', 'y/1')
    pair.now_ms += 0.5
    pair.beat('a')
    while pair.under_way:
        pair.deliver(0)
    pair.settle()
    assert pair.peer().adopted == ('x/1', 'y/1')


def test_partial_heartbeat_of_a_past_incarnation_is_refused(pair: Pair) -> None:
    """Guards against a replaced predecessor whose parts are added to its successor's report."""
    pair.reported.adopted = ('old/1',)
    (late,) = _beats(pair, 1)
    pair.start('a')
    pair.reported.adopted = ()
    pair.connect()
    pair.settle()
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
def test_counts_for_other_servers_are_refused(pair: Pair, fields: dict[str, typing.Any]) -> None:
    """Guards against free slots that are filed under the wrong server, and against an exception."""
    before = pair.view()
    (heartbeat,) = _beats(pair, 1)
    hostile = dataclasses.replace(heartbeat, **fields)
    outputs = core_reducer.reduce(
        pair.states['b'], events.MessageReceived('a', hostile), pair.now_ms
    )
    assert [effect.reason for effect in outputs if isinstance(effect, effects.Count)] == [
        const.REASON_HEARTBEAT_MALFORMED
    ]
    assert pair.view() == before
    assert pair.peer().last_heartbeat_ms < pair.now_ms


def test_ages_and_times_are_rounded_to_look_older(pair: Pair) -> None:
    """Guards against keys that stay valid longer because of rounding."""
    state = pair.states['a']
    state.configuration.confirmed_ms = pair.now_ms - 10.3
    pair.now_ms = float(int(pair.now_ms)) + 0.75
    state.configuration.confirmed_ms = pair.now_ms - 10.3
    heartbeat = core_heartbeat.compose(state, 'b', pair.now_ms)
    assert heartbeat.sent_ms == int(pair.now_ms)
    assert heartbeat.confirmed_age_ms == 11


def test_peer_that_was_forgotten_is_learned_again_from_an_unchanged_list(
    pair: Pair,
) -> None:
    """Guards against an instance that is named once, forgotten while cut off, and never found again."""
    membership = pair.states['a'].membership
    membership.peers['d'] = models.Peer(_known('d'), last_heartbeat_ms=float('inf'))
    pair.settle()
    assert 'd' in pair.states['b'].membership.peers
    pair.states['b'].membership.peers.pop('d')
    pair.now_ms += 100
    core_reducer.reduce(pair.states['b'], events.Tick(), pair.now_ms)
    assert 'd' in pair.states['b'].membership.peers


def test_short_incarnations_differ() -> None:
    """Guards against successive incarnations that cannot be told apart."""
    assert len({sections.short_incarnation(f'run-{number}') for number in range(1000)}) == 1000
