"""Schedule of a rollout: the share that the candidate version gets.

Patterns: progressive delivery in steps; a slow start that is clocked by results. Without results in
time the candidate stays within a part of the exposure that is permitted for a bad version, whatever
the reason for their absence.
"""

import dataclasses
import typing

from rhubarbspar.gateway.rollouts import canary_analysis


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of the schedule of a rollout.

    Attributes
    ----------
    elapsed_share
        Share of the requested duration after which the step begins.
    share
        Share of the requests that the candidate gets.
    """

    elapsed_share: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Requests that a bad version may get from the whole fleet until its deadline.

    Attributes
    ----------
    ratio
        Requests permitted per request to the service.
    allowance
        Requests permitted in addition, to all instances together.
    """

    ratio: float = 0.1
    allowance: float = 50


# The first step stays below the permitted exposure of a bad version. The later steps are short
# enough that a version that fails under load is rejected before it has had its permitted share of
# the requests.
STEPS: typing.Final = (
    Step(0, 0.05),  # noqa: WPS432 (the table names its columns)
    Step(0.34, 0.15),  # noqa: WPS432
    Step(0.42, 0.4),  # noqa: WPS432
    Step(0.5, 0.75),  # noqa: WPS432
    Step(0.58, 1),  # noqa: WPS432
)
# The candidate is unproven before this many results without an error and in time.
SAMPLES_MIN: typing.Final = 10
# Part of the permitted exposure that an unproven candidate may use; the rest covers the requests
# until a verdict.
UNPROVEN_EXPOSURE: typing.Final = 0.6
# Time until all instances know of the requests that one of them has sent.
REPORT_DELAY_MS: typing.Final = 1000


def candidate_share(
    elapsed_ms: float,
    duration_ms: float,
    evaluation: canary_analysis.Evaluation,
    limits: ExposureLimits,
) -> float:
    """Return the share of the requests that the candidate gets.

    Parameters
    ----------
    elapsed_ms, duration_ms
        Time since the rollout request, and the time that it gives.
    limits
        Limits of the instances whose results are known.
    """
    elapsed_share = elapsed_ms / max(1, duration_ms)
    scheduled = max(step.share for step in STEPS if step.elapsed_share <= elapsed_share)
    if _is_proven(evaluation):
        return scheduled
    unproven = _unproven_share(elapsed_ms, evaluation.summed, limits)
    if evaluation.is_suspect:
        # Without further requests, a suspicion could neither be confirmed nor refuted.
        unproven = max(unproven, STEPS[0].share)
    return min(scheduled, unproven)


def may_complete(candidate: canary_analysis.ResultCounts) -> bool:
    """Return whether a version that gets all requests may replace the old one.

    A service with few requests may give few results. Of a version with fewer than ``SAMPLES_MIN``
    results in time, most results have to be so.
    """
    others = candidate.bad + candidate.slow
    return candidate.in_time >= SAMPLES_MIN or candidate.in_time > others


def _is_proven(evaluation: canary_analysis.Evaluation) -> bool:
    """Return whether the results cover the requests under way, and give no reason to wait.

    Requests that take long may be those that fail, so each of them needs a result in time.
    """
    candidate = evaluation.summed.candidate
    if evaluation.is_suspect or candidate.in_time < SAMPLES_MIN:
        return False
    return candidate.running <= candidate.in_time


def _unproven_share(
    elapsed_ms: float, summed: canary_analysis.FleetResults, limits: ExposureLimits
) -> float:
    """Return the share with which an unproven candidate stays within its exposure."""
    service_sent = summed.candidate.sent + summed.baseline.sent
    permitted = UNPROVEN_EXPOSURE * (limits.ratio * service_sent + limits.allowance)
    left = max(0, permitted - summed.candidate.sent)
    soon_sent = service_sent * REPORT_DELAY_MS / max(REPORT_DELAY_MS, elapsed_ms)
    return min(1.0, left / max(1, soon_sent))
