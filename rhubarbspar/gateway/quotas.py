"""Rate and burst of client accounts over all instances.

Pattern: token bucket divided by demand. Every instance fills its bucket at the account's rate less what the
others are assumed to admit by their shares of the demand, and takes its share of each error of that
assumption when they report. Beside it, every instance estimates the bucket of the whole fleet; while that one
is far from empty, a request without a token of its own is admitted too. The demand at a silent instance is
assumed to grow as it does here.
"""

import dataclasses
import math
import typing

from rhubarbspar import const as package_const
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# Reports are one heartbeat old; the part of the burst beyond this is kept for what they miss.
BURST_USED: typing.Final = 0.6
# An instance may use this many times an equal part of the burst although its share of the demand is smaller.
EQUAL_PARTS_MIN: typing.Final = 1.5
SHARE_MIN_MAX: typing.Final = 0.25
# Requests are admitted without a token of the instance while the fleet has this part of the burst left.
FLEET_RESERVE: typing.Final = 0.3
# The estimate of the fleet's bucket holds at most this part of the burst.
FLEET_BURST_USED: typing.Final = 0.8
# A peer that was not heard for this long is silent: three heartbeats of a small fleet and a pause.
SILENT_MS: typing.Final = 2500
# Time constant of the demand.
DEMAND_WINDOW_MS: typing.Final = 2000
# A smaller demand, in requests a second, is reported as none.
DEMAND_MIN_PER_S: typing.Final = 0.25
# Reports older than this no longer count: the callers of a lost instance have moved.
REPORT_KEPT_MS: typing.Final = 12_000
RETRY_AFTER_MIN_MS: typing.Final = 100


@dataclasses.dataclass(slots=True)
class _PeerUse:
    """What a peer has admitted for an account, and what was asked of it.

    Attributes
    ----------
    assumed_from_s
        The bucket's ``assumed_s`` at the peer's last report.
    """

    admitted: int
    demand_per_s: float
    assumed_from_s: float


