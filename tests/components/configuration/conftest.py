"""A fake store and a fake network between four reducers, on a fake clock.

Instances ``a`` and ``b`` are in the store's failure domain, ``c`` and ``d`` in others.
"""

import dataclasses
import heapq
import itertools
import random
from collections import abc

import pytest

from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.components.configuration import reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import reducer as core_reducer
from rhubarbspar.core import state as core_state

DOMAINS = {'a': 'almaty-1', 'b': 'almaty-1', 'c': 'astana-1', 'd': 'almaty-2'}
STORE_DOMAIN = 'almaty-1'
TICK_MS = 50
FRESH_MS = 4000
MakeState = abc.Callable[[str], core_state.State]


def _known(instance_id: str) -> membership_models.KnownPeer:
    return membership_models.KnownPeer(
        instance_id, DOMAINS[instance_id], f'127.0.0.1:{ord(instance_id)}', ''
    )


def make_state(instance_id: str) -> core_state.State:
    """Return the state of an instance that has all others as seed peers."""
    return core_state.State(
        membership_models.MembershipState(
            _known(instance_id),
            '1',
            seed_peers=tuple(_known(peer_id) for peer_id in DOMAINS if peer_id != instance_id),
        ),
    )


@dataclasses.dataclass
class Store:
    """The fake store: its record, when each revision was replaced, and whether it answers."""

    value: bytes
    revision: int = 1
    down: bool = False
    last_down_ms: float = float('-inf')
    replaced_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    watches: dict[str, set[str]] = dataclasses.field(default_factory=dict)

    def last_held_ms(self, revision: int, now_ms: float) -> float:
        """Return the last time at which the store held a revision."""
        if revision == self.revision:
            return now_ms
        return self.replaced_ms.get(revision, float('-inf'))

    def record(self) -> events.StoreRecord:
        """Return the record as reads and watches deliver it."""
        return events.StoreRecord('config', self.value, self.revision)


