"""Keeps the loops and tasks of the daemon running when one of their steps fails.

Pattern: supervisor. A step that fails is reported and tried again; what the process cannot do without
ends it after a bounded time, so that it never stays up without serving.
"""

import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import task

# A task that has failed starts again after this time.
RESTART_DELAY_S: typing.Final = 1.0
# A port that is taken is tried again at this interval, up to this long.
START_RETRY_INTERVAL_S: typing.Final = 0.25
START_MAX_S: typing.Final = 15.0

Report: typing.TypeAlias = abc.Callable[[str, str, Exception], None]
_Step: typing.TypeAlias = abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]


class Supervisor:
    """Runs loops and tasks until ``close`` is called.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    report
        Receives the name of the log event, the name of the loop or task, and the exception.
    fail
        Ends the process because of a start that has failed for good.
    """

    def __init__(
        self, reactor: typing.Any, report: Report, fail: abc.Callable[[Exception], None]
    ) -> None:
        """Run nothing yet."""
        self._reactor = reactor
        self._report = report
        self._fail = fail
        self._loops: list[task.LoopingCall] = []
        self._closed = False

    def repeat(self, name: str, interval_s: float, function: abc.Callable[[], None]) -> None:
        """Call a function at an interval, also after it has failed."""

        def step() -> None:  # noqa: WPS430 (holds the name)
            try:
                function()
            except Exception as error:  # noqa: BLE001
                # An exception would end the loop for good.
                self._report('loop_failed', name, error)

        loop = task.LoopingCall(step)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_s, now=False)

    def run(self, name: str, step: _Step) -> None:
        """Run a task; start it again if it fails."""
        defer.Deferred.fromCoroutine(self._run(name, step))

    def run_start(self, name: str, step: _Step) -> None:
        """Run a task of the start; if it fails, end the process."""
        defer.Deferred.fromCoroutine(self._run_start(name, step))

    async def bind(self, name: str, bind: abc.Callable[[], None]) -> None:
        """Bind ports; try again for ``START_MAX_S`` while they are taken.

        Raises
        ------
        OSError, twisted.internet.error.CannotListenError
            If a port is still taken then.
        """
        deadline_s = self._reactor.seconds() + START_MAX_S
        is_reported = False
        while not self._closed:
            try:
                bind()
            except (OSError, internet_error.CannotListenError) as error:
                if not is_reported:
                    self._report('bind_failed', name, error)
                if self._reactor.seconds() >= deadline_s:
                    raise
            else:
                return
            is_reported = True
            await self.sleep(START_RETRY_INTERVAL_S)

    def close(self) -> None:
        """End the loops; tasks are not started again."""
        self._closed = True
        for loop in self._loops:
            if loop.running:
                loop.stop()

    def sleep(self, duration_s: float) -> 'defer.Deferred[None]':
        """Return a Deferred that fires after a time."""
        return task.deferLater(self._reactor, duration_s, lambda: None)

    async def _run(self, name: str, step: _Step) -> None:
        while not self._closed:
            try:
                await step()
            except Exception as error:  # noqa: BLE001
                # Without the task, the instance would serve on with an old state.
                self._report('task_failed', name, error)
                await self.sleep(RESTART_DELAY_S)
            else:
                return

    async def _run_start(self, name: str, step: _Step) -> None:
        try:
            await step()
        except Exception as error:  # noqa: BLE001
            self._report('start_failed', name, error)
            self._fail(error)
