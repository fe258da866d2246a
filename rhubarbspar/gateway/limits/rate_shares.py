"""Shares of a rate limit that all instances have in common.

Pattern: a few holders, chosen by rendezvous hashing, divide the limit evenly and pace their
requests. If every instance of a large fleet had a share, it would be less than one request in the
period for which the limit holds, and the first request of each instance would exceed the limit.
"""

import dataclasses
import math
import typing

from rhubarbspar import const as package_const

# A holder may send at least one request in this time, so a lower limit has fewer holders. In any
# period, the requests exceed the limit by at most what it permits in this time.
HOLDER_INTERVAL_MS: typing.Final = 1500
# While no instance is known to use the limit, the holders may have no requests. The instances after
# them may then use it in turn, each for this time; it is longer than a report takes to all of them.
IDLE_STEP_MS: typing.Final = 2000
# A lower limit counts as this one: without any request, nobody would learn that the limit has ended.
LIMIT_MIN_PER_S: typing.Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Place of this instance in the order of the instances that may hold a limit.

    Attributes
    ----------
    rank
        Number of present instances before this one.
    instances
        Number of present instances.
    """

    rank: int
    instances: int


@dataclasses.dataclass(slots=True)
class RateShare:
    """Part of a rate limit that this instance may use.

    Attributes
    ----------
    limit_per_s
        Requests a second from all instances together.
    used_ms
        When an instance was last known to have sent a request under the limit.
    next_ms
        When this instance may send the next request, if it is a holder.
    """

    limit_per_s: float
    position: Position
    used_ms: float
    next_ms: float = -math.inf

    def __post_init__(self) -> None:
        """Stagger the first requests of the holders."""
        offset = self.position.rank / self.holder_count
        self.next_ms = self.used_ms + self.interval_ms * min(1.0, offset)

    @property
    def holder_count(self) -> int:
        """Return the number of instances among which the limit is divided."""
        counted = int(self._limit_per_s * HOLDER_INTERVAL_MS / package_const.MS_PER_S)
        return max(1, min(counted, self.position.instances))

    @property
    def interval_ms(self) -> float:
        """Return the least time between two requests of a holder."""
        return self.holder_count / self._limit_per_s * package_const.MS_PER_S

    def move(self, position: Position, now_ms: float) -> None:
        """Adopt a new position; a new holder waits for an interval.

        The former holder may have used its share just now.
        """
        was_holder = self._is_holder
        self.position = position
        if self._is_holder and not was_holder:
            self.next_ms = max(self.next_ms, now_ms + self.interval_ms)

    def may_send(self, now_ms: float) -> bool:
        """Return whether this instance may send a request now."""
        if now_ms < self.next_ms:
            return False
        return self._is_holder or self.position.rank == self._stand_in_rank(now_ms)

    def record_sent(self, now_ms: float) -> None:
        """Count a request that this instance sends."""
        self.used_ms = max(self.used_ms, now_ms)
        self.next_ms = now_ms + self.interval_ms

    def _stand_in_rank(self, now_ms: float) -> int | None:
        """Return the rank of the instance that may use an idle limit beside the holders."""
        idle_steps = int((now_ms - self.used_ms) / IDLE_STEP_MS)
        return self.holder_count + idle_steps - 1 if idle_steps > 0 else None

    @property
    def _is_holder(self) -> bool:
        return self.position.rank < self.holder_count

    @property
    def _limit_per_s(self) -> float:
        return max(LIMIT_MIN_PER_S, self.limit_per_s)
