"""A fleet with real heartbeats and a counted store, on a fake clock.

Unlike ``standins.network`` alone, messages are encoded and decoded, peers are dialled, heartbeats are those
of the membership component, and the configuration comes from the store by watch and read. Processor time
covers the reducer and the codec; websockets and the kernel are left out.
"""

import collections
import dataclasses
import functools
import http
import itertools
import time
import typing

from rhubarbspar import const as package_const
from rhubarbspar.bench import scenario
from rhubarbspar.components.configuration import document as documents
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.core import models as core_models
from rhubarbspar.core import reducer
from rhubarbspar.peers import codec
from rhubarbspar.standins import network

ADDRESS: typing.Final = '127.0.0.1:1'
SERVICE_TIME_MS: typing.Final = 15
WARM_UP_MS: typing.Final = 20_000
DIAL_MS: typing.Final = 2
OK: typing.Final = core_models.Answered(core_models.Response(http.HTTPStatus.OK, (), b'ok'))

_CODEC: typing.Final = codec.Codec()


@dataclasses.dataclass
class Counted:
    """What a fleet did since the last reset.

    Attributes
    ----------
    messages, sent_bytes
        Frames and their bytes by message type.
    processor_s
        Time in the reducer and codec of all instances.
    store_calls
        Calls by effect type.
    owner_refusals
        Forwarded requests that their owner refused.
    """

    messages: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    sent_bytes: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    store_calls: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    processor_s: float = 0
    owner_refusals: int = 0


