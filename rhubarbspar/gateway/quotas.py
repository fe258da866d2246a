"""Rate and burst of client accounts over all instances.

Pattern: replicated token bucket. Every instance keeps a bucket of the whole account and subtracts what the
others report, extrapolated by their recent rate; a silent instance is assumed to go on at its last rate.
"""

import dataclasses
import typing

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# Reports are one heartbeat old; the part of the burst beyond this is kept for what they miss.
BURST_USED: typing.Final = 0.6
# Time constant of the reported rate.
RATE_WINDOW_MS: typing.Final = 1000
# Reports older than this are no longer extrapolated: the callers of a lost instance have moved.
EXTRAPOLATION_MAX_MS: typing.Final = 6000
RETRY_AFTER_MIN_MS: typing.Final = 100
_MS_PER_S: typing.Final = 1000


@dataclasses.dataclass(slots=True)
class _PeerUse:
    """What a peer has admitted for an account."""

    incarnation: str
    admitted: int
    rate_per_s: float
    heard_ms: float
    extrapolated: float = 0


@dataclasses.dataclass(slots=True)
class Bucket:
    """The tokens of an account; negative while the fleet has admitted too many."""

    tokens: float
    filled_ms: float
    admitted: int = 0
    rate_per_s: float = 0
    counted_ms: float = 0
    peers: dict[str, _PeerUse] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Quotas:
    """The buckets of all accounts."""

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
        self._refill(account, bucket, now_ms)
        if bucket.tokens < 1:
            missing = 1 - bucket.tokens
            return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * _MS_PER_S)
        bucket.tokens -= 1
        bucket.admitted += 1
        elapsed_ms = now_ms - bucket.counted_ms
        kept = max(0.0, 1 - elapsed_ms / RATE_WINDOW_MS)
        bucket.rate_per_s = bucket.rate_per_s * kept + _MS_PER_S / RATE_WINDOW_MS
        bucket.counted_ms = now_ms
        return None

    def report(self, now_ms: float) -> tuple[messages.AccountUse, ...]:
        """Return what this instance has admitted, for its peers."""
        return tuple(
            messages.AccountUse(
                account_id, bucket.admitted, round(_current_rate(bucket, now_ms), 1)
            )
            for account_id, bucket in self.buckets.items()
            if bucket.admitted
        )

    def hear(self, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float) -> None:
        """Subtract what a peer has admitted beyond what was assumed."""
        for use in heartbeat.accounts:
            bucket = self.buckets.get(use.account_id)
            if bucket is None:
                bucket = Bucket(tokens=0, filled_ms=float('-inf'))
                self.buckets[use.account_id] = bucket
            known = bucket.peers.get(peer_id)
            if known is None or known.incarnation != heartbeat.incarnation:
                # Admissions before this instance knew the peer are not held against the bucket.
                previous = use.admitted if known is None else 0
                known = _PeerUse(heartbeat.incarnation, previous, 0, now_ms)
            bucket.tokens -= use.admitted - known.admitted - known.extrapolated
            bucket.peers[peer_id] = _PeerUse(
                heartbeat.incarnation, use.admitted, use.rate_per_s, now_ms
            )

    def _bucket(self, account: models.ClientAccount, now_ms: float) -> Bucket:
        bucket = self.buckets.get(account.account_id)
        if bucket is None:
            bucket = Bucket(tokens=0, filled_ms=float('-inf'), counted_ms=now_ms)
            self.buckets[account.account_id] = bucket
        if bucket.filled_ms == float('-inf'):
            bucket.tokens = min(bucket.tokens, 0) + account.burst * BURST_USED
            bucket.filled_ms = now_ms
        return bucket

    def _refill(self, account: models.ClientAccount, bucket: Bucket, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - bucket.filled_ms)
        bucket.filled_ms = now_ms
        bucket.tokens += account.rate_per_s * elapsed_ms / _MS_PER_S
        for peer in bucket.peers.values():
            if now_ms - peer.heard_ms > EXTRAPOLATION_MAX_MS:
                continue
            assumed = peer.rate_per_s * elapsed_ms / _MS_PER_S
            peer.extrapolated += assumed
            bucket.tokens -= assumed
        bucket.tokens = min(bucket.tokens, max(1.0, account.burst * BURST_USED))


def _current_rate(bucket: Bucket, now_ms: float) -> float:
    return bucket.rate_per_s * max(0.0, 1 - (now_ms - bucket.counted_ms) / RATE_WINDOW_MS)
