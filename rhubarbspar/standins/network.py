"""In-memory fleet for tests and benchmarks: instances, messages and a store on one fake clock.

The fake works at the interfaces of ``core.reducer``. It fills ``state.membership.peers`` and
``state.configuration.attested_ms`` itself, so that it does not depend on heartbeats.
"""

import dataclasses
import functools
import heapq
import itertools
import random
import typing
from collections import abc

import loguru

from rhubarbspar import const
from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.standins import memory_store

ATTEST_AFTER_MS: typing.Final = 1_000
CALL_TIMEOUT_MS: typing.Final = 1_000
CLOCK_SPREAD_MS: typing.Final = 1_000_000
HEARTBEAT_INTERVAL_MS: typing.Final = 200
LIST_INTERVAL_MS: typing.Final = 1_000
LIVE_MS: typing.Final = 1_500
STORE_DOWN_FRESH_MS: typing.Final = 4_000

Action: typing.TypeAlias = abc.Callable[[], None]
StoreCall: typing.TypeAlias = (
    effects.LeaseGrant | effects.LeaseRenew | effects.StoreGet | effects.StoreTransaction
)


@dataclasses.dataclass
class Node:
    """One run of an instance; its clock is the fleet's clock plus ``offset_ms``."""

    instance_id: str
    state: core_state.State
    offset_ms: float
    paused_until_ms: float = float('-inf')
    inbox: list[Action] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Faults:
    """Faults under way; losses are probabilities, cuts drop messages between two instances."""

    cuts: set[frozenset[str]] = dataclasses.field(default_factory=set)
    delay_ms: tuple[float, float] = (1, 40)
    loss: float = 0
    lost_answers: float = 0
    store_cuts: set[str] = dataclasses.field(default_factory=set)
    store_delay_ms: tuple[float, float] = (1, 5)
    store_down_since_ms: float | None = None

    def cut(self, one_id: str, other_id: str) -> None:
        """Drop all messages between two instances."""
        self.cuts.add(frozenset((one_id, other_id)))


class Clock:
    """Runs scheduled actions in the order of a fake clock."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_ms = float(0)
        self._numbers = itertools.count(1)
        self._queue: list[tuple[float, int, Action]] = []

    def schedule(self, delay_ms: float, action: Action) -> None:
        """Run an action later."""
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._numbers), action))

    def run(self, duration_ms: float, check: Action | None = None) -> None:
        """Advance the clock; ``check`` runs after every action."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            entry = heapq.heappop(self._queue)
            self.now_ms = entry[0]
            entry[2]()
            if check:
                check()
        self.now_ms = end_ms


