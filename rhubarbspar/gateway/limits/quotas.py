"""Rate limits of client accounts over all instances.

Pattern: token bucket divided by demand.

- Every instance refills its bucket at the rate of the account, less the requests that its peers are
  assumed to admit by their shares of the demand. Heartbeats report what the peers have really
  admitted, and every instance deducts its share of the difference.
- Every instance also estimates the bucket of the whole fleet. While that one holds enough
  tokens, a request is admitted without a local token.
- The demand at a silent peer is assumed to grow in proportion to the local demand.
- Where relays report sums, the silent instances are no part of them; the demand there is assumed to
  be as large as at those that are heard, on average.
"""

import dataclasses
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.limits import buckets
from rhubarbspar.gateway.limits import fleet_size

# Every instance may use this many times an equal part of the burst, up to ``GUARANTEED_SHARE_MAX``
# of the burst, even if its share of the demand is smaller.
GUARANTEED_EQUAL_PARTS: typing.Final = 1.5
GUARANTEED_SHARE_MAX: typing.Final = 0.25
# For this long after its first read of the store, an instance has no sums of the others.
START_MS: typing.Final = 800
# Until then, it may use this many times an equal part of rate and burst, and one request at least.
START_EQUAL_PARTS: typing.Final = 1.2
# A peer without a heartbeat for this long is silent: three heartbeat intervals of a small fleet,
# and a margin for a pause of the process.
SILENT_MS: typing.Final = 2500
# The reports of a silent peer count for this long; by then its callers use other instances.
PEER_KEPT_MS: typing.Final = 12_000
RETRY_AFTER_MIN_MS: typing.Final = 100
# Requests of an account, as a share of its burst, that are reported before the next heartbeat is
# due.
URGENT_BURST_SHARE: typing.Final = 0.25


@dataclasses.dataclass(slots=True)
class _PeerUse:
    """Requests of an account that a peer has admitted, and the demand at that peer.

    Attributes
    ----------
    assumed_from_s
        ``assumed_s`` of the bucket at the last report of the peer.
    silent_from_s
        ``assumed_s`` of the bucket when the heartbeats of the peer stopped; ``None`` otherwise.
    counted
        Requests of the peer that are part of the sums of this instance.
    """

    admitted: int
    demand_per_s: float
    assumed_from_s: float
    silent_from_s: float | None = None
    counted: float = 0


@dataclasses.dataclass(slots=True)
class _Peer:
    """A peer and its last report, by account.

    Attributes
    ----------
    series
        Incarnation of the peer, and number of the series of its sums.
    is_child
        Whether the peer reports to this instance.
    reported
        Whether the peer has sent a complete report.
    silent
        Whether there was no heartbeat of the peer for ``SILENT_MS``.
    is_partial
        Whether its sums leave out, or only estimate, instances that are not heard.
    """

    series: tuple[str, int]
    last_heartbeat_ms: float
    is_child: bool = False
    reported: bool = False
    silent: bool = False
    is_partial: bool = False
    uses: dict[str, _PeerUse] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTotal:
    """Sums of an account at all instances, and the report that they make."""

    sums: buckets.Sums
    use: messages.AccountUsage


