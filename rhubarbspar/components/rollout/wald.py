"""Wald's sequential probability ratio test of the candidate against the old version.

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
    """Result of a sequential test after the requests counted so far."""

    ACCEPT = 'accept'
    CONTINUE = 'continue'
    REJECT = 'reject'


def decide(window: models.TestWindow, share_min: float, share_rise: float) -> Decision:
    """Test whether the candidate has a higher fault share than the old version.

    Parameters
    ----------
    window
        Requests and faults of both versions.
    share_min
        Fault share that is tolerated in any candidate.
    share_rise
        Rise over the old version's fault share that the test must detect.
    """
    null_share = max(share_min, _old_fault_share(window))
    alternative_share = min(null_share + share_rise, const.ALTERNATIVE_SHARE_MAX)
    if null_share >= alternative_share:
        return Decision.CONTINUE
    log_ratio = window.faults * math.log(alternative_share / null_share)
    log_ratio += (window.requests - window.faults) * math.log(
        (1 - alternative_share) / (1 - null_share)
    )
    reject_above = _REJECT_LATER_ABOVE if window.accepted else _REJECT_FIRST_ABOVE
    if log_ratio >= reject_above:
        return Decision.REJECT
    if log_ratio <= _ACCEPT_BELOW and window.requests >= const.REQUESTS_FOR_ACCEPTANCE:
        return Decision.ACCEPT
    return Decision.CONTINUE


def restart(window: models.TestWindow) -> None:
    """Mark the candidate as accepted and start the next test, so that it can still be rejected."""
    window.accepted = True
    clear(window)


def clear(window: models.TestWindow) -> None:
    """Discard the requests of the current test; the baseline is kept."""
    window.requests = 0
    window.faults = 0
    window.old_requests = 0
    window.old_faults = 0


def _old_fault_share(window: models.TestWindow) -> float:
    """Return the old version's fault share, estimated by Laplace's rule of succession.

    It is the larger one of the baseline and, with enough requests, of the period of the test.
    """
    baseline_share = (window.baseline_faults + 1) / (window.baseline_requests + 2)
    if window.old_requests < const.REQUESTS_FOR_COMPARISON:
        return baseline_share
    return max(baseline_share, (window.old_faults + 1) / (window.old_requests + 2))
