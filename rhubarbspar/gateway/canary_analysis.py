"""Comparison of the results of a candidate version with those of the other versions.

Pattern: canary analysis by a two-proportion z-test per route and over all routes.
"""

import dataclasses
import math
import typing
from collections import abc

from rhubarbspar.gateway import messages

# A version is worse if its share of failures exceeds that of the baseline by this margin, and by
# this many standard errors.
BAD_MARGIN: typing.Final = 0.06
STANDARD_ERRORS: typing.Final = 3.0
# Fewer failures than this are no evidence.
BAD_MIN: typing.Final = 4
# The same limits for the share of slow responses among the good ones.
SLOW_MARGIN: typing.Final = 0.3
SLOW_MIN: typing.Final = 6


@dataclasses.dataclass(slots=True)
class ResultCounts:
    """Numbers of the requests and results of one version.

    Attributes
    ----------
    running
        Requests in flight.
    good
        Responses without an error, and requests without a response in time.
    slow
        Those of them that took much longer than usual.
    """

    sent: int = 0
    running: int = 0
    good: int = 0
    bad: int = 0
    slow: int = 0

    def add(self, use: messages.VersionResults) -> None:
        """Add the numbers that an instance reports."""
        self.sent += use.sent
        self.running += use.running
        self.good += use.good
        self.bad += use.bad
        self.slow += use.slow

    @property
    def ended(self) -> int:
        """Return the number of requests with a good or a bad result."""
        return self.good + self.bad


@dataclasses.dataclass(slots=True)
class FleetResults:
    """Results of the candidate version, and of all other versions as the baseline."""

    candidate: ResultCounts = dataclasses.field(default_factory=ResultCounts)
    baseline: ResultCounts = dataclasses.field(default_factory=ResultCounts)


def is_worse(uses: abc.Iterable[messages.VersionResults], version: str) -> bool:
    """Return whether a version is worse than the others, on one route or over all routes."""
    by_route: dict[str, FleetResults] = {}
    all_routes = FleetResults()
    for use in uses:
        comparison = by_route.setdefault(use.route_id, FleetResults())
        for updated in (comparison, all_routes):
            group = updated.candidate if use.version == version else updated.baseline
            group.add(use)
    comparisons = (all_routes, *by_route.values())
    return any(
        _fails_comparison(comparison.candidate, comparison.baseline) for comparison in comparisons
    )


def sum_results(uses: abc.Iterable[messages.VersionResults], version: str) -> FleetResults:
    """Return the sums of the results over all routes and instances."""
    summed = FleetResults()
    for use in uses:
        group = summed.candidate if use.version == version else summed.baseline
        group.add(use)
    return summed


def _fails_comparison(candidate: ResultCounts, baseline: ResultCounts) -> bool:
    """Return whether the candidate fails more often, or responds slowly more often."""
    bad = candidate.bad >= BAD_MIN and _exceeds(
        candidate.bad, candidate.ended, baseline.bad, baseline.ended, BAD_MARGIN
    )
    slow = candidate.slow >= SLOW_MIN and _exceeds(
        candidate.slow, candidate.good, baseline.slow, baseline.good, SLOW_MARGIN
    )
    return bad or slow


def _exceeds(hits: int, trials: int, base_hits: int, base_trials: int, margin: float) -> bool:
    """Return whether a share significantly exceeds a base share, and by at least the margin.

    Pattern: pooled two-proportion z-test.
    """
    share = hits / max(1, trials)
    base_share = base_hits / max(1, base_trials)
    pooled = (hits + base_hits) / max(1, trials + base_trials)
    variance = pooled * (1 - pooled) * (1 / max(1, trials) + 1 / max(1, base_trials))
    return share - base_share > max(margin, STANDARD_ERRORS * math.sqrt(variance))
