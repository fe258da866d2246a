"""Membership of the fleet: registered instances, their heartbeats, and who watches the store.

Pattern: full mesh heartbeats; an instance without recent heartbeats is not live, whatever its
registration says.
"""

import dataclasses
import math
import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# Instances that watch the store in a fleet of one region.
FOLLOWERS_SINGLE_REGION: typing.Final = 2


@dataclasses.dataclass(slots=True)
class Peer:
    """A peer: its registration, connection and last heartbeat.

    Attributes
    ----------
    dialled_ms
        When it was last dialled or connected; minus infinity makes it due for a dial.
    store_reachable_since_ms
        Since when its heartbeats have reported, without a gap, that it reaches the store.
    """

    member: models.Member
    connected: bool = False
    last_heartbeat_ms: float = -math.inf
    dialled_ms: float = -math.inf
    heartbeat: messages.Heartbeat | None = None
    store_reachable_since_ms: float = math.inf

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: float, *, was_live: bool
    ) -> None:
        """Store a heartbeat.

        Parameters
        ----------
        was_live
            Whether the peer was live until now; after a gap, its contact with the store counts
            from this heartbeat.
        """
        reached_store = was_live and self.heartbeat is not None and self.heartbeat.store_reachable
        if not heartbeat.store_reachable:
            self.store_reachable_since_ms = math.inf
        elif not reached_store:
            self.store_reachable_since_ms = now_ms
        self.last_heartbeat_ms = now_ms
        self.heartbeat = heartbeat


@dataclasses.dataclass(slots=True)
class Fleet:
    """This instance and its peers.

    Attributes
    ----------
    last_check_ms
        When connections and the duty to watch the store were last checked; minus infinity forces
        a check.
    last_broadcast_ms
        When the last heartbeat was broadcast.
    """

    own_member: models.Member
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    last_check_ms: float = -math.inf
    last_broadcast_ms: float = -math.inf

    def register(self, member: models.Member) -> None:
        """Add a peer or update its registration; a new incarnation replaces the known peer."""
        if member.instance_id == self.own_member.instance_id:
            return
        peer = self.peers.get(member.instance_id)
        if peer is None or peer.member.incarnation != member.incarnation:
            self.peers[member.instance_id] = Peer(member)
        else:
            peer.member = member

    def deregister(self, instance_id: str, now_ms: float) -> None:
        """Remove a peer whose registration was deleted, unless it is still live."""
        peer = self.peers.get(instance_id)
        if peer is not None and not self.is_live(peer, now_ms):
            self.peers.pop(instance_id)

    @property
    def heartbeat_interval_ms(self) -> float:
        """Return the time between heartbeats, which grows with the size of the fleet."""
        scaled_ms = const.HEARTBEAT_INTERVAL_PER_PEER_MS * len(self.peers)
        return max(const.HEARTBEAT_INTERVAL_MS, scaled_ms)

    def is_live(self, peer: Peer, now_ms: float) -> bool:
        """Return whether a peer has sent a heartbeat within the liveness timeout."""
        return now_ms - peer.last_heartbeat_ms <= self._liveness_timeout_ms

    def live_peers(self, now_ms: float) -> list[Peer]:
        """Return the peers that have sent a heartbeat within the liveness timeout."""
        oldest_ms = now_ms - self._liveness_timeout_ms
        return [peer for peer in self.peers.values() if peer.last_heartbeat_ms >= oldest_ms]

    def live_count(self, now_ms: float) -> int:
        """Return the number of live instances, this one included."""
        return 1 + len(self.live_peers(now_ms))

    def connection_effects(self, now_ms: float) -> list[core_effects.Effect]:
        """Return the effects that dial missing peers and close silent connections.

        Of two instances, the one with the lower id dials.
        """
        outputs: list[core_effects.Effect] = []
        silence_max_ms = 2 * self._liveness_timeout_ms
        for peer_id, peer in self.peers.items():
            silent_ms = now_ms - max(peer.last_heartbeat_ms, peer.dialled_ms)
            if peer.connected and silent_ms > silence_max_ms:
                peer.connected = False
                peer.dialled_ms = -math.inf
                outputs.append(core_effects.ClosePeer(peer_id))
            if peer.connected or peer_id <= self.own_member.instance_id:
                continue
            if now_ms - peer.dialled_ms >= const.REDIAL_INTERVAL_MS:
                peer.dialled_ms = now_ms
                outputs.append(core_effects.DialPeer(peer_id, peer.member.peer_address))
        return outputs

    def is_coordinator(self, now_ms: float) -> bool:
        """Return whether this instance has the lowest id of those that reach the store."""
        followers = self.store_followers(now_ms)
        return all(self.own_member.instance_id < follower.instance_id for follower in followers)

    def should_follow_store(self, now_ms: float) -> bool:
        """Return whether this instance has to watch the store itself.

        One instance of each region watches it, two in a fleet of a single region: those with the
        lowest ids among the instances that reach the store.
        """
        regions = {peer.member.region for peer in self.peers.values()} | {self.own_member.region}
        follower_count = 1 if len(regions) > 1 else FOLLOWERS_SINGLE_REGION
        preferred = [
            follower
            for follower in self.store_followers(now_ms)
            if follower.region == self.own_member.region
            and follower.instance_id < self.own_member.instance_id
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
            if peer.heartbeat is not None
            and peer.heartbeat.store_reachable
            and not peer.heartbeat.leaving
        ]

    def region_peers_without_store(self, now_ms: float) -> list[str]:
        """Return the ids of connected peers of the own region that get store changes from peers."""
        return [
            peer.member.instance_id
            for peer in self.live_peers(now_ms)
            if peer.connected
            and peer.member.region == self.own_member.region
            and peer.heartbeat is not None
            and not peer.heartbeat.store_reachable
        ]

    @property
    def _liveness_timeout_ms(self) -> float:
        return const.HEARTBEATS_MISSED_MAX * self.heartbeat_interval_ms
