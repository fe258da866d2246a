"""The duty under random faults: slow and lost calls, late writes, pauses, kills and restores.

Load pattern: one window after the other for some minutes, faults every few seconds.
"""

import dataclasses
import random

import pytest

from rhubarbspar.gateway.usage import duty as usage_duty
from rhubarbspar.gateway.usage import effects
from rhubarbspar.gateway.usage import events
from rhubarbspar.gateway.usage import models
from tests.gateway.usage import usage_backends

SEEDS = range(60)
NAMES = ('a', 'b', 'c', 'd')
CHAOS_MS = 150_000
CALM_MS = 40_000
# After a restore there is no other fault for this long, and until the duty is taken again.
RESTORE_QUIET_MS = 10_000


@dataclasses.dataclass
class Due:
    """An outcome on its way to an instance."""

    due_ms: float
    name: str
    outcome: events.UsageEvent
    process_number: int


class Chaos(usage_backends.Backends):
    """Instances, a store and a platform with random faults.

    Attributes
    ----------
    frozen_until_ms
        Until when each frozen instance does not run.
    gossip_cut
        Instances that hear nothing of the others.
    """

    def __init__(self, seed):
        """Create all instances."""
        super().__init__()
        self.random = random.Random(seed)
        self.duties = {}
        self.process_numbers = dict.fromkeys(NAMES, 0)
        self.frozen_until_ms = {}
        self.gossip_cut = set()
        self.dues = []
        self.late_until = []
        self.copies = []
        self.calm = False
        self.restored_ms = -RESTORE_QUIET_MS
        for name in NAMES:
            self.start(name)

    def start(self, name):
        """Start a process of an instance."""
        self.process_numbers[name] += 1
        incarnation = str(self.process_numbers[name])
        self.duties[name] = usage_duty.Duty(name, incarnation, usage_backends.SETTINGS)
        self.frozen_until_ms.pop(name, None)

    def run(self, duration_ms):
        """Let time pass in steps of a tick."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += 50
            if not self.calm:
                self.make_fault()
            self.land_due_writes()
            self.gossip()
            for rank, name in enumerate(NAMES):
                if name in self.duties and self.now_ms >= self.frozen_until_ms.get(name, 0):
                    self.step(name, rank)

    def make_fault(self):
        """Make a fault about once in 3 s."""
        if self.random.random() > 1 / 60:
            return
        name = self.random.choice(NAMES)
        if self.now_ms < self.restored_ms + RESTORE_QUIET_MS:
            return
        if self.record is not None and self.record.era < self.era:
            # Until the duty is taken again, only those that run know what was reported.
            self.store_mode = 'ok'
            return
        match self.random.randrange(9):
            case 0 if name in self.duties:
                self.duties.pop(name)
            case 1 if name not in self.duties:
                self.start(name)
            case 2:
                self.frozen_until_ms[name] = self.now_ms + self.random.uniform(200, 12_000)
            case 3:
                self.store_mode = self.random.choice(('ok', 'ok', 'down', 'lost', 'late'))
            case 4:
                self.cut_off ^= {name}
            case 5:
                self.status = self.random.choice((200, 200, 0, 429, 503))
            case 6:
                self.copies.append((self.record, dict(self.windows)))
            case 7 if self.copies and self.is_known():
                self.restore_copy()
            case 8:
                self.gossip_cut ^= {name}

    def restore_copy(self):
        """Restore the store to an earlier state."""
        self.restored_ms = self.now_ms
        record, windows = self.random.choice(self.copies)
        self.copies.clear()
        if record is not None:
            self.restore(record, windows)

    def is_known(self):
        """Return whether an instance that the others hear knows of all reports.

        If all that know of a report are lost together with the store's record of it, nothing can
        prevent a second one with other counts.
        """
        attempted = max((call.window.window_id for call in self.calls), default=0)
        return any(
            duty.status.attempted_window >= attempted
            for name, duty in self.duties.items()
            if name not in self.gossip_cut and self.now_ms >= self.frozen_until_ms.get(name, 0)
        )

    def calm_down(self):
        """End all faults and start all instances."""
        self.calm = True
        self.store_mode = 'ok'
        self.status = 200
        self.cut_off = set()
        self.gossip_cut = set()
        self.frozen_until_ms = {}
        for name in NAMES:
            if name not in self.duties:
                self.start(name)

    def gossip(self):
        """Let the instances hear of each other."""
        hearing = [
            duty
            for name, duty in self.duties.items()
            if name not in self.gossip_cut and self.now_ms >= self.frozen_until_ms.get(name, 0)
        ]
        for duty in hearing:
            for other in hearing:
                other.note_status(duty.status)

    def hears_fleet(self, name):
        """Return whether an instance hears at least half of all instances, itself included."""
        heard = [
            other
            for other in self.duties.keys() - self.gossip_cut
            if self.now_ms >= self.frozen_until_ms.get(other, 0)
        ]
        return name in heard and 2 * len(heard) >= len(NAMES)

    def step(self, name, rank):
        """Deliver what is due to an instance in either order, and tick it."""
        ready = [due for due in self.dues if due.name == name and due.due_ms <= self.now_ms]
        self.dues = [due for due in self.dues if due not in ready]
        steps = [lambda due=due: self.deliver(due) for due in ready]
        steps.append(lambda: self.tick(name, rank))
        self.random.shuffle(steps)
        for each in steps:
            each()

    def deliver(self, due):
        """Deliver an outcome to the process that made the call."""
        if self.process_numbers[due.name] != due.process_number or due.name not in self.duties:
            return
        self.carry_out(
            due.name, usage_duty.reduce(self.duties[due.name], due.outcome, self.moment())
        )

    def tick(self, name, rank):
        """Decide windows with counts that differ from those of other instances, and tick."""
        duty = self.duties[name]
        moment = self.moment()
        while duty.may_act(self.now_ms) and not (duty.needs_windows or duty.needs_duty):
            window_id = duty.backlog.next_undecided()
            if usage_backends.SETTINGS.end_unix_ms(window_id) > moment.unix_ms:
                break
            count = self.random.randrange(1, 1_000_000)
            counts = (models.AccountCount('workshop', count),)
            usage_duty.decide(duty, models.WindowCounts(window_id, counts))
        hears_fleet = self.hears_fleet(name)
        standing = usage_duty.Standing(rank, usage_backends.FIRST, hears_fleet=hears_fleet)
        self.carry_out(name, usage_duty.tick(duty, standing, moment))

    def moment(self):
        """Return the present time."""
        return usage_duty.Moment(self.now_ms, usage_backends.UNIX_MS + self.now_ms)

    def carry_out(self, name, outputs):
        """Carry out effects; their outcomes take a while."""
        for output in outputs:
            if isinstance(output, effects.CancelReport):
                self.dues = [due for due in self.dues if not self.is_report(due, name)]
            outcome = self.outcome(name, output)
            if outcome is not None:
                delay_ms = self.random.choice((2, 2, 2, 40, 300, 1400))
                number = self.process_numbers[name]
                self.dues.append(Due(self.now_ms + delay_ms, name, outcome, number))
        for write in self.late:
            self.late_until.append((self.now_ms + self.random.uniform(0, 8000), write))
        self.late.clear()

    def is_report(self, due, name):
        """Return whether an outcome is that of a report of an instance."""
        return due.name == name and isinstance(due.outcome, events.ReportEnded)

    def land_due_writes(self):
        """Let delayed writes take effect."""
        ready = [write for due_ms, write in self.late_until if due_ms <= self.now_ms]
        self.late_until = [each for each in self.late_until if each[0] > self.now_ms]
        for write in ready:
            self.apply(write)


@pytest.mark.parametrize('seed', SEEDS)
def test_platform_never_sees_a_contradiction(seed):
    """Guards against rare orders of faults: other counts, lower or shared tokens, holders that alternate.

    Afterwards one holder reports all windows that are due.
    """
    chaos = Chaos(seed)
    chaos.run(CHAOS_MS)
    chaos.check()
    chaos.calm_down()
    chaos.run(CALM_MS)
    chaos.check()
    assert chaos.calls
    ended = usage_backends.SETTINGS.window_at(chaos.moment().unix_ms) - 1
    assert chaos.sent()[-1] >= ended - 1
