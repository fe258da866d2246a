"""Fisher's exact test of the candidate's faults against the old version's in the same period.

Source: Fisher, "Statistical Methods for Research Workers", 5th edition, 1934, section 21.02.
"""

import math

from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models


def is_worse(window: models.TestWindow) -> bool:
    """Tell whether the candidate's fault share is significantly higher than the old version's.

    The comparison is repeated while requests arrive. The significance level therefore falls with
    the number m of old requests: the factors 1 / (m (m + 1)) sum to one over all m, which bounds
    the error probability over all comparisons.
    """
    old_requests = window.old_requests + 1
    significance_level = const.P_VALUE_SUM_MAX / (old_requests * (old_requests + 1))
    return _p_value(window) < min(const.P_VALUE_MAX, significance_level)


def _p_value(window: models.TestWindow) -> float:
    """Return the probability of at least as many candidate faults if both versions are equal."""
    faults = window.faults + window.old_faults
    log_total = _log_combinations(window.requests + window.old_requests, faults)
    faults_max = min(window.requests, faults)
    log_terms = (
        _log_combinations(window.requests, candidate_faults)
        + _log_combinations(window.old_requests, faults - candidate_faults)
        for candidate_faults in range(window.faults, faults_max + 1)
    )
    return sum(math.exp(log_term - log_total) for log_term in log_terms)


def _log_combinations(total: int, chosen: int) -> float:
    """Return the logarithm of the binomial coefficient."""
    log_permutations = math.lgamma(total + 1) - math.lgamma(total - chosen + 1)
    return log_permutations - math.lgamma(chosen + 1)