@dataclasses.dataclass(slots=True)
class _Peer:
    """A peer's last report, by account.

    Attributes
    ----------
    greeted
        Whether a whole report of the peer was heard.
    silent
        Whether the peer has not been heard for a while.
    """

    incarnation: str
    heard_ms: float
    greeted: bool = False
    silent: bool = False
    uses: dict[str, _PeerUse] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Demand:
    """Requests a second, exponentially averaged."""

    rate_per_s: float = 0
    counted_ms: float = 0

    def note(self, now_ms: float) -> None:
        """Count a request."""
        self.rate_per_s = self.at(now_ms) + package_const.MS_PER_S / DEMAND_WINDOW_MS
        self.counted_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return the present rate."""
        return self.rate_per_s * math.exp((self.counted_ms - now_ms) / DEMAND_WINDOW_MS)


@dataclasses.dataclass(slots=True)
class Bucket:
    """The tokens of an account; negative while the fleet has admitted too many.

    Attributes
    ----------
    rate_per_s, burst
        The account's limits at its last request; no limits before the first one.
    tokens
        What this instance may admit.
    fleet_tokens
        Estimate of what all instances together may admit.
    filled_ms
        Time up to which the tokens are filled; infinitely long ago before the first request.
    own_per_s
        Demand at this instance when the bucket was last filled.
    others_per_s
        Demand that the peers report.
    silent_per_s
        The last demand reported by peers that are silent now.
    known_per_s
        Demand at this instance when the first of them fell silent.
    assumed_s
        Seconds for which the peers were assumed to admit their whole demand; a second in which a part of
        the demand is admitted counts as that part.
    reported
        The last report to the peers.
    """

    rate_per_s: float = 0
    burst: float = 0
    tokens: float = 0
    fleet_tokens: float = 0
    filled_ms: float = -math.inf
    admitted: int = 0
    demand: _Demand = dataclasses.field(default_factory=_Demand)
    own_per_s: float = 0
    others_per_s: float = 0
    silent_per_s: float = 0
    known_per_s: float = 0
    assumed_s: float = 0
    reported: messages.AccountUse | None = None

    def fill(self, now_ms: float, share_min: float) -> None:
        """Add the tokens of the time that has passed, less what the peers are assumed to use."""
        if self.filled_ms == -math.inf:
            return
        elapsed_s = max(0.0, now_ms - self.filled_ms) / package_const.MS_PER_S
        self.filled_ms = now_ms
        self.own_per_s = self.demand.at(now_ms)
        others_per_s = self._others_per_s()
        demand_per_s = self.own_per_s + others_per_s
        admitted_part = min(1.0, self.rate_per_s / max(1.0, demand_per_s))
        self.assumed_s += admitted_part * elapsed_s
        gained = (self.rate_per_s - others_per_s * admitted_part) * elapsed_s
        share = max(share_min, self.own_per_s / demand_per_s if demand_per_s else 1)
        capacity = max(1.0, self.burst * BURST_USED * share)
        self.tokens = min(self.tokens + gained, capacity)
        self.fleet_tokens = min(self.fleet_tokens + gained, self.burst * FLEET_BURST_USED)

    def start(self, now_ms: float) -> None:
        """Begin to fill the bucket at the first request of the account; it is full at first."""
        if self.filled_ms != -math.inf:
            return
        self.filled_ms = now_ms
        self.tokens = self.burst
        if self._others_per_s() < self.rate_per_s:
            self.fleet_tokens = self.burst * FLEET_BURST_USED

    def take(self) -> bool:
        """Take a token; return whether there was one, here or in the fleet."""
        if self.tokens < 1 and not self._fleet_has_tokens:
            return False
        self.tokens -= 1
        self.fleet_tokens -= 1
        self.admitted += 1
        return True

    def correct(self, excess: float) -> None:
        """Take this instance's share of what a peer admitted beyond the assumption, or left."""
        if self.filled_ms == -math.inf:
            return
        total_per_s = self.own_per_s + self._others_per_s()
        if total_per_s:
            self.tokens -= excess * self.own_per_s / total_per_s
        self.fleet_tokens -= excess

    def silence(self, demand_per_s: float) -> None:
        """Note that a peer with some demand fell silent."""
        if not self.silent_per_s:
            self.known_per_s = self.own_per_s
        self.others_per_s = max(0.0, self.others_per_s - demand_per_s)
        self.silent_per_s += demand_per_s

    def unsilence(self, demand_per_s: float) -> None:
        """Note that a silent peer is heard again, or no longer counts."""
        self.silent_per_s = max(0.0, self.silent_per_s - demand_per_s)

    @property
    def _fleet_has_tokens(self) -> bool:
        # Each side of a cut fleet would use the same tokens.
        if self.silent_per_s:
            return False
        return self.fleet_tokens >= max(1.0, self.burst * FLEET_RESERVE)

    def _others_per_s(self) -> float:
        """Return the demand at the peers; that of the silent ones grows as it does here."""
        if not self.silent_per_s:
            return self.others_per_s
        growth = self.own_per_s / max(DEMAND_MIN_PER_S, self.known_per_s)
        return self.others_per_s + self.silent_per_s * max(1.0, growth)


