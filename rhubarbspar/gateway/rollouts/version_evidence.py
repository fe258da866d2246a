"""Results of versions under rollout requests: those of this instance, and those that peers report.

Pattern: cumulative counters by origin, added up where they are used.
"""

import dataclasses
from collections import abc

from rhubarbspar.gateway import messages
from rhubarbspar.gateway.rollouts import canary_analysis
from rhubarbspar.gateway.rollouts import version_sums


@dataclasses.dataclass(frozen=True, slots=True)
class ResultKey:
    """Key of the results of a version: its service, the rollout request and the route.

    Attributes
    ----------
    revision
        Store revision of the rollout request.
    """

    service_id: str
    version: str
    revision: int
    route_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _FormerRequest:
    """A rollout request by a revision that it had before a restore of the store."""

    service_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Origin:
    """An incarnation of a peer."""

    peer_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Results that an incarnation of a peer reports; they include those of its children."""

    incarnation: str
    counted: tuple[messages.VersionResults, ...]


@dataclasses.dataclass(slots=True)
class VersionEvidence:
    """Results by version, rollout request and route.

    Attributes
    ----------
    local_counts
        Results at this instance.
    peers
        Last reports of the peers, by instance id.
    former
        Last reports of instances that have ended, which no instance reports any more.
    revisions
        Present revisions of the requests that had another one before a restore of the store.
    """

    local_counts: dict[ResultKey, canary_analysis.ResultCounts] = dataclasses.field(
        default_factory=dict
    )
    peers: dict[str, PeerReport] = dataclasses.field(default_factory=dict)
    former: dict[_Origin, tuple[messages.VersionResults, ...]] = dataclasses.field(
        default_factory=dict
    )
    revisions: dict[_FormerRequest, int] = dataclasses.field(default_factory=dict)

    def record_sent(self, key: ResultKey) -> None:
        """Count a request that was sent to a version."""
        counts = self._counts(key)
        counts.sent += 1
        counts.running += 1

    def record_result(self, key: ResultKey | None, *, good: bool | None, slow: bool) -> None:
        """Count the result of a request.

        Parameters
        ----------
        good
            ``None`` if the result says nothing about the version.
        slow
            Only counted for good results.
        """
        if key is None:
            return
        counts = self._counts(key)
        counts.running -= 1
        if good is None:
            return
        counts.good += good
        counts.bad += not good
        counts.slow += good and slow

    def record_late(self, key: ResultKey) -> None:
        """Count a request that still runs as a slow response."""
        counts = self._counts(key)
        counts.good += 1
        counts.slow += 1

    def record_end_of_late(self, key: ResultKey | None, *, failed: bool) -> None:
        """Count the end of a request that was counted as a slow response."""
        if key is None:
            return
        counts = self._counts(key)
        counts.running -= 1
        counts.good -= failed
        counts.slow -= failed
        counts.bad += failed

    def adopt_revision(self, service_id: str, former: int, current: int) -> None:
        """Count the results of a request under the revision that it has in the restored store."""
        for request, revision in self.revisions.items():
            if request.service_id == service_id and revision == former:
                self.revisions[request] = current
        self.revisions[_FormerRequest(service_id, former)] = current
        self.local_counts = {
            self._current_key(key): counts for key, counts in self.local_counts.items()
        }

    def apply_report(
        self, peer_id: str, incarnation: str, counted: tuple[messages.VersionResults, ...]
    ) -> None:
        """Replace the report of a peer; it includes what this incarnation reported before."""
        self.former.pop(_Origin(peer_id, incarnation), None)
        self.peers[peer_id] = PeerReport(incarnation, counted)

    def is_other_incarnation(self, peer_id: str, incarnation: str) -> bool:
        """Return whether the last report of a peer came from another incarnation."""
        known = self.peers.get(peer_id)
        return known is not None and known.incarnation != incarnation

    def retire_peer(self, peer_id: str) -> None:
        """Keep the last report of a peer that has ended or is silent."""
        known = self.peers.pop(peer_id, None)
        if known is None or not known.counted:
            return
        ended = tuple(dataclasses.replace(use, running=0) for use in known.counted)
        self.former[_Origin(peer_id, known.incarnation)] = ended

    def forget_former(self, peer_id: str, incarnation: str) -> None:
        """Forget the last report of a silent process that another peer speaks for now."""
        self.former.pop(_Origin(peer_id, incarnation), None)

    def forget_peer(self, peer_id: str) -> None:
        """Forget the report of a peer whose results another peer reports."""
        self.peers.pop(peer_id, None)

    def report(self, active: abc.Container[int]) -> tuple[messages.VersionResults, ...]:
        """Return the results at this instance under requests with some revisions."""
        return tuple(
            messages.VersionResults(
                key.service_id,
                key.version,
                key.revision,
                counts.sent,
                counts.running,
                counts.good,
                counts.bad,
                counts.slow,
                key.route_id,
            )
            for key, counts in self.local_counts.items()
            if key.revision in active
        )

    def report_with(
        self, peer_ids: abc.Iterable[str], active: abc.Container[int], *, with_former: bool
    ) -> tuple[messages.VersionResults, ...]:
        """Return the sums of the results at this instance and of those that peers report.

        Parameters
        ----------
        with_former
            Whether to include the results of instances that have ended.
        """
        reports = [self.peers[peer_id].counted for peer_id in peer_ids if peer_id in self.peers]
        if with_former:
            reports.extend(self.former.values())
        return version_sums.add_up([self.report(active), *reports])

    def of_request(self, service_id: str, revision: int) -> list[messages.VersionResults]:
        """Return the results of all instances under a rollout request."""
        uses = list(self.report((revision,)))
        for report in self.peers.values():
            uses.extend(report.counted)
        for counted in self.former.values():
            uses.extend(counted)
        return [
            use
            for use in uses
            if use.service_id == service_id
            and self.current_revision(service_id, use.revision) == revision
        ]

    def current_revision(self, service_id: str, revision: int) -> int:
        """Return the revision that a rollout request has now, by one that it had or has."""
        return self.revisions.get(_FormerRequest(service_id, revision), revision)

    def _counts(self, key: ResultKey) -> canary_analysis.ResultCounts:
        return self.local_counts.setdefault(self._current_key(key), canary_analysis.ResultCounts())

    def _current_key(self, key: ResultKey) -> ResultKey:
        """Return a key with the revision that the request of its rollout has now."""
        revision = self.current_revision(key.service_id, key.revision)
        return key if revision == key.revision else dataclasses.replace(key, revision=revision)