class Fleet:
    """The instances, the network between them and the store.

    Attributes
    ----------
    faults
        Faults that apply to each message: ``drop``, ``delay``, ``duplicate``.
    cut
        Failure domains cut off from all others; the store is in ``STORE_DOMAIN``.
    paused_until_ms
        End of each instance's pause, in which it handles no events.
    refused_ms
        How long each instance's access keys have been unusable.
    revisions
        Highest revision seen at each instance.
    """

    def __init__(self, configuration: models.Configuration, seed: int, fail_ms: int) -> None:
        self.now_ms = 0
        self.store = Store(document.render(configuration))
        self.states = {instance_id: make_state(instance_id) for instance_id in DOMAINS}
        self.faults: set[str] = set()
        self.cut: set[str] = set()
        self.paused_until_ms = dict.fromkeys(DOMAINS, 0)
        self.refused_ms = dict.fromkeys(DOMAINS, 0)
        self.revisions = dict.fromkeys(DOMAINS, 0)
        self._fail_ms = fail_ms
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, str, events.Event]] = []

    def run(self, duration_ms: int) -> None:
        """Let time pass in ticks, and check the invariants at every tick."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            if self.store.down:
                self.store.last_down_ms = self.now_ms
            for instance_id in DOMAINS:
                if not self._is_paused(instance_id):
                    self._check(instance_id)
                    self._reduce(instance_id, events.Tick())
            self._deliver()
            for instance_id in DOMAINS:
                if not self._is_paused(instance_id):
                    self._check(instance_id)

    def write(self) -> None:
        """Write the next revision to the store, unless it is down."""
        if self.store.down:
            return
        self.store.replaced_ms[self.store.revision] = self.now_ms
        self.store.revision += 1
        for instance_id, tags in self.store.watches.items():
            for tag in tags:
                event = events.StoreChanged(tag, (self.store.record(),), self.store.revision)
                if not self._store_is_cut(instance_id):
                    self._schedule(instance_id, event, 20)

    def roll_back(self, revision: int) -> None:
        """Reset the store to an earlier revision."""
        self.store.replaced_ms[self.store.revision] = self.now_ms
        self.store.revision = revision

    def usable(self) -> list[bool]:
        """Return for each instance whether its access keys are usable."""
        return [reducer.keys_usable(state, self.now_ms) for state in self.states.values()]

    def _check(self, instance_id: str) -> None:
        state = self.states[instance_id]
        current = state.configuration.current
        revision = current.revision if current else 0
        assert revision >= self.revisions[instance_id], 'the revision went back'
        self.revisions[instance_id] = revision
        if not reducer.keys_usable(state, self.now_ms):
            self.refused_ms[instance_id] += TICK_MS
            return
        held_ms = self.store.last_held_ms(revision, self.now_ms)
        valid_ms = max(held_ms, self.store.last_down_ms)
        assert self.now_ms - valid_ms <= FRESH_MS, f'{instance_id} uses stale access keys'

    def _is_paused(self, instance_id: str) -> bool:
        return self.now_ms < self.paused_until_ms[instance_id]

    def _is_cut(self, instance_id: str, peer_id: str) -> bool:
        return self._are_disconnected(DOMAINS[instance_id], DOMAINS[peer_id])

    def _store_is_cut(self, instance_id: str) -> bool:
        return self._are_disconnected(DOMAINS[instance_id], STORE_DOMAIN)

    def _are_disconnected(self, *domains: str) -> bool:
        return len(set(domains)) == 2 and not self.cut.isdisjoint(domains)

    def _schedule(self, instance_id: str, event: events.Event, delay_ms: float) -> None:
        delivery = (self.now_ms + delay_ms, next(self._numbers), instance_id, event)
        heapq.heappush(self._queue, delivery)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now_ms:
            _, _, instance_id, event = heapq.heappop(self._queue)
            if self._is_paused(instance_id):
                self._schedule(instance_id, event, TICK_MS)
            else:
                self._reduce(instance_id, event)

    def _reduce(self, instance_id: str, event: events.Event) -> None:
        for effect in core_reducer.reduce(self.states[instance_id], event, self.now_ms):
            self._apply(instance_id, effect)

    def _apply(self, instance_id: str, effect: effects.Effect) -> None:
        match effect:
            case effects.SendMessage(peer_id, message):
                self._send(peer_id, events.MessageReceived(instance_id, message), instance_id)
            case effects.DialPeer(peer_id, _):
                if not self._is_cut(instance_id, peer_id):
                    self._schedule(peer_id, events.PeerConnected(instance_id, '1'), 20)
                    self._schedule(instance_id, events.PeerConnected(peer_id, '1'), 20)
            case effects.ClosePeer(peer_id):
                self._schedule(instance_id, events.PeerDisconnected(peer_id), 0)
                if not self._is_cut(instance_id, peer_id):
                    self._schedule(peer_id, events.PeerDisconnected(instance_id), 10)
            case effects.StoreGet(tag):
                self._read(instance_id, tag)
            case effects.StoreWatch(tag):
                self.store.watches.setdefault(instance_id, set()).add(tag)
            case effects.StoreUnwatch(tag):
                self.store.watches.get(instance_id, set()).discard(tag)

    def _send(self, peer_id: str, event: events.MessageReceived, sender_id: str) -> None:
        if self._is_cut(sender_id, peer_id):
            return
        if 'drop' in self.faults and self._random.random() < 0.4:
            return
        max_delay_ms = 1500 if 'delay' in self.faults else 35
        for _ in range(2 if 'duplicate' in self.faults else 1):
            self._schedule(peer_id, event, self._random.uniform(0, max_delay_ms))

    def _read(self, instance_id: str, tag: str) -> None:
        sent_ms = self.now_ms
        if self.store.down or self._store_is_cut(instance_id):
            failed = events.StoreAnswered(tag, events.StoreOutcome.FAILED, sent_ms)
            self._schedule(instance_id, failed, self._fail_ms)
            return
        records = (self.store.record(),)
        succeeded = events.StoreOutcome.SUCCEEDED
        answer = events.StoreAnswered(tag, succeeded, sent_ms, records, self.store.revision)
        max_delay_ms = 900 if 'slow' in self.faults else 40
        self._schedule(instance_id, answer, self._random.uniform(0, max_delay_ms))


@pytest.fixture
def make_fleet(configuration: models.Configuration) -> abc.Callable[..., Fleet]:
    """Return a factory of fleets that have run until all instances use the configuration."""

    def factory(seed: int = 0, fail_ms: int = 0) -> Fleet:
        fleet = Fleet(configuration, seed, fail_ms)
        fleet.run(3000)
        assert all(fleet.usable())
        fleet.refused_ms = dict.fromkeys(DOMAINS, 0)
        return fleet

    return factory


@pytest.fixture
def make_instance() -> MakeState:
    """Return a factory of instance states."""
    return make_state
