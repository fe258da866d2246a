"""Wald's sequential probability ratio test, candidate against old version.

Source: Wald, "Sequential tests of statistical hypotheses", 1945.
"""

import enum
import math
import typing

from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models

_ACCEPT_BELOW: typing.Final = math.log(
    const.FALSE_ACCEPTANCE_PROBABILITY / (1 - const.FALSE_VERDICT_PROBABILITY_FIRST),
)
_REJECT_FIRST_ABOVE: typing.Final = math.log(
    (1 - const.FALSE_ACCEPTANCE_PROBABILITY) / const.FALSE_VERDICT_PROBABILITY_FIRST,
)
_REJECT_LATER_ABOVE: typing.Final = math.log(
    (1 - const.FALSE_ACCEPTANCE_PROBABILITY) / const.FALSE_VERDICT_PROBABILITY_LATER,
)


class Decision(enum.StrEnum):
    """Result of a test so far."""

    ACCEPT = 'accept'
    CONTINUE = 'continue'
    REJECT = 'reject'


def decide(window: models.TestWindow, share_min: float, share_rise: float) -> Decision:
    """Test whether the candidate has more faults than the old version.

    Parameters
    ----------
    window
        Requests of both versions.
    share_min
        Fault share that is never held against the candidate.
    share_rise
        Rise over the old version's fault share that has to be found.
    """
    expected = max(share_min, _old_share(window))
    alternative = min(expected + share_rise, const.ALTERNATIVE_SHARE_MAX)
    if expected >= alternative:
        return Decision.CONTINUE
    ratio = window.faults * math.log(alternative / expected)
    ratio += (window.requests - window.faults) * math.log((1 - alternative) / (1 - expected))
    reject_above = _REJECT_LATER_ABOVE if window.accepted else _REJECT_FIRST_ABOVE
    if ratio >= reject_above:
        return Decision.REJECT
    if ratio <= _ACCEPT_BELOW and window.requests >= const.REQUESTS_FOR_ACCEPTANCE:
        return Decision.ACCEPT
    return Decision.CONTINUE


def restart(window: models.TestWindow) -> None:
    """Begin the next test after an acceptance."""
    window.accepted = True
    clear(window)


def clear(window: models.TestWindow) -> None:
    """Begin the present test again."""
    window.requests = 0
    window.faults = 0
    window.old_requests = 0
    window.old_faults = 0


def _old_share(window: models.TestWindow) -> float:
    baseline = (window.baseline_faults + 1) / (window.baseline_requests + 2)
    if window.old_requests < const.REQUESTS_FOR_COMPARISON:
        return baseline
    return max(baseline, (window.old_faults + 1) / (window.old_requests + 2))
