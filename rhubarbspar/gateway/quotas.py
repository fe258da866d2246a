"""Rate and burst of client accounts over all instances.

Pattern: token bucket divided by demand. Every instance fills its bucket at the account's rate less what the
others are assumed to admit by their shares of the demand, and takes its share of each error of that
assumption when they report. A silent instance is assumed to go on with its last share.
"""

import dataclasses
import math
import typing

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# Reports are one heartbeat old; the part of the burst beyond this is kept for what they miss.
BURST_USED: typing.Final = 0.6
# An instance may use this part of the burst although its share of the demand is smaller.
SHARE_MIN: typing.Final = 0.25
# Time constant of the demand.
DEMAND_WINDOW_MS: typing.Final = 2000
# A smaller demand, in requests a second, is reported as none.
DEMAND_MIN_PER_S: typing.Final = 0.25
# Reports older than this no longer count: the callers of a lost instance have moved.
REPORT_KEPT_MS: typing.Final = 12_000
RETRY_AFTER_MIN_MS: typing.Final = 100
_MS_PER_S: typing.Final = 1000


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
    """A peer's last report, by account."""

    incarnation: str
    heard_ms: float
    uses: dict[str, _PeerUse] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Demand:
    """Requests a second, exponentially averaged."""

    rate_per_s: float = 0
    counted_ms: float = 0

    def note(self, now_ms: float) -> None:
        """Count a request."""
        self.rate_per_s = self.at(now_ms) + _MS_PER_S / DEMAND_WINDOW_MS
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
    filled_ms
        Time up to which the tokens are filled; infinitely long ago before the first request.
    others_per_s
        Demand that the peers report.
    assumed_s
        Seconds for which the peers were assumed to admit their whole demand; a second in which a part of
        the demand is admitted counts as that part.
    reported
        The last report to the peers.
    """

    rate_per_s: float = 0
    burst: float = 0
    tokens: float = 0
    filled_ms: float = -math.inf
    admitted: int = 0
    demand: _Demand = dataclasses.field(default_factory=_Demand)
    others_per_s: float = 0
    assumed_s: float = 0
    reported: messages.AccountUse | None = None

    def fill(self, now_ms: float) -> None:
        """Add the tokens of the time that has passed, less what the peers are assumed to use."""
        if self.filled_ms == -math.inf:
            return
        elapsed_s = max(0.0, now_ms - self.filled_ms) / _MS_PER_S
        self.filled_ms = now_ms
        demand_per_s = self.demand.at(now_ms) + self.others_per_s
        admitted_part = min(1.0, self.rate_per_s / max(1.0, demand_per_s))
        self.assumed_s += admitted_part * elapsed_s
        self.tokens += (self.rate_per_s - self.others_per_s * admitted_part) * elapsed_s
        self.tokens = min(self.tokens, self.capacity(now_ms))

    def start(self, now_ms: float) -> None:
        """Fill the bucket at the first request of the account."""
        if self.filled_ms == -math.inf:
            self.tokens = min(self.tokens, 0) + self.capacity(now_ms)
            self.filled_ms = now_ms

    def correct(self, excess: float, now_ms: float) -> None:
        """Take this instance's share of what a peer admitted beyond the assumption, or left."""
        self.tokens -= excess * self._share(now_ms)

    def capacity(self, now_ms: float) -> float:
        """Return the part of the burst that this instance may use at once."""
        share = max(SHARE_MIN, self._share(now_ms))
        return max(1.0, self.burst * BURST_USED * share)

    def _share(self, now_ms: float) -> float:
        """Return this instance's share of the demand, 1 without any."""
        own = self.demand.at(now_ms)
        return own / (own + self.others_per_s) if own + self.others_per_s else 1


@dataclasses.dataclass(slots=True)
class Quotas:
    """The buckets of all accounts, and the peers by id."""

    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)

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
        bucket.fill(now_ms)
        if bucket.tokens < 1:
            missing = 1 - bucket.tokens
            return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * _MS_PER_S)
        bucket.tokens -= 1
        bucket.admitted += 1
        return None

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
        peer = self.peers.get(peer_id)
        known_incarnation = peer is not None and peer.incarnation == heartbeat.incarnation
        if peer is None or not known_incarnation:
            self._forget(peer_id, now_ms)
            peer = _Peer(heartbeat.incarnation, now_ms)
            self.peers[peer_id] = peer
        peer.heard_ms = now_ms
        named = {use.account_id for use in heartbeat.accounts}
        for account_id, known in peer.uses.items():
            if account_id not in named and known.demand_per_s:
                self._correct(account_id, known, known.admitted, now_ms)
        for use in heartbeat.accounts:
            known_use = peer.uses.get(use.account_id)
            if known_use is None:
                # Admissions before this instance knew the peer are not held against the bucket.
                previous = 0 if known_incarnation else use.admitted
                known_use = _PeerUse(previous, 0, self._bucket(use.account_id).assumed_s)
                peer.uses[use.account_id] = known_use
            self._correct(use.account_id, known_use, use.admitted, now_ms)
            bucket = self.buckets[use.account_id]
            bucket.others_per_s += use.demand_per_s - known_use.demand_per_s
            known_use.demand_per_s = use.demand_per_s

    def expire(self, now_ms: float) -> None:
        """Forget the peers that have been silent for too long."""
        for peer_id, peer in tuple(self.peers.items()):
            if now_ms - peer.heard_ms > REPORT_KEPT_MS:
                self._forget(peer_id, now_ms)

    def _correct(self, account_id: str, known: _PeerUse, admitted: int, now_ms: float) -> None:
        bucket = self._bucket(account_id)
        bucket.fill(now_ms)
        assumed = known.demand_per_s * (bucket.assumed_s - known.assumed_from_s)
        bucket.correct(admitted - known.admitted - assumed, now_ms)
        known.admitted = admitted
        known.assumed_from_s = bucket.assumed_s

    def _forget(self, peer_id: str, now_ms: float) -> None:
        peer = self.peers.pop(peer_id, None)
        if peer is None:
            return
        for account_id, use in peer.uses.items():
            bucket = self._bucket(account_id)
            bucket.fill(now_ms)
            bucket.others_per_s = max(0.0, bucket.others_per_s - use.demand_per_s)

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
