"""Events of the usage reports: outcomes of calls to the store and to the platform."""

import dataclasses
import enum

from rhubarbspar.core import events
from rhubarbspar.gateway.usage import models


@dataclasses.dataclass(frozen=True, slots=True)
class UsageEvent(events.Event):
    """Base of the events of the usage reports."""


class WriteOutcome(enum.StrEnum):
    """How a conditional write ended; ``UNKNOWN`` may still take effect later."""

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class DutyRead(UsageEvent):
    """The record of the duty was read; ``None`` if there is none.

    Attributes
    ----------
    is_restored
        Whether the store was restored since the record was written.
    """

    record: models.DutyRecord | None
    is_restored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WindowsRead(UsageEvent):
    """The counts that were written were read."""

    windows: tuple[models.WindowCounts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed(UsageEvent):
    """A read of the store failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEnded(UsageEvent):
    """A conditional write ended; ``revision`` is that of the store after a successful one."""

    outcome: WriteOutcome
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportEnded(UsageEvent):
    """A call to the platform ended.

    Attributes
    ----------
    status
        HTTP status; 0 without a response, after which the report may have been accepted.
    """

    window_id: int
    status: int
