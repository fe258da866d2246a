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
    heard_ms: float = -math.inf
    dialled_ms: float = -math.inf
    heartbeat: messages.Heartbeat | None = None
    follows_since_ms: float = math.inf

    def take(self, heartbeat: messages.Heartbeat, now_ms: float, *, was_live: bool) -> None:
        """Take what the peer says of itself."""
        followed = was_live and self.heartbeat is not None and self.heartbeat.store_reachable
        if not heartbeat.store_reachable:
            self.follows_since_ms = math.inf
        elif not followed:
            self.follows_since_ms = now_ms
        self.heard_ms = now_ms
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

    own: models.Member
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    checked_ms: float = -math.inf
    sent_ms: float = -math.inf

    def register(self, member: models.Member) -> None:
        """Take the registration of an instance."""
        if member.instance_id == self.own.instance_id:
            return
        known = self.peers.get(member.instance_id)
        if known is None or known.member.incarnation != member.incarnation:
            self.peers[member.instance_id] = Peer(member)
        else:
            known.member = member

    def withdraw(self, instance_id: str, now_ms: float) -> None:
        """Forget an instance, unless it is still heard."""
        peer = self.peers.get(instance_id)
        if peer is not None and not self.is_live(peer, now_ms):
            self.peers.pop(instance_id)

    @property
    def interval_ms(self) -> float:
        """Return the time between heartbeats."""
        scaled_ms = const.HEARTBEAT_INTERVAL_PER_PEER_MS * len(self.peers)
        return max(const.HEARTBEAT_INTERVAL_MS, scaled_ms)

    def is_live(self, peer: Peer, now_ms: float) -> bool:
        """Return whether a peer was heard recently."""
        return now_ms - peer.heard_ms <= self._silent_max_ms

    def live(self, now_ms: float) -> list[Peer]:
        """Return the peers that were heard recently."""
        heard_from_ms = now_ms - self._silent_max_ms
        return [peer for peer in self.peers.values() if peer.heard_ms >= heard_from_ms]

    def size(self, now_ms: float) -> int:
        """Return the number of live instances, this one included."""
        return 1 + len(self.live(now_ms))

    def dials(self, now_ms: float) -> list[core_effects.Effect]:
        """Return the connections to open or to close; the lower id dials."""
        due: list[core_effects.Effect] = []
        silent_max_ms = 2 * self._silent_max_ms
        for peer_id, peer in self.peers.items():
            silent_ms = now_ms - max(peer.heard_ms, peer.dialled_ms)
            if peer.connected and silent_ms > silent_max_ms:
                peer.connected = False
                peer.dialled_ms = -math.inf
                due.append(core_effects.ClosePeer(peer_id))
            if peer.connected or peer_id <= self.own.instance_id:
                continue
            if now_ms - peer.dialled_ms >= const.REDIAL_INTERVAL_MS:
                peer.dialled_ms = now_ms
                due.append(core_effects.DialPeer(peer_id, peer.member.peer_address))
        return due

    def coordinates(self, now_ms: float) -> bool:
        """Return whether this instance is the first of those that hear the store."""
        rivals = self.followers(now_ms)
        return all(self.own.instance_id < rival.instance_id for rival in rivals)

    def needs_follower(self, now_ms: float) -> bool:
        """Return whether this instance has to follow the store itself.

        One instance of each region follows it, two where there is a single region; the lowest ids of those
        that hear the store do.
        """
        regions = {peer.member.region for peer in self.peers.values()} | {self.own.region}
        wanted = 1 if len(regions) > 1 else FOLLOWERS_SINGLE_REGION
        ahead = [
            rival
            for rival in self.followers(now_ms)
            if rival.region == self.own.region and rival.instance_id < self.own.instance_id
        ]
        return len(ahead) < wanted

    def store_returned_ms(self, now_ms: float) -> float:
        """Return since when some instance has heard the store, now if no peer has."""
        return min([now_ms, *(peer.follows_since_ms for peer in self.live(now_ms))])

    def followers(self, now_ms: float) -> list[models.Member]:
        """Return the peers that hear the store."""
        return [
            peer.member
            for peer in self.live(now_ms)
            if peer.heartbeat is not None
            and peer.heartbeat.store_reachable
            and not peer.heartbeat.leaving
        ]

    def near_without_store(self, now_ms: float) -> list[str]:
        """Return the peers of the own region that leave the store to others."""
        return [
            peer.member.instance_id
            for peer in self.live(now_ms)
            if peer.connected
            and peer.member.region == self.own.region
            and peer.heartbeat is not None
            and not peer.heartbeat.store_reachable
        ]

    @property
    def _silent_max_ms(self) -> float:
        return const.HEARTBEATS_MISSED_MAX * self.interval_ms
