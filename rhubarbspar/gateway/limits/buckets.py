"""Token bucket of one client account at one instance.

Pattern: token bucket whose rate and burst are divided among the instances by demand, with an
estimate of the undivided bucket of the whole fleet.
"""

import dataclasses
import math
import typing

from rhubarbspar import const as package_const
from rhubarbspar.gateway import messages

# Share of the burst that is handed out. Reports of the peers are up to one heartbeat old; the rest
# of the burst covers the requests that they do not include yet.
BURST_SHARE: typing.Final = 0.6
# While the estimated bucket of the fleet holds at least this share of the burst, an instance admits
# requests without a local token.
FLEET_RESERVE_SHARE: typing.Final = 0.3
# The estimated bucket of the fleet holds at most this share of the burst.
FLEET_BURST_SHARE: typing.Final = 0.8
# Time constant of the exponential average of the demand.
DEMAND_WINDOW_MS: typing.Final = 2000
# A smaller demand, in requests per second, is reported as 0.
DEMAND_MIN_PER_S: typing.Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """How the limits of an account are divided.

    Attributes
    ----------
    least_share
        Least share of the burst that this instance may use, however small its share of the demand.
    start_share
        Share of rate and burst that an instance may use which has just started and does not know
        what the others have admitted; ``None`` later.
    heard_share
        Share of the demand of the fleet that the reports include. The demand at the instances that
        are not heard is assumed to be as large as at the others, on average.
    """

    least_share: float
    start_share: float | None = None
    heard_share: float = 1


