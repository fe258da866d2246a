"""Number of instances among which a limit of the whole fleet is divided.

An instance that knows few others, because it has just started or their registrations have lapsed
while they are cut off, must not take their shares as well.
"""

import dataclasses
import math
import typing

# After its first read of the store, an instance waits this long: others that start at the same time
# register meanwhile.
SETTLE_MS: typing.Final = 2000
# A smaller number counts once it has lasted between one and two times this long. Instances that are
# cut off may go on serving for as long.
SHRINK_MS: typing.Final = 300_000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of instances of the fleet.

    Attributes
    ----------
    instances
        Instances that may serve, whether or not they are heard; at least 1.
    known_for_ms
        Time since the store was first read; negative before.
    """

    instances: int
    known_for_ms: float

    @property
    def is_known(self) -> bool:
        """Return whether the store has shown which instances there are."""
        return self.known_for_ms >= SETTLE_MS

    def share(self, total: float) -> float:
        """Return the part of a total that this instance may use; 0 while the size is unknown."""
        return total / self.instances if self.is_known else 0.0


@dataclasses.dataclass(slots=True)
class SizeHistory:
    """The largest number of registered instances lately.

    Attributes
    ----------
    read_ms
        When the store was first read; infinity before.
    """

    read_ms: float = math.inf
    _period_ms: float = -math.inf
    _largest: int = 1
    _largest_before: int = 1

    def record(self, registered_count: int, now_ms: float) -> None:
        """Note the number of registered instances, this one included."""
        if now_ms - self._period_ms > SHRINK_MS:
            self._period_ms = now_ms
            self._largest_before = self._largest
            self._largest = registered_count
        self._largest = max(self._largest, registered_count)

    def note_read(self, now_ms: float) -> None:
        """Note that the store was read; only the first time counts."""
        self.read_ms = min(self.read_ms, now_ms)

    def size(self, now_ms: float) -> FleetSize:
        """Return the number of instances."""
        return FleetSize(max(self._largest, self._largest_before), now_ms - self.read_ms)
