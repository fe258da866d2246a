"""The duty to report: who holds it, which counts are decided, and which call is due.

Patterns: lease with fencing token, write-ahead record. One call to the store and one to the platform
are under way at a time. The holder acts only for a part of the lease, measured from the start of its
last successful renewal; a successor waits for the whole lease and a margin from the last change that
it has read. A record that names this instance although it is not the holder, such as after a restore
or a late write, is treated like that of any other one.
"""

import dataclasses
import math
import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway.usage import effects
from rhubarbspar.gateway.usage import events
from rhubarbspar.gateway.usage import models
from rhubarbspar.gateway.usage import tokens

# The holder acts for this part of the lease; the rest covers calls on their way and pauses.
ACT_SHARE: typing.Final = 0.6
# A call must not start later than this before the holder has to stop.
CALL_START_MARGIN_MS: typing.Final = 200
RENEW_SHARE: typing.Final = 0.22
# A successor waits for this long after the lease; the instances' clocks run at slightly different
# rates, and a write may be read late.
SUCCESSION_MARGIN_MS: typing.Final = 500
# The next candidates wait longer, one after the other.
RANK_DELAY_MS: typing.Final = 1000
# An instance that hears less than half of the fleet waits for as long as this many candidates: it
# does not get the parts of the others, nor does it know their last reports.
ALONE_RANKS: typing.Final = 20
# The first candidate reads the record at this interval, which doubles for each further one.
READ_INTERVAL_MS: typing.Final = 800
_READ_DOUBLINGS_MAX: typing.Final = 5
STORE_RETRY_MS: typing.Final = 250
# Part of the platform's rate of calls that the holder uses; the former one may have used some of it.
CALL_RATE_SHARE: typing.Final = 0.5
CALL_RETRY_MIN_MS: typing.Final = 250
CALL_RETRY_MAX_MS: typing.Final = 2000
# A report that the platform rejects as such this often is given up, so that later ones are sent.
REJECTIONS_MAX: typing.Final = 5
# Older windows are not reported any more: one hour of windows of 5 s.
BACKLOG_MAX: typing.Final = 720
# Counts of confirmed windows are deleted this many at a time.
DELETIONS_MAX: typing.Final = 50

STATUS_OK: typing.Final = 200
_RETRIED_STATUSES: typing.Final = frozenset((408, 425, 429))
_FIRST_REJECTION: typing.Final = 400
_FIRST_SERVER_ERROR: typing.Final = 500

