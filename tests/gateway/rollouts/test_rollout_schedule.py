"""Schedule of rollouts, under floods of requests whose results come late or not at all."""

import pytest

from rhubarbspar.gateway.rollouts import canary_analysis
from rhubarbspar.gateway.rollouts import rollout_schedule

DURATION_MS = 12_000
LIMITS = rollout_schedule.ExposureLimits(0.1, 50)


def evaluate(candidate, baseline_sent=0, is_suspect=False):
    """Return the evaluation of the counts of a candidate."""
    baseline = canary_analysis.ResultCounts(sent=baseline_sent, good=baseline_sent)
    summed = canary_analysis.FleetResults(candidate, baseline)
    return canary_analysis.Evaluation(summed, False, is_suspect)


def share_at(elapsed_ms, evaluation):
    """Return the share of the candidate at a time of the rollout."""
    return rollout_schedule.candidate_share(elapsed_ms, DURATION_MS, evaluation, LIMITS)


@pytest.mark.parametrize('rate_per_s', [1, 5, 55, 160, 584, 5000])
@pytest.mark.parametrize('delay_ms', [0, 500, 1000])
def test_version_without_results_stays_within_its_exposure(rate_per_s, delay_ms):
    """Guards against a bad version that gets more requests the later its results come.

    The instances know of the requests that others have sent after a delay.
    """
    step_ms = 50
    history = [(0.0, 0.0)]
    for elapsed_ms in range(0, DURATION_MS, step_ms):
        known_sent, known_candidate = history[max(0, len(history) - 1 - delay_ms // step_ms)]
        counts = canary_analysis.ResultCounts(sent=known_candidate, running=known_candidate)
        share = share_at(elapsed_ms, evaluate(counts, known_sent - known_candidate))
        sent, candidate = history[-1]
        new = rate_per_s * step_ms / 1000
        history.append((sent + new, candidate + new * share))
    sent, candidate = history[-1]
    assert candidate <= LIMITS.ratio * sent + LIMITS.allowance


def test_version_with_results_in_time_follows_the_steps():
    """Guards against a good version that misses its deadline."""
    counts = canary_analysis.ResultCounts(sent=300, running=100, good=200)
    evaluation = evaluate(counts, baseline_sent=100)
    assert share_at(0, evaluation) == pytest.approx(0.05)
    assert share_at(DURATION_MS, evaluation) == 1


@pytest.mark.parametrize(
    'counts',
    [
        canary_analysis.ResultCounts(sent=300, running=200, good=100),
        canary_analysis.ResultCounts(sent=300, good=300, slow=295),
    ],
)
def test_version_with_late_results_gets_no_more(counts):
    """Guards against a rollout that goes on while requests hang or responses are late."""
    assert share_at(DURATION_MS, evaluate(counts, 100)) == 0


def test_suspect_version_gets_the_share_of_the_first_step():
    """Guards against a rollout that goes on in doubt, and against one that can't be decided."""
    counts = canary_analysis.ResultCounts(sent=300, good=300)
    first_step = rollout_schedule.STEPS[0].share
    assert share_at(DURATION_MS, evaluate(counts, 100, is_suspect=True)) == first_step
