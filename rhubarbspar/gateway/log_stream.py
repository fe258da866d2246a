"""Log output to a file descriptor: rate-limited, buffered and never blocking.

Pattern: token bucket for each class of lines; lines beyond it are counted instead of written.
"""

import dataclasses
import os
import typing

from rhubarbspar import const as package_const

# Log lines of one process a second: those written for each request, and all others.
ROUTINE_LINES_PER_S: typing.Final = 40
OTHER_LINES_PER_S: typing.Final = 200
# Lines are buffered up to this size while the reader stalls; further lines are dropped.
BUFFER_MAX_BYTES: typing.Final = 262_144

ROUTINE_EVENTS: typing.Final = frozenset(
    ('attempt_started', 'forward_ended', 'forward_started', 'request_answered')
)


@dataclasses.dataclass(slots=True)
class LineRateLimiter:
    """Token bucket that permits a number of lines a second, with a burst of the same number."""

    lines_per_s: float
    tokens: float
    refilled_ms: float = 0
    dropped_count: int = 0

    def take(self, now_ms: float) -> bool:
        """Return whether a line may be written now; count it as dropped otherwise."""
        refill = (now_ms - self.refilled_ms) / package_const.MS_PER_S * self.lines_per_s
        self.tokens = min(self.lines_per_s, self.tokens + refill)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            self.dropped_count += 1
            return False
        self.tokens -= 1
        return True

    def take_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        count = self.dropped_count
        self.dropped_count = 0
        return count


class LogStream:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        """Use an open file descriptor and make it non-blocking."""
        self.dropped_count = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, buffer it while the reader stalls, or drop it if the buffer is full."""
        encoded = line.encode(errors='backslashreplace')
        if len(self._buffer) + len(encoded) > BUFFER_MAX_BYTES:
            self.dropped_count += 1
            return
        self._buffer += encoded
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The log is closed, or its disk is full; the gateway continues without it.
                self.dropped_count += 1
                self._buffer.clear()
                return
            self._buffer = self._buffer[written:]