class Network(Clock):
    """A fleet of instances with faults; the same seed gives the same run."""

    def __init__(
        self,
        configuration: configuration_models.Configuration,
        domains: dict[str, str],
        seed: int,
    ) -> None:
        """Start one instance per entry of ``domains`` (instance id to failure domain)."""
        super().__init__()
        loguru.logger.info('network seed={}', seed)
        self.configuration = configuration
        self.domains = domains
        self.faults = Faults()
        self.nodes: dict[str, Node] = {}
        self.on_effect: abc.Callable[[str, effects.Effect], None] = _ignore
        self.store = memory_store.MemoryStore()
        self._listed: tuple[events.ListedInstance, ...] = ()
        self._random = random.Random(seed)
        for instance_id in sorted(domains):
            self.start(instance_id)
        self.schedule(0, self._list_instances)

    def start(self, instance_id: str) -> None:
        """Start an instance with a new incarnation and empty memory."""
        incarnation = f'run-{next(self._numbers)}'
        own = _known(self, instance_id)
        state = core_state.State(membership_models.MembershipState(own, incarnation))
        state.configuration.current = self.configuration
        node = Node(instance_id, state, self._random.uniform(0, CLOCK_SPREAD_MS))
        self.nodes[instance_id] = node
        first_ms = self._random.uniform(0, const.TICK_INTERVAL_MS)
        self.schedule(first_ms, functools.partial(self._tick, node))
        self.schedule(first_ms, functools.partial(self._heartbeat, node))

    def kill(self, instance_id: str) -> None:
        """Stop an instance without notice."""
        self.nodes.pop(instance_id, None)

    def pause(self, instance_id: str, duration_ms: float) -> None:
        """Stop an instance's processing; its clock goes on and its input waits."""
        node = self.nodes[instance_id]
        node.paused_until_ms = max(node.paused_until_ms, self.now_ms + duration_ms)

    def stop_store(self) -> None:
        """Begin an outage of the store; leases run on."""
        if self.faults.store_down_since_ms is None:
            self.faults.store_down_since_ms = self.now_ms

    def end_faults(self) -> None:
        """End all faults but pauses."""
        self.faults = Faults()

    def clock_of(self, instance_id: str) -> float:
        """Return an instance's monotonic time."""
        return self.now_ms + self.nodes[instance_id].offset_ms

    def running(self) -> list[str]:
        """Return the instances that are neither dead nor paused."""
        nodes = self.nodes.items()
        return [name for name, node in nodes if node.paused_until_ms <= self.now_ms]

    def dispatch(self, instance_id: str, event: events.Event) -> None:
        """Give an event to an instance now and carry out the effects."""
        state = self.nodes[instance_id].state
        outputs = reducer.reduce(state, event, self.clock_of(instance_id))
        self.carry_out(instance_id, outputs)

    def carry_out(self, instance_id: str, outputs: abc.Iterable[effects.Effect]) -> None:
        """Carry out effects of an instance."""
        node = self.nodes[instance_id]
        for effect in outputs:
            match effect:
                case effects.SendMessage(peer_id, message):
                    self._send(instance_id, peer_id, message)
                case effects.Broadcast(message):
                    self._broadcast(instance_id, message)
                case (
                    effects.LeaseGrant()
                    | effects.LeaseRenew()
                    | effects.StoreGet()
                    | effects.StoreTransaction()
                ):
                    call = functools.partial(
                        self._call_store, node, effect, self.now_ms + node.offset_ms
                    )
                    self.schedule(self._random.uniform(*self.faults.store_delay_ms), call)
                case _:
                    self.on_effect(instance_id, effect)

    def _deliver(self, node: Node, action: Action) -> None:
        if self.nodes.get(node.instance_id) is not node:
            return
        if node.paused_until_ms <= self.now_ms:
            action()
            return
        if not node.inbox:
            resume = functools.partial(self._resume, node)
            self.schedule(node.paused_until_ms - self.now_ms, resume)
        node.inbox.append(action)

    def _resume(self, node: Node) -> None:
        waiting = node.inbox
        node.inbox = []
        for action in waiting:
            self._deliver(node, action)

    def _tick(self, node: Node) -> None:
        if self.nodes.get(node.instance_id) is not node:
            return
        if node.paused_until_ms <= self.now_ms:
            self.dispatch(node.instance_id, events.Tick())
        self.schedule(const.TICK_INTERVAL_MS, functools.partial(self._tick, node))

    def _transmit(self, sender_id: str, peer_id: str, action: Action) -> None:
        """Run an action at a peer after the network's delay, unless a cut prevents it."""
        node = self.nodes.get(peer_id)
        if node is None or self._random.random() < self.faults.loss:
            return
        arrive = functools.partial(self._arrive, frozenset((sender_id, peer_id)), node, action)
        if frozenset((sender_id, peer_id)) not in self.faults.cuts:
            self.schedule(self._random.uniform(*self.faults.delay_ms), arrive)

    def _arrive(self, pair: frozenset[str], node: Node, action: Action) -> None:
        if pair not in self.faults.cuts:
            self._deliver(node, action)

    def _send(self, sender_id: str, peer_id: str, message: messages.Message) -> None:
        event = events.MessageReceived(sender_id, message)
        self._transmit(sender_id, peer_id, functools.partial(self.dispatch, peer_id, event))

    def _broadcast(self, sender_id: str, message: messages.Message) -> None:
        for peer_id in self.nodes:
            if peer_id != sender_id:
                self._send(sender_id, peer_id, message)

    def _call_store(self, node: Node, effect: StoreCall, sent_ms: float) -> None:
        instance_id = node.instance_id
        faults = self.faults
        cut = instance_id in faults.store_cuts or faults.store_down_since_ms is not None
        result = memory_store.Result(events.StoreOutcome.FAILED)
        if not cut:
            result = self.store.call(effect, instance_id, self.now_ms)
        answered = not cut and self._random.random() >= faults.lost_answers
        delay_ms = self._random.uniform(*faults.store_delay_ms)
        # The client gives up while the answer of a slow store is on its way.
        wait_ms = sent_ms + CALL_TIMEOUT_MS - (self.now_ms + node.offset_ms)
        answered = answered and delay_ms <= wait_ms
        event = events.StoreAnswered(
            tag=effect.tag,
            outcome=result.outcome if answered else events.StoreOutcome.FAILED,
            sent_ms=sent_ms,
            records=result.records if answered else (),
            revision=self.store.revision if answered else 0,
            lease_id=result.lease_id if answered else None,
        )
        dispatch = functools.partial(self.dispatch, instance_id, event)
        answer = functools.partial(self._deliver, node, dispatch)
        self.schedule(delay_ms if answered else max(0, wait_ms), answer)

    def _heartbeat(self, node: Node) -> None:
        if self.nodes.get(node.instance_id) is not node:
            return
        self.schedule(HEARTBEAT_INTERVAL_MS, functools.partial(self._heartbeat, node))
        if node.paused_until_ms > self.now_ms:
            return
        down_since_ms = self.faults.store_down_since_ms
        witness = self.domains[node.instance_id] == self.configuration.store_failure_domain
        if witness and down_since_ms is not None and self.now_ms - down_since_ms > ATTEST_AFTER_MS:
            node.state.configuration.attested_ms = self.now_ms + node.offset_ms
        for peer_id, receiver in self.nodes.items():
            if receiver is not node:
                self._transmit(node.instance_id, peer_id, _report(self, node, receiver))

    def _list_instances(self) -> None:
        """Deliver the list as it was one interval ago."""
        event = events.InstancesListed(self._listed)
        for instance_id, node in tuple(self.nodes.items()):
            self._deliver(node, functools.partial(self.dispatch, instance_id, event))
        self._listed = tuple(
            events.ListedInstance(name, self.domains[name], '', '', leaving=False)
            for name in self.nodes
        )
        self.schedule(LIST_INTERVAL_MS, self._list_instances)


