"""Estimate of true time that a short jump of the time of day does not change."""

import dataclasses
import math
import typing

# Corrections of a synchronised clock are smaller than this; a larger change is a jump.
JUMP_MIN_MS: typing.Final = 150
# A jump that lasts for this long is a correction of a clock that was wrong before.
JUMP_HELD_MS: typing.Final = 120_000
# Messages take up to 70 ms, which makes the clock of their sender appear late by as much.
PEER_DIFFERENCE_MIN_MS: typing.Final = 300
# Only an instance that has just started adopts the estimate of a peer: its own first reading may
# fall into a jump.
PEERS_COMPARED_MS: typing.Final = 15_000


@dataclasses.dataclass(slots=True)
class TrueTime:
    """Difference between true time and the clock of the instance.

    Attributes
    ----------
    offset_ms
        True time of the clock's zero, since the start of 1970; ``None`` before the first reading.
    settled_since_ms
        Since when the estimate has held.
    jumped_to_ms, jumped_since_ms
        Offset after a jump that is not believed yet, and since when it has been read.
    started_ms
        When the time of day was first read.
    """

    offset_ms: float | None = None
    settled_since_ms: float = math.inf
    jumped_to_ms: float = math.nan
    jumped_since_ms: float = math.inf
    started_ms: float = math.inf

    def read(self, now_ms: float, unix_ms: float) -> None:
        """Apply a reading of the time of day."""
        offset_ms = unix_ms - now_ms
        if self.offset_ms is None:
            self.started_ms = now_ms
            self._adopt(offset_ms, now_ms)
        elif abs(offset_ms - self.offset_ms) < JUMP_MIN_MS:
            self.offset_ms = offset_ms
            self.jumped_since_ms = math.inf
        elif abs(offset_ms - self.jumped_to_ms) < JUMP_MIN_MS:
            if now_ms - self.jumped_since_ms >= JUMP_HELD_MS:
                self._adopt(offset_ms, now_ms)
        else:
            self.jumped_to_ms = offset_ms
            self.jumped_since_ms = now_ms

    def compare(self, now_ms: float, peer_unix_ms: float, peer_settled_ms: float) -> None:
        """Adopt the estimate of a peer that has held for longer, if it differs."""
        is_starting = now_ms - self.started_ms < PEERS_COMPARED_MS
        if self.offset_ms is None or not is_starting:
            return
        if peer_settled_ms <= self.settled_ms(now_ms):
            return
        difference_ms = peer_unix_ms - now_ms - self.offset_ms
        if abs(difference_ms) >= PEER_DIFFERENCE_MIN_MS:
            self._adopt(self.offset_ms + difference_ms, now_ms)

    def unix_ms(self, now_ms: float) -> float:
        """Return the true time at a time of the clock."""
        return now_ms + (self.offset_ms or 0)

    def settled_ms(self, now_ms: float) -> float:
        """Return for how long the estimate has held."""
        return max(0, now_ms - self.settled_since_ms)

    def _adopt(self, offset_ms: float, now_ms: float) -> None:
        self.offset_ms = offset_ms
        self.settled_since_ms = now_ms
        self.jumped_to_ms = math.nan
        self.jumped_since_ms = math.inf
