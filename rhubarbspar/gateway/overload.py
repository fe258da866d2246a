"""Refusing requests early while a service is overloaded for longer than a burst.

Pattern: controlled delay (Nichols and Jacobson, "Controlling queue delay", 2012), applied to the expected
latency: a short burst queues; behind a standing queue, requests that would be late are refused at once, so
that those served are served in time.
"""

import dataclasses
import math
import typing

# A queue that lasts this long is a standing one.
STANDING_MS: typing.Final = 400
# A wait of this part of the latency objective is permitted also for work that takes longer than that.
WAIT_MIN_PART: typing.Final = 0.8
# Load per slot from which each millisecond of work is priced, and the price per unit of load above it.
PRESSURE_START: typing.Final = 0.6
PRESSURE_SLOPE: typing.Final = 3.0
PRESSURE_MAX: typing.Final = 4.0


def pressure(load_per_slot: float) -> float:
    """Return the price of work at a service, in milliseconds a millisecond.

    Work that a request consumes delays the others the more, the fuller the service is; so a server that
    has an object at hand is preferred the more.
    """
    return min(PRESSURE_MAX, max(0.0, load_per_slot - PRESSURE_START) * PRESSURE_SLOPE)


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """Times that are expected of a request, milliseconds."""

    wait_ms: float
    work_ms: float
    objective_ms: float


@dataclasses.dataclass(slots=True)
class Overload:
    """Whether the queue of a server is a standing one.

    Attributes
    ----------
    late_since_ms
        Since when all requests to the server have been expected to be late; infinite if the last one was not.
    """

    late_since_ms: float = math.inf

    def refuses(self, expected: Expected, now_ms: float) -> bool:
        """Return whether a request is refused because it would wait and be late."""
        permitted_ms = expected.objective_ms - expected.work_ms
        if expected.wait_ms <= max(WAIT_MIN_PART * expected.objective_ms, permitted_ms):
            self.late_since_ms = math.inf
            return False
        self.late_since_ms = min(self.late_since_ms, now_ms)
        return now_ms - self.late_since_ms >= STANDING_MS
