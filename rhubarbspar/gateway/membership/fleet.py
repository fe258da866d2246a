"""Membership of the fleet: registered instances, which of them are live, who watches the store.

Pattern: heartbeats, and reports of relays on the instances that this one is not connected to. An
instance without either is not live, whatever its registration says.
"""

import dataclasses
import enum
import math
import typing

from rhubarbspar.gateway import const
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.limits import fleet_size
from rhubarbspar.helpers import rendezvous

# Instances that watch the store in a fleet of one region.
FOLLOWERS_SINGLE_REGION: typing.Final = 2


class Relation(enum.Enum):
    """What an instance exchanges with a peer.

    Attributes
    ----------
    NONE
        Only the proof that it is live.
    RELAY
        Both are relays; each reports the sums of the instances that report to it.
    CHILD
        The peer reports to this instance and gets the sums of all other instances.
    PARENT
        This instance reports to the peer, its relay.
    """

    NONE = enum.auto()
    RELAY = enum.auto()
    CHILD = enum.auto()
    PARENT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class HolderOrderKey:
    """A backend server and its region, which decide the order of the holders of its rate limit."""

    server_id: str
    region: str


@dataclasses.dataclass(slots=True)
class Peer:
    """A peer: its registration, connection and last heartbeat.

    Attributes
    ----------
    last_heartbeat_ms
        When its last heartbeat arrived.
    reported_live_ms
        When a relay last reported that the peer is live.
    dialled_ms
        When it was last dialled or connected; minus infinity makes it due for a dial.
    dialled_here
        Whether this instance has opened the connection.
    failed_dials
        Dials since the last heartbeat.
    needed_ms
        When this instance last needed the connection.
    presumed_until_ms
        Until then a peer without a heartbeat is presumed to be starting.
    relay_id
        Id of the relay that the peer reports to, its own id if it is a relay; empty if unknown.
    relation
        The relation at the last check.
    store_revision, revision_changed_ms
        Store revision up to which the peer knows all changes, and when it last advanced.
    sent_revision, unconfirmed_ms
        Store revision up to which this instance has sent the changes to the peer, and since when
        the peer has not confirmed it.
    acknowledges, acknowledged_revision
        Whether the peer acknowledges changes, and the revision that the last ones led to.
    store_reachable_since_ms
        Since when it has been reported, without a gap, to reach the store.
    complete_from
        Store revision after which the peer knows all changes.
    operator_revision
        Newest store revision of the operators' records that the peer has.
    links_lost
        Whether it has lost its links to the backend servers.
    forwards_running
        Attempts of this instance that it is passing on.
    forwarded_ms, forward_failed_ms
        When it was last sent an attempt to pass on, and when it last failed to do so.
    live_ms
        When it was last known to be live.
    """

    member: models.Member
    connected: bool = False
    last_heartbeat_ms: float = -math.inf
    reported_live_ms: float = -math.inf
    dialled_ms: float = -math.inf
    dialled_here: bool = False
    failed_dials: int = 0
    needed_ms: float = -math.inf
    presumed_until_ms: float = -math.inf
    relay_id: str = ''
    relation: Relation = Relation.NONE
    store_reachable: bool = False
    store_revision: int = 0
    revision_changed_ms: float = -math.inf
    sent_revision: int = 0
    unconfirmed_ms: float = -math.inf
    acknowledges: bool = False
    acknowledged_revision: int = 0
    leaving: bool = False
    store_reachable_since_ms: float = math.inf
    complete_from: int = 0
    operator_revision: int = messages.UNKNOWN_REVISION
    links_lost: bool = False
    forwards_running: int = 0
    forwarded_ms: float = -math.inf
    forward_failed_ms: float = -math.inf
    live_ms: float = -math.inf

    @property
    def has_changes_on_the_way(self) -> bool:
        """Return whether changes were sent of which the peer has not confirmed the arrival."""
        return self.sent_revision > max(self.store_revision, self.acknowledged_revision)

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: float, *, was_live: bool
    ) -> None:
        """Store a heartbeat.

        Parameters
        ----------
        was_live
            Whether the peer was live until now.
        """
        self.record_store_contact(heartbeat.store_reachable, now_ms, was_live=was_live)
        self.last_heartbeat_ms = now_ms
        self.live_ms = now_ms
        self.failed_dials = 0
        self.relay_id = heartbeat.relay_id or self.member.instance_id
        self._record_revision(heartbeat.store_revision, now_ms)
        self.leaving = heartbeat.leaving
        self.links_lost = heartbeat.links_lost
        self.complete_from = heartbeat.complete_from
        self.operator_revision = heartbeat.operator_revision

    def record_forward(self, now_ms: float) -> None:
        """Count an attempt that the peer is to pass on."""
        self.forwards_running += 1
        self.forwarded_ms = now_ms

    def record_store_contact(self, reachable: bool, now_ms: float, *, was_live: bool) -> None:
        """Note whether the peer reaches the store; after a gap, its contact counts from now."""
        if not reachable:
            self.store_reachable_since_ms = math.inf
        elif not (was_live and self.store_reachable):
            self.store_reachable_since_ms = now_ms
        self.store_reachable = reachable

    def record_sent_changes(self, revision: int, now_ms: float) -> None:
        """Note that the changes up to a revision were sent to the peer."""
        if self.store_revision >= self.sent_revision:
            self.unconfirmed_ms = now_ms
        self.sent_revision = revision

    def record_acknowledgement(
        self, acknowledgement: messages.ChangesReceived, now_ms: float
    ) -> None:
        """Note that changes have arrived."""
        self.acknowledges = True
        self.acknowledged_revision = acknowledgement.sent_revision
        self._record_revision(acknowledgement.known_revision, now_ms)

    def forget_sent_changes(self) -> None:
        """Note that changes on their way were lost with the connection."""
        self.sent_revision = 0
        self.acknowledged_revision = 0

    def next_unsent_revision(self, now_ms: float) -> int:
        """Return the revision after which changes have to be sent to the peer.

        Changes on their way are left out, unless the peer has made no progress for too long.
        """
        if self._awaits_changes(now_ms):
            return max(self.store_revision, self.sent_revision)
        self.sent_revision = self.store_revision
        return self.store_revision

    def is_heard(self, now_ms: float) -> bool:
        """Return whether a heartbeat of the peer itself has arrived within the timeout."""
        return now_ms - self.last_heartbeat_ms <= const.LIVENESS_TIMEOUT_MS

    def is_live(self, now_ms: float) -> bool:
        """Return whether the peer was heard, or reported as live, within the timeouts."""
        if self.is_heard(now_ms):
            return True
        return now_ms - self.reported_live_ms <= const.REPORTED_LIVE_TIMEOUT_MS

    def is_present(self, now_ms: float) -> bool:
        """Return whether the peer may be running, although it may be silent now."""
        seen_ms = max(self.last_heartbeat_ms, self.reported_live_ms, self.presumed_until_ms)
        return now_ms - seen_ms <= const.PRESENT_TIMEOUT_MS

    def is_dial_due(self, now_ms: float, doublings_max: int) -> bool:
        """Return whether the peer may be dialled; the interval doubles with each failure."""
        exponent = min(self.failed_dials, doublings_max)
        interval_ms: float = const.REDIAL_INTERVAL_MS * 2**exponent
        return now_ms - self.dialled_ms >= interval_ms

    def _awaits_changes(self, now_ms: float) -> bool:
        """Return whether changes are on their way to the peer."""
        waited_ms = now_ms - max(self.revision_changed_ms, self.unconfirmed_ms)
        if not self.acknowledges:
            return waited_ms < const.CHANGES_RESENT_MS
        is_acknowledged = self.acknowledged_revision >= self.sent_revision
        return not is_acknowledged and waited_ms < const.CHANGES_LOST_MS

    def _record_revision(self, revision: int, now_ms: float) -> None:
        """Note up to which store revision the peer knows all changes."""
        if revision != self.store_revision:
            self.store_revision = revision
            self.revision_changed_ms = now_ms


