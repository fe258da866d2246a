"""State of the usage reports at one instance."""

import dataclasses
import math

from rhubarbspar.gateway.usage import clock as usage_clock
from rhubarbspar.gateway.usage import counting
from rhubarbspar.gateway.usage import duty as usage_duty
from rhubarbspar.gateway.usage import models
from rhubarbspar.gateway.usage import parts as part_table
from rhubarbspar.server import metrics


@dataclasses.dataclass(slots=True)
class UsageState:
    """Counts, parts, the duty and what was passed on.

    Attributes
    ----------
    counter
        Counts of this instance; ``None`` until the time of day was read.
    sent_changes
        Last change of the parts that was sent to each receiver.
    own_sent_change, pass_number
        Last change of the parts when own ones were last sent, and how often this was done.
    passed_on_ms
        When parts were last passed on.
    told_status
        What the peers were last told of the duty.
    """

    settings: models.UsageSettings
    duty: usage_duty.Duty
    clock: usage_clock.TrueTime = dataclasses.field(default_factory=usage_clock.TrueTime)
    counter: counting.Counter | None = None
    parts: part_table.PartTable = dataclasses.field(default_factory=part_table.PartTable)
    sent_changes: dict[str, int] = dataclasses.field(default_factory=dict)
    own_sent_change: int = 0
    pass_number: int = 0
    passed_on_ms: float = -math.inf
    told_status: models.DutyStatus = models.DutyStatus()

    def read_gauges(self) -> list[metrics.Gauge]:
        """Return the duty and the windows that are still to be sent, as far as known."""
        status = self.duty.status
        return [
            metrics.Gauge('usage_is_holder', int(self.duty.is_holder)),
            metrics.Gauge('usage_token', status.token),
            metrics.Gauge('usage_last_window_sent', status.next_window - 1),
            metrics.Gauge('usage_oldest_window_unsent', status.next_window),
            metrics.Gauge('usage_windows_decided', len(self.duty.backlog.decided)),
        ]


def create(settings: models.UsageSettings, instance_id: str, incarnation: str) -> UsageState:
    """Return the state of an instance before its first tick."""
    return UsageState(settings, usage_duty.Duty(instance_id, incarnation, settings))
