"""Fisher's exact test, candidate against old version in the same period.

Source: Fisher, "Statistical Methods for Research Workers", 5th edition, 1934, section 21.02.
"""

import math

from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models


def is_worse(window: models.TestWindow) -> bool:
    """Tell whether the candidate's share of faults is higher than chance explains.

    The comparison is repeated as requests arrive, so that its limit falls with the number m of old
    requests: the parts 1 / (m (m + 1)) sum to one over all m.
    """
    old_requests = window.old_requests + 1
    spent = const.P_VALUE_SUM_MAX / (old_requests * (old_requests + 1))
    return _chance(window) < min(const.P_VALUE_MAX, spent)


def _chance(window: models.TestWindow) -> float:
    """Return the probability of at least the candidate's faults if both versions are equally good."""
    faults = window.faults + window.old_faults
    possible = _log_combinations(window.requests + window.old_requests, faults)
    largest = min(window.requests, faults)
    terms = (
        _log_combinations(window.requests, number)
        + _log_combinations(window.old_requests, faults - number)
        for number in range(window.faults, largest + 1)
    )
    return sum(math.exp(term - possible) for term in terms)


def _log_combinations(total: int, chosen: int) -> float:
    ordered = math.lgamma(total + 1) - math.lgamma(total - chosen + 1)
    return ordered - math.lgamma(chosen + 1)
