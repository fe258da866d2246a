"""Queue of the frames for one peer, in which short messages overtake bulk ones.

Pattern: two priority classes. Without them, heartbeats wait behind long changes on a narrow link until
the sender seems dead.
"""

import collections
import typing
from collections import abc

FrameT = typing.TypeVar('FrameT', bound=abc.Sized)


class SendQueue(typing.Generic[FrameT]):
    """Frames in two lanes; those of a lane keep their order."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._urgent: collections.deque[FrameT] = collections.deque()
        self._bulk: collections.deque[FrameT] = collections.deque()

    def __len__(self) -> int:
        """Return the number of frames."""
        return len(self._urgent) + len(self._bulk)

    def push(self, frame: FrameT, *, is_bulk: bool) -> None:
        """Add a frame; bulk frames leave the queue while no other one waits."""
        lane = self._bulk if is_bulk else self._urgent
        lane.append(frame)

    def pop(self) -> FrameT:
        """Remove and return the next frame.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        return self._urgent.popleft() if self._urgent else self._bulk.popleft()

    def clear(self) -> None:
        """Remove all frames."""
        self._urgent.clear()
        self._bulk.clear()
