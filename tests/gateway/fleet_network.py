"""Fleet of gateway reducers on a simulated network with delays, losses and partitions."""

import collections
import heapq
import itertools
import random

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.membership import fleet as gateway_fleet
from rhubarbspar.gateway.store import revisions
from tests.gateway import conftest
from tests.gateway import links

TICK_MS = 50
DELAY_MIN_MS, DELAY_MAX_MS = 1, 40


class Instance(conftest.Gateway):
    """One instance of the fleet."""

    def __init__(self, member, now_ms, regions):
        """Create an instance without any records."""
        super().__init__()
        self.member = member
        self.now_ms = now_ms
        self.state.fleet = gateway_fleet.Fleet(member)
        self.state.network.regions = regions
        self.state.network.failure_domain = member.failure_domain
        self.state.network.region = member.region
        self.following = True
        self.stopped = False
        self.message_count = 0


class FleetNetwork:
    """Instances in failure domains, the connections between them, and a store.

    Parameters
    ----------
    domains
        Region of each failure domain.
    size
        Instances of each failure domain.
    seed
        Seed of the delays.
    link_rate
        Rate of the link of an instance by its id, bytes per millisecond; without it, messages have
        no size.

    Attributes
    ----------
    uplinks
        Links of the instances on which their messages wait, if they have rates.
    sent_changes
        How often each message with changes was sent to an instance.
    prefix_reads
        How often the store was asked for the records below each prefix.
    applied_ms
        When each instance put each version of the configuration in force.
    """

    def __init__(self, domains, size, seed=1, link_rate=None):
        """Create and register all instances; they have 3 s to connect."""
        self.link_rate = link_rate
        self.uplinks = {}
        self.sent_changes = collections.Counter()
        self.applied_ms = collections.defaultdict(dict)
        self.prefix_reads = collections.Counter()
        self.now_ms = 1_000_000.0
        self.random = random.Random(seed)
        self.instances = {}
        self.connections = set()
        self.cut_pairs = set()
        self.turned_away = set()
        self.without_changes = set()
        # Instances whose watches hear nothing for now.
        self.without_watch = set()
        # Time by which a watch delivers a change later than a message takes.
        self.watch_delay_ms = 0
        self.store_revision = 0
        self.records = {}
        self._domains = domains
        self._queue = []
        self._last_due_ms = {}
        self._decoded = {}
        self._numbers = itertools.count()
        for domain, number in itertools.product(domains, range(size)):
            self.start(f'{domain}-{number}', domain)
        self.run(3000)

    def start(self, instance_id, domain):
        """Start an instance, or a new incarnation of it, and register it."""
        incarnation = str(next(self._numbers))
        region = self._domains[domain]
        rate = self.link_rate(instance_id) if self.link_rate else 0
        member = models.Member(
            instance_id,
            incarnation,
            domain,
            region,
            f'{instance_id}:80',
            '',
            link_mbit_per_s=links.mbit_per_s(rate),
        )
        self.instances[instance_id] = Instance(member, self.now_ms, self._domains)
        self.instances[instance_id].records = self._decoded
        if self.link_rate:
            self.uplinks[instance_id] = links.Uplink(self.link_rate(instance_id))
        if self.store_revision and instance_id not in self.turned_away:
            self._reduce(instance_id, self._snapshot())
        self.write(f'members/{instance_id}', member)

    def kill(self, instance_id):
        """End the process of an instance; its connections are reset."""
        self.instances.pop(instance_id)
        self.uplinks.pop(instance_id, None)
        for pair in sorted(self.connections, key=sorted):
            if instance_id not in pair:
                continue
            self._disconnect(pair)

    def cut(self, side):
        """Cut the network between some instances and all others; messages are lost."""
        others = self.instances.keys() - set(side)
        self.cut_pairs = {frozenset(pair) for pair in itertools.product(side, others)}

    def write(self, key, record):
        """Write a record to the store; the instances that watch it get the change."""
        self.store_revision += 1
        content = None
        if record is not None:
            content = self._encode(key, record)
            self._decoded[content] = record
        self.records[key] = (self.store_revision, content)
        change = events.StoreChanged(
            (events.RecordRead(key, self.store_revision, content),), self.store_revision
        )
        for instance_id in self.instances:
            if self._is_watching(instance_id):
                self._later(instance_id, change, added_ms=self.watch_delay_ms)

    def stop_watches(self):
        """Let the watches of the store hear nothing from now on."""
        self.without_watch.update(filter(self._is_watching, self.instances))

    def read_anew(self):
        """Forget the history of the store: whoever has watched without hearing reads all records."""
        for instance_id in sorted(self.without_watch & self.instances.keys()):
            self._later(instance_id, self._snapshot())
        self.without_watch.clear()

    def restore(self, lost_keys):
        """Restore the store from a copy without some keys; its revisions begin again below."""
        era = revisions.era_of(self.store_revision) + 1
        self.store_revision = revisions.combine(era, 1)
        self.records = {
            key: (self.store_revision, content)
            for key, (_, content) in self.records.items()
            if key not in lost_keys
        }
        for instance_id, instance in self.instances.items():
            if instance.following and instance_id not in self.turned_away:
                self._later(instance_id, self._snapshot())

    def turn_away(self, instance_ids):
        """Let the store refuse the calls of some instances, and serve all others."""
        served_again = self.turned_away - set(instance_ids)
        self.turned_away = set(instance_ids)
        for instance_id in sorted(served_again & self.instances.keys()):
            if self.instances[instance_id].following:
                self._catch_up(instance_id)

    def run(self, duration_ms):
        """Let time pass; return the effects of all instances by instance id."""
        outputs = {}
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self._advance_links()
            while self._queue and self._queue[0][0] <= self.now_ms:
                _, _, instance_id, event, pair = heapq.heappop(self._queue)
                if self._is_deliverable(instance_id, event, pair):
                    outputs.setdefault(instance_id, []).extend(self._reduce(instance_id, event))
            for instance_id in tuple(self.instances):
                if instance_id in self.turned_away and self.instances[instance_id].following:
                    self._reduce(instance_id, events.StoreLost('refused'))
                if not self.instances[instance_id].stopped:
                    ticked = self._reduce(instance_id, events.ClockTicked())
                    outputs.setdefault(instance_id, []).extend(ticked)
        return outputs

    def request(self, instance_id, **fields):
        """Send a request to an instance; return whether it was admitted."""
        return not any(
            isinstance(output, effects.Refuse) and output.status == 429
            for output in self.send(instance_id, **fields)
        )

    def send(self, instance_id, **fields):
        """Send a request to an instance; return the effects."""
        instance = self.instances[instance_id]
        instance.now_ms = self.now_ms
        outputs = instance.request(**fields)
        self._apply(instance_id, outputs)
        return outputs

    def reduce(self, instance_id, event):
        """Deliver an event to an instance at once; return the effects."""
        return self._reduce(instance_id, event)

    def _is_deliverable(self, instance_id, event, pair):
        """Return whether an event still reaches its instance; no watch goes on unasked for."""
        instance = self.instances.get(instance_id)
        if instance is None or not self._is_up(pair):
            return False
        return instance.following or not isinstance(event, events.StoreChanged)

    def _is_watching(self, instance_id):
        is_served = instance_id not in self.turned_away | self.without_watch
        return is_served and self.instances[instance_id].following

    def _is_up(self, pair):
        return pair is None or (pair in self.connections and pair not in self.cut_pairs)

    def _reduce(self, instance_id, event):
        instance = self.instances[instance_id]
        instance.now_ms = self.now_ms
        outputs = instance.reduce(event)
        self._note_applied(instance_id, outputs)
        self._apply(instance_id, outputs)
        return outputs

    def _note_applied(self, instance_id, outputs):
        for output in outputs:
            if isinstance(output, core_effects.Log) and output.name == 'configuration_taken':
                version = dict(output.fields)['version']
                self.applied_ms[version].setdefault(instance_id, self.now_ms)

    def _apply(self, instance_id, outputs):
        for output in outputs:
            match output:
                case core_effects.SendMessage(peer_id, message):
                    self._send_to_all(instance_id, (peer_id,), message)
                case core_effects.Multicast(peer_ids, message):
                    self._send_to_all(instance_id, peer_ids, message)
                case core_effects.DialPeer(peer_id, _):
                    self._connect(instance_id, peer_id)
                case core_effects.ClosePeer(peer_id):
                    self._disconnect(frozenset((instance_id, peer_id)))
                case effects.ReadPrefix(prefix) if instance_id not in self.turned_away:
                    self._later(instance_id, self._prefix_read(prefix))
                case effects.FollowStore(enabled):
                    self.instances[instance_id].following = enabled
                    if enabled:
                        self._catch_up(instance_id)

    def _catch_up(self, instance_id):
        if instance_id in self.turned_away:
            return
        known = self.instances[instance_id].state.replica.revision
        if not known:
            self._later(instance_id, self._snapshot())
            return
        missed = tuple(
            events.RecordRead(key, revision, content)
            for key, (revision, content) in self.records.items()
            if revision > known
        )
        self._later(instance_id, events.StoreChanged(missed, self.store_revision))

    def _send_to_all(self, sender_id, receiver_ids, message):
        frame = links.CODEC.encode(message) if self.link_rate else b''
        for receiver_id in receiver_ids:
            self._send(sender_id, receiver_id, message, frame)

    def _send(self, sender_id, receiver_id, message, frame):
        pair = frozenset((sender_id, receiver_id))
        self.instances[sender_id].message_count += 1
        is_change = isinstance(message, messages.StoreNews | messages.StoreSnapshotPart)
        if is_change:
            self.sent_changes[sender_id, receiver_id, message] += 1
        if is_change and receiver_id in self.without_changes:
            return
        if not self._is_up(pair):
            return
        if self.link_rate:
            self.uplinks[sender_id].push(receiver_id, message, frame)
        else:
            self._later(receiver_id, core_events.MessageReceived(sender_id, message), pair)

    def _advance_links(self):
        """Let the links send for one step; what leaves them arrives after the usual delay."""
        for sender_id, uplink in self.uplinks.items():
            for receiver_id, message in uplink.advance(TICK_MS):
                pair = frozenset((sender_id, receiver_id))
                received = core_events.MessageReceived(sender_id, message)
                self._later(receiver_id, received, pair)

    def _encode(self, key, record):
        """Return a content that stands for a record."""
        if self.link_rate:
            return links.encode_content(key, self.store_revision, record)
        return f'{key}@{self.store_revision}'.encode()

    def _connect(self, dialler_id, peer_id):
        pair = frozenset((dialler_id, peer_id))
        if peer_id not in self.instances or pair in self.cut_pairs or pair in self.connections:
            return
        self.connections.add(pair)
        for own_id, other_id in ((dialler_id, peer_id), (peer_id, dialler_id)):
            incarnation = self.instances[other_id].member.incarnation
            self._later(own_id, core_events.PeerConnected(other_id, incarnation), pair)

    def _disconnect(self, pair):
        self.connections.discard(pair)
        for instance_id in sorted(pair & self.instances.keys()):
            (other_id,) = pair - {instance_id}
            if self.link_rate:
                self.uplinks[instance_id].clear(other_id)
            self._later(instance_id, core_events.PeerDisconnected(other_id))

    def _prefix_read(self, prefix):
        """Return the records of the store below a prefix."""
        self.prefix_reads[prefix] += 1
        existing = tuple(
            record for record in self._snapshot().records if record.key.startswith(prefix)
        )
        return events.PrefixRead(prefix, existing, self.store_revision)

    def _snapshot(self):
        """Return all records of the store; it does not list deleted keys."""
        existing = tuple(
            events.RecordRead(key, revision, content)
            for key, (revision, content) in self.records.items()
            if content is not None
        )
        return events.StoreSnapshot(existing, self.store_revision)

    def _later(self, instance_id, event, pair=None, added_ms=0):
        """Deliver an event after a random delay, in order within a connection."""
        delay_ms = added_ms + self.random.uniform(DELAY_MIN_MS, DELAY_MAX_MS)
        stream = (instance_id, pair)
        due_ms = max(self.now_ms + delay_ms, self._last_due_ms.get(stream, 0))
        self._last_due_ms[stream] = due_ms
        heapq.heappush(self._queue, (due_ms, next(self._numbers), instance_id, event, pair))
