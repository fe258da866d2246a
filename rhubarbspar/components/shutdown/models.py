"""State of the shutdown component."""

import dataclasses
import enum


class Phase(enum.StrEnum):
    """Phases of a planned stop, in order.

    ``SERVING`` still accepts requests, ``FINISHING`` completes those that run, ``HANDING_OVER``
    passes the idempotency records to a successor, and ``RELEASING`` releases the claims.
    """

    RUNNING = 'running'
    SERVING = 'serving'
    FINISHING = 'finishing'
    HANDING_OVER = 'handing_over'
    RELEASING = 'releasing'
    ENDED = 'ended'


@dataclasses.dataclass
class ShutdownState:
    """Phase of the planned stop, and the time at which it began."""

    phase: Phase = Phase.RUNNING
    phase_since_ms: float = 0

    @property
    def accepts_callers(self) -> bool:
        """Tell whether new requests of callers are still accepted."""
        return self.phase in {Phase.RUNNING, Phase.SERVING}
