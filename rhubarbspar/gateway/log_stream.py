"""Standard output for log lines: bounded in volume, and never blocking.

Pattern: token bucket for each class of lines; what does not fit is counted instead of written.
"""

import dataclasses
import errno
import os
import typing

from rhubarbspar import const as package_const

# Lines of one process a second: those of usual progress, and all others.
ROUTINE_LINES_PER_S: typing.Final = 40
OTHER_LINES_PER_S: typing.Final = 200
# A reader that stalls may be behind by this much before lines are left out.
BUFFER_MAX_BYTES: typing.Final = 262_144

ROUTINE_EVENTS: typing.Final = frozenset(('attempt_started', 'request_answered'))


@dataclasses.dataclass(slots=True)
class LineRateLimiter:
    """Permits a number of lines a second, with as many at once."""

    lines_per_s: float
    tokens: float
    filled_ms: float = 0
    dropped_count: int = 0

    def take(self, now_ms: float) -> bool:
        """Return whether a line may be written; count it otherwise."""
        gained = (now_ms - self.filled_ms) / package_const.MS_PER_S * self.lines_per_s
        self.tokens = min(self.lines_per_s, self.tokens + gained)
        self.filled_ms = now_ms
        if self.tokens < 1:
            self.dropped_count += 1
            return False
        self.tokens -= 1
        return True

    def take_dropped_count(self) -> int:
        """Return the number of lines left out since the last call."""
        count = self.dropped_count
        self.dropped_count = 0
        return count


class LogStream:
    """A file descriptor that is written without waiting."""

    def __init__(self, descriptor: int) -> None:
        """Use an open descriptor; it becomes non-blocking."""
        self.dropped_count = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it until the reader catches up."""
        raw = line.encode()
        if len(self._buffer) + len(raw) > BUFFER_MAX_BYTES:
            self.dropped_count += 1
            return
        self._buffer += raw
        self.flush()

    def flush(self) -> None:
        """Write what is kept, as far as the reader takes it."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in {errno.EPIPE, errno.EIO}:
                    raise
                # Nobody reads the log any more; the gateway goes on without it.
                self.dropped_count += 1
                self._buffer.clear()
                return
            self._buffer = self._buffer[written:]
