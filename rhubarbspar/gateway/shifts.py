"""Bounded changes of the regions in which an instance's requests run.

Pattern: rate-limited traffic shift. A region whose recent share of the requests exceeds its longer average
becomes less attractive, in proportion to the excess.
"""

import dataclasses
import math
import typing

# Time constants of the recent and of the longer share; the bound on shifts compares spans of 2 s.
RECENT_MS: typing.Final = 1200
LONGER_MS: typing.Final = 4000
# Excess of the recent share that random variation explains.
TOLERATED: typing.Final = 0.05
# Cost of the whole excess, in units of the usual work.
EXCESS_COST: typing.Final = 8.0
# Requests that the recent average has to hold before it says anything.
REQUESTS_MIN: typing.Final = 8.0


@dataclasses.dataclass(slots=True)
class _Average:
    """Exponentially decaying number of requests by region."""

    span_ms: float
    noted_ms: float = 0
    weights: dict[str, float] = dataclasses.field(default_factory=dict)

    def note(self, region: str, now_ms: float) -> None:
        """Count a request."""
        kept = math.exp((self.noted_ms - now_ms) / self.span_ms)
        self.noted_ms = now_ms
        self.weights = {name: weight * kept for name, weight in self.weights.items()}
        self.weights[region] = self.weights.get(region, 0) + 1

    @property
    def total(self) -> float:
        """Return the decayed number of requests."""
        return sum(self.weights.values())

    def share(self, region: str) -> float:
        """Return a region's share."""
        return self.weights.get(region, 0) / max(1.0, self.total)


@dataclasses.dataclass(slots=True)
class RegionShares:
    """Shares of the regions in this instance's requests."""

    recent: _Average = dataclasses.field(default_factory=lambda: _Average(RECENT_MS))
    longer: _Average = dataclasses.field(default_factory=lambda: _Average(LONGER_MS))

    def note(self, region: str, now_ms: float) -> None:
        """Count a request that runs in a region."""
        self.recent.note(region, now_ms)
        self.longer.note(region, now_ms)

    def cost(self, region: str) -> float:
        """Return the cost of one more request in a region, in units of the usual work."""
        if self.recent.total < REQUESTS_MIN:
            return 0
        excess = self.recent.share(region) - self.longer.share(region) - TOLERATED
        return EXCESS_COST * max(0.0, excess)
