"""Bounded changes of the regions in which an instance's requests run.

Pattern: rate-limited traffic shift. A region whose recent share of the requests exceeds its longer average
becomes less attractive, in proportion to the excess.
"""

import dataclasses
import math
import typing
from collections import abc

# Time constants of the recent and of the longer share; the bound on shifts compares spans of 2 s.
RECENT_MS: typing.Final = 1200
LONGER_MS: typing.Final = 4000
# Excess of the recent share that random variation explains.
TOLERATED: typing.Final = 0.04
# Cost of the whole excess, in units of the usual work.
EXCESS_COST: typing.Final = 16.0
# Requests that the recent average has to hold before it says anything.
REQUESTS_MIN: typing.Final = 8.0
# Weight of the assumed shares at the start.
SEED_REQUESTS: typing.Final = 40.0


def expected_shares(slots: abc.Mapping[str, float], own_region: str) -> dict[str, float]:
    """Return the share of the own region's requests that each region is to serve.

    Every region is taken to have the same demand: the own region serves what its slots permit, and the
    regions with more slots than demand serve the rest.

    Parameters
    ----------
    slots
        Slots of the servers in each region.
    """
    whole = sum(slots.values())
    if not whole:
        return {}
    if own_region not in slots:
        return {region: count / whole for region, count in slots.items()}
    parts = {region: count / whole * len(slots) for region, count in slots.items()}
    own = min(1.0, parts[own_region])
    spare = {region: max(0.0, part - 1) for region, part in parts.items()}
    spare_total = sum(spare.values()) or 1.0
    shares = {region: (1 - own) * part / spare_total for region, part in spare.items()}
    shares[own_region] = own
    return shares


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

    def seed(self, slots: abc.Mapping[str, float], own_region: str, now_ms: float) -> None:
        """Assume the shares that the slots of the regions permit, before the first requests."""
        if self.longer.total or not slots:
            return
        shares = expected_shares(slots, own_region)
        self.longer.weights = {region: share * SEED_REQUESTS for region, share in shares.items()}
        self.longer.noted_ms = now_ms

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