Outputs: typing.TypeAlias = list[core_effects.Effect]


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """The time of an event, by the clock of the instance and in true time by its estimate."""

    now_ms: float
    unix_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What this instance is to the rest of the fleet.

    Attributes
    ----------
    rank
        Its place among those that would take the duty next; ``None`` if it must not.
    first_window
        First window of which it has parts, for the first report of a fleet.
    hears_fleet
        Whether it hears at least half of the instances, which have told it of the last reports.
    """

    rank: int | None
    first_window: int
    hears_fleet: bool = True


@dataclasses.dataclass(slots=True)
class StoreCall:
    """The call to the store that is under way."""

    effect: effects.UsageEffect
    started_ms: float


@dataclasses.dataclass(slots=True)
class Backlog:
    """Windows that are decided but not confirmed by the platform.

    Attributes
    ----------
    next_window
        First window that the platform has not confirmed.
    decided
        Counts by window; they do not change any more.
    written
        Windows whose counts are in the store.
    called
        Windows of which this process may have sent a report.
    undeleted
        Confirmed windows whose counts are still in the store.
    skipped
        Windows whose report may have been sent, and whose counts are lost.
    """

    next_window: int = models.NO_WINDOW
    decided: dict[int, models.WindowCounts] = dataclasses.field(default_factory=dict)
    written: set[int] = dataclasses.field(default_factory=set)
    called: set[int] = dataclasses.field(default_factory=set)
    undeleted: set[int] = dataclasses.field(default_factory=set)
    skipped: set[int] = dataclasses.field(default_factory=set)

    def next_undecided(self) -> int:
        """Return the first window whose counts are not decided."""
        window_id = self.next_window
        while window_id in self.decided or window_id in self.skipped:
            window_id += 1
        return window_id

    def next_unwritten(self) -> models.WindowCounts | None:
        """Return the first decided window that is not in the store."""
        unwritten = self.decided.keys() - self.written
        return self.decided[min(unwritten)] if unwritten else None

    def advance_to(self, window_id: int) -> None:
        """Drop all windows before one, and the skipped ones that follow."""
        first = max(self.next_window, window_id)
        while first in self.skipped:
            first += 1
        self.next_window = first
        self.undeleted.update(each for each in self.written if each < first)
        self.decided = {key: kept for key, kept in self.decided.items() if key >= first}
        self.written = {each for each in self.written if each >= first}
        self.called = {each for each in self.called if each >= first}
        self.skipped = {each for each in self.skipped if each >= first}

    def adopt(self, window: models.WindowCounts) -> None:
        """Take the counts that the store holds, unless other ones may have been sent from here."""
        window_id = window.window_id
        if window_id < self.next_window:
            self.undeleted.add(window_id)
            return
        if window_id not in self.called:
            self.decided[window_id] = window
        self.written.add(window_id)


@dataclasses.dataclass(slots=True)
class Duty:
    """What this instance knows and does about the duty.

    Attributes
    ----------
    status
        What the fleet knows of the duty.
    record, record_read
        Last record of the store that was read or written, and whether it was read at all.
    is_restored
        Whether the store was restored since the record was written.
    record_changed_ms
        When a change of the record was last read.
    read_ms
        When the record was last read.
    is_holder
        Whether this instance holds the duty by the last record; it acts only until ``acts_until``.
    claimed_alone
        Whether it took the duty although it hears less than half of the fleet.
    held_since_ms
        When it took the duty.
    renewed_ms
        Start of the last successful renewal.
    needs_duty, needs_windows
        Whether the record or the written windows have to be read before the next write.
    store_call
        The call to the store under way.
    store_retry_ms
        The next call to the store does not start before.
    renewed_last
        Whether the last call to the store was a renewal.
    called_window
        Window of the call to the platform under way; ``NO_WINDOW`` without one.
    next_call_ms
        The next call to the platform does not start before.
    failed_calls, rejections
        Calls that have failed in a row, and those of them that the platform has rejected.
    """

    own_id: str
    incarnation: str
    settings: models.UsageSettings
    status: models.DutyStatus = models.DutyStatus()
    backlog: Backlog = dataclasses.field(default_factory=Backlog)
    record: models.DutyRecord | None = None
    record_read: bool = False
    is_restored: bool = False
    record_changed_ms: float = math.inf
    read_ms: float = -math.inf
    is_holder: bool = False
    claimed_alone: bool = False
    held_since_ms: float = math.inf
    renewed_ms: float = -math.inf
    needs_duty: bool = False
    needs_windows: bool = False
    store_call: StoreCall | None = None
    store_retry_ms: float = -math.inf
    renewed_last: bool = False
    called_window: int = models.NO_WINDOW
    next_call_ms: float = -math.inf
    failed_calls: int = 0
    rejections: int = 0

    @property
    def acts_until_ms(self) -> float:
        """Return until when the holder may call the platform."""
        return self.renewed_ms + self.settings.lease_ms * ACT_SHARE

    def may_act(self, now_ms: float) -> bool:
        """Return whether this instance may call the platform now."""
        return self.is_holder and now_ms < self.acts_until_ms

    def note_status(self, status: models.DutyStatus) -> bool:
        """Apply what a peer knows of the duty; return whether it is news."""
        merged = self.status.merge(status)
        if merged == self.status:
            return False
        self.status = merged
        if merged.token > self._own_token():
            self.is_holder = False
        self.backlog.advance_to(merged.next_window)
        return True

    def _own_token(self) -> int:
        """Return the token of this instance, infinite while it is not the holder."""
        return self.record.token if self.is_holder and self.record is not None else _NO_TOKEN


_NO_TOKEN: typing.Final = 0x7FFFFFFFFFFFFFFF


def reduce(duty: Duty, event: events.UsageEvent, moment: Moment) -> Outputs:
    """Apply the outcome of a call."""
    if isinstance(event, events.ReportEnded):
        return _finish_report(duty, event, moment)
    call = duty.store_call
    duty.store_call = None
    if call is None:
        return []
    duty.renewed_last = isinstance(call.effect, effects.WriteDuty)
    match event, call.effect:
        case events.DutyRead(record, is_restored), _:
            duty.is_restored = is_restored
            return _apply_record(duty, record, moment)
        case events.WindowsRead(windows), _:
            return _adopt_windows(duty, windows)
        case events.ReadFailed(), _:
            duty.store_retry_ms = moment.now_ms + STORE_RETRY_MS
        case events.WriteEnded(), effects.WriteDuty(record):
            return _finish_duty_write(duty, event, record, call.started_ms, moment)
        case events.WriteEnded(), effects.WriteWindow(window):
            return _finish_window_write(duty, event, window, moment)
    return []


def tick(duty: Duty, standing: Standing, moment: Moment) -> Outputs:
    """Start the calls that are due; counts are decided by ``decide``."""
    outputs = _end_lease(duty, moment)
    if duty.called_window != models.NO_WINDOW and not duty.may_act(moment.now_ms):
        duty.called_window = models.NO_WINDOW
        outputs.append(effects.CancelReport())
    if duty.store_call is None and moment.now_ms >= duty.store_retry_ms:
        started = _next_store_call(duty, standing, moment)
        if started is not None:
            duty.store_call = StoreCall(started, moment.now_ms)
            outputs.append(started)
    return outputs + _start_report(duty, moment)


def _end_lease(duty: Duty, moment: Moment) -> Outputs:
    """End the term of a holder that has not renewed its lease in time."""
    is_ended = moment.now_ms - duty.renewed_ms >= duty.settings.lease_ms
    if duty.is_holder and is_ended and duty.store_call is None:
        return _lose(duty, 'lease_ended', moment)
    return []


def decide(duty: Duty, window: models.WindowCounts) -> Outputs:
    """Fix the counts of the next undecided window; they are written and then sent."""
    duty.backlog.decided[window.window_id] = window
    fields = (('window', window.window_id), ('requests', window.total))
    return [core_effects.Log('usage_window_decided', (*fields, ('accounts', len(window.counts))))]


def _next_store_call(duty: Duty, standing: Standing, moment: Moment) -> effects.UsageEffect | None:
    rank = standing.rank
    if duty.is_holder:
        return _next_call_of_holder(duty, standing, moment)
    if rank is None:
        return None
    if not standing.hears_fleet:
        rank += ALONE_RANKS
    waited_ms = moment.now_ms - duty.record_changed_ms
    lease_ms = duty.settings.lease_ms + SUCCESSION_MARGIN_MS + rank * RANK_DELAY_MS
    is_fresh = moment.now_ms - duty.read_ms < READ_INTERVAL_MS / 2
    if duty.record_read and waited_ms >= lease_ms and is_fresh:
        duty.claimed_alone = not standing.hears_fleet
        return effects.WriteDuty(_claim(duty, standing, moment))
    interval_ms = READ_INTERVAL_MS * 2 ** min(rank, _READ_DOUBLINGS_MAX)
    if waited_ms >= lease_ms or moment.now_ms - duty.read_ms >= interval_ms:
        return effects.ReadDuty()
    return None


def _next_call_of_holder(
    duty: Duty, standing: Standing, moment: Moment
) -> effects.UsageEffect | None:
    """Return the next call of the holder.

    It renews no more if it is stopping, or hears less than half of the fleet: it would report too
    few requests. One that took the duty that way, since nobody else did, goes on.
    """
    record = duty.record
    if duty.needs_duty or record is None:
        return effects.ReadDuty()
    is_due = moment.now_ms - duty.renewed_ms >= duty.settings.lease_ms * RENEW_SHARE
    duty.claimed_alone = duty.claimed_alone and not standing.hears_fleet
    may_renew = standing.rank is not None and (standing.hears_fleet or duty.claimed_alone)
    # With a slow store, a renewal is always due; the other calls take turns with it.
    has_turn = duty.renewed_last and duty.may_act(moment.now_ms) and _has_store_work(duty)
    if is_due and may_renew and not has_turn:
        return effects.WriteDuty(_renewed(duty, record, moment))
    if not duty.may_act(moment.now_ms):
        return None
    if duty.needs_windows:
        return effects.ReadWindows()
    window = duty.backlog.next_unwritten()
    if window is None:
        return None
    deletable = sorted(each for each in duty.backlog.undeleted if each < record.next_window)
    return effects.WriteWindow(window, record.revision, tuple(deletable[:DELETIONS_MAX]))


def _has_store_work(duty: Duty) -> bool:
    return duty.needs_windows or duty.backlog.next_unwritten() is not None


def _claim(duty: Duty, standing: Standing, moment: Moment) -> models.DutyRecord:
    """Return the record by which this instance takes the duty."""
    former = duty.record
    former_token = 0 if former is None else former.token
    token = tokens.next_token(
        max(former_token, duty.status.token), moment.unix_ms, duty.own_id, duty.incarnation
    )
    return models.DutyRecord(
        duty.own_id,
        duty.incarnation,
        token,
        _first_to_report(duty, standing, moment),
        lease_ends_unix_ms=round(moment.unix_ms + duty.settings.lease_ms),
        revision=0 if former is None else former.revision,
    )


def _first_to_report(duty: Duty, standing: Standing, moment: Moment) -> int:
    """Return the first window that a new holder reports.

    A restored store may have lost what was reported since the copy. If the fleet cannot tell this
    instance either, it leaves out all windows that may have been reported.
    """
    present = duty.settings.window_at(moment.unix_ms)
    is_informed = standing.hears_fleet and duty.status.attempted_window != models.NO_WINDOW
    if duty.is_restored and not is_informed:
        return present
    recorded = models.NO_WINDOW if duty.record is None else duty.record.next_window
    next_window = max(recorded, duty.status.next_window)
    if next_window == models.NO_WINDOW:
        next_window = standing.first_window
    return max(next_window, present - BACKLOG_MAX)


def _renewed(duty: Duty, record: models.DutyRecord, moment: Moment) -> models.DutyRecord:
    return dataclasses.replace(
        record,
        next_window=duty.backlog.next_window,
        sequence=record.sequence + 1,
        lease_ends_unix_ms=round(moment.unix_ms + duty.settings.lease_ms),
    )


def _apply_record(duty: Duty, record: models.DutyRecord | None, moment: Moment) -> Outputs:
    """Apply a read of the record; the holder finds out whether it still is."""
    known_revision = -1 if duty.record is None else duty.record.revision
    read_revision = -1 if record is None else record.revision
    if read_revision != known_revision or not duty.record_read:
        duty.record_changed_ms = moment.now_ms
    held = duty.record
    duty.record = record
    duty.record_read = True
    duty.read_ms = moment.now_ms
    duty.needs_duty = False
    if record is not None:
        read_status = models.DutyStatus(record.holder_id, record.token, record.next_window)
        duty.status = duty.status.merge(read_status)
    if not duty.is_holder or held is None:
        return []
    if not _is_same_term(held, record):
        return _lose(duty, 'replaced', moment)
    if moment.now_ms - duty.renewed_ms >= duty.settings.lease_ms:
        # Another one may have held the duty since, and a restore may have lost its record.
        return _lose(duty, 'lease_ended', moment)
    # A restore has lost the windows that were written since the copy; they are written again.
    duty.needs_windows = duty.needs_windows or duty.is_restored
    return []


def _is_same_term(held: models.DutyRecord, record: models.DutyRecord | None) -> bool:
    if record is None:
        return False
    same_holder = (held.holder_id, held.incarnation) == (record.holder_id, record.incarnation)
    return same_holder and held.token == record.token


def _lose(duty: Duty, reason: str, moment: Moment) -> Outputs:
    """Stop to act: another instance has the duty, or the record is not the one written here."""
    duty.is_holder = False
    fields = (('reason', reason), ('renewed_ms_ago', round(moment.now_ms - duty.renewed_ms)))
    outputs: Outputs = [core_effects.Log('usage_duty_lost', fields)]
    if duty.called_window != models.NO_WINDOW:
        duty.called_window = models.NO_WINDOW
        outputs.append(effects.CancelReport())
    return outputs


def _finish_duty_write(
    duty: Duty,
    ended: events.WriteEnded,
    record: models.DutyRecord,
    started_ms: float,
    moment: Moment,
) -> Outputs:
    if ended.outcome != events.WriteOutcome.WRITTEN:
        # The record may have been written all the same: it is read before the next write.
        duty.needs_duty = True
        duty.read_ms = -math.inf
        duty.store_retry_ms = moment.now_ms + STORE_RETRY_MS
        return [core_effects.Count('usage_duty_writes', ended.outcome.value)]
    former = duty.record
    if record.token < duty.status.token:
        # A peer knows a newer holder than the store did, such as before a restore.
        duty.needs_duty = True
        return []
    duty.record = dataclasses.replace(record, revision=ended.revision)
    duty.record_changed_ms = moment.now_ms
    duty.renewed_ms = started_ms
    if duty.is_holder:
        return []
    return _take(duty, former, moment)


def _take(duty: Duty, former: models.DutyRecord | None, moment: Moment) -> Outputs:
    """Begin to hold the duty; the windows that were written are read first."""
    record = duty.record
    if record is None:
        return []
    duty.is_holder = True
    duty.held_since_ms = moment.now_ms
    duty.needs_duty = False
    duty.needs_windows = True
    duty.failed_calls = 0
    duty.rejections = 0
    # Of its own earlier term, only the windows that it may have sent are kept as they were.
    kept = duty.backlog.called
    decided = duty.backlog.decided
    duty.backlog.decided = {key: window for key, window in decided.items() if key in kept}
    duty.backlog.written.clear()
    duty.backlog.advance_to(record.next_window)
    duty.status = duty.status.merge(
        models.DutyStatus(record.holder_id, record.token, record.next_window)
    )
    fields = (
        ('token', record.token),
        ('former', '' if former is None else former.holder_id),
        ('next_window', record.next_window),
    )
    return [
        core_effects.Log('usage_duty_taken', fields),
        core_effects.Count('usage_duty', 'taken'),
    ]


def _adopt_windows(duty: Duty, windows: tuple[models.WindowCounts, ...]) -> Outputs:
    """Take over the windows that were written; skip those that were lost after they were sent."""
    duty.needs_windows = False
    duty.backlog.written.clear()
    for window in windows:
        duty.backlog.adopt(window)
    attempted = duty.status.attempted_window
    missing = [
        window_id
        for window_id in range(duty.backlog.next_window, attempted + 1)
        if window_id not in duty.backlog.decided
    ]
    if not missing:
        return []
    # A restore has lost their counts; other ones could contradict a report that was accepted.
    duty.backlog.skipped.update(missing)
    duty.backlog.advance_to(duty.backlog.next_window)
    fields = (('first', min(missing)), ('last', max(missing)))
    return [
        core_effects.Log('usage_windows_skipped', fields),
        core_effects.Count('usage_reports', 'skipped'),
    ]


def _finish_window_write(
    duty: Duty, ended: events.WriteEnded, window: models.WindowCounts, moment: Moment
) -> Outputs:
    if not duty.is_holder:
        return []
    if ended.outcome == events.WriteOutcome.WRITTEN:
        duty.backlog.written.add(window.window_id)
        call = duty.backlog.undeleted
        next_window = 0 if duty.record is None else duty.record.next_window
        deleted = sorted(each for each in call if each < next_window)[:DELETIONS_MAX]
        duty.backlog.undeleted.difference_update(deleted)
        attempted = max(duty.status.attempted_window, window.window_id)
        duty.status = dataclasses.replace(duty.status, attempted_window=attempted)
        return []
    # The window may have other counts in the store, or the record another revision.
    duty.needs_duty = True
    duty.needs_windows = True
    duty.store_retry_ms = moment.now_ms + STORE_RETRY_MS
    if window.window_id not in duty.backlog.called:
        duty.backlog.decided.pop(window.window_id, None)
    return [core_effects.Count('usage_window_writes', ended.outcome.value)]


def _start_report(duty: Duty, moment: Moment) -> Outputs:
    """Send the report of the first window that is not confirmed, if that is permitted now."""
    now_ms = moment.now_ms
    window_id = duty.backlog.next_window
    record = duty.record
    if duty.called_window != models.NO_WINDOW or now_ms < duty.next_call_ms or record is None:
        return []
    if window_id not in duty.backlog.written or window_id not in duty.backlog.decided:
        return []
    if duty.needs_windows or not duty.may_act(now_ms + CALL_START_MARGIN_MS):
        return []
    duty.called_window = window_id
    duty.backlog.called.add(window_id)
    duty.next_call_ms = now_ms + _MS_PER_S / (duty.settings.calls_per_s * CALL_RATE_SHARE)
    window = duty.backlog.decided[window_id]
    return [effects.SendReport(window, record.token, duty.acts_until_ms)]


_MS_PER_S: typing.Final = 1000


def _finish_report(duty: Duty, ended: events.ReportEnded, moment: Moment) -> Outputs:
    """Confirm a window, or repeat its report later."""
    if ended.window_id != duty.called_window:
        return []
    duty.called_window = models.NO_WINDOW
    fields = (
        ('window', ended.window_id),
        ('status', ended.status),
        ('late_ms', round(moment.unix_ms - duty.settings.end_unix_ms(ended.window_id))),
    )
    if ended.status == STATUS_OK:
        _confirm(duty, ended.window_id)
        return [
            core_effects.Log('usage_reported', fields),
            core_effects.Count('usage_reports', 'accepted'),
        ]
    duty.failed_calls += 1
    retry_ms = CALL_RETRY_MIN_MS * 2 ** min(duty.failed_calls - 1, _DOUBLINGS_MAX)
    duty.next_call_ms = max(duty.next_call_ms, moment.now_ms + min(retry_ms, CALL_RETRY_MAX_MS))
    if _is_rejection(ended.status):
        duty.rejections += 1
    if duty.rejections >= REJECTIONS_MAX:
        _confirm(duty, ended.window_id)
        return [
            core_effects.Log('usage_report_given_up', fields),
            core_effects.Count('usage_reports', 'given_up'),
        ]
    return [
        core_effects.Log('usage_report_failed', fields),
        core_effects.Count('usage_reports', f'status_{ended.status}'),
    ]


_DOUBLINGS_MAX: typing.Final = 3


def _is_rejection(status: int) -> bool:
    """Return whether the platform will not accept the report later either."""
    return _FIRST_REJECTION <= status < _FIRST_SERVER_ERROR and status not in _RETRIED_STATUSES


def _confirm(duty: Duty, window_id: int) -> None:
    """Go on to the next window."""
    duty.failed_calls = 0
    duty.rejections = 0
    duty.backlog.advance_to(window_id + 1)
    next_window = max(duty.status.next_window, window_id + 1)
    duty.status = dataclasses.replace(duty.status, next_window=next_window)
