"""Rate limits of client accounts over all instances.

Pattern: token bucket divided by demand.

- Every instance refills its bucket at the rate of the account, less the requests that its peers are
  assumed to admit by their shares of the demand. Heartbeats report what the peers have really
  admitted, and every instance deducts its share of the difference.
- Every instance also estimates the bucket of the whole fleet. While that one holds enough
  tokens, a request is admitted without a local token.
- The demand at a silent peer is assumed to grow in proportion to the local demand.
"""

import dataclasses
import typing

from rhubarbspar import const as package_const
from rhubarbspar.gateway import buckets
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# Every instance may use this many times an equal part of the burst, up to ``GUARANTEED_SHARE_MAX``
# of the burst, even if its share of the demand is smaller.
GUARANTEED_EQUAL_PARTS: typing.Final = 1.5
GUARANTEED_SHARE_MAX: typing.Final = 0.25
# A peer without a heartbeat for this long is silent: three heartbeat intervals of a small fleet,
# and a margin for a pause of the process.
SILENT_MS: typing.Final = 2500
# The reports of a silent peer count for this long; by then its callers use other instances.
PEER_KEPT_MS: typing.Final = 12_000
RETRY_AFTER_MIN_MS: typing.Final = 100


@dataclasses.dataclass(slots=True)
class _PeerUse:
    """Requests of an account that a peer has admitted, and the demand at that peer.

    Attributes
    ----------
    assumed_from_s
        ``assumed_s`` of the bucket at the last report of the peer.
    """

    admitted: int
    demand_per_s: float
    assumed_from_s: float