class Fleet(network.Network):
    """Instances spread evenly over the failure domains of a configuration."""

    def __init__(self, size: scenario.Size, instances: int, seed: int) -> None:
        """Start the instances; ``warm_up`` lets them take their claims."""
        self.counted = Counted()
        self.service_time_ms = SERVICE_TIME_MS
        self.adopted_ms: dict[str, float] = {}
        self.hops: dict[str, int] = {}
        self.answers: dict[str, core_models.Outcome] = {}
        self.watches: dict[tuple[str, str], str] = {}
        domains = {
            f'instance-{number}': scenario.domain_name(number % size.domains)
            for number in range(instances)
        }
        super().__init__(scenario.configuration(size), domains, seed)
        self.on_effect = self._carry_out_other
        self.write(self.configuration)

    def start(self, instance_id: str) -> None:
        """Start an instance that knows neither peers nor configuration."""
        super().start(instance_id)
        state = self.nodes[instance_id].state
        state.configuration.current = None
        state.idempotency.fleet_key = package_const.STORE_KEY_CONFIGURATION.encode()
        state.membership.own = self._located(instance_id)

    def warm_up(self) -> None:
        """Run until every claim is held and backend servers are warm; then count from zero."""
        self.run(WARM_UP_MS)
        self.counted = Counted()

    def write(self, configuration: configuration_models.Configuration) -> None:
        """Write a configuration to the store; watches see it after the store's delay."""
        self.store.revision += 1
        revision = self.store.revision
        key = package_const.STORE_KEY_CONFIGURATION
        document = documents.render(configuration)
        self.store.records[key] = (document, revision, None)
        record = events.StoreRecord(key, document, revision)
        for instance_id, tag in self.watches:
            event = events.StoreChanged(tag, (record,), revision)
            self.schedule(
                self._random.uniform(*self.faults.store_delay_ms),
                functools.partial(self.dispatch, instance_id, event),
            )

    def dispatch(self, instance_id: str, event: events.Event) -> None:
        """Give an event to an instance, timed."""
        state = self.nodes[instance_id].state
        before = state.configuration.current
        now_ms = self.clock_of(instance_id)
        started_s = time.process_time()
        outputs = reducer.reduce(state, event, now_ms)
        self.counted.processor_s += time.process_time() - started_s
        if state.configuration.current is not before:
            self.adopted_ms[instance_id] = self.now_ms
            self.hops[instance_id] = self._hops_to(event)
        self.carry_out(instance_id, outputs)

    def request(self, instance_id: str, request_id: str, account: int, target: str = '/') -> None:
        """Send a request of an account to an instance."""
        request = core_models.Request(
            request_id,
            scenario.SERVICE_ID,
            'GET',
            target,
            (),
            b'',
            scenario.digest(account),
            None,
            self.clock_of(instance_id) + scenario.DEADLINE_MS,
        )
        self.dispatch(instance_id, events.RequestReceived(request))

    def report_every(self, interval_ms: int) -> None:
        """Send heartbeats between all pairs of instances more often than the membership does."""
        for instance_id, peer_id in itertools.permutations(sorted(self.nodes), 2):
            self.dispatch(instance_id, membership_models.HeartbeatDue(peer_id))
        self.schedule(interval_ms, functools.partial(self.report_every, interval_ms))

    def _hops_to(self, event: events.Event) -> int:
        """Return the hops of a revision from the store; a watch or a read is the first."""
        match event:
            case events.MessageReceived(peer_id):
                return self.hops[peer_id] + 1
            case _:
                return 1

    def _send(self, sender_id: str, peer_id: str, message: messages.Message) -> None:
        name = type(message).__name__
        started_s = time.process_time()
        frame = _CODEC.encode(message)
        self.counted.processor_s += time.process_time() - started_s
        self.counted.messages[name] += 1
        self.counted.sent_bytes[name] += len(frame)
        if isinstance(message, routing_models.ForwardAnswer) and message.reason:
            self.counted.owner_refusals += 1
        self._transmit(
            sender_id, peer_id, functools.partial(self._receive, sender_id, peer_id, frame)
        )

    def _receive(self, sender_id: str, peer_id: str, frame: bytes) -> None:
        started_s = time.process_time()
        message = _CODEC.decode(frame)
        self.counted.processor_s += time.process_time() - started_s
        self.dispatch(peer_id, events.MessageReceived(sender_id, message))

    def _heartbeat(self, node: network.Node) -> None:
        """Leave heartbeats to the membership component."""

    def _call_store(self, node: network.Node, effect: network.StoreCall, sent_ms: float) -> None:
        self.counted.store_calls[type(effect).__name__] += 1
        super()._call_store(node, effect, sent_ms)

    def _carry_out_other(self, instance_id: str, effect: effects.Effect) -> None:
        match effect:
            case effects.DialPeer(peer_id, _):
                self._connect(instance_id, peer_id)
                self._connect(peer_id, instance_id)
            case effects.StoreWatch(tag):
                self.counted.store_calls[type(effect).__name__] += 1
                self.watches[instance_id, tag] = effect.key
            case effects.StoreUnwatch(tag):
                self.watches.pop((instance_id, tag), None)
            case effects.StartAttempt(attempt_id):
                finished = events.AttemptFinished(attempt_id, OK, self.service_time_ms)
                self.schedule(
                    self.service_time_ms, functools.partial(self.dispatch, instance_id, finished)
                )
            case effects.Respond(request_id, outcome):
                self.answers[request_id] = outcome

    def _connect(self, instance_id: str, peer_id: str) -> None:
        incarnation = self.nodes[peer_id].state.membership.incarnation
        event = events.PeerConnected(peer_id, incarnation)
        self.schedule(DIAL_MS, functools.partial(self.dispatch, instance_id, event))

    def _list_instances(self) -> None:
        listed = tuple(
            events.ListedInstance(name, self.domains[name], ADDRESS, ADDRESS, leaving=False)
            for name in self.nodes
        )
        for instance_id in tuple(self.nodes):
            self.dispatch(instance_id, events.InstancesListed(listed))
        self.schedule(network.LIST_INTERVAL_MS, self._list_instances)

    def _located(self, instance_id: str) -> membership_models.KnownPeer:
        domain = self.domains[instance_id]
        return membership_models.KnownPeer(instance_id, domain, ADDRESS, ADDRESS)