@dataclasses.dataclass(slots=True)
class _SentSums:
    """What was last sent to a child, by account, and the number of the series of the sums."""

    sums_id: int
    uses: dict[str, messages.AccountUsage] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Quotas:
    """The buckets of all accounts by account id, and the peers by instance id.

    Attributes
    ----------
    sent_to_children
        Last report to each child.
    last_sums_id
        Number of the newest series of sums for a child.
    is_urgent
        Whether the peers should learn of admitted requests before the next heartbeat is due.
    division
        How the limits are divided among the instances.
    heard_share
        Share of the instances, of those that may be running, that the sums of the relays include;
        1 in a fleet without relays.
    """

    accounts: dict[str, buckets.Bucket] = dataclasses.field(default_factory=dict)
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    sent_to_children: dict[str, _SentSums] = dataclasses.field(default_factory=dict)
    last_sums_id: int = 0
    is_urgent: bool = False
    division: buckets.Division = buckets.Division(GUARANTEED_SHARE_MAX)
    heard_share: float = 1

    def divide_among(self, size: fleet_size.FleetSize) -> None:
        """Divide the limits of the accounts by the number of instances."""
        least_share = min(GUARANTEED_SHARE_MAX, GUARANTEED_EQUAL_PARTS / size.instances)
        start_share = None
        if size.known_for_ms < START_MS:
            start_share = min(1.0, START_EQUAL_PARTS / size.instances)
        self.division = buckets.Division(least_share, start_share, self.heard_share)

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
        bucket.start(now_ms, self.division)
        bucket.demand.record(now_ms)
        bucket.refill(now_ms, self.division)
        if bucket.try_acquire(is_partitioned=self.is_partial):
            self._check_urgency(bucket)
            return None
        missing = 1 - bucket.tokens
        return max(RETRY_AFTER_MIN_MS, missing / account.rate_per_s * package_const.MS_PER_S)

    @property
    def is_partial(self) -> bool:
        """Return whether the sums leave out, or only estimate, instances that are not heard."""
        return self.heard_share < 1 or any(peer.is_partial for peer in self.peers.values())

    def report(self, now_ms: float) -> tuple[messages.AccountUsage, ...]:
        """Return the sums of every account at this instance and its children."""
        return tuple(
            _account_use(account_id, bucket.branch_sums(now_ms))
            for account_id, bucket in self.accounts.items()
            if bucket.demand.updated_ms or bucket.children.admitted or bucket.children.demand_per_s
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

    def start_series(self, child_id: str) -> None:
        """Begin a new series of sums for a child; the next report to it names all accounts."""
        self.last_sums_id += 1
        self.sent_to_children[child_id] = _SentSums(self.last_sums_id)

    def series_of(self, child_id: str) -> int:
        """Return the number of the series of sums for a child."""
        if child_id not in self.sent_to_children:
            self.start_series(child_id)
        return self.sent_to_children[child_id].sums_id

    def fleet_totals(self, now_ms: float) -> dict[str, FleetTotal]:
        """Return the sums of all instances by account; computed once for all children."""
        totals = {}
        for account_id, bucket in self.accounts.items():
            sums = bucket.fleet_sums(now_ms)
            totals[account_id] = FleetTotal(sums, _account_use(account_id, sums))
        return totals

    def report_changes_to(
        self, child_id: str, totals: abc.Mapping[str, FleetTotal]
    ) -> tuple[messages.AccountUsage, ...]:
        """Return the changed sums of all instances without those that a child has reported."""
        self.series_of(child_id)
        sent = self.sent_to_children[child_id].uses
        child = self.peers.get(child_id)
        child_uses = {} if child is None else child.uses
        changes = []
        for account_id, total in totals.items():
            child_use = child_uses.get(account_id)
            use = total.use if child_use is None else _without_child(total, child_use)
            if use != sent.get(account_id):
                sent[account_id] = use
                changes.append(use)
        return tuple(changes)

    def apply_heartbeat(
        self,
        peer_id: str,
        heartbeat: messages.Heartbeat,
        now_ms: float,
        *,
        is_child: bool = False,
    ) -> None:
        """Correct the buckets by what a peer reports.

        Accounts that the heartbeat leaves out have not changed since the last one.

        Parameters
        ----------
        is_child
            Whether the peer reports to this instance.
        """
        series = (heartbeat.incarnation, heartbeat.sums_id)
        peer = self._refresh_peer(peer_id, series, now_ms, is_child=is_child)
        peer.is_partial = heartbeat.is_partial
        reported_ids = {use.account_id for use in heartbeat.accounts}
        for account_id, last_use in peer.uses.items():
            if account_id not in reported_ids and last_use.demand_per_s:
                self._correct(peer, account_id, last_use.admitted, now_ms)
        for use in heartbeat.accounts:
            self._apply_use(peer, use, now_ms)
        peer.reported = True

    def forget_peers_except(self, kept_ids: abc.Container[str], now_ms: float) -> None:
        """Remove the peers whose requests other peers report now."""
        for peer_id in tuple(self.peers):
            if peer_id not in kept_ids:
                self.forget_peer(peer_id, now_ms)

    def expire_peers(self, now_ms: float, *, has_relays: bool = False) -> None:
        """Mark peers without recent heartbeats as silent, and forget those that stay silent.

        Parameters
        ----------
        has_relays
            Whether relays report sums; then ``heard_share`` covers the silent peers at once.
        """
        kept_ms = SILENT_MS if has_relays else PEER_KEPT_MS
        for peer_id, peer in tuple(self.peers.items()):
            silent_ms = now_ms - peer.last_heartbeat_ms
            if silent_ms > kept_ms:
                self.forget_peer(peer_id, now_ms)
            elif silent_ms > SILENT_MS and not peer.silent:
                self._mark_silent(peer, now_ms)

    def forget_peer(self, peer_id: str, now_ms: float) -> None:
        """Remove a peer and its demand."""
        peer = self.peers.pop(peer_id, None)
        if peer is None:
            return
        for account_id, use in peer.uses.items():
            bucket = self._refilled_bucket(account_id, now_ms)
            if peer.is_child:
                bucket.children.demand_per_s -= use.demand_per_s
            if peer.silent:
                bucket.remove_silent(use.demand_per_s, is_child=peer.is_child)
            else:
                bucket.peer_demand_per_s = max(0.0, bucket.peer_demand_per_s - use.demand_per_s)

    def _mark_silent(self, peer: _Peer, now_ms: float) -> None:
        """Estimate the demand at a peer from now on."""
        peer.silent = True
        for account_id, use in peer.uses.items():
            bucket = self._refilled_bucket(account_id, now_ms)
            bucket.mark_silent(use.demand_per_s, is_child=peer.is_child)
            use.silent_from_s = bucket.assumed_s

    def _refresh_peer(
        self, peer_id: str, series: tuple[str, int], now_ms: float, *, is_child: bool
    ) -> _Peer:
        """Return the peer of a heartbeat; a new series of sums replaces the former one."""
        peer = self.peers.get(peer_id)
        if peer is None or peer.series != series or peer.is_child != is_child:
            self.forget_peer(peer_id, now_ms)
            peer = _Peer(series, now_ms, is_child)
            self.peers[peer_id] = peer
        elif peer.silent:
            peer.silent = False
            for account_id, use in peer.uses.items():
                bucket = self._refilled_bucket(account_id, now_ms)
                bucket.remove_silent(use.demand_per_s, is_child=is_child)
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
        self._correct(peer, use.account_id, use.admitted, now_ms)
        added_per_s = use.demand_per_s - last_use.demand_per_s
        bucket = self.accounts[use.account_id]
        bucket.peer_demand_per_s += added_per_s
        if peer.is_child:
            bucket.children.demand_per_s += added_per_s
        last_use.demand_per_s = use.demand_per_s

    def _correct(self, peer: _Peer, account_id: str, admitted: int, now_ms: float) -> None:
        """Deduct what a peer has admitted beyond what was assumed since its last report."""
        bucket = self._refilled_bucket(account_id, now_ms)
        last_use = peer.uses[account_id]
        assumed = last_use.demand_per_s * (bucket.assumed_s - last_use.assumed_from_s)
        bucket.deduct_excess(admitted - last_use.admitted - assumed)
        # The sums of this instance already include the estimate for the silent time.
        silent_s = 0.0
        if last_use.silent_from_s is not None:
            silent_s = bucket.assumed_s - last_use.silent_from_s
            last_use.silent_from_s = None
        counted = admitted - last_use.admitted - last_use.demand_per_s * silent_s
        last_use.counted += admitted - last_use.admitted
        bucket.peers_admitted += counted
        if peer.is_child:
            bucket.children.admitted += counted
            self._check_urgency(bucket)
        last_use.admitted = admitted
        last_use.assumed_from_s = bucket.assumed_s

    def _check_urgency(self, bucket: buckets.Bucket) -> None:
        """Note whether many requests were admitted since the last report."""
        reported = 0 if bucket.reported is None else bucket.reported.admitted
        unreported = bucket.admitted + bucket.children.admitted - reported
        if unreported > max(1.0, bucket.burst * URGENT_BURST_SHARE):
            self.is_urgent = True

    def _refilled_bucket(self, account_id: str, now_ms: float) -> buckets.Bucket:
        bucket = self._bucket(account_id)
        bucket.refill(now_ms, self.division)
        return bucket

    def _bucket(self, account_id: str) -> buckets.Bucket:
        bucket = self.accounts.get(account_id)
        if bucket is None:
            bucket = buckets.Bucket()
            self.accounts[account_id] = bucket
        return bucket


def _without_child(total: FleetTotal, child_use: _PeerUse) -> messages.AccountUsage:
    """Return the report on an account without the part of a child."""
    sums = buckets.Sums(
        total.sums.admitted - child_use.counted,
        total.sums.demand_per_s - child_use.demand_per_s,
    )
    return _account_use(total.use.account_id, sums)


def _account_use(account_id: str, sums: buckets.Sums) -> messages.AccountUsage:
    """Return the report on an account; the demand is rounded to 0.1 requests per second."""
    is_small = sums.demand_per_s < buckets.DEMAND_MIN_PER_S
    reported_per_s = 0 if is_small else round(sums.demand_per_s, 1)
    return messages.AccountUsage(account_id, round(sums.admitted), reported_per_s)
