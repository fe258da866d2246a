"""Effects of the usage reports; each store effect is followed by one event with its outcome."""

import dataclasses

from rhubarbspar.core import effects
from rhubarbspar.gateway.usage import models


@dataclasses.dataclass(frozen=True, slots=True)
class UsageEffect(effects.Effect):
    """Base of the effects of the usage reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDuty(UsageEffect):
    """Read the record of the duty; ``DutyRead`` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteDuty(UsageEffect):
    """Write the record of the duty if it has the revision; ``WriteEnded`` follows.

    Attributes
    ----------
    record
        Its ``revision`` is that of the record to replace, 0 if there is none.
    """

    record: models.DutyRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ReadWindows(UsageEffect):
    """Read the counts that were written; ``WindowsRead`` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteWindow(UsageEffect):
    """Write the counts of a window; ``WriteEnded`` follows.

    Nothing is written if the window has counts already, or the record of the duty another revision.

    Attributes
    ----------
    deleted_windows
        Windows whose counts are deleted.
    """

    window: models.WindowCounts
    duty_revision: int
    deleted_windows: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport(UsageEffect):
    """Send the report of a window to the platform; ``ReportEnded`` follows.

    Attributes
    ----------
    expires_ms
        Time by the clock of the instance after which the call must not start.
    """

    window: models.WindowCounts
    token: int
    expires_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReport(UsageEffect):
    """Abort the call under way; no ``ReportEnded`` follows."""