@dataclasses.dataclass(slots=True)
class Demand:
    """Exponential moving average of the requests per second."""

    rate_per_s: float = 0
    updated_ms: float = 0

    def record(self, now_ms: float) -> None:
        """Add a request to the average."""
        self.rate_per_s = self.rate_at(now_ms) + package_const.MS_PER_S / DEMAND_WINDOW_MS
        self.updated_ms = now_ms

    def rate_at(self, now_ms: float) -> float:
        """Return the average, decayed to a time."""
        return self.rate_per_s * math.exp((self.updated_ms - now_ms) / DEMAND_WINDOW_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """Admitted requests and present demand of an account at several instances."""

    admitted: float
    demand_per_s: float


@dataclasses.dataclass(slots=True)
class ChildSums:
    """Sums of the peers that report to this instance.

    Attributes
    ----------
    admitted
        Requests that they have admitted, with an estimate for those whose heartbeats have stopped.
    demand_per_s
        Their demand, silent ones included.
    silent_demand_per_s
        Demand of those whose heartbeats have stopped.
    """

    admitted: float = 0
    demand_per_s: float = 0
    silent_demand_per_s: float = 0


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket of an account at this instance.

    Attributes
    ----------
    rate_per_s, burst
        Limits of the account at its last request; 0 before the first one.
    tokens
        Requests that this instance may admit; negative after the fleet has admitted too many.
    fleet_tokens
        Estimate of the requests that all instances together may admit; may be negative as well.
    refilled_ms
        Time of the last refill; minus infinity before the first request.
    admitted
        Requests that this instance has admitted since its start.
    local_demand_per_s
        Demand at this instance at the last refill.
    peer_demand_per_s
        Sum of the demands that the peers report, without those whose heartbeats have stopped.
    silent_demand_per_s
        Sum of the last demands reported by peers whose heartbeats have stopped.
    peers_admitted
        Requests that the peers have admitted since they were first known, with an estimate for
        those whose heartbeats have stopped.
    children
        The part of the peers that report to this instance.
    local_demand_at_silence_per_s
        Demand at this instance when the first of these peers was marked as silent.
    assumed_s
        Seconds for which the peers were assumed to admit their whole demand. A second in which they
        were assumed to admit a part of it counts as that part.
    reported
        The last report to the peers.
    """

    rate_per_s: float = 0
    burst: float = 0
    tokens: float = 0
    fleet_tokens: float = 0
    refilled_ms: float = -math.inf
    admitted: int = 0
    demand: Demand = dataclasses.field(default_factory=Demand)
    local_demand_per_s: float = 0
    peer_demand_per_s: float = 0
    silent_demand_per_s: float = 0
    local_demand_at_silence_per_s: float = 0
    assumed_s: float = 0
    peers_admitted: float = 0
    children: ChildSums = dataclasses.field(default_factory=ChildSums)
    reported: messages.AccountUsage | None = None

    def refill(self, now_ms: float, division: Division) -> None:
        """Add the tokens that have become due since the last refill.

        The tokens that the peers are assumed to have used are left out.
        """
        if self.refilled_ms == -math.inf:
            return
        elapsed_s = max(0.0, now_ms - self.refilled_ms) / package_const.MS_PER_S
        self.refilled_ms = now_ms
        self.local_demand_per_s = self.demand.rate_at(now_ms)
        reported_per_s = self._estimated_peer_demand()
        demand_per_s = (self.local_demand_per_s + reported_per_s) / division.heard_share
        admitted_share = min(1.0, self.rate_per_s / max(1.0, demand_per_s))
        self.assumed_s += admitted_share * elapsed_s
        silent_per_s = reported_per_s - self.peer_demand_per_s
        self.peers_admitted += silent_per_s * admitted_share * elapsed_s
        self.children.admitted += self.children.silent_demand_per_s * admitted_share * elapsed_s
        if division.start_share is not None:
            self._refill_at_start(division.start_share, elapsed_s)
            return
        elsewhere_per_s = (demand_per_s - self.local_demand_per_s) * admitted_share
        added_tokens = (self.rate_per_s - elsewhere_per_s) * elapsed_s
        local_share = self.local_demand_per_s / demand_per_s if demand_per_s else 1
        share = max(division.least_share, local_share)
        capacity = max(1.0, self.burst * BURST_SHARE * share)
        self.tokens = min(self.tokens + added_tokens, capacity)
        self.fleet_tokens = min(self.fleet_tokens + added_tokens, self.burst * FLEET_BURST_SHARE)

    def start(self, now_ms: float, division: Division) -> None:
        """Fill the bucket at the first request of the account; later calls change nothing.

        The estimated bucket of the fleet stays empty if the demand at the peers exceeds the rate,
        and at an instance that has just started: the fleet may have used it.
        """
        if self.refilled_ms != -math.inf:
            return
        self.refilled_ms = now_ms
        if division.start_share is not None:
            self.tokens = max(1.0, self.burst * division.start_share)
            return
        self.tokens = self.burst
        if self._estimated_peer_demand() < self.rate_per_s:
            self.fleet_tokens = self.burst * FLEET_BURST_SHARE

    def try_acquire(self, *, is_partitioned: bool = False) -> bool:
        """Take a token; return whether this instance or the fleet had one left.

        Parameters
        ----------
        is_partitioned
            Whether the demand of some instances is only estimated.
        """
        if self.tokens < 1 and (is_partitioned or not self._fleet_has_tokens):
            return False
        self.tokens -= 1
        self.fleet_tokens -= 1
        self.admitted += 1
        return True

    def deduct_excess(self, excess: float) -> None:
        """Deduct the local share of the requests that a peer admitted beyond the assumption.

        Parameters
        ----------
        excess
            Requests; negative if the peer admitted fewer than assumed.
        """
        if self.refilled_ms == -math.inf:
            return
        total_per_s = self.local_demand_per_s + self._estimated_peer_demand()
        if total_per_s:
            self.tokens -= excess * self.local_demand_per_s / total_per_s
        self.fleet_tokens -= excess

    def branch_sums(self, now_ms: float) -> Sums:
        """Return the sums of this instance and its children."""
        return Sums(
            self.admitted + self.children.admitted,
            self.demand.rate_at(now_ms) + self.children.demand_per_s,
        )

    def fleet_sums(self, now_ms: float) -> Sums:
        """Return the sums of this instance and all peers."""
        return Sums(
            self.admitted + self.peers_admitted,
            self.demand.rate_at(now_ms) + self._estimated_peer_demand(),
        )

    def mark_silent(self, demand_per_s: float, *, is_child: bool = False) -> None:
        """Move a peer's demand to ``silent_demand_per_s`` because its heartbeats have stopped."""
        if not self.silent_demand_per_s:
            self.local_demand_at_silence_per_s = self.local_demand_per_s
        self.peer_demand_per_s = max(0.0, self.peer_demand_per_s - demand_per_s)
        self.silent_demand_per_s += demand_per_s
        if is_child:
            self.children.silent_demand_per_s += demand_per_s

    def remove_silent(self, demand_per_s: float, *, is_child: bool = False) -> None:
        """Subtract a silent peer's demand when its heartbeats resume or the peer is forgotten."""
        self.silent_demand_per_s = _subtract_demand(self.silent_demand_per_s, demand_per_s)
        if is_child:
            self.children.silent_demand_per_s = _subtract_demand(
                self.children.silent_demand_per_s, demand_per_s
            )

    def _refill_at_start(self, share: float, elapsed_s: float) -> None:
        """Add tokens at an equal share of the rate."""
        capacity = max(1.0, self.burst * BURST_SHARE * share)
        self.tokens = min(self.tokens + self.rate_per_s * share * elapsed_s, capacity)

    @property
    def _fleet_has_tokens(self) -> bool:
        # Each side of a partitioned fleet would hand out the same tokens.
        if self.silent_demand_per_s:
            return False
        # Under a higher demand, all instances would admit requests until the next reports.
        if self.local_demand_per_s + self.peer_demand_per_s > self.rate_per_s:
            return False
        return self.fleet_tokens >= max(1.0, self.burst * FLEET_RESERVE_SHARE)

    def _estimated_peer_demand(self) -> float:
        """Return the demand at all peers.

        The demand at the silent ones is assumed to grow in proportion to the demand at this
        instance.
        """
        if not self.silent_demand_per_s:
            return self.peer_demand_per_s
        growth = self.local_demand_per_s / max(DEMAND_MIN_PER_S, self.local_demand_at_silence_per_s)
        return self.peer_demand_per_s + self.silent_demand_per_s * max(1.0, growth)


def _subtract_demand(total_per_s: float, removed_per_s: float) -> float:
    """Return a demand without a part of it; a rounding error of floats becomes 0."""
    remaining_per_s = total_per_s - removed_per_s
    return remaining_per_s if remaining_per_s >= DEMAND_MIN_PER_S else 0
