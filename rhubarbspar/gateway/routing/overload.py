"""Early refusal of requests while a server is overloaded for longer than a burst.

Pattern: controlled delay (Nichols and Jacobson, "Controlling queue delay", 2012), applied to the
expected latency. A short burst is queued. Behind a standing queue, requests that would miss their
latency objective are refused at once, so that the others are answered in time.
"""

import dataclasses
import math
import typing

# A queue that lasts this long is a standing queue.
STANDING_MS: typing.Final = 400
# A wait of up to this share of the latency objective is always permitted, even if the processing
# alone takes longer than the objective.
WAIT_MIN_SHARE: typing.Final = 0.8
# Load per slot above which processing time has a price, and the price per unit of load above it.
PRICE_LOAD_MIN: typing.Final = 0.6
PRICE_SLOPE: typing.Final = 3.0
PRICE_MAX: typing.Final = 4.0


def congestion_price(load_per_slot: float) -> float:
    """Return the price of a millisecond of processing time at a service, in milliseconds of delay.

    The fuller the service, the more a request delays the others by its processing time. So the
    price favours servers that have the object cached, as they spend less time on it.
    """
    return min(PRICE_MAX, max(0.0, load_per_slot - PRICE_LOAD_MIN) * PRICE_SLOPE)


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedTimes:
    """Expected times of a request and the latency objective of its route, milliseconds."""

    wait_ms: float
    processing_ms: float
    objective_ms: float


@dataclasses.dataclass(slots=True)
class StandingQueueDetector:
    """Detects a standing queue at a server, and decides which requests are refused behind it.

    Attributes
    ----------
    late_since_ms
        Since when every request to the server was expected to be late; infinity if the last one was
        not.
    """

    late_since_ms: float = math.inf

    def should_refuse(self, expected: ExpectedTimes, now_ms: float) -> bool:
        """Return whether a request is refused because of a standing queue.

        Each call updates the detector by the expected wait of the request.
        """
        wait_max_ms = expected.objective_ms - expected.processing_ms
        if expected.wait_ms <= max(WAIT_MIN_SHARE * expected.objective_ms, wait_max_ms):
            self.late_since_ms = math.inf
            return False
        self.late_since_ms = min(self.late_since_ms, now_ms)
        return now_ms - self.late_since_ms >= STANDING_MS
