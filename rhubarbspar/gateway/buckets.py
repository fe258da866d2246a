"""The bucket of one client account as one instance sees it.

Pattern: token bucket divided by demand, beside an estimate of the undivided bucket.
"""

import dataclasses
import math
import typing

from rhubarbspar import const as package_const
from rhubarbspar.gateway import messages

# Reports are one heartbeat old; the part of the burst beyond this is kept for what they miss.
BURST_USED: typing.Final = 0.6
# Requests are admitted without a token of the instance while the fleet has this part of the burst left.
FLEET_RESERVE: typing.Final = 0.3
# The estimate of the fleet's bucket holds at most this part of the burst.
FLEET_BURST_USED: typing.Final = 0.8
# Time constant of the demand.
DEMAND_WINDOW_MS: typing.Final = 2000
# A smaller demand, in requests a second, is reported as none.
DEMAND_MIN_PER_S: typing.Final = 0.25


@dataclasses.dataclass(slots=True)
class Demand:
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
    demand: Demand = dataclasses.field(default_factory=Demand)
    own_per_s: float = 0
    others_per_s: float = 0
    silent_per_s: float = 0
    known_per_s: float = 0
    assumed_s: float = 0
    reported: messages.AccountUsage | None = None

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
        left_per_s = self.silent_per_s - demand_per_s
        # Sums and differences of fractions leave a remainder.
        self.silent_per_s = left_per_s if left_per_s >= DEMAND_MIN_PER_S else 0

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
