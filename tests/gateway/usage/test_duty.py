"""The duty as a state machine, against a store and a platform that the test controls.

Load pattern: one window after the other, with takeovers, lost responses, restores and pauses.
"""

import dataclasses

import pytest

from rhubarbspar.gateway.usage import duty as usage_duty
from rhubarbspar.gateway.usage import effects
from rhubarbspar.gateway.usage import events
from rhubarbspar.gateway.usage import models

SETTINGS = models.UsageSettings('127.0.0.1:1', 5000, 10_000, 3000, 50)
UNIX_MS = 1.8e12
FIRST = 360_000_000
STEP_MS = 50


@dataclasses.dataclass
class Call:
    """A call that reached the platform."""

    holder_id: str
    token: int
    window: models.WindowCounts
    at_ms: float


class World:
    """A store, a platform and holders on one clock.

    Attributes
    ----------
    store_mode
        ``ok``, ``down``, ``lost`` (writes take effect, responses are lost) or ``late`` (writes that
        failed take effect by ``land_late``).
    cut_off
        Instances that the store rejects.
    frozen
        Instances that do not run.
    status
        Status of the platform's answers; 0 loses the answer of an accepted report.
    gossip
        Whether the instances hear of each other.
    """

    def __init__(self, *names):
        """Create the instances; the first one is the first candidate."""
        self.now_ms = 0.0
        self.revision = 0
        self.record = None
        self.windows = {}
        self.store_mode = 'ok'
        self.cut_off = set()
        self.frozen = set()
        self.status = 200
        self.gossip = True
        self.calls = []
        self.late = []
        self.duties = {name: usage_duty.Duty(name, 'i', SETTINGS) for name in names}
        self.counts = dict.fromkeys(names, 1)

    def run(self, duration_ms):
        """Let time pass."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for rank, name in enumerate(tuple(self.duties)):
                if name not in self.frozen:
                    self.step(name, rank)

    def step(self, name, rank):
        """Tick one instance, and decide the windows that have ended."""
        duty = self.duties[name]
        moment = self.moment()
        while duty.may_act(self.now_ms) and not (duty.needs_windows or duty.needs_duty):
            window_id = duty.backlog.next_undecided()
            if SETTINGS.end_unix_ms(window_id) > moment.unix_ms:
                break
            counts = (models.AccountCount('workshop', self.counts[name]),)
            usage_duty.decide(duty, models.WindowCounts(window_id, counts))
        self.carry_out(name, usage_duty.tick(duty, rank, FIRST, moment))
        if self.gossip:
            for other_name, other in self.duties.items():
                if other_name not in self.frozen:
                    other.note_status(duty.status)

    def moment(self):
        """Return the present time."""
        return usage_duty.Moment(self.now_ms, UNIX_MS + self.now_ms)

    def carry_out(self, name, outputs):
        """Carry out effects and deliver the outcomes."""
        for output in outputs:
            outcome = self.outcome(name, output)
            if outcome is not None:
                duty = self.duties[name]
                self.carry_out(name, usage_duty.reduce(duty, outcome, self.moment()))

    def outcome(self, name, output):
        """Return the event that follows an effect."""
        match output:
            case effects.SendReport(window, token):
                self.calls.append(Call(name, token, window, self.now_ms))
                return events.ReportEnded(window.window_id, self.status)
            case effects.ReadDuty() | effects.ReadWindows() if self.is_down(name):
                return events.ReadFailed()
            case effects.ReadDuty():
                return events.DutyRead(self.record)
            case effects.ReadWindows():
                return events.WindowsRead(tuple(self.windows.values()))
            case effects.WriteDuty() | effects.WriteWindow():
                return self.write(name, output)
        return None

    def is_down(self, name):
        """Return whether the store answers no call of an instance."""
        return self.store_mode == 'down' or name in self.cut_off

    def write(self, name, output):
        """Return the outcome of a conditional write."""
        if self.is_down(name):
            return events.WriteEnded(events.WriteOutcome.UNKNOWN)
        if self.store_mode == 'late':
            self.late.append(output)
            return events.WriteEnded(events.WriteOutcome.UNKNOWN)
        is_written = self.apply(output)
        if self.store_mode == 'lost':
            return events.WriteEnded(events.WriteOutcome.UNKNOWN)
        if is_written:
            return events.WriteEnded(events.WriteOutcome.WRITTEN, self.revision)
        return events.WriteEnded(events.WriteOutcome.CONFLICT)

    def apply(self, output):
        """Write if the conditions hold; return whether they do."""
        known = 0 if self.record is None else self.record.revision
        match output:
            case effects.WriteDuty(record) if record.revision == known:
                self.revision += 1
                self.record = dataclasses.replace(record, revision=self.revision)
                return True
            case effects.WriteWindow(window, revision, deleted):
                if window.window_id in self.windows or revision != known:
                    return False
                self.revision += 1
                self.windows[window.window_id] = window
                for window_id in deleted:
                    self.windows.pop(window_id, None)
                return True
        return False

    def land_late(self):
        """Let the delayed writes take effect, if their conditions still hold."""
        landed = [self.apply(output) for output in self.late]
        self.late.clear()
        return landed

    def holder_ids(self):
        """Return the holders in the order of their terms."""
        terms = []
        for call in self.calls:
            if not terms or terms[-1] != call.holder_id:
                terms.append(call.holder_id)
        return terms

    def check(self):
        """Check what the platform must never see."""
        counts = {}
        last_token = 0
        owners = {}
        for call in self.calls:
            assert counts.setdefault(call.window.window_id, call.window) == call.window
            assert call.token >= last_token
            assert owners.setdefault(call.token, call.holder_id) == call.holder_id
            last_token = call.token
        terms = [(self.calls[0].holder_id, self.calls[0].at_ms)] if self.calls else []
        for call in self.calls:
            if call.holder_id != terms[-1][0]:
                terms.append((call.holder_id, call.at_ms))
        for earlier, later in zip(terms, terms[2:], strict=False):
            assert earlier[0] != later[0] or later[1] - earlier[1] > SETTINGS.lease_ms

    def sent(self):
        """Return the windows in the order of their first calls."""
        return list(dict.fromkeys(call.window.window_id for call in self.calls))


@pytest.fixture
def world():
    """Return a world in which instance a reports."""
    created = World('a', 'b', 'c')
    created.counts = {'a': 1, 'b': 2, 'c': 3}
    created.run(12_000)
    assert created.holder_ids() == ['a']
    return created


def contiguous(sent):
    """Return whether no window is left out or out of order."""
    return sent == list(range(FIRST, FIRST + len(sent)))


def test_one_holder_reports_each_window_once(world):
    """Guards against several holders and repeated reports in steady operation."""
    world.run(60_000)
    world.check()
    assert contiguous(world.sent())
    assert len(world.calls) == len(world.sent()) == 14
    assert world.holder_ids() == ['a']


def test_confirmed_windows_are_deleted(world):
    """Guards against a store that grows with each window."""
    world.run(60_000)
    assert len(world.windows) <= 2


@pytest.mark.parametrize('mode', ['killed', 'frozen', 'cut off'])
def test_successor_goes_on_and_a_frozen_holder_stays_silent(world, mode):
    """Guards against a duty that ends with its holder, and against two that call at once."""
    if mode == 'killed':
        world.duties.pop('a')
    elif mode == 'frozen':
        world.frozen.add('a')
    else:
        world.cut_off.add('a')
    world.run(20_000)
    world.frozen.clear()
    world.cut_off.clear()
    world.run(20_000)
    world.check()
    assert contiguous(world.sent())
    assert len(world.sent()) >= 9
    assert world.holder_ids() == ['a', 'b']


def test_frozen_holder_that_resumes_makes_no_call_without_a_renewal(world):
    """Guards against a call by a holder that does not know yet that it was replaced."""
    world.gossip = False
    world.status = 503
    world.run(4000)
    world.frozen.add('a')
    world.run(12_000)
    before = len(world.calls)
    world.frozen = {'b', 'c'}
    world.run(3000)
    assert all(call.holder_id != 'a' for call in world.calls[before:])
    world.check()


@pytest.mark.parametrize('status', [0, 503, 429])
def test_takeover_in_the_middle_of_a_report_repeats_the_same_counts(world, status):
    """Guards against a successor that adds up other counts than those that may be accepted."""
    world.status = status
    world.run(6000)
    world.duties.pop('a')
    world.run(8000)
    world.status = 200
    world.run(10_000)
    world.check()
    assert contiguous(world.sent())
    assert world.holder_ids() == ['a', 'b']


def test_lost_responses_of_the_store_lead_to_no_other_counts(world):
    """Guards against a window that is decided twice because its write seemed to have failed."""
    world.store_mode = 'lost'
    world.run(7000)
    world.counts['a'] = 9
    world.store_mode = 'ok'
    world.run(15_000)
    world.check()
    assert contiguous(world.sent())


@pytest.mark.parametrize('delay_ms', [0, 500, 2000, 6000])
def test_late_writes_lead_to_no_second_holder(world, delay_ms):
    """Guards against writes that take effect seconds after they seemed to have failed."""
    world.store_mode = 'late'
    world.run(5100)
    world.counts['a'] = 9
    world.store_mode = 'down'
    world.run(delay_ms)
    world.store_mode = 'ok'
    world.land_late()
    world.run(20_000)
    world.check()
    assert contiguous(world.sent())


@pytest.mark.parametrize('gossip', [True, False])
def test_restore_to_a_state_before_the_takeover(world, gossip):
    """Guards against lower or repeated tokens and other counts after a restore of the store.

    Without gossip, only the holder knows what was lost.
    """
    world.gossip = True
    record, windows = world.record, dict(world.windows)
    world.duties.pop('a')
    world.run(15_000)
    assert world.holder_ids() == ['a', 'b']
    world.gossip = gossip
    world.revision += 100
    world.record = dataclasses.replace(record, revision=world.revision)
    world.windows = windows
    world.run(20_000)
    world.check()
    assert contiguous(world.sent())
    assert world.sent()[-1] >= FIRST + 7


def test_restore_to_an_empty_store(world):
    """Guards against a fleet that begins again with windows that were reported."""
    sent_before = len(world.calls)
    world.record = None
    world.windows = {}
    world.run(25_000)
    world.check()
    assert contiguous(world.sent())
    assert len(world.calls) > sent_before


def test_window_that_was_attempted_and_is_lost_is_skipped(world):
    """Guards against other counts for a window that was sent before a kill and a restore at once."""
    record, windows = world.record, dict(world.windows)
    world.status = 0
    world.run(6000)
    attempted = world.calls[-1].window.window_id
    world.duties.pop('a')
    world.revision += 100
    world.record = dataclasses.replace(record, revision=world.revision)
    world.windows = {key: kept for key, kept in windows.items() if key < attempted}
    world.status = 200
    world.run(20_000)
    world.check()
    assert world.sent()[-1] > attempted


def test_missed_windows_are_sent_in_order_once_the_platform_is_back(world):
    """Guards against windows that are lost in an outage, and calls above the platform's rate."""
    world.status = 0
    world.run(120_000)
    world.status = 200
    before = len(world.calls)
    world.run(10_000)
    world.check()
    assert contiguous(world.sent())
    times = [call.at_ms for call in world.calls[before:]]
    assert len(world.sent()) >= 25
    assert max(sum(first <= at < first + 1000 for at in times) for first in times) <= 50


def test_nobody_takes_over_while_the_store_is_down(world):
    """Guards against calls without a lease."""
    world.run(3000)
    world.store_mode = 'down'
    world.status = 503
    world.run(2000)
    before = len(world.calls)
    world.run(20_000)
    assert len(world.calls) == before
    world.store_mode = 'ok'
    world.status = 200
    world.run(10_000)
    world.check()
    assert contiguous(world.sent())


def test_rejected_report_is_given_up_after_some_calls(world):
    """Guards against a window that holds up all later ones."""
    world.status = 422
    world.run(25_000)
    calls = [call.window.window_id for call in world.calls if call.window.window_id >= FIRST + 2]
    assert calls.count(FIRST + 2) == usage_duty.REJECTIONS_MAX
    assert FIRST + 3 in calls


def test_instance_that_is_stopping_lets_the_duty_go(world):
    """Guards against an instance that renews until its process ends."""
    duty = world.duties['a']
    world.duties.pop('a')
    world.duties = {'b': world.duties['b'], 'c': world.duties['c']}
    outputs = usage_duty.tick(duty, None, FIRST, usage_duty.Moment(world.now_ms + 2000, 0))
    assert not any(isinstance(output, effects.WriteDuty) for output in outputs)
