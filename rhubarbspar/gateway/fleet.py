"""The other instances: who they are, and who is heard.

Pattern: full mesh heartbeats; an instance that is silent is not live, whatever its registration says.
"""

import dataclasses
import math
import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models


# Followers of the store in a fleet of one region.
FOLLOWERS_SINGLE_REGION: typing.Final = 2


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of a peer.

    Attributes
    ----------
    follows_since_ms
        Since when it has said, without a silence, that it hears the store.
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
        """Take what the peer says of itself."""
        followed = was_live and self.heartbeat is not None and self.heartbeat.store_reachable
        if not heartbeat.store_reachable:
            self.store_reachable_since_ms = math.inf
        elif not followed:
            self.store_reachable_since_ms = now_ms
        self.last_heartbeat_ms = now_ms
        self.heartbeat = heartbeat


@dataclasses.dataclass(slots=True)
class Fleet:
    """This instance and its peers.

    Attributes
    ----------
    checked_ms
        When connections and followers of the store were last looked at.
    sent_ms
        When the last heartbeat was sent to all.
    """

    own_member: models.Member
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    last_check_ms: float = -math.inf
    last_broadcast_ms: float = -math.inf

    def register(self, member: models.Member) -> None:
        """Take the registration of an instance."""
        if member.instance_id == self.own_member.instance_id:
            return
        known = self.peers.get(member.instance_id)
        if known is None or known.member.incarnation != member.incarnation:
            self.peers[member.instance_id] = Peer(member)
        else:
            known.member = member

    def deregister(self, instance_id: str, now_ms: float) -> None:
        """Forget an instance, unless it is still heard."""
        peer = self.peers.get(instance_id)
        if peer is not None and not self.is_live(peer, now_ms):
            self.peers.pop(instance_id)

    @property
    def heartbeat_interval_ms(self) -> float:
        """Return the time between heartbeats."""
        scaled_ms = const.HEARTBEAT_INTERVAL_PER_PEER_MS * len(self.peers)
        return max(const.HEARTBEAT_INTERVAL_MS, scaled_ms)

    def is_live(self, peer: Peer, now_ms: float) -> bool:
        """Return whether a peer was heard recently."""
        return now_ms - peer.last_heartbeat_ms <= self._liveness_timeout_ms

    def live_peers(self, now_ms: float) -> list[Peer]:
        """Return the peers that were heard recently."""
        heard_from_ms = now_ms - self._liveness_timeout_ms
        return [peer for peer in self.peers.values() if peer.last_heartbeat_ms >= heard_from_ms]

    def live_count(self, now_ms: float) -> int:
        """Return the number of live instances, this one included."""
        return 1 + len(self.live_peers(now_ms))

    def connection_effects(self, now_ms: float) -> list[core_effects.Effect]:
        """Return the connections to open or to close; the lower id dials."""
        due: list[core_effects.Effect] = []
        silent_max_ms = 2 * self._liveness_timeout_ms
        for peer_id, peer in self.peers.items():
            silent_ms = now_ms - max(peer.last_heartbeat_ms, peer.dialled_ms)
            if peer.connected and silent_ms > silent_max_ms:
                peer.connected = False
                peer.dialled_ms = -math.inf
                due.append(core_effects.ClosePeer(peer_id))
            if peer.connected or peer_id <= self.own_member.instance_id:
                continue
            if now_ms - peer.dialled_ms >= const.REDIAL_INTERVAL_MS:
                peer.dialled_ms = now_ms
                due.append(core_effects.DialPeer(peer_id, peer.member.peer_address))
        return due

    def is_coordinator(self, now_ms: float) -> bool:
        """Return whether this instance is the first of those that hear the store."""
        rivals = self.store_followers(now_ms)
        return all(self.own_member.instance_id < rival.instance_id for rival in rivals)

    def should_follow_store(self, now_ms: float) -> bool:
        """Return whether this instance has to follow the store itself.

        One instance of each region follows it, two where there is a single region; the lowest ids of those
        that hear the store do.
        """
        regions = {peer.member.region for peer in self.peers.values()} | {self.own_member.region}
        wanted = 1 if len(regions) > 1 else FOLLOWERS_SINGLE_REGION
        ahead = [
            rival
            for rival in self.store_followers(now_ms)
            if rival.region == self.own_member.region
            and rival.instance_id < self.own_member.instance_id
        ]
        return len(ahead) < wanted

    def earliest_store_contact_ms(self, now_ms: float) -> float:
        """Return since when some instance has heard the store, now if no peer has."""
        return min([now_ms, *(peer.store_reachable_since_ms for peer in self.live_peers(now_ms))])

    def store_followers(self, now_ms: float) -> list[models.Member]:
        """Return the peers that hear the store."""
        return [
            peer.member
            for peer in self.live_peers(now_ms)
            if peer.heartbeat is not None
            and peer.heartbeat.store_reachable
            and not peer.heartbeat.leaving
        ]

    def region_peers_without_store(self, now_ms: float) -> list[str]:
        """Return the peers of the own region that leave the store to others."""
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
