"""Budget of the bytes that the connections of a process hold together.

Pattern: admission by reservation, with backpressure. A connection reads on once it has reserved what
it is about to hold. A part of the budget is left to small messages, so that large ones wait for each
other only.
"""

import dataclasses
import math
import typing
from collections import abc

# Larger messages cannot use the part of the budget that is left to small ones.
SMALL_MAX_BYTES: typing.Final = 131_072
_LARGE_SHARE: typing.Final = 0.9
# Size of the two objects and the tuple that hold a header in memory, besides its text.
HEADER_OVERHEAD_BYTES: typing.Final = 170


class MemoryBudget:
    """Bytes that may be held, and those that are.

    Parameters
    ----------
    limit_bytes
        Upper bound of what all shares reserve together.
    whole
        Budget of which this one is a part. The part never waits for the rest of it, but the rest
        waits for the part.
    """

    def __init__(self, limit_bytes: float = math.inf, whole: 'MemoryBudget | None' = None) -> None:
        """Create a budget of which nothing is held."""
        self.limit_bytes = limit_bytes
        self._share_of_whole = None if whole is None else Share(whole)
        self.held_bytes = 0
        self._large_bytes = 0
        self._waiting: dict[Share, _Waiting] = {}

    @property
    def message_max_bytes(self) -> float:
        """Return the size of the largest message that ever fits."""
        return self.limit_bytes * _LARGE_SHARE

    @property
    def is_short(self) -> bool:
        """Return whether a connection waits for memory."""
        return bool(self._waiting)

    def part(self, message_max_bytes: int) -> 'MemoryBudget':
        """Return a part of this budget that holds a large message of up to a size."""
        return MemoryBudget(math.ceil(message_max_bytes / _LARGE_SHARE), self)

    def fits(self, share: 'Share', size_bytes: int) -> bool:
        """Return whether a share may grow to a size."""
        if self.held_bytes - share.size_bytes + size_bytes > self.limit_bytes:
            return False
        if size_bytes <= SMALL_MAX_BYTES:
            return True
        own_bytes = share.size_bytes if share.size_bytes > SMALL_MAX_BYTES else 0
        return self._large_bytes - own_bytes + size_bytes <= self.message_max_bytes

    def resize(self, share: 'Share', size_bytes: int) -> None:
        """Set the size of a share; when bytes were released, serve the shares that wait."""
        released = size_bytes < share.size_bytes
        self.held_bytes += size_bytes - share.size_bytes
        self._large_bytes += _large_part(size_bytes) - _large_part(share.size_bytes)
        share.size_bytes = size_bytes
        if self._share_of_whole is not None:
            self._share_of_whole.hold(self.held_bytes)
        if released and self._waiting:
            self._serve_waiting()

    def wait(self, share: 'Share', size_bytes: int, resume: abc.Callable[[], None]) -> None:
        """Call ``resume`` once a share has grown to a size."""
        self._waiting[share] = _Waiting(size_bytes, resume)

    def stop_waiting(self, share: 'Share') -> None:
        """Forget that a share waits."""
        self._waiting.pop(share, None)

    def _serve_waiting(self) -> None:
        for share, waiting in tuple(self._waiting.items()):
            if share in self._waiting and self.fits(share, waiting.size_bytes):
                self._waiting.pop(share)
                self.resize(share, waiting.size_bytes)
                waiting.resume()


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """What a share waits for."""

    size_bytes: int
    resume: abc.Callable[[], None]


class Share:
    """The part of a budget that one message holds.

    Attributes
    ----------
    size_bytes
        Bytes that are held or reserved.
    budget
        The budget of which it is a part.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        """Create an empty share."""
        self.size_bytes = 0
        self.budget = budget

    def hold(self, size_bytes: int) -> None:
        """Hold bytes that are in memory already, whether or not they fit."""
        self.budget.resize(self, size_bytes)

    def reserve(self, size_bytes: int, resume: abc.Callable[[], None]) -> bool:
        """Grow to a size if it fits; otherwise call ``resume`` once it does.

        Returns
        -------
        bool
            Whether it fits now.
        """
        if size_bytes <= self.size_bytes:
            return True
        if self.budget.fits(self, size_bytes):
            self.budget.resize(self, size_bytes)
            return True
        self.budget.wait(self, size_bytes, resume)
        return False

    def release(self) -> None:
        """Hold nothing and wait for nothing."""
        self.budget.stop_waiting(self)
        if self.size_bytes:
            self.budget.resize(self, 0)


def _large_part(size_bytes: int) -> int:
    return size_bytes if size_bytes > SMALL_MAX_BYTES else 0
