"""Rollouts that move the traffic of a service to a new version.

Pattern: canary release with a baseline group. Every instance derives the share of the candidate
version from the time since the rollout request and the results of the whole fleet. A verdict is
final.
"""

import dataclasses
import math
import types
import typing
from collections import abc

from rhubarbspar.gateway import const
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.rollouts import canary_analysis
from rhubarbspar.gateway.rollouts import rollout_schedule
from rhubarbspar.gateway.rollouts import version_evidence
from rhubarbspar.gateway.store import revisions
from rhubarbspar.gateway.store import store_replica

# Stands for no version at all; no server has it.
NO_VERSION: typing.Final = ''
# Once the candidate gets all requests, the rollout completes when the old version has had none for
# this long.
OLD_VERSION_IDLE_MS: typing.Final = 700
# After this share of the duration, it completes even if the old version still has requests.
COMPLETE_SHARE: typing.Final = 0.9
# Interval at which the share of a candidate follows the results.
EVALUATION_INTERVAL_MS: typing.Final = 50
# Smaller changes of the share are not reported.
SHARE_CHANGE_MIN: typing.Final = 0.05
# A status that is not recorded yet is written again after this time.
STATUS_INTERVAL_MS: typing.Final = 400


@dataclasses.dataclass(slots=True)
class Rollout:
    """A rollout request and its progress at this instance.

    Attributes
    ----------
    candidate_credit
        Requests due to the candidate by its share, less those that it got.
    old_version_sent_ms
        When this instance last sent a request to the old version.
    status_written_ms
        When this instance last wrote the status.
    rejected
        Whether the candidate was found bad.
    restored_ms
        When the request was last read from a restored store, or written there again.
    share, evaluated_ms
        Share of the candidate by the results, and when these were last evaluated.
    reported_share
        Share that was last reported as a change.
    """

    request: models.RolloutRequest
    started_ms: float
    candidate_credit: float = 0
    old_version_sent_ms: float = -math.inf
    status_written_ms: float = -math.inf
    rejected: bool = False
    restored_ms: float = -math.inf
    share: float = 0
    evaluated_ms: float = -math.inf
    reported_share: float = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ShareChange:
    """A new share of a candidate at this instance, and the results of the fleet behind it."""

    request: models.RolloutRequest
    share: float
    fleet_results: canary_analysis.FleetResults


