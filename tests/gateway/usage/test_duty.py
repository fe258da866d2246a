"""The duty as a state machine, against a store and a platform that the test controls.

Load pattern: one window after the other, with takeovers, lost responses, restores and pauses.
"""

import pytest

from rhubarbspar.gateway.usage import duty as usage_duty
from rhubarbspar.gateway.usage import effects
from rhubarbspar.gateway.usage import models
from tests.gateway.usage import usage_backends

STEP_MS = 50


class World(usage_backends.Backends):
    """Instances on one clock, with a store and a platform.

    Attributes
    ----------
    frozen
        Instances that do not run.
    gossip
        Whether the instances hear of each other.
    """

    def __init__(self, *names):
        """Create the instances; the first one is the first candidate."""
        super().__init__()
        self.frozen = set()
        self.gossip = True
        self.duties = {name: usage_duty.Duty(name, 'i', usage_backends.SETTINGS) for name in names}
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
            if usage_backends.SETTINGS.end_unix_ms(window_id) > moment.unix_ms:
                break
            counts = (models.AccountCount('workshop', self.counts[name]),)
            usage_duty.decide(duty, models.WindowCounts(window_id, counts))
        self.carry_out(
            name, usage_duty.tick(duty, usage_duty.Standing(rank, usage_backends.FIRST), moment)
        )
        if self.gossip:
            for other_name, other in self.duties.items():
                if other_name not in self.frozen:
                    other.note_status(duty.status)

    def moment(self):
        """Return the present time."""
        return usage_duty.Moment(self.now_ms, usage_backends.UNIX_MS + self.now_ms)

    def carry_out(self, name, outputs):
        """Carry out effects and deliver the outcomes."""
        for output in outputs:
            outcome = self.outcome(name, output)
            if outcome is not None:
                duty = self.duties[name]
                self.carry_out(name, usage_duty.reduce(duty, outcome, self.moment()))


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
    return sent == list(range(usage_backends.FIRST, usage_backends.FIRST + len(sent)))


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
    world.restore(record, windows)
    world.run(20_000)
    world.check()
    assert contiguous(world.sent())
    assert world.sent()[-1] >= usage_backends.FIRST + 7


def test_restore_to_an_empty_store(world):
    """Guards against a fleet that begins again with windows that were reported."""
    sent_before = len(world.calls)
    world.restore(None, {})
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
    world.restore(record, {key: kept for key, kept in windows.items() if key < attempted})
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
    calls = [
        call.window.window_id
        for call in world.calls
        if call.window.window_id >= usage_backends.FIRST + 2
    ]
    assert calls.count(usage_backends.FIRST + 2) == usage_duty.REJECTIONS_MAX
    assert usage_backends.FIRST + 3 in calls


def test_instance_that_is_stopping_lets_the_duty_go(world):
    """Guards against an instance that renews until its process ends."""
    duty = world.duties['a']
    world.duties.pop('a')
    world.duties = {'b': world.duties['b'], 'c': world.duties['c']}
    standing = usage_duty.Standing(None, usage_backends.FIRST)
    outputs = usage_duty.tick(duty, standing, usage_duty.Moment(world.now_ms + 2000, 0))
    assert not any(isinstance(output, effects.WriteDuty) for output in outputs)


def test_uninformed_instance_leaves_out_what_a_restored_store_may_have_lost(world):
    """Guards against other counts from instances that start after a restore, beside nobody else."""
    record, windows = world.record, dict(world.windows)
    world.run(20_000)
    last = world.sent()[-1]
    for name in tuple(world.duties):
        world.duties[name] = usage_duty.Duty(name, 'j', usage_backends.SETTINGS)
    world.restore(record, windows)
    world.run(20_000)
    world.check()
    assert world.sent()[-1] > last


def test_former_holder_whose_record_a_restore_brings_back_begins_a_new_term(world):
    """Guards against a lower token of a holder that was frozen while it was replaced."""
    world.gossip = False
    record, windows = world.record, dict(world.windows)
    world.frozen.add('a')
    world.run(20_000)
    assert world.holder_ids() == ['a', 'b']
    world.restore(record, windows)
    world.frozen = {'b', 'c'}
    world.run(3000)
    assert world.holder_ids() == ['a', 'b']


def test_holder_writes_again_what_a_restore_has_lost_before_it_calls(world):
    """Guards against a successor that finds no counts of a window that its predecessor sent."""
    record = world.record
    world.status = 0
    world.run(6000)
    attempted = world.calls[-1].window.window_id
    world.restore(world.record, {})
    world.run(3000)
    assert attempted in world.windows
    for name in ('b', 'c'):
        world.duties[name] = usage_duty.Duty(name, 'j', usage_backends.SETTINGS)
    world.duties.pop('a')
    world.status = 200
    world.run(15_000)
    world.check()
    assert world.holder_ids() == ['a', 'b']
    assert record.token < world.calls[-1].token


def test_windows_are_written_with_a_store_that_is_slower_than_the_renewals(world):
    """Guards against renewals that take all turns at a slow store."""
    duty = world.duties['a']
    window = models.WindowCounts(duty.backlog.next_undecided(), ())
    usage_duty.decide(duty, window)
    standing = usage_duty.Standing(0, usage_backends.FIRST)
    written = []
    for _ in range(4):
        outputs = usage_duty.tick(duty, standing, world.moment())
        written.extend(type(each) for each in outputs)
        world.now_ms += 800
        world.carry_out('a', outputs)
    assert effects.WriteWindow in written


@pytest.mark.parametrize(('elapsed_ms', 'is_called'), [(1500, True), (1850, False), (2900, False)])
def test_holder_stops_long_before_its_lease_ends(world, elapsed_ms, is_called):
    """Guards against calls that arrive when a successor may already act."""
    duty = world.duties['a']
    window = models.WindowCounts(duty.backlog.next_window, ())
    usage_duty.decide(duty, window)
    duty.backlog.written.add(window.window_id)
    world.now_ms = duty.renewed_ms + elapsed_ms
    standing = usage_duty.Standing(0, usage_backends.FIRST)
    outputs = usage_duty.tick(duty, standing, world.moment())
    assert any(isinstance(each, effects.SendReport) for each in outputs) == is_called
