"""Exchange of the load that backend servers report: every report reaches the whole fleet.

Pattern: dissemination of the newest value by time stamp. An instance that has not used a server for
seconds would otherwise have to guess its load.
"""

import dataclasses
import typing
from collections import abc

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import servers

# Load reports in one heartbeat; the newest ones are sent.
REPORTS_MAX: typing.Final = 500
# An older report says nothing of the present load.
REPORT_AGE_MAX_MS: typing.Final = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Running and waiting requests of a server at a time."""

    requests: int
    reported_ms: float


@dataclasses.dataclass(slots=True)
class LoadReports:
    """The newest load reports since the last heartbeat, by server id.

    Attributes
    ----------
    branch
        From responses to this instance and its children.
    elsewhere
        From other relays.
    """

    branch: dict[str, ReportedLoad] = dataclasses.field(default_factory=dict)
    elsewhere: dict[str, ReportedLoad] = dataclasses.field(default_factory=dict)

    def record(self, server_id: str, requests: int, now_ms: float) -> None:
        """Add the report of a response to this instance."""
        self.branch[server_id] = ReportedLoad(requests, now_ms)

    def apply(
        self,
        loads: abc.Iterable[messages.ServerLoad],
        views: abc.Mapping[str, servers.ServerView],
        now_ms: float,
        *,
        is_child: bool,
    ) -> None:
        """Apply the reports in a heartbeat, and keep those that are news for the next one."""
        pending = self.branch if is_child else self.elsewhere
        for load in loads:
            view = views.get(load.server_id)
            reported_ms = now_ms - load.age_ms
            if view is not None and view.record_load_elsewhere(load.requests, reported_ms):
                pending[load.server_id] = ReportedLoad(load.requests, reported_ms)

    def clear(self) -> None:
        """Forget the reports once all peers have got them."""
        self.branch.clear()
        self.elsewhere.clear()


def make_messages(
    reports: abc.Mapping[str, ReportedLoad], now_ms: float
) -> tuple[messages.ServerLoad, ...]:
    """Return the reports for a heartbeat, without those that are too old."""
    newest = sorted(reports.items(), key=lambda item: item[1].reported_ms, reverse=True)
    return tuple(
        messages.ServerLoad(server_id, load.requests, round(now_ms - load.reported_ms))
        for server_id, load in newest[:REPORTS_MAX]
        if now_ms - load.reported_ms <= REPORT_AGE_MAX_MS
    )
