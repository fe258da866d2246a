"""Budget of repeated attempts for each service over all instances.

Pattern: retry budget as a share of requests in a sliding window; the allowance that does not depend on
requests is divided among the instances.
"""

import collections
import dataclasses
import typing

# Parts of the permitted ratio and allowance that are used; the rest covers requests under way.
RATIO_USED: typing.Final = 0.7
ALLOWANCE_USED: typing.Final = 0.6
BUCKET_MS: typing.Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The permitted repeats in a window over all instances."""

    ratio: float
    allowance: float
    window_ms: float


@dataclasses.dataclass(slots=True)
class _Counts:
    started_ms: float
    requests: int = 0
    repeats: int = 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Requests and repeats of this instance by service."""

    limits: BudgetLimits
    counts: dict[str, collections.deque[_Counts]] = dataclasses.field(default_factory=dict)

    def note_request(self, service_id: str, now_ms: float) -> None:
        """Count a request."""
        self._current(service_id, now_ms).requests += 1

    def take(self, service_id: str, instances: int, now_ms: float) -> bool:
        """Count a repeat if the budget permits it."""
        current = self._current(service_id, now_ms)
        window = self.counts[service_id]
        requests = sum(counts.requests for counts in window)
        repeats = sum(counts.repeats for counts in window)
        allowance = self.limits.allowance * ALLOWANCE_USED / max(1, instances)
        if repeats + 1 > self.limits.ratio * RATIO_USED * requests + allowance:
            return False
        current.repeats += 1
        return True

    def _current(self, service_id: str, now_ms: float) -> _Counts:
        window = self.counts.setdefault(service_id, collections.deque())
        while window and now_ms - window[0].started_ms > self.limits.window_ms:
            window.popleft()
        if not window or now_ms - window[-1].started_ms >= BUCKET_MS:
            window.append(_Counts(now_ms))
        return window[-1]
