"""Loops and tasks of the daemon whose steps fail."""

import pytest
from twisted.internet import task

from rhubarbspar.gateway import supervision


class Supervised:
    """A supervisor on a clock of the test, and what it has reported."""

    def __init__(self):
        """Run nothing yet."""
        self.clock = task.Clock()
        self.reports = []
        self.failures = []
        self.supervisor = supervision.Supervisor(
            self.clock, lambda *report: self.reports.append(report[:2]), self.failures.append
        )

    def advance(self, duration_s):
        """Let time pass in steps of 50 ms."""
        for _ in range(round(duration_s / 0.05)):
            self.clock.advance(0.05)


@pytest.fixture
def supervised(loop):
    """Return a supervisor; a looping call installs a reactor unless there is one."""
    assert loop.reactor
    return Supervised()


def fail_first(count, calls):
    """Return a function that fails the first times."""

    def step():
        calls.append(1)
        if len(calls) <= count:
            raise OSError('taken')

    return step


def as_task(function):
    """Return a task that calls a function."""

    async def step():
        function()

    return step


def test_loop_goes_on_after_a_failure(supervised):
    """Guards against a loop that ends for good, unseen by callers, because one step failed."""
    calls = []
    supervised.supervisor.repeat('tick', 0.1, fail_first(2, calls))
    supervised.advance(1)
    assert len(calls) >= 9
    assert supervised.reports == [('loop_failed', 'tick')] * 2


def test_task_starts_again_after_a_failure(supervised):
    """Guards against an instance that no longer follows the store but serves on."""
    calls = []
    supervised.supervisor.run('watch', as_task(fail_first(2, calls)))
    supervised.advance(5)
    assert len(calls) == 3
    assert supervised.reports == [('task_failed', 'watch')] * 2
    assert not supervised.failures


def test_taken_port_is_tried_again(supervised):
    """Guards against a process without a port that never serves and never ends."""
    calls = []
    step = fail_first(4, calls)
    supervised.supervisor.run_start('ports', lambda: supervised.supervisor.bind('ports', step))
    supervised.advance(supervision.START_MAX_S + 1)
    assert len(calls) == 5
    assert not supervised.failures


def test_start_that_never_succeeds_ends_the_process(supervised):
    """Guards against a process that stays up without serving."""
    step = fail_first(10_000, [])
    supervised.supervisor.run_start('ports', lambda: supervised.supervisor.bind('ports', step))
    supervised.advance(supervision.START_MAX_S - 1)
    assert not supervised.failures
    supervised.advance(2)
    assert len(supervised.failures) == 1


def test_closed_supervisor_starts_nothing(supervised):
    """Guards against loops that run on after the end."""
    calls = []
    supervised.supervisor.repeat('tick', 0.1, fail_first(0, calls))
    supervised.supervisor.run('watch', as_task(fail_first(10_000, calls)))
    supervised.supervisor.close()
    before = len(calls)
    supervised.advance(5)
    assert len(calls) == before