@dataclasses.dataclass(slots=True)
class _Peer:
    """A peer and its last report, by account.

    Attributes
    ----------
    reported
        Whether the peer has sent a complete report.
    silent
        Whether there was no heartbeat of the peer for ``SILENT_MS``.
    """

    incarnation: str
    last_heartbeat_ms: float
    reported: bool = False
    silent: bool = False
    uses: dict[str, _PeerUse] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Quotas:
    """The buckets of all accounts by account id, and the peers by instance id.

    Attributes
    ----------
    guaranteed_share
        Least share of the burst that this instance may use at once, whatever its share of the
        demand.
    """

    accounts: dict[str, buckets.Bucket] = dataclasses.field(default_factory=dict)
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    guaranteed_share: float = GUARANTEED_SHARE_MAX

    def admit(self, account: models.ClientAccount, now_ms: float) -> float | None:
        """Take a token for a request of an account.

        Returns
        -------
        float or None
            ``None`` if the request is admitted, otherwise the milliseconds until a token is
            expected.
        """
        if account.rate_per_s <= 0:
            return None
        bucket = self._bucket(account.account_id)
        bucket.rate_per_s = account.rate_per_s
        bucket.burst = account.burst
        bucket.start(now_ms)
        bucket.demand.record(now_ms)
        bucket.refill(now_ms, self.guaranteed_share)
        if bucket.try_acquire():
            return None
        missing = 1 - bucket.tokens
        return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * package_const.MS_PER_S)

    def report(self, now_ms: float) -> tuple[messages.AccountUsage, ...]:
        """Return the admitted requests and the demand of every account at this instance."""
        return tuple(
            _account_use(account_id, bucket, now_ms)
            for account_id, bucket in self.accounts.items()
            if bucket.demand.updated_ms
        )

    def report_changes(self, now_ms: float) -> tuple[messages.AccountUsage, ...]:
        """Return the reports that have changed since the last call."""
        changes = []
        for use in self.report(now_ms):
            bucket = self.accounts[use.account_id]
            if use != bucket.reported:
                bucket.reported = use
                changes.append(use)
        return tuple(changes)

    def apply_heartbeat(self, peer_id: str, heartbeat: messages.Heartbeat, now_ms: float) -> None:
        """Correct the buckets by what a peer reports.

        Accounts that the heartbeat leaves out have not changed since the last one.
        """
        peer = self._refresh_peer(peer_id, heartbeat.incarnation, now_ms)
        self.guaranteed_share = min(
            GUARANTEED_SHARE_MAX, GUARANTEED_EQUAL_PARTS / (1 + len(self.peers))
        )
        reported_ids = {use.account_id for use in heartbeat.accounts}
        for account_id, last_use in peer.uses.items():
            if account_id not in reported_ids and last_use.demand_per_s:
                self._correct(account_id, last_use, last_use.admitted, now_ms)
        for use in heartbeat.accounts:
            self._apply_use(peer, use, now_ms)
        peer.reported = True

    def expire_peers(self, now_ms: float) -> None:
        """Mark peers without recent heartbeats as silent, and forget those that stay silent."""
        for peer_id, peer in tuple(self.peers.items()):
            silent_ms = now_ms - peer.last_heartbeat_ms
            if silent_ms > SILENT_MS and not peer.silent:
                peer.silent = True
                for account_id, use in peer.uses.items():
                    self._refilled_bucket(account_id, now_ms).mark_silent(use.demand_per_s)
            if silent_ms > PEER_KEPT_MS:
                self._forget_peer(peer_id, now_ms)

    def _refresh_peer(self, peer_id: str, incarnation: str, now_ms: float) -> _Peer:
        """Return the peer of a heartbeat; a new incarnation replaces the former one."""
        peer = self.peers.get(peer_id)
        if peer is None or peer.incarnation != incarnation:
            self._forget_peer(peer_id, now_ms)
            peer = _Peer(incarnation, now_ms)
            self.peers[peer_id] = peer
        elif peer.silent:
            peer.silent = False
            for account_id, use in peer.uses.items():
                bucket = self._refilled_bucket(account_id, now_ms)
                bucket.remove_silent(use.demand_per_s)
                bucket.peer_demand_per_s += use.demand_per_s
        peer.last_heartbeat_ms = now_ms
        return peer

    def _apply_use(self, peer: _Peer, use: messages.AccountUsage, now_ms: float) -> None:
        """Correct the bucket of an account by the report of a peer."""
        last_use = peer.uses.get(use.account_id)
        if last_use is None:
            # Requests that were admitted before the first report of the peer are not deducted.
            previously_admitted = 0 if peer.reported else use.admitted
            last_use = _PeerUse(previously_admitted, 0, self._bucket(use.account_id).assumed_s)
            peer.uses[use.account_id] = last_use
        self._correct(use.account_id, last_use, use.admitted, now_ms)
        self.accounts[use.account_id].peer_demand_per_s += use.demand_per_s - last_use.demand_per_s
        last_use.demand_per_s = use.demand_per_s

    def _correct(self, account_id: str, last_use: _PeerUse, admitted: int, now_ms: float) -> None:
        """Deduct what a peer has admitted beyond what was assumed since its last report."""
        bucket = self._refilled_bucket(account_id, now_ms)
        assumed = last_use.demand_per_s * (bucket.assumed_s - last_use.assumed_from_s)
        bucket.deduct_excess(admitted - last_use.admitted - assumed)
        last_use.admitted = admitted
        last_use.assumed_from_s = bucket.assumed_s

    def _forget_peer(self, peer_id: str, now_ms: float) -> None:
        """Remove a peer and its demand."""
        peer = self.peers.pop(peer_id, None)
        if peer is None:
            return
        for account_id, use in peer.uses.items():
            bucket = self._refilled_bucket(account_id, now_ms)
            if peer.silent:
                bucket.remove_silent(use.demand_per_s)
            else:
                bucket.peer_demand_per_s = max(0.0, bucket.peer_demand_per_s - use.demand_per_s)

    def _refilled_bucket(self, account_id: str, now_ms: float) -> buckets.Bucket:
        bucket = self._bucket(account_id)
        bucket.refill(now_ms, self.guaranteed_share)
        return bucket

    def _bucket(self, account_id: str) -> buckets.Bucket:
        bucket = self.accounts.get(account_id)
        if bucket is None:
            bucket = buckets.Bucket()
            self.accounts[account_id] = bucket
        return bucket


def _account_use(account_id: str, bucket: buckets.Bucket, now_ms: float) -> messages.AccountUsage:
    """Return the report on an account; the demand is rounded to 0.1 requests per second."""
    demand_per_s = bucket.demand.rate_at(now_ms)
    reported_per_s = round(demand_per_s, 1) if demand_per_s >= buckets.DEMAND_MIN_PER_S else 0
    return messages.AccountUsage(account_id, bucket.admitted, reported_per_s)
