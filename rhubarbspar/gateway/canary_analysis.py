"""Comparison of a new version's results with those of the version in use.

Pattern: canary analysis by a two-proportion z-test per route and over all routes.
"""

import dataclasses
import math
import typing
from collections import abc

from rhubarbspar.gateway import messages

# A version is bad if its share of failures exceeds the other version's by this margin, and by this many
# standard errors.
MARGIN: typing.Final = 0.06
STANDARD_ERRORS: typing.Final = 3.0
BAD_MIN: typing.Final = 4
SLOW_MARGIN: typing.Final = 0.3
SLOW_MIN: typing.Final = 6


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of one version on one route."""

    sent: int = 0
    running: int = 0
    good: int = 0
    bad: int = 0
    slow: int = 0

    def add(self, use: messages.VersionResults) -> None:
        """Add what an instance reports."""
        self.sent += use.sent
        self.running += use.running
        self.good += use.good
        self.bad += use.bad
        self.slow += use.slow

    @property
    def ended(self) -> int:
        """Return the number of results."""
        return self.good + self.bad


def is_bad(uses: abc.Iterable[messages.VersionResults], version: str) -> bool:
    """Return whether a version is worse than the others, on one route or over all."""
    per_route: dict[str, _Pair] = {}
    whole = _Pair()
    for use in uses:
        pair = per_route.setdefault(use.route_id, _Pair())
        for compared in (pair, whole):
            group = compared.candidate if use.version == version else compared.baseline
            group.add(use)
    pairs = (whole, *per_route.values())
    return any(_is_worse(pair.candidate, pair.baseline) for pair in pairs)


def total(uses: abc.Iterable[messages.VersionResults], version: str) -> Tally:
    """Return the results of a version over all routes."""
    summed = Tally()
    for use in uses:
        if use.version == version:
            summed.add(use)
    return summed


@dataclasses.dataclass(slots=True)
class _Pair:
    """The groups that are compared."""

    candidate: Tally = dataclasses.field(default_factory=Tally)
    baseline: Tally = dataclasses.field(default_factory=Tally)


def _is_worse(candidate: Tally, baseline: Tally) -> bool:
    bad = candidate.bad >= BAD_MIN and _exceeds(
        candidate.bad, candidate.ended, baseline.bad, baseline.ended, MARGIN
    )
    slow = candidate.slow >= SLOW_MIN and _exceeds(
        candidate.slow, candidate.good, baseline.slow, baseline.good, SLOW_MARGIN
    )
    return bad or slow


def _exceeds(hits: int, trials: int, base_hits: int, base_trials: int, margin: float) -> bool:
    """Compare two shares by a pooled two-proportion z-test with a least difference."""
    share = hits / max(1, trials)
    base_share = base_hits / max(1, base_trials)
    pooled = (hits + base_hits) / max(1, trials + base_trials)
    variance = pooled * (1 - pooled) * (1 / max(1, trials) + 1 / max(1, base_trials))
    return share - base_share > max(margin, STANDARD_ERRORS * math.sqrt(variance))
