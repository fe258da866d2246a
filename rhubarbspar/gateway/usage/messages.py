"""Messages of the usage reports between gateways."""

import dataclasses

from rhubarbspar.gateway import messages
from rhubarbspar.gateway.usage import models


@dataclasses.dataclass(frozen=True, slots=True)
class PartCounts:
    """Counts of one incarnation of an instance in a window.

    Attributes
    ----------
    version
        Rises with each change of the counts; of two parts the one with the higher version holds.
    is_complete
        Whether the counts will not change any more.
    """

    instance_id: str
    incarnation: str
    window_id: int
    version: int
    is_complete: bool
    counts: tuple[models.AccountCount, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UsagePart(messages.GatewayMessage):
    """Parts on their way to the instances that keep them, and what the sender knows of the duty.

    Attributes
    ----------
    sent_unix_ms
        True time at the sender by its estimate.
    settled_ms
        For how long that estimate has held.
    """

    parts: tuple[PartCounts, ...]
    status: models.DutyStatus
    sent_unix_ms: float
    settled_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UsageStatus(messages.GatewayMessage):
    """What the sender knows of the duty; passed on to every instance when it changes.

    Attributes
    ----------
    sent_unix_ms, settled_ms
        As in ``UsagePart``.
    """

    status: models.DutyStatus
    sent_unix_ms: float
    settled_ms: float = 0
