"""A deployment's instances over connections with the delays of their places, on a fake clock.

Messages are passed as objects; the codec is left out. Faults cut pairs of places (failure domains, or regions
as the places of callers). A cut makes connections silent for good, as a network partition does.
"""

import dataclasses
import functools
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.bench import deployment
from rhubarbspar.components.configuration import document as documents
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.core import state as core_state
from rhubarbspar.standins import network

ADDRESS: typing.Final = '127.0.0.1:1'
FLEET_KEY: typing.Final = b'key of the fleet in benchmarks--'

Listener: typing.TypeAlias = abc.Callable[[str, effects.Effect], None]


@dataclasses.dataclass
class Connections:
    """Connections between instances by pair; silent ones deliver nothing for good."""

    numbers: dict[frozenset[str], int] = dataclasses.field(default_factory=dict)
    silent: set[int] = dataclasses.field(default_factory=set)
    arrivals: dict[tuple[int, str], float] = dataclasses.field(default_factory=dict)

    def number(self, one_id: str, other_id: str) -> int | None:
        """Return the working connection between two instances."""
        number = self.numbers.get(frozenset((one_id, other_id)))
        return None if number in self.silent else number


class Fleet(network.Network):
    """The instances of a deployment; ``cuts`` holds pairs of places that cannot reach each other."""

    def __init__(self, deployed: deployment.Deployment, seed: int) -> None:
        """Start the instances without configuration; they read it from the store."""
        self.connections = Connections()
        self.cuts: set[frozenset[str]] = set()
        self.deployed = deployed
        self.listeners: list[Listener] = []
        self.watches: dict[tuple[str, str], str] = {}
        super().__init__(deployed.configuration, deployed.instances, seed)
        self.on_effect = self._tell_listeners
        self.write(deployed.configuration)

    def start(self, instance_id: str) -> None:
        """Start an instance that knows neither peers nor configuration."""
        own = _known(self, instance_id)
        number = next(self._numbers)
        members = membership_models.MembershipState(own, f'run-{number}')
        members.generator.seed(number)
        state = core_state.State(members)
        state.idempotency.fleet_key = FLEET_KEY
        node = network.Node(instance_id, state, self._random.uniform(0, network.CLOCK_SPREAD_MS))
        state.rollout.unix_offset_ms = (
            deployment.NOW_UNIX_S * package_const.MS_PER_S - node.offset_ms
        )
        self.nodes[instance_id] = node
        first_ms = self._random.uniform(0, package_const.TICK_INTERVAL_MS)
        self.schedule(first_ms, functools.partial(self._tick, node))

    def kill(self, instance_id: str) -> None:
        """Stop an instance; the peers see their connections end."""
        super().kill(instance_id)
        pairs = list(self.connections.numbers)
        for pair in pairs:
            if instance_id in pair:
                self._close(pair)

    def cut(self, ones: abc.Iterable[str], others: abc.Iterable[str]) -> None:
        """Cut places off from other places; connections between them are silent for good."""
        far = tuple(others)
        self.cuts |= {frozenset((one, other)) for one in ones for other in far}
        for pair, number in self.connections.numbers.items():
            if not reachable(self, *(self.domains[name] for name in pair)):
                self.connections.silent.add(number)

    def end_faults_and_cuts(self) -> None:
        """End cuts and faults of the store."""
        self.cuts.clear()
        self.end_faults()

    def stop_store(self) -> None:
        """Begin an outage of the store, which ends all watches."""
        super().stop_store()
        watches = sorted(self.watches)
        for instance_id, tag in watches:
            self._end_watch(instance_id, tag)

    def write(self, configuration: configuration_models.Configuration) -> None:
        """Write a configuration to the store as an operator does."""
        self.store.revision += 1
        document = documents.render(configuration)
        key = package_const.STORE_KEY_CONFIGURATION
        self.store.records[key] = (document, self.store.revision, None)
        watches = sorted(self.watches)
        for instance_id, tag in watches:
            self._notify(instance_id, tag)

    def dispatch_later(self, instance_id: str, event: events.Event, delay_ms: float = 0) -> None:
        """Give an event to an instance that still runs then, after its pause if it is paused."""
        node = self.nodes.get(instance_id)
        if node is not None:
            action = functools.partial(self.dispatch, instance_id, event)
            self.schedule(delay_ms, functools.partial(self._deliver, node, action))

    def carry_out(self, instance_id: str, outputs: abc.Iterable[effects.Effect]) -> None:
        """Carry out effects, in order."""
        for effect in outputs:
            match effect:
                case effects.DialPeer(peer_id, _):
                    delay_ms = 2 * _peer_delay_ms(self, instance_id, peer_id)
                    self.schedule(delay_ms, functools.partial(self._connect, instance_id, peer_id))
                case effects.ClosePeer(peer_id):
                    self._close(frozenset((instance_id, peer_id)))
                case effects.StoreWatch(tag, key):
                    self._watch(instance_id, tag, key, effect.start_revision)
                case effects.StoreUnwatch(tag):
                    self.watches.pop((instance_id, tag), None)
                case _:
                    super().carry_out(instance_id, [effect])

    def _tell_listeners(self, instance_id: str, effect: effects.Effect) -> None:
        for listener in self.listeners:
            listener(instance_id, effect)

    def _connect(self, dialler_id: str, peer_id: str) -> None:
        pair = frozenset((dialler_id, peer_id))
        open_way = reaches(self, self.domains[dialler_id], peer_id)
        if not open_way or not pair <= self.nodes.keys():
            return
        self._close(pair)
        self.connections.numbers[pair] = next(self._numbers)
        for one, other in ((dialler_id, peer_id), (peer_id, dialler_id)):
            incarnation = self.nodes[other].state.membership.incarnation
            self.dispatch_later(one, events.PeerConnected(other, incarnation))

    def _close(self, pair: frozenset[str]) -> None:
        number = self.connections.numbers.pop(pair, None)
        if number is None or number in self.connections.silent:
            return
        for one in pair & self.nodes.keys():
            other = next(iter(pair - {one}))
            self.dispatch_later(
                one, events.PeerDisconnected(other), _peer_delay_ms(self, one, other)
            )

    def _send(self, sender_id: str, peer_id: str, message: messages.Message) -> None:
        """Deliver in the order of the connection; nothing arrives from a closed or silent one."""
        number = self.connections.number(sender_id, peer_id)
        if number is None:
            return
        arrivals = self.connections.arrivals
        at_ms = self.now_ms + _peer_delay_ms(self, sender_id, peer_id)
        at_ms = max(at_ms, arrivals.get((number, peer_id), 0))
        arrivals[number, peer_id] = at_ms
        event = events.MessageReceived(sender_id, message)
        arrive = functools.partial(self._arrive_on, number, sender_id, peer_id, event)
        self.schedule(at_ms - self.now_ms, arrive)

    def _arrive_on(self, number: int, sender_id: str, peer_id: str, event: events.Event) -> None:
        if self.connections.number(sender_id, peer_id) == number:
            node = self.nodes[peer_id]
            self._deliver(node, functools.partial(self.dispatch, peer_id, event))

    def _call_store(self, node: network.Node, effect: network.StoreCall, sent_ms: float) -> None:
        if _reaches_store(self, node.instance_id):
            self.faults.store_cuts.discard(node.instance_id)
        else:
            self.faults.store_cuts.add(node.instance_id)
        super()._call_store(node, effect, sent_ms)

    def _watch(self, instance_id: str, tag: str, key: str, start_revision: int) -> None:
        self.watches[instance_id, tag] = key
        if self.store.records[key][1] >= start_revision:
            self._notify(instance_id, tag)

    def _notify(self, instance_id: str, tag: str) -> None:
        down = self.faults.store_down_since_ms is not None
        if down or not _reaches_store(self, instance_id):
            self._end_watch(instance_id, tag)
            return
        document, revision, _ = self.store.records[self.watches[instance_id, tag]]
        record = events.StoreRecord(package_const.STORE_KEY_CONFIGURATION, document, revision)
        delay_ms = self._random.uniform(*self.faults.store_delay_ms)
        self.dispatch_later(instance_id, events.StoreChanged(tag, (record,), revision), delay_ms)

    def _end_watch(self, instance_id: str, tag: str) -> None:
        self.watches.pop((instance_id, tag), None)
        failed = events.StoreAnswered(tag, events.StoreOutcome.FAILED, 0)
        self.dispatch_later(instance_id, failed, network.CALL_TIMEOUT_MS)

    def _heartbeat(self, node: network.Node) -> None:
        """Leave heartbeats to the membership component."""

    def _list_instances(self) -> None:
        """Deliver the platform's list to the instances that reach the store's failure domain."""
        leaving = membership_models.InstanceStatus.LEAVING
        listed = tuple(
            events.ListedInstance(
                name,
                self.domains[name],
                ADDRESS,
                ADDRESS,
                leaving=node.state.membership.status is leaving,
            )
            for name, node in self.nodes.items()
        )
        for instance_id in tuple(self.nodes):
            if _reaches_store(self, instance_id):
                self.dispatch_later(instance_id, events.InstancesListed(listed))
        self.schedule(network.LIST_INTERVAL_MS, self._list_instances)


def reachable(fleet: Fleet, one: str, other: str) -> bool:
    """Tell whether no cut separates two places."""
    return frozenset((one, other)) not in fleet.cuts


def delay_ms(fleet: Fleet, place: str, instance_id: str) -> float:
    """Return the one-way delay between a place and an instance."""
    return fleet.deployed.delay_ms(place, fleet.domains[instance_id])


def reaches(fleet: Fleet, place: str, instance_id: str) -> bool:
    """Tell whether no cut separates a place and an instance."""
    return reachable(fleet, place, fleet.domains[instance_id])


def _known(fleet: Fleet, instance_id: str) -> membership_models.KnownPeer:
    domain = fleet.domains[instance_id]
    return membership_models.KnownPeer(instance_id, domain, ADDRESS, ADDRESS)


def _peer_delay_ms(fleet: Fleet, one_id: str, other_id: str) -> float:
    return delay_ms(fleet, fleet.domains[one_id], other_id)


def _reaches_store(fleet: Fleet, instance_id: str) -> bool:
    return reaches(fleet, fleet.configuration.store_failure_domain, instance_id)
