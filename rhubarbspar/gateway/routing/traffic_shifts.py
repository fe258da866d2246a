"""Limits on how fast an instance shifts its requests from one region to another.

Pattern: rate-limited traffic shift. A region whose short-term share of the requests exceeds its
long-term share costs more, in proportion to the excess.
"""

import dataclasses
import math
import typing
from collections import abc

# Time constants of the short-term and the long-term share. The bound that traffic shifts have to
# keep compares spans of 2 s.
SHORT_TERM_MS: typing.Final = 1200
LONG_TERM_MS: typing.Final = 4000
# Excess of the short-term share that random variation explains.
EXCESS_TOLERATED: typing.Final = 0.04
# Cost of an excess of 1, as a multiple of the typical processing time.
EXCESS_COST: typing.Final = 16.0
# A short-term count below this is too small for a cost.
COUNT_MIN: typing.Final = 8.0
# Number of requests for which the assumed shares count at the start.
SEED_REQUESTS: typing.Final = 40.0


def expected_shares(slots: abc.Mapping[str, float], own_region: str) -> dict[str, float]:
    """Return the share of the requests of a region that each region is expected to serve.

    Every region is assumed to have the same demand. The own region serves as much of its demand as
    its slots permit, and the regions with more slots than demand serve the rest.

    Parameters
    ----------
    slots
        Slots of the servers in each region.
    own_region
        The region in which the requests arrive.
    """
    total_slots = sum(slots.values())
    if not total_slots:
        return {}
    if own_region not in slots:
        return {region: count / total_slots for region, count in slots.items()}
    capacities = {region: count / total_slots * len(slots) for region, count in slots.items()}
    own_share = min(1.0, capacities[own_region])
    # Capacity beyond the demand of the region itself, in units of that demand.
    spare = {region: max(0.0, capacity - 1) for region, capacity in capacities.items()}
    spare_total = sum(spare.values()) or 1.0
    shares = {
        region: (1 - own_share) * capacity / spare_total for region, capacity in spare.items()
    }
    shares[own_region] = own_share
    return shares


@dataclasses.dataclass(slots=True)
class _DecayingCounts:
    """Exponentially decaying number of requests by region."""

    time_constant_ms: float
    updated_ms: float = 0
    counts: dict[str, float] = dataclasses.field(default_factory=dict)

    def record(self, region: str, now_ms: float) -> None:
        """Decay all counts to a time and add a request."""
        decay = math.exp((self.updated_ms - now_ms) / self.time_constant_ms)
        self.updated_ms = now_ms
        self.counts = {name: count * decay for name, count in self.counts.items()}
        self.counts[region] = self.counts.get(region, 0) + 1

    @property
    def total(self) -> float:
        """Return the decayed number of requests in all regions."""
        return sum(self.counts.values())

    def share(self, region: str) -> float:
        """Return the share of a region in the decayed number of requests."""
        return self.counts.get(region, 0) / max(1.0, self.total)


@dataclasses.dataclass(slots=True)
class RegionShares:
    """Shares of the regions in the requests of this instance, over a short and a long time."""

    short_term: _DecayingCounts = dataclasses.field(
        default_factory=lambda: _DecayingCounts(SHORT_TERM_MS)
    )
    long_term: _DecayingCounts = dataclasses.field(
        default_factory=lambda: _DecayingCounts(LONG_TERM_MS)
    )

    def seed(self, slots: abc.Mapping[str, float], own_region: str, now_ms: float) -> None:
        """Start the long-term shares with those that the slots permit, before the first request."""
        if self.long_term.total or not slots:
            return
        shares = expected_shares(slots, own_region)
        self.long_term.counts = {region: share * SEED_REQUESTS for region, share in shares.items()}
        self.long_term.updated_ms = now_ms

    def record(self, region: str, now_ms: float) -> None:
        """Count a request that is sent to a region."""
        self.short_term.record(region, now_ms)
        self.long_term.record(region, now_ms)

    def shift_cost(self, region: str) -> float:
        """Return the cost of one more request in a region, as a multiple of the processing time."""
        if self.short_term.total < COUNT_MIN:
            return 0
        excess = self.short_term.share(region) - self.long_term.share(region) - EXCESS_TOLERATED
        return EXCESS_COST * max(0.0, excess)
