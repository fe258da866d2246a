"""Tests of periodic calls on the event loop."""

import asyncio

import pytest

from rhubarbspar.server import timers


class FakeLoop:
    """Fake event loop with the methods that the timer uses and a clock that the test sets."""

    def __init__(self):
        self.now_s = 0.0
        self.due = []

    def time(self):
        return self.now_s

    def call_at(self, due_s, function, *arguments):
        self.due.append((due_s, function, arguments))

    def run_next(self):
        due_s, function, arguments = self.due.pop()
        assert not self.due
        self.now_s = max(self.now_s, due_s)
        function(*arguments)


def test_calls_keep_their_interval_and_skip_a_pause():
    """Guards against ticks that drift, or that burst after a pause of the process."""
    loop, called_s = FakeLoop(), []
    timers.call_repeatedly(loop, 0.5, lambda: called_s.append(loop.now_s))
    loop.run_next()
    loop.now_s = 0.7
    loop.run_next()
    loop.now_s = 9.0
    loop.run_next()
    loop.run_next()
    assert called_s == [0, 0.5, 1.0, 9.0, 9.5]


def test_exception_in_a_call_does_not_end_the_timer():
    """Guards against an instance that runs without ticks after one call raised."""
    loop = FakeLoop()

    def fail():
        raise ValueError('tick')

    with pytest.raises(ValueError, match='tick'):
        timers.call_repeatedly(loop, 0.5, fail)
    assert len(loop.due) == 1


def test_timer_works_on_the_event_loop():
    """Guards against a call that the fake loop accepts but the real event loop does not."""

    async def count():
        called = []
        timers.call_repeatedly(asyncio.get_running_loop(), 0.001, lambda: called.append(1))
        while len(called) < 3:
            await asyncio.sleep(0.001)

    asyncio.run(asyncio.wait_for(count(), 5))
