"""Exchange of the loads and rate limits that backend servers report, with the whole fleet.

Pattern: dissemination of the newest value by time stamp. An instance that has not used a server for
seconds would otherwise have to guess its load.
"""

import dataclasses
import typing
from collections import abc

from rhubarbspar.gateway import messages
from rhubarbspar.gateway.routing import servers

# Load reports in one heartbeat; the newest ones are sent.
REPORTS_MAX: typing.Final = 500
# An older report says nothing of the present load.
REPORT_AGE_MAX_MS: typing.Final = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a server reported with a response.

    Attributes
    ----------
    requests
        Running and waiting requests; ``None`` if the server does not report them, so that the
        report only shows that it answers.
    limit_per_s
        Rate limit of the server for all instances; ``None`` if it named none.
    """

    requests: int | None
    reported_ms: float
    limit_per_s: float | None = None


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

    def record(self, server_id: str, reported: ReportedLoad) -> None:
        """Add the report of a response to this instance."""
        self.branch[server_id] = reported

    def apply(
        self,
        loads: abc.Iterable[messages.ServerLoad],
        views: abc.Mapping[str, servers.ServerView],
        now_ms: float,
        *,
        is_child: bool,
    ) -> dict[str, ReportedLoad]:
        """Apply the loads in a heartbeat, and keep the reports that are news for the next one.

        Returns
        -------
        dict of str to ReportedLoad
            The reports whose rate limits are news, by server id.
        """
        pending = self.branch if is_child else self.elsewhere
        limit_news = {}
        for load in loads:
            view = views.get(load.server_id)
            if view is None:
                continue
            reported = ReportedLoad(load.requests, now_ms - load.age_ms, load.limit_per_s)
            is_heard_later = reported.reported_ms > view.last_heard_ms
            view.answered_elsewhere_ms = max(view.answered_elsewhere_ms, reported.reported_ms)
            is_newer_load = view.record_load_elsewhere(reported.requests, reported.reported_ms)
            if is_newer_load or (reported.requests is None and is_heard_later):
                pending[load.server_id] = reported
            if reported.reported_ms > view.limit_reported_ms:
                view.limit_reported_ms = reported.reported_ms
                pending[load.server_id] = reported
                limit_news[load.server_id] = reported
        return limit_news

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
        messages.ServerLoad(
            server_id, load.requests, round(now_ms - load.reported_ms), load.limit_per_s
        )
        for server_id, load in newest[:REPORTS_MAX]
        if now_ms - load.reported_ms <= REPORT_AGE_MAX_MS
    )
