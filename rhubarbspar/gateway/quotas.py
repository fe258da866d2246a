"""Rate and burst of client accounts over all instances.

Pattern: token bucket divided by demand. Every instance fills its bucket at the account's rate less what the
others are assumed to admit by their shares of the demand, and takes its share of each error of that
assumption when they report. Beside it, every instance estimates the bucket of the whole fleet; while that one
is far from empty, a request without a token of its own is admitted too. The demand at a silent instance is
assumed to grow as it does here.
"""

import dataclasses
import typing

from rhubarbspar import const as package_const
from rhubarbspar.gateway import buckets
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# An instance may use this many times an equal part of the burst although its share of the demand is smaller.
EQUAL_PARTS_MIN: typing.Final = 1.5
SHARE_MIN_MAX: typing.Final = 0.25
# A peer that was not heard for this long is silent: three heartbeats of a small fleet and a pause.
SILENT_MS: typing.Final = 2500
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
class Quotas:
    """The buckets of all accounts, and the peers by id.

    Attributes
    ----------
    share_min
        Least share of the burst that an instance may use at once.
    """

    accounts: dict[str, buckets.Bucket] = dataclasses.field(default_factory=dict)
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    share_min: float = SHARE_MIN_MAX

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
        bucket.fill(now_ms, self.share_min)
        if bucket.take():
            return None
        missing = 1 - bucket.tokens
        return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * package_const.MS_PER_S)

    def report(self, now_ms: float) -> tuple[messages.AccountUsage, ...]:
        """Return what this instance has admitted, for its peers."""
        return tuple(
            _use(account_id, bucket, now_ms)
            for account_id, bucket in self.accounts.items()
            if bucket.demand.counted_ms
        )

    def report_changes(self, now_ms: float) -> tuple[messages.AccountUsage, ...]:
        """Return the part of the report that differs from the last one."""
        changes = []
        for use in self.report(now_ms):
            bucket = self.accounts[use.account_id]
            if use != bucket.reported:
                bucket.reported = use
                changes.append(use)
        return tuple(changes)

    def apply_heartbeat(self, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float) -> None:
        """Correct the assumptions about a peer; accounts that it leaves out have not changed."""
        peer = self._heard_peer(peer_id, heartbeat.incarnation, now_ms)
        self.share_min = min(SHARE_MIN_MAX, EQUAL_PARTS_MIN / (1 + len(self.peers)))
        named = {use.account_id for use in heartbeat.accounts}
        for account_id, known in peer.uses.items():
            if account_id not in named and known.demand_per_s:
                self._correct(account_id, known, known.admitted, now_ms)
        for use in heartbeat.accounts:
            self._take(peer, use, now_ms)
        peer.greeted = True

    def expire_peers(self, now_ms: float) -> None:
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

    def _take(self, peer: _Peer, use: messages.AccountUsage, now_ms: float) -> None:
        known = peer.uses.get(use.account_id)
        if known is None:
            # Admissions before this instance knew the peer are not held against the bucket.
            previous = 0 if peer.greeted else use.admitted
            known = _PeerUse(previous, 0, self._bucket(use.account_id).assumed_s)
            peer.uses[use.account_id] = known
        self._correct(use.account_id, known, use.admitted, now_ms)
        self.accounts[use.account_id].others_per_s += use.demand_per_s - known.demand_per_s
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

    def _filled(self, account_id: str, now_ms: float) -> buckets.Bucket:
        bucket = self._bucket(account_id)
        bucket.fill(now_ms, self.share_min)
        return bucket

    def _bucket(self, account_id: str) -> buckets.Bucket:
        bucket = self.accounts.get(account_id)
        if bucket is None:
            bucket = buckets.Bucket()
            self.accounts[account_id] = bucket
        return bucket


def _use(account_id: str, bucket: buckets.Bucket, now_ms: float) -> messages.AccountUsage:
    demand_per_s = bucket.demand.at(now_ms)
    reported_per_s = round(demand_per_s, 1) if demand_per_s >= buckets.DEMAND_MIN_PER_S else 0
    return messages.AccountUsage(account_id, bucket.admitted, reported_per_s)
