"""Comparison of the results of a candidate version with those of the other versions.

Pattern: canary analysis by a two-proportion z-test per route and over all routes.
"""

import dataclasses
import math
import typing
from collections import abc

from rhubarbspar.gateway import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """By how much the results of a version have to be worse than those of the baseline.

    Attributes
    ----------
    bad_min, slow_min
        Fewer failures, or slow responses, are no evidence.
    bad_margin, slow_margin
        By how much the share of failures, or of slow responses, exceeds that of the baseline.
    standard_errors
        By how many standard errors it does.
    """

    bad_min: int
    bad_margin: float
    slow_min: int
    slow_margin: float
    standard_errors: float


# A version beyond these limits is rejected.
VERDICT: typing.Final = Limits(4, 0.06, 6, 0.3, 3)  # noqa: WPS432 (the class names its fields)
# A version beyond these waits for more results.
SUSPICION: typing.Final = Limits(2, 0.03, 3, 0.15, 1)  # noqa: WPS432


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

    @property
    def in_time(self) -> int:
        """Return the number of responses without an error that were not slow."""
        return self.good - self.slow


@dataclasses.dataclass(slots=True)
class FleetResults:
    """Results of the candidate version, and of all other versions as the baseline."""

    candidate: ResultCounts = dataclasses.field(default_factory=ResultCounts)
    baseline: ResultCounts = dataclasses.field(default_factory=ResultCounts)


@dataclasses.dataclass(frozen=True, slots=True)
class Evaluation:
    """Results of a candidate version and what they show.

    Attributes
    ----------
    summed
        Sums over all routes and instances.
    is_worse
        Whether the version is to be rejected.
    is_suspect
        Whether it may be worse, on one route or over all routes.
    """

    summed: FleetResults
    is_worse: bool
    is_suspect: bool


def evaluate(uses: abc.Sequence[messages.VersionResults], version: str) -> Evaluation:
    """Compare a version with the others, on each route and over all routes."""
    by_route: dict[str, list[messages.VersionResults]] = {}
    for use in uses:
        by_route.setdefault(use.route_id, []).append(use)
    summed = sum_results(uses, version)
    compared = [summed, *(sum_results(route_uses, version) for route_uses in by_route.values())]
    return Evaluation(
        summed,
        any(_exceeds_limits(pair, VERDICT) for pair in compared),
        any(_exceeds_limits(pair, SUSPICION) for pair in compared),
    )


def sum_results(uses: abc.Iterable[messages.VersionResults], version: str) -> FleetResults:
    """Return the sums of the results over all routes and instances."""
    summed = FleetResults()
    for use in uses:
        group = summed.candidate if use.version == version else summed.baseline
        group.add(use)
    return summed


def _exceeds_limits(pair: FleetResults, limits: Limits) -> bool:
    """Return whether the candidate fails more often, or responds slowly more often."""
    candidate, baseline = pair.candidate, pair.baseline
    failures = _Proportions(candidate.bad, candidate.ended, baseline.bad, baseline.ended)
    slowness = _Proportions(candidate.slow, candidate.good, baseline.slow, baseline.good)
    bad = candidate.bad >= limits.bad_min and failures.exceed(
        limits.bad_margin, limits.standard_errors
    )
    slow = candidate.slow >= limits.slow_min and slowness.exceed(
        limits.slow_margin, limits.standard_errors
    )
    return bad or slow


@dataclasses.dataclass(frozen=True, slots=True)
class _Proportions:
    """How often something happened with the candidate and with the baseline."""

    hits: int
    trials: int
    base_hits: int
    base_trials: int

    def exceed(self, margin: float, standard_errors: float) -> bool:
        """Return whether the share significantly exceeds the base share, by at least the margin.

        Pattern: pooled two-proportion z-test.
        """
        share = self.hits / max(1, self.trials)
        base_share = self.base_hits / max(1, self.base_trials)
        pooled = (self.hits + self.base_hits) / max(1, self.trials + self.base_trials)
        inverse_sizes = 1 / max(1, self.trials) + 1 / max(1, self.base_trials)
        variance = pooled * (1 - pooled) * inverse_sizes
        return share - base_share > max(margin, standard_errors * math.sqrt(variance))