@dataclasses.dataclass(slots=True)
class Quotas:
    """The buckets of all accounts, and the peers by id."""

    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    _share_min: float = SHARE_MIN_MAX

    def admit(self, account: models.ClientAccount, now_ms: float) -> float | None:
        """Take a token.

        Returns
        -------
        float or None
            ``None`` if the request is admitted, otherwise the time in milliseconds until a token is
            expected.
        """
        if account.rate_per_s <= 0:
            return None
        bucket = self._bucket(account.account_id)
        bucket.rate_per_s = account.rate_per_s
        bucket.burst = account.burst
        bucket.start(now_ms)
        bucket.demand.note(now_ms)
        bucket.fill(now_ms, self._share_min)
        if bucket.take():
            return None
        missing = 1 - bucket.tokens
        return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * package_const.MS_PER_S)

    def report(self, now_ms: float) -> tuple[messages.AccountUse, ...]:
        """Return what this instance has admitted, for its peers."""
        return tuple(
            _use(account_id, bucket, now_ms)
            for account_id, bucket in self.buckets.items()
            if bucket.demand.counted_ms
        )

    def report_changes(self, now_ms: float) -> tuple[messages.AccountUse, ...]:
        """Return the part of the report that differs from the last one."""
        changes = []
        for use in self.report(now_ms):
            bucket = self.buckets[use.account_id]
            if use != bucket.reported:
                bucket.reported = use
                changes.append(use)
        return tuple(changes)

    def hear(self, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float) -> None:
        """Correct the assumptions about a peer; accounts that it leaves out have not changed."""
        peer = self._heard_peer(peer_id, heartbeat.incarnation, now_ms)
        self._share_min = min(SHARE_MIN_MAX, EQUAL_PARTS_MIN / (1 + len(self.peers)))
        named = {use.account_id for use in heartbeat.accounts}
        for account_id, known in peer.uses.items():
            if account_id not in named and known.demand_per_s:
                self._correct(account_id, known, known.admitted, now_ms)
        for use in heartbeat.accounts:
            self._take(peer, use, now_ms)
        peer.greeted = True

    def expire(self, now_ms: float) -> None:
        """Note which peers have fallen silent, and forget those that stay silent for too long."""
        for peer_id, peer in tuple(self.peers.items()):
            silent_ms = now_ms - peer.heard_ms
            if silent_ms > SILENT_MS and not peer.silent:
                peer.silent = True
                for account_id, use in peer.uses.items():
                    self._filled(account_id, now_ms).silence(use.demand_per_s)
            if silent_ms > REPORT_KEPT_MS:
                self._forget(peer_id, now_ms)

    def _heard_peer(self, peer_id: str, incarnation: str, now_ms: float) -> _Peer:
        peer = self.peers.get(peer_id)
        if peer is None or peer.incarnation != incarnation:
            self._forget(peer_id, now_ms)
            peer = _Peer(incarnation, now_ms)
            self.peers[peer_id] = peer
        elif peer.silent:
            peer.silent = False
            for account_id, use in peer.uses.items():
                bucket = self._filled(account_id, now_ms)
                bucket.unsilence(use.demand_per_s)
                bucket.others_per_s += use.demand_per_s
        peer.heard_ms = now_ms
        return peer

    def _take(self, peer: _Peer, use: messages.AccountUse, now_ms: float) -> None:
        known = peer.uses.get(use.account_id)
        if known is None:
            # Admissions before this instance knew the peer are not held against the bucket.
            previous = 0 if peer.greeted else use.admitted
            known = _PeerUse(previous, 0, self._bucket(use.account_id).assumed_s)
            peer.uses[use.account_id] = known
        self._correct(use.account_id, known, use.admitted, now_ms)
        self.buckets[use.account_id].others_per_s += use.demand_per_s - known.demand_per_s
        known.demand_per_s = use.demand_per_s

    def _correct(self, account_id: str, known: _PeerUse, admitted: int, now_ms: float) -> None:
        bucket = self._filled(account_id, now_ms)
        assumed = known.demand_per_s * (bucket.assumed_s - known.assumed_from_s)
        bucket.correct(admitted - known.admitted - assumed)
        known.admitted = admitted
        known.assumed_from_s = bucket.assumed_s

    def _forget(self, peer_id: str, now_ms: float) -> None:
        peer = self.peers.pop(peer_id, None)
        if peer is None:
            return
        for account_id, use in peer.uses.items():
            bucket = self._filled(account_id, now_ms)
            if peer.silent:
                bucket.unsilence(use.demand_per_s)
            else:
                bucket.others_per_s = max(0.0, bucket.others_per_s - use.demand_per_s)

    def _filled(self, account_id: str, now_ms: float) -> Bucket:
        bucket = self._bucket(account_id)
        bucket.fill(now_ms, self._share_min)
        return bucket

    def _bucket(self, account_id: str) -> Bucket:
        bucket = self.buckets.get(account_id)
        if bucket is None:
            bucket = Bucket()
            self.buckets[account_id] = bucket
        return bucket


def _use(account_id: str, bucket: Bucket, now_ms: float) -> messages.AccountUse:
    demand_per_s = bucket.demand.at(now_ms)
    reported_per_s = round(demand_per_s, 1) if demand_per_s >= DEMAND_MIN_PER_S else 0
    return messages.AccountUse(account_id, bucket.admitted, reported_per_s)
