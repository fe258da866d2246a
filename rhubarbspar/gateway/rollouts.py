"""Moves of a service's traffic to a new version.

Pattern: canary release with a baseline group; every instance derives the candidate's share from the same
facts, the time since the order and the fleet's results, and a verdict is final.
"""

import dataclasses
import math
import types
import typing
from collections import abc

from rhubarbspar.gateway import const
from rhubarbspar.gateway import canary_analysis
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The candidate's share from a part of the order's time on."""

    elapsed_part: float
    share: float


# The first step stays below the permitted exposure of a bad version; the later ones are short enough that
# a version that fails under load is found before it has had the permitted share.
STEPS: typing.Final = (
    Step(0, 0.05),  # noqa: WPS432 (the table names its columns)
    Step(0.34, 0.15),  # noqa: WPS432
    Step(0.42, 0.4),  # noqa: WPS432
    Step(0.5, 0.75),  # noqa: WPS432
    Step(0.58, 1),  # noqa: WPS432
)
# The share only grows beyond the first step with this many results of the candidate.
SAMPLES_MIN: typing.Final = 10
# Without that many results the share grows after this part of the time nevertheless.
UNPROVEN_PART: typing.Final = 0.6
# A good response is slow if it takes this many times the usual time of its route.
SLOW_FACTOR: typing.Final = 3.5
# The old version has to have had no request for this long before the rollout is recorded as completed.
QUIET_MS: typing.Final = 700
# After this part of the time the rollout completes even if the old version still has requests.
COMPLETE_PART: typing.Final = 0.9
STATUS_INTERVAL_MS: typing.Final = 400


@dataclasses.dataclass(frozen=True, slots=True)
class ResultKey:
    """A version on one route of a service, under an order."""

    service_id: str
    version: str
    revision: int
    route_id: str


@dataclasses.dataclass(slots=True)
class Rollout:
    """An order and its progress at this instance.

    Attributes
    ----------
    owed
        Requests that the candidate has to get by its share, less those that it got.
    old_used_ms
        When this instance last sent a request to the old version.
    status_ms
        When this instance last wrote the progress.
    """

    order: models.RolloutOrder
    started_ms: float
    owed: float = 0
    old_used_ms: float = -math.inf
    status_ms: float = -math.inf
    condemned: bool = False


@dataclasses.dataclass(slots=True)
class Rollouts:
    """The rollouts by service, and the results of this instance and its peers.

    Attributes
    ----------
    incumbents
        The version of each service that serves without a rollout.
    """

    active: dict[str, Rollout] = dataclasses.field(default_factory=dict)
    incumbents: dict[str, str] = dataclasses.field(default_factory=dict)
    tallies: dict[ResultKey, canary_analysis.Tally] = dataclasses.field(default_factory=dict)
    peers: dict[str, tuple[messages.VersionResults, ...]] = dataclasses.field(default_factory=dict)
    verdicts: set[messages.CondemnedVersion] = dataclasses.field(default_factory=set)

    def apply_order(self, order: models.RolloutOrder, now_ms: float) -> None:
        """Start a rollout."""
        known = self.active.get(order.service_id)
        if known is not None and known.order.revision == order.revision:
            return
        self.active[order.service_id] = Rollout(order, now_ms)

    def apply_status(self, status: models.RolloutStatus) -> None:
        """Take the recorded end of a rollout."""
        rollout = self.active.get(status.service_id)
        if rollout is None or not _concerns(status, rollout.order):
            return
        match status.phase:
            case const.PHASE_COMPLETED:
                self.incumbents[status.service_id] = status.version
            case const.PHASE_ROLLED_BACK:
                self.apply_verdict(_condemned(rollout.order))

    def apply_verdict(self, verdict: messages.CondemnedVersion) -> bool:
        """Take a verdict; return whether it is new."""
        rollout = self.active.get(verdict.service_id)
        if rollout is not None and rollout.order.revision == verdict.revision:
            rollout.condemned = True
        if verdict in self.verdicts:
            return False
        self.verdicts.add(verdict)
        return True

    def share(self, rollout: Rollout, now_ms: float) -> float:
        """Return the candidate's share of the requests now."""
        part = self._elapsed_part(rollout, now_ms)
        share = max(step.share for step in STEPS if step.elapsed_part <= part)
        proven = (
            canary_analysis.total(self._uses(rollout), rollout.order.version).ended >= SAMPLES_MIN
        )
        if not proven and part < UNPROVEN_PART:
            return min(share, STEPS[0].share)
        return share

    def next_version(self, service_id: str, versions: abc.Mapping[str, int], now_ms: float) -> str:
        """Return the version that the next request is to use.

        Parameters
        ----------
        versions
            Number of servers by version; not empty.
        """
        incumbent = self.incumbent(service_id, versions)
        rollout = self.active.get(service_id)
        if rollout is None or rollout.order.version == incumbent:
            return incumbent
        candidate = rollout.order.version
        verdict = _condemned(rollout.order)
        if rollout.condemned or verdict in self.verdicts or candidate not in versions:
            return incumbent
        rollout.owed = min(1.0, rollout.owed) + self.share(rollout, now_ms)
        if rollout.owed < 1:
            return incumbent
        rollout.owed -= 1
        return candidate

    def incumbent(self, service_id: str, versions: abc.Mapping[str, int]) -> str:
        """Return the version in use; without one, that of most servers but the ordered version.

        Parameters
        ----------
        versions
            Number of servers by version; not empty.
        """
        known = self.incumbents.get(service_id)
        if known is not None and known in versions:
            return known
        rollout = self.active.get(service_id)
        ordered = None if rollout is None else rollout.order.version
        others = sorted(version for version in versions if version != ordered) or sorted(versions)
        chosen = max(others, key=versions.__getitem__)
        self.incumbents[service_id] = chosen
        return chosen

    def subject(self, server: models.BackendServer, route_id: str) -> ResultKey | None:
        """Return what a request's result counts for, if a rollout is under way."""
        rollout = self.active.get(server.service_id)
        if rollout is None:
            return None
        return ResultKey(server.service_id, server.version, rollout.order.revision, route_id)

    def note_sent(self, subject: ResultKey | None, now_ms: float) -> None:
        """Count a request sent to a version."""
        if subject is None:
            return
        tally = self.tallies.setdefault(subject, canary_analysis.Tally())
        tally.sent += 1
        tally.running += 1
        rollout = self.active.get(subject.service_id)
        if rollout is not None and subject.version != rollout.order.version:
            rollout.old_used_ms = now_ms

    def note_result(self, subject: ResultKey | None, *, good: bool | None, slow: bool) -> None:
        """Count a result; ``None`` if it says nothing about the version."""
        if subject is None:
            return
        tally = self.tallies.setdefault(subject, canary_analysis.Tally())
        tally.running -= 1
        if good is None:
            return
        tally.good += good
        tally.bad += not good
        tally.slow += good and slow

    def report(self) -> tuple[messages.VersionResults, ...]:
        """Return the results of the rollouts under way, for the peers."""
        return tuple(
            messages.VersionResults(
                subject.service_id,
                subject.version,
                subject.revision,
                tally.sent,
                tally.running,
                tally.good,
                tally.bad,
                tally.slow,
                subject.route_id,
            )
            for subject, tally in self.tallies.items()
            if self._is_current(subject)
        )

    def reject_bad_candidates(self) -> tuple[messages.CondemnedVersion, ...]:
        """Return the new verdicts."""
        found = []
        for rollout in self.active.values():
            if rollout.condemned:
                continue
            verdict = _condemned(rollout.order)
            if canary_analysis.is_bad(self._uses(rollout), verdict.version) and self.apply_verdict(
                verdict
            ):
                found.append(verdict)
        return tuple(found)

    def due_statuses(
        self, statuses: abc.Mapping[str, models.RolloutStatus], now_ms: float
    ) -> tuple[models.RolloutStatus, ...]:
        """Return the progress that is to be recorded now; ``revision`` is the one to replace."""
        due = []
        for service_id, rollout in self.active.items():
            recorded = statuses.get(service_id)
            phase = self._phase(rollout, now_ms)
            if not _is_due(recorded, rollout, phase):
                continue
            if now_ms - rollout.status_ms < STATUS_INTERVAL_MS:
                continue
            rollout.status_ms = now_ms
            revision = 0 if recorded is None else recorded.revision
            due.append(models.RolloutStatus(service_id, rollout.order.version, phase, revision))
        return tuple(due)

    def _phase(self, rollout: Rollout, now_ms: float) -> str:
        if rollout.condemned:
            return const.PHASE_ROLLED_BACK
        part = self._elapsed_part(rollout, now_ms)
        if self.share(rollout, now_ms) < 1:
            return const.PHASE_RUNNING
        uses = self._uses(rollout)
        old_running = sum(use.running for use in uses if use.version != rollout.order.version)
        quiet = old_running <= 0 and now_ms - rollout.old_used_ms > QUIET_MS
        return const.PHASE_COMPLETED if quiet or part >= COMPLETE_PART else const.PHASE_RUNNING

    def _elapsed_part(self, rollout: Rollout, now_ms: float) -> float:
        return (now_ms - rollout.started_ms) / max(1, rollout.order.duration_ms)

    def _is_current(self, subject: ResultKey) -> bool:
        rollout = self.active.get(subject.service_id)
        return rollout is not None and rollout.order.revision == subject.revision

    def _uses(self, rollout: Rollout) -> list[messages.VersionResults]:
        uses = list(self.report())
        for reported in self.peers.values():
            uses.extend(reported)
        order = rollout.order
        return [
            use
            for use in uses
            if use.service_id == order.service_id and use.revision == order.revision
        ]


def _condemned(order: models.RolloutOrder) -> messages.CondemnedVersion:
    return messages.CondemnedVersion(order.service_id, order.version, order.revision)


def _concerns(status: models.RolloutStatus, order: models.RolloutOrder) -> bool:
    return status.version == order.version and status.revision > order.revision


_RANK: typing.Final = types.MappingProxyType(
    {const.PHASE_RUNNING: 0, const.PHASE_COMPLETED: 1, const.PHASE_ROLLED_BACK: 1}
)


def _is_due(recorded: models.RolloutStatus | None, rollout: Rollout, phase: str) -> bool:
    """Return whether the record has to change; the end of a rollout is final."""
    if recorded is None or not _concerns(recorded, rollout.order):
        return True
    return _RANK[phase] > _RANK.get(recorded.phase, 0)
