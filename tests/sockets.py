"""Fixtures for tests over sockets: the asyncio reactor, stand-ins and clients in this process."""

import asyncio
import sys
import typing
from collections import abc

import pytest
from twisted.internet import asyncioreactor
from twisted.internet import defer
from twisted.internet import task

from rhubarbspar.core import events
from rhubarbspar.storage import store as store_client
from rhubarbspar.standins import store as store_standin

RUN_TIMEOUT_S = 30


class Loop:
    """The one reactor of the test process and its event loop."""

    def __init__(self) -> None:
        if 'twisted.internet.reactor' not in sys.modules:
            asyncioreactor.install(asyncio.new_event_loop())
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        self._loop = reactor._asyncioEventloop
        if not reactor.running:
            reactor.startRunning(installSignalHandlers=False)

    def run(self, coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
        """Run a coroutine that awaits Deferreds to its end."""
        deferred = defer.Deferred.fromCoroutine(coroutine)
        deferred.addTimeout(RUN_TIMEOUT_S, self.reactor)
        return self._loop.run_until_complete(deferred.asFuture(self._loop))

    async def wait(self, seconds: float) -> None:
        """Let the reactor run for a short time."""
        await task.deferLater(self.reactor, seconds)

    async def until(self, condition: abc.Callable[[], typing.Any]) -> typing.Any:
        """Wait until a condition holds and return its value."""
        while not (found := condition()):
            await task.deferLater(self.reactor, 0.002)
        return found


class Receiver:
    """Collects delivered events."""

    def __init__(self, loop: Loop) -> None:
        self.events: list[events.Event] = []
        self._loop = loop

    def __call__(self, event: events.Event) -> None:
        self.events.append(event)

    def tagged(self, tag: str, kind: type = events.StoreAnswered) -> list[typing.Any]:
        """Return the events of a call or watch."""
        return [event for event in self.events if isinstance(event, kind) and event.tag == tag]

    async def answer(self, tag: str) -> events.StoreAnswered:
        """Wait for the answer of a call."""
        answers = await self._loop.until(lambda: self.tagged(tag))
        return answers[0]


@pytest.fixture(scope='session')
def loop() -> abc.Iterator[Loop]:
    """Return the event loop of all tests.

    Fails if anything used the reactor's thread pool: everything runs on one thread, and the pool's
    threads would keep the test process from exiting.
    """
    made = Loop()
    yield made
    threads = made.reactor.threadpool
    if threads is not None:
        threads.stop()
    assert threads is None


@pytest.fixture
def clock() -> task.Clock:
    """Return a clock that stands still until a test advances it."""
    return task.Clock()


@pytest.fixture
def store(loop: Loop, clock: task.Clock) -> abc.Iterator[store_standin.Store]:
    """Return a store on an ephemeral port whose leases follow ``clock``."""
    started = store_standin.Store(loop.reactor, clock=clock)
    started.start()
    yield started
    loop.run(_wait(started.close()))


@pytest.fixture
def receiver(loop: Loop) -> Receiver:
    """Return a receiver of events."""
    return Receiver(loop)


@pytest.fixture
def client(
    loop: Loop,
    store: store_standin.Store,
    receiver: Receiver,
    clock: task.Clock,
) -> abc.Iterator[store_client.StoreClient]:
    """Return a client of the store whose time limits follow ``clock``."""
    url = f'http://127.0.0.1:{store.service.port}'
    made = store_client.StoreClient(loop.reactor, url, receiver, lambda: 5, clock=clock)
    yield made
    loop.run(_wait(made.close()))


async def _wait(deferred: typing.Any) -> None:
    await deferred