@dataclasses.dataclass(slots=True)
class Fleet:
    """This instance and its peers.

    Attributes
    ----------
    relay_id
        The instance that this one reports to; its own id if it is a relay.
    relay_changed_ms
        When ``relay_id`` last changed.
    region_has_follower_ms
        When an instance of the own region was last known to watch the store.
    last_check_ms
        When connections and the duty to watch the store were last checked; minus infinity forces
        a check.
    last_broadcast_ms
        When the last heartbeats were sent.
    sizes
        How many instances there were lately.
    connected_ids
        Ids of the connected peers, including those whose registration is not known yet.
    ranks
        Cached order in which the instances of each failure domain are preferred as relays.
    holder_orders
        Cached order in which the instances are chosen as holders of a server's rate limit.
    """

    own_member: models.Member
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    relay_id: str = ''
    relay_changed_ms: float = -math.inf
    region_has_follower_ms: float = -math.inf
    last_check_ms: float = -math.inf
    last_broadcast_ms: float = -math.inf
    sizes: fleet_size.SizeHistory = dataclasses.field(default_factory=fleet_size.SizeHistory)
    connected_ids: set[str] = dataclasses.field(default_factory=set)
    ranks: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    holder_orders: dict[HolderOrderKey, tuple[str, ...]] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start as a relay; without peers there is nobody to report to."""
        self.relay_id = self.own_member.instance_id

    def register(self, member: models.Member, now_ms: float) -> None:
        """Add a peer or update its registration; a new incarnation replaces the known peer."""
        if member.instance_id == self.own_member.instance_id:
            return
        peer = self.peers.get(member.instance_id)
        if peer is None or peer.member.incarnation != member.incarnation:
            self._clear_orders()
            presumed_until_ms = now_ms + const.PRESUMED_LIVE_MS
            registered = Peer(member, presumed_until_ms=presumed_until_ms)
            if member.instance_id in self.connected_ids:
                registered.connected = True
                registered.dialled_ms = now_ms
            self.peers[member.instance_id] = registered
        else:
            peer.member = member

    def deregister(self, instance_id: str, now_ms: float) -> None:
        """Remove a peer whose registration was deleted, unless it is still live."""
        peer = self.peers.get(instance_id)
        if peer is not None and not peer.is_live(now_ms):
            self._clear_orders()
            self.peers.pop(instance_id)

    @property
    def is_mesh(self) -> bool:
        """Return whether the fleet is so small that every instance is a relay."""
        return len(self.peers) < const.MESH_INSTANCES_MAX

    @property
    def is_relay(self) -> bool:
        """Return whether this instance exchanges sums with other relays."""
        return self.relay_id == self.own_member.instance_id

    def live_peers(self, now_ms: float) -> list[Peer]:
        """Return the live peers."""
        return [peer for peer in self.peers.values() if peer.is_live(now_ms)]

    def size(self, now_ms: float) -> fleet_size.FleetSize:
        """Return the number of instances among which a limit of the fleet is divided.

        Silent instances count: they may still use their shares.
        """
        self.sizes.record(1 + len(self.peers), now_ms)
        return self.sizes.size(now_ms)

    def live_count(self, now_ms: float) -> int:
        """Return the number of live instances, this one included."""
        return 1 + len(self.live_peers(now_ms))

    def related_peers(self, relation: Relation) -> list[str]:
        """Return the ids of the connected peers with a relation."""
        return [
            peer_id
            for peer_id, peer in self.peers.items()
            if peer.connected and peer.relation == relation
        ]

    def is_coordinator(self, now_ms: float) -> bool:
        """Return whether this instance has the lowest id of those that reach the store."""
        followers = self.store_followers(now_ms)
        return all(self.own_member.instance_id < follower.instance_id for follower in followers)

    def should_follow_store(self, revision: int, now_ms: float) -> bool:
        """Return whether this instance has to watch the store itself.

        One instance of each region watches it, two in a fleet of a single region: those with the
        lowest ids among the instances that reach the store. If there is none, the relays of the
        region start to watch it, and the other instances only if it lacks a follower for long.
        A follower that has just started counts once this instance has caught up with its start,
        since it does not know what was deleted before.

        Parameters
        ----------
        revision
            Store revision up to which this instance knows all changes.
        """
        if not self.is_relay and now_ms - self.region_has_follower_ms < const.FOLLOWER_MISSING_MS:
            return False
        regions = {peer.member.region for peer in self.peers.values()} | {self.own_member.region}
        follower_count = 1 if len(regions) > 1 else FOLLOWERS_SINGLE_REGION
        preferred = [
            follower
            for follower in self.store_followers(now_ms)
            if follower.region == self.own_member.region
            and follower.instance_id < self.own_member.instance_id
            and self.peers[follower.instance_id].complete_from <= revision
        ]
        return len(preferred) < follower_count

    def earliest_store_contact_ms(self, now_ms: float) -> float:
        """Return since when some instance has reached the store; now if no peer reports contact."""
        return min([now_ms, *(peer.store_reachable_since_ms for peer in self.live_peers(now_ms))])

    def store_followers(self, now_ms: float) -> list[models.Member]:
        """Return the live peers that reach the store and are not leaving."""
        return [
            peer.member
            for peer in self.live_peers(now_ms)
            if peer.store_reachable and not peer.leaving
        ]

    def has_follower(self, region: str, now_ms: float) -> bool:
        """Return whether a peer in a region is known to reach the store."""
        return any(follower.region == region for follower in self.store_followers(now_ms))

    def apply_membership(
        self, reporter: Peer, heartbeat: messages.Heartbeat, now_ms: float
    ) -> None:
        """Apply what a relay reports of instances that this one is not connected to.

        A relay speaks for its failure domain, and to its children for the whole fleet.
        """
        absent_ids = set(heartbeat.absent_ids)
        leaving_ids = set(heartbeat.leaving_ids)
        follower_ids = set(heartbeat.follower_ids)
        links_lost_ids = set(heartbeat.links_lost_ids)
        for peer_id, peer in self.peers.items():
            if peer.connected or not self._speaks_for(reporter, peer):
                continue
            if peer_id in absent_ids:
                peer.reported_live_ms = -math.inf
                continue
            was_live = peer.is_live(now_ms)
            peer.reported_live_ms = now_ms
            peer.live_ms = now_ms
            peer.leaving = peer_id in leaving_ids
            peer.links_lost = peer_id in links_lost_ids
            peer.record_store_contact(peer_id in follower_ids, now_ms, was_live=was_live)

    def reported_peers(self, relation: Relation) -> list[Peer]:
        """Return the peers whose state this instance reports to a peer with a relation."""
        if self.is_mesh:
            return []
        if relation == Relation.CHILD:
            return list(self.peers.values())
        domain = self.own_member.failure_domain
        if relation == Relation.RELAY:
            return [peer for peer in self.peers.values() if peer.member.failure_domain == domain]
        return []

    def peers_ranked_above(self) -> list[Peer]:
        """Return the peers of the own failure domain that come before this instance, in order."""
        own_id = self.own_member.instance_id
        ranked_ids = self.ranked_by_domain().get(self.own_member.failure_domain, [own_id])
        return [self.peers[peer_id] for peer_id in ranked_ids[: ranked_ids.index(own_id)]]

    def ranked_by_domain(self) -> dict[str, list[str]]:
        """Return the ids of the registered instances of each failure domain, preferred relay first.

        A relay sends all changes to each of its children, so those with wide links come first. The
        result is cached until the registrations change.
        """
        if not self.ranks:
            ids_by_domain: dict[str, list[str]] = {}
            link_classes: dict[str, int] = {}
            for member in (self.own_member, *(peer.member for peer in self.peers.values())):
                ids_by_domain.setdefault(member.failure_domain, []).append(member.instance_id)
                link_classes[member.instance_id] = member.link_class
            for domain, ids in ids_by_domain.items():
                ranked_ids = rendezvous.rank(domain, ids)
                self.ranks[domain] = sorted(ranked_ids, key=link_classes.__getitem__, reverse=True)
        return self.ranks

    def _clear_orders(self) -> None:
        """Drop the orders that depend on the registered instances."""
        self.ranks.clear()
        self.holder_orders.clear()

    def _speaks_for(self, reporter: Peer, peer: Peer) -> bool:
        if peer is reporter or self.is_mesh:
            return False
        if reporter.relation == Relation.PARENT:
            return True
        same_domain = peer.member.failure_domain == reporter.member.failure_domain
        return reporter.relation == Relation.RELAY and same_domain


def heard_share(fleet: Fleet, now_ms: float) -> float:
    """Return the share of live instances among those that may still admit requests.

    Instances that were live lately may be cut off; one that was leaving has stopped.
    """
    silent_count = sum(
        not (peer.leaving or peer.is_live(now_ms))
        and now_ms - peer.live_ms <= const.PRESENT_TIMEOUT_MS
        for peer in fleet.peers.values()
    )
    live_count = fleet.live_count(now_ms)
    return live_count / (live_count + silent_count)