@dataclasses.dataclass(slots=True)
class Rollouts:
    """The rollouts by service, the results under them, and the verdicts.

    Attributes
    ----------
    active
        Rollouts whose request exists in the store, by service id.
    stable_versions
        Version of each service that serves without a rollout.
    evidence
        Results of this instance and its peers.
    verdicts
        Versions that were found bad, with their rollout requests.
    exposure
        Requests that a bad version may get.
    heard_share
        Share of the instances whose results are known here. The others may use the rest of the
        allowance.
    """

    active: dict[str, Rollout] = dataclasses.field(default_factory=dict)
    stable_versions: dict[str, str] = dataclasses.field(default_factory=dict)
    evidence: version_evidence.VersionEvidence = dataclasses.field(
        default_factory=version_evidence.VersionEvidence
    )
    verdicts: set[messages.RejectedVersion] = dataclasses.field(default_factory=set)
    exposure: rollout_schedule.ExposureLimits = dataclasses.field(
        default_factory=rollout_schedule.ExposureLimits
    )
    heard_share: float = 1

    def apply_request(
        self, request: models.RolloutRequest, now_ms: float, initial_credit: float = 0
    ) -> None:
        """Start a rollout; the same request, also in a restored store, changes nothing.

        Parameters
        ----------
        initial_credit
            Requests due to the candidate at the start, 0 to 1. With different ones, the instances
            together send the candidate its share, however few requests each of them has.
        """
        known = self.active.get(request.service_id)
        if known is not None and known.request.revision == request.revision:
            return
        if known is None or not _is_written_again(known, request, now_ms):
            if self.stable_versions.get(request.service_id) == request.version:
                # It was only assumed, before the request was known; a recorded end sets it again.
                self.stable_versions.pop(request.service_id)
            self.active[request.service_id] = Rollout(request, now_ms, initial_credit)
            return
        self._adopt_revision(known, request, now_ms)

    def apply_status(self, status: models.RolloutStatus) -> None:
        """Apply the recorded end of a rollout."""
        rollout = self.active.get(status.service_id)
        if rollout is None or not _belongs_to(status, rollout.request):
            return
        match status.phase:
            case const.PHASE_COMPLETED:
                self.stable_versions[status.service_id] = status.version
            case const.PHASE_ROLLED_BACK:
                self.apply_verdict(_verdict(rollout.request))

    def apply_verdict(self, verdict: messages.RejectedVersion) -> bool:
        """Reject a version under a rollout request; return whether the verdict is new."""
        is_new = verdict not in self.verdicts
        rollout = self.active.get(verdict.service_id)
        revision = self.evidence.current_revision(verdict.service_id, verdict.revision)
        if rollout is not None and rollout.request.revision == revision:
            rollout.rejected = True
            # Instances that start now only know the present revision.
            self.verdicts.add(_verdict(rollout.request))
        self.verdicts.add(verdict)
        return is_new

    def candidate_share(self, rollout: Rollout, now_ms: float) -> float:
        """Return the share of the requests that the candidate gets now."""
        if now_ms - rollout.evaluated_ms >= EVALUATION_INTERVAL_MS:
            rollout.evaluated_ms = now_ms
            rollout.share = rollout_schedule.candidate_share(
                now_ms - rollout.started_ms,
                rollout.request.duration_ms,
                self._evaluate(rollout),
                dataclasses.replace(
                    self.exposure, allowance=self.exposure.allowance * self.heard_share
                ),
            )
        return rollout.share

    def next_version(self, service_id: str, versions: abc.Mapping[str, int], now_ms: float) -> str:
        """Return the version for the next request, and count the request for the share.

        Parameters
        ----------
        versions
            Number of servers by version; not empty.

        Returns
        -------
        str
            ``NO_VERSION`` if there are only servers of a rejected version.
        """
        stable = self.stable_version(service_id, versions)
        rollout = self.active.get(service_id)
        if rollout is None or rollout.request.version == stable:
            return stable
        candidate = rollout.request.version
        if self._is_rejected(rollout) or candidate not in versions:
            return stable
        rollout.candidate_credit = min(1.0, rollout.candidate_credit) + self.candidate_share(
            rollout, now_ms
        )
        if rollout.candidate_credit < 1:
            return stable
        rollout.candidate_credit -= 1
        return candidate

    def credit(self, service_id: str) -> float:
        """Return the credit of the candidate version of a service, 0 without a rollout."""
        rollout = self.active.get(service_id)
        return 0 if rollout is None else rollout.candidate_credit

    def restore_credit(self, service_id: str, credit: float) -> None:
        """Take back the count of a request that was not sent after ``next_version``."""
        rollout = self.active.get(service_id)
        if rollout is not None:
            rollout.candidate_credit = credit

    def stable_version(self, service_id: str, versions: abc.Mapping[str, int]) -> str:
        """Return the version that serves without a rollout.

        If none is known, it is the version of most servers, without the requested version. While
        only servers of the requested version are known, that one serves unless it is rejected.
        Others may still register, after a restart of this instance or an outage of the store.

        Parameters
        ----------
        versions
            Number of servers by version; not empty.
        """
        known = self.stable_versions.get(service_id)
        if known is not None and known in versions:
            return known
        rollout = self.active.get(service_id)
        requested = None if rollout is None else rollout.request.version
        others = sorted(version for version in versions if version != requested)
        if not others and rollout is not None:
            return NO_VERSION if self._is_rejected(rollout) else rollout.request.version
        chosen = max(others, key=versions.__getitem__)
        if known is None:
            self.stable_versions[service_id] = chosen
        return chosen

    def result_key(
        self, server: models.BackendServer, route_id: str
    ) -> version_evidence.ResultKey | None:
        """Return the key for results of a server, or ``None`` without a rollout of its service."""
        rollout = self.active.get(server.service_id)
        if rollout is None:
            return None
        return version_evidence.ResultKey(
            server.service_id, server.version, rollout.request.revision, route_id
        )

    def record_sent(self, key: version_evidence.ResultKey | None, now_ms: float) -> None:
        """Count a request that was sent to a version."""
        if key is None:
            return
        self.evidence.record_sent(key)
        rollout = self.active.get(key.service_id)
        if rollout is not None and key.version != rollout.request.version:
            rollout.old_version_sent_ms = now_ms

    def report_with(
        self, peer_ids: abc.Iterable[str], *, with_former: bool
    ) -> tuple[messages.VersionResults, ...]:
        """Return the sums of the results at this instance and of those that peers report.

        Parameters
        ----------
        with_former
            Whether to include the results of instances that have ended.
        """
        active = {rollout.request.revision for rollout in self.active.values()}
        return self.evidence.report_with(peer_ids, active, with_former=with_former)

    def reject_bad_candidates(self) -> tuple[messages.RejectedVersion, ...]:
        """Reject the candidates whose results are worse; return the new verdicts."""
        found = []
        for rollout in self.active.values():
            if rollout.rejected:
                continue
            verdict = _verdict(rollout.request)
            if self._evaluate(rollout).is_worse and self.apply_verdict(verdict):
                found.append(verdict)
        return tuple(found)

    def share_changes(self, now_ms: float) -> tuple[ShareChange, ...]:
        """Return the shares that have changed since the last call."""
        changes = []
        for rollout in self.active.values():
            share = 0 if rollout.rejected else self.candidate_share(rollout, now_ms)
            if abs(share - rollout.reported_share) < SHARE_CHANGE_MIN:
                continue
            rollout.reported_share = share
            summed = self._evaluate(rollout).summed
            changes.append(ShareChange(rollout.request, share, summed))
        return tuple(changes)

    def due_statuses(
        self, statuses: abc.Mapping[str, models.RolloutStatus], now_ms: float
    ) -> tuple[models.RolloutStatus, ...]:
        """Return the statuses to write to the store now.

        Parameters
        ----------
        statuses
            The recorded statuses by service id.

        Returns
        -------
        tuple of models.RolloutStatus
            ``revision`` is that of the recorded status to replace, 0 if there is none.
        """
        due = []
        for service_id, rollout in self.active.items():
            recorded = statuses.get(service_id)
            phase = self._phase(rollout, now_ms)
            if not _is_due(recorded, rollout, phase):
                continue
            if now_ms - rollout.status_written_ms < STATUS_INTERVAL_MS:
                continue
            rollout.status_written_ms = now_ms
            revision = 0 if recorded is None else recorded.revision
            due.append(models.RolloutStatus(service_id, rollout.request.version, phase, revision))
        return tuple(due)

    def _is_rejected(self, rollout: Rollout) -> bool:
        return rollout.rejected or _verdict(rollout.request) in self.verdicts

    def _phase(self, rollout: Rollout, now_ms: float) -> str:
        """Return the phase of a rollout as this instance knows it."""
        if rollout.rejected:
            return const.PHASE_ROLLED_BACK
        elapsed_share = self._elapsed_share(rollout, now_ms)
        if self.candidate_share(rollout, now_ms) < 1:
            return const.PHASE_RUNNING
        summed = self._evaluate(rollout).summed
        if summed.candidate.sent and not rollout_schedule.may_complete(summed.candidate):
            # The old servers stop at the completion.
            return const.PHASE_RUNNING
        idle = (
            summed.baseline.running <= 0
            and now_ms - rollout.old_version_sent_ms > OLD_VERSION_IDLE_MS
        )
        return (
            const.PHASE_COMPLETED
            if idle or elapsed_share >= COMPLETE_SHARE
            else const.PHASE_RUNNING
        )

    def _elapsed_share(self, rollout: Rollout, now_ms: float) -> float:
        """Return the share of the requested duration that has passed."""
        return (now_ms - rollout.started_ms) / max(1, rollout.request.duration_ms)

    def _adopt_revision(
        self, rollout: Rollout, request: models.RolloutRequest, now_ms: float
    ) -> None:
        """Continue a rollout under the revision that its request has in the restored store."""
        verdict = _verdict(rollout.request)
        rollout.request = request
        rollout.restored_ms = now_ms
        if verdict in self.verdicts:
            self.verdicts.add(_verdict(request))
        former = verdict.revision
        self.evidence.adopt_revision(request.service_id, former, request.revision)

    def _evaluate(self, rollout: Rollout) -> canary_analysis.Evaluation:
        """Return what the results of all instances show of the candidate."""
        request = rollout.request
        uses = self.evidence.of_request(request.service_id, request.revision)
        return canary_analysis.evaluate(uses, request.version)


