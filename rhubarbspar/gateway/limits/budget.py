"""Retry budget of each service over all instances.

Pattern: retry budget as a share of the requests in a sliding window. The allowance that does not
depend on the requests is divided among the instances.
"""

import collections
import dataclasses
import typing

from rhubarbspar.gateway.limits import fleet_size
from rhubarbspar.helpers import rendezvous

# Shares of the permitted ratio and allowance that are spent; the rest covers requests in flight.
RATIO_SHARE: typing.Final = 0.7
ALLOWANCE_SHARE: typing.Final = 0.6
# Two windows that follow each other may lie within one of the operators: each gets half.
DRAWN_SHARE: typing.Final = 0.5
# Length of the intervals in which requests and retries are counted.
INTERVAL_MS: typing.Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of the retries in a window over all instances.

    Attributes
    ----------
    ratio
        Retries permitted per request.
    allowance
        Retries permitted in addition, however few the requests.
    """

    ratio: float
    allowance: float
    window_ms: float


@dataclasses.dataclass(slots=True)
class _Interval:
    """Requests and retries counted in one interval of the window."""

    started_ms: float
    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Counts the requests and retries of this instance by service, and limits the retries."""

    limits: BudgetLimits
    windows: dict[str, collections.deque[_Interval]] = dataclasses.field(default_factory=dict)

    def record_request(self, service_id: str, now_ms: float) -> None:
        """Add a request to the window of a service."""
        self._current_interval(service_id, now_ms).requests += 1

    def try_acquire(
        self, service_id: str, instance_id: str, size: fleet_size.FleetSize, now_ms: float
    ) -> bool:
        """Add a retry to the window of a service if the budget permits it; return whether it does.

        Parameters
        ----------
        instance_id
            Id of this instance.
        size
            Instances among which the allowance is divided.
        """
        current = self._current_interval(service_id, now_ms)
        window = self.windows[service_id]
        requests = sum(interval.requests for interval in window)
        retries = sum(interval.retries for interval in window)
        allowance = 0.0
        if size.known_for_ms >= self.limits.window_ms:
            # Until then, the process before this one may have used its share of the same window.
            share = size.share(self.limits.allowance * ALLOWANCE_SHARE)
            allowance = self._whole_retries(share, f'{instance_id}/{service_id}', now_ms)
        if retries + 1 > self.limits.ratio * RATIO_SHARE * requests + allowance:
            return False
        current.retries += 1
        return True

    def _whole_retries(self, share: float, owner: str, now_ms: float) -> float:
        """Return the allowance of this instance for a window.

        A share of less than one retry would let nobody retry in a quiet service of a large fleet.
        Some instances get a whole one instead, others in each window.
        """
        if not 0 < share < 1:
            return share
        window_number = int(now_ms / self.limits.window_ms)
        is_drawn = rendezvous.hash_fraction(f'{owner}/{window_number}') < share * DRAWN_SHARE
        return 1.0 if is_drawn else 0.0

    def _current_interval(self, service_id: str, now_ms: float) -> _Interval:
        """Return the newest interval of a service; drop those that have left the window."""
        window = self.windows.setdefault(service_id, collections.deque())
        while window and now_ms - window[0].started_ms > self.limits.window_ms:
            window.popleft()
        if not window or now_ms - window[-1].started_ms >= INTERVAL_MS:
            window.append(_Interval(now_ms))
        return window[-1]