def live_instance_ids(state: core_state.State, now_ms: float) -> list[str]:
    """Stand in for the membership component: instances heard recently that are not leaving."""
    live = membership_models.InstanceStatus.LIVE
    peers = [peer for peer in live_peers(state, now_ms) if peer.status is live]
    own_ids = [state.membership.own.instance_id] if state.membership.status is live else []
    return sorted(own_ids + [peer.known.instance_id for peer in peers])


def live_peers(state: core_state.State, now_ms: float) -> list[membership_models.Peer]:
    """Stand in for the membership component: the peers heard recently."""
    peers = sorted(state.membership.peers.items())
    return [peer for _, peer in peers if now_ms - peer.last_heartbeat_ms <= LIVE_MS]


def store_known_down(state: core_state.State, now_ms: float) -> bool:
    """Stand in for the configuration component: a witness attested recently."""
    return now_ms - state.configuration.attested_ms <= STORE_DOWN_FRESH_MS


def stop(network: Network, instance_id: str) -> None:
    """Begin a planned stop: announce it and release the claims by consent."""
    state = network.nodes[instance_id].state
    state.membership.status = membership_models.InstanceStatus.LEAVING
    outputs = claims_reducer.release_all(state, network.clock_of(instance_id))
    network.carry_out(instance_id, outputs)


def _known(network: Network, instance_id: str) -> membership_models.KnownPeer:
    return membership_models.KnownPeer(instance_id, network.domains[instance_id], '', '')


def _report(network: Network, sender: Node, receiver: Node) -> Action:
    """Return the effect of a heartbeat on its receiver."""
    clock_ms = network.now_ms + sender.offset_ms
    owned = claims_reducer.owned_server_ids(sender.state, clock_ms)
    peer = membership_models.Peer(
        _known(network, sender.instance_id),
        sender.state.membership.incarnation,
        status=sender.state.membership.status,
        connected=True,
        owned_servers={one: membership_models.OwnedServer(one, 0, 0) for one in owned},
        listed=True,
    )
    offset_ms = receiver.offset_ms - sender.offset_ms
    attested_ms = sender.state.configuration.attested_ms + offset_ms
    return functools.partial(_hear, network, receiver, peer, attested_ms)


def _hear(
    network: Network,
    node: Node,
    peer: membership_models.Peer,
    attested_ms: float,
) -> None:
    peer.last_heartbeat_ms = network.now_ms + node.offset_ms
    node.state.membership.peers[peer.known.instance_id] = peer
    configuration = node.state.configuration
    configuration.attested_ms = max(configuration.attested_ms, attested_ms)


def _ignore(instance_id: str, effect: effects.Effect) -> None:
    """Drop an effect that the fake does not carry out."""
