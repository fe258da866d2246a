"""Budget of the bytes that the connections of a process hold together.

Pattern: admission by reservation, with backpressure. A connection reads on once it has reserved what
it is about to hold. A part of the budget is left to small messages, so that large ones wait for each
other only.

A message of unknown size holds memory while it waits for more, so two of them could wait for each other
until their deadlines. While another message waits, one that is beyond its fair part (max-min fairness)
is given up.
"""

import dataclasses
import math
import typing
from collections import abc

# Larger messages cannot use the part of the budget that is left to small ones.
SMALL_MAX_BYTES: typing.Final = 131_072
_LARGE_SHARE: typing.Final = 0.9
# A message that holds more than this without a reservation is refused while the budget is exceeded: a
# head of 16 KiB with very short fields takes 500 KB.
UNRESERVED_MAX_BYTES: typing.Final = 65_536
# What the kernel may have received of a message that waits: all that came before its connection was
# accepted. The messages that wait may have an eighth of the budget in this way.
_WAITING_BYTES: typing.Final = 131_072
_WAITING_SHARE: typing.Final = 0.125
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
        self._shares: set[Share] = set()
        self._open_ended: dict[Share, abc.Callable[[], None]] = {}

    @property
    def message_max_bytes(self) -> float:
        """Return the size of the largest message that ever fits."""
        return self.limit_bytes * _LARGE_SHARE

    @property
    def is_short(self) -> bool:
        """Return whether a connection waits for memory."""
        return bool(self._waiting)

    def is_exceeded_by(self, share: 'Share') -> bool:
        """Return whether more is held than permitted, and a share is one of the larger ones."""
        return self.held_bytes > self.limit_bytes and share.size_bytes > UNRESERVED_MAX_BYTES

    @property
    def is_crowded(self) -> bool:
        """Return whether so many messages wait that no more should."""
        return len(self._waiting) * _WAITING_BYTES > self.limit_bytes * _WAITING_SHARE

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
        if size_bytes:
            self._shares.add(share)
        else:
            self._shares.discard(share)
        if self._share_of_whole is not None:
            self._share_of_whole.hold(self.held_bytes)
        if released and self._waiting:
            self._serve_waiting()

    def wait(self, share: 'Share', size_bytes: int, resume: abc.Callable[[], None]) -> bool:
        """Call ``resume`` once a share has grown to a size; return whether that was at once."""
        self._waiting[share] = _Waiting(size_bytes, resume)
        self.reclaim()
        return share not in self._waiting

    def forget(self, share: 'Share') -> None:
        """Remove a share from those that wait or may be given up."""
        self._waiting.pop(share, None)
        self._open_ended.pop(share, None)

    def mark_open_ended(self, share: 'Share', give_up: abc.Callable[[], None]) -> None:
        """Note that the final size of a share is unknown; ``give_up`` ends its message."""
        self._open_ended[share] = give_up

    def reclaim(self) -> None:
        """While a share waits, give up those of unknown size that are beyond their fair part."""
        while self._waiting and self._open_ended:
            largest = max(self._open_ended, key=self._wanted_bytes)
            if not self._is_beyond_fair_part(largest):
                return
            self._open_ended.pop(largest)()

    def _is_beyond_fair_part(self, share: 'Share') -> bool:
        """Return whether the shares would not fit if each had at most as much as this one."""
        bound_bytes = self._wanted_bytes(share)
        sizes = [self._wanted_bytes(other) for other in self._shares | self._waiting.keys()]
        bounded_bytes = sum(min(size, bound_bytes) for size in sizes)
        large_bytes = sum(min(size, bound_bytes) for size in sizes if size > SMALL_MAX_BYTES)
        return bounded_bytes > self.limit_bytes or large_bytes > self.message_max_bytes

    def _wanted_bytes(self, share: 'Share') -> int:
        """Return the size that a share has, or waits for."""
        waiting = self._waiting.get(share)
        return share.size_bytes if waiting is None else waiting.size_bytes

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
            self.budget.reclaim()
            return True
        return self.budget.wait(self, size_bytes, resume)

    def mark_open_ended(self, give_up: abc.Callable[[], None]) -> None:
        """Let ``give_up`` end the message, whose size is unknown, when others lack the memory.

        It is called once at most, while any message reserves memory, and has to release this share.
        """
        self.budget.mark_open_ended(self, give_up)

    def release(self) -> None:
        """Hold nothing and wait for nothing."""
        self.budget.forget(self)
        if self.size_bytes:
            self.budget.resize(self, 0)


def _large_part(size_bytes: int) -> int:
    return size_bytes if size_bytes > SMALL_MAX_BYTES else 0