def _is_written_again(rollout: Rollout, request: models.RolloutRequest, now_ms: float) -> bool:
    """Return whether a request is that of a rollout under way, read from a restored store.

    Operators may also write a request again that the copy had.
    """
    known = rollout.request
    if (known.version, known.duration_ms) != (request.version, request.duration_ms):
        return False
    is_new_era = revisions.era_of(request.revision) > revisions.era_of(known.revision)
    return is_new_era or now_ms - rollout.restored_ms <= store_replica.RESTORE_GRACE_MS


def _verdict(request: models.RolloutRequest) -> messages.RejectedVersion:
    """Return the verdict against the version of a rollout request."""
    return messages.RejectedVersion(request.service_id, request.version, request.revision)


def _belongs_to(status: models.RolloutStatus, request: models.RolloutRequest) -> bool:
    """Return whether a status was recorded under a rollout request, not an earlier one."""
    return status.version == request.version and status.revision > request.revision


# A recorded status is only replaced by one of a later phase.
_PHASE_ORDER: typing.Final = types.MappingProxyType(
    {const.PHASE_RUNNING: 0, const.PHASE_COMPLETED: 1, const.PHASE_ROLLED_BACK: 1}
)


def _is_due(recorded: models.RolloutStatus | None, rollout: Rollout, phase: str) -> bool:
    """Return whether the recorded status has to change; the end of a rollout is final."""
    if recorded is None or not _belongs_to(recorded, rollout.request):
        return True
    return _PHASE_ORDER[phase] > _PHASE_ORDER.get(recorded.phase, 0)
