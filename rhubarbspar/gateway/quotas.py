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
# Reports older than this no longer count: the callers of a lost instance have moved.
REPORT_KEPT_MS: typing.Final = 12_000
RETRY_AFTER_MIN_MS: typing.Final = 100
_MS_PER_S: typing.Final = 1000


@dataclasses.dataclass(slots=True)
class _PeerUse:
    """What a peer has admitted for an account, and what was asked of it."""

    incarnation: str
    admitted: int
    demand_per_s: float
    heard_ms: float
    assumed: float = 0


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
    """The tokens of an account; negative while the fleet has admitted too many."""

    tokens: float
    filled_ms: float
    admitted: int = 0
    demand: _Demand = dataclasses.field(default_factory=_Demand)
    peers: dict[str, _PeerUse] = dataclasses.field(default_factory=dict)

    def correct(self, excess: float, now_ms: float) -> None:
        """Take this instance's share of what a peer admitted beyond the assumption, or left."""
        self.tokens -= excess * self.share(now_ms)

    def share(self, now_ms: float) -> float:
        """Return this instance's share of the demand, 1 without any."""
        own = self.demand.at(now_ms)
        others = sum(peer.demand_per_s for peer in self.current_peers(now_ms))
        return own / (own + others) if own + others else 1

    def current_peers(self, now_ms: float) -> list[_PeerUse]:
        """Return the peers whose callers have not moved elsewhere."""
        return [peer for peer in self.peers.values() if now_ms - peer.heard_ms <= REPORT_KEPT_MS]


@dataclasses.dataclass(slots=True)
class Quotas:
    """The buckets of all accounts.

    Attributes
    ----------
    heard
        Incarnation of each peer that was heard.
    """

    heard: dict[str, str] = dataclasses.field(default_factory=dict)
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)

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
        bucket = self._bucket(account, now_ms)
        bucket.demand.note(now_ms)
        _refill(account, bucket, now_ms)
        if bucket.tokens < 1:
            missing = 1 - bucket.tokens
            return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * _MS_PER_S)
        bucket.tokens -= 1
        bucket.admitted += 1
        return None

    def report(self, now_ms: float) -> tuple[messages.AccountUse, ...]:
        """Return what this instance has admitted, for its peers."""
        return tuple(
            messages.AccountUse(account_id, bucket.admitted, round(bucket.demand.at(now_ms), 1))
            for account_id, bucket in self.buckets.items()
            if bucket.demand.counted_ms
        )

    def hear(self, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float) -> None:
        """Subtract what a peer has admitted beyond what was assumed."""
        known_incarnation = self.heard.get(peer_id) == heartbeat.incarnation
        self.heard[peer_id] = heartbeat.incarnation
        for use in heartbeat.accounts:
            bucket = self.buckets.get(use.account_id)
            if bucket is None:
                bucket = Bucket(tokens=0, filled_ms=-math.inf)
                self.buckets[use.account_id] = bucket
            known = bucket.peers.get(peer_id)
            if known is None or known.incarnation != heartbeat.incarnation:
                # Admissions before this instance knew the peer are not held against the bucket.
                previous = 0 if known_incarnation else use.admitted
                known = _PeerUse(heartbeat.incarnation, previous, 0, now_ms)
            bucket.correct(use.admitted - known.admitted - known.assumed, now_ms)
            bucket.peers[peer_id] = _PeerUse(
                heartbeat.incarnation, use.admitted, use.demand_per_s, now_ms
            )

    def _bucket(self, account: models.ClientAccount, now_ms: float) -> Bucket:
        bucket = self.buckets.get(account.account_id)
        if bucket is None:
            bucket = Bucket(tokens=0, filled_ms=-math.inf)
            self.buckets[account.account_id] = bucket
        if bucket.filled_ms == -math.inf:
            bucket.tokens = min(bucket.tokens, 0) + _capacity(account, bucket, now_ms)
            bucket.filled_ms = now_ms
        return bucket


def _refill(account: models.ClientAccount, bucket: Bucket, now_ms: float) -> None:
    elapsed_s = max(0.0, now_ms - bucket.filled_ms) / _MS_PER_S
    bucket.filled_ms = now_ms
    peers = bucket.current_peers(now_ms)
    demand_per_s = bucket.demand.at(now_ms) + sum(peer.demand_per_s for peer in peers)
    admitted_part = min(1.0, account.rate_per_s / max(1.0, demand_per_s))
    bucket.tokens += account.rate_per_s * elapsed_s
    for peer in peers:
        assumed = peer.demand_per_s * admitted_part * elapsed_s
        peer.assumed += assumed
        bucket.tokens -= assumed
    bucket.tokens = min(bucket.tokens, _capacity(account, bucket, now_ms))


def _capacity(account: models.ClientAccount, bucket: Bucket, now_ms: float) -> float:
    """Return the part of the burst that this instance may use at once."""
    share = max(SHARE_MIN, bucket.share(now_ms))
    return max(1.0, account.burst * BURST_USED * share)
