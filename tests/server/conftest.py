"""Fixtures that run the HTTP layer on real sockets with ephemeral ports."""

import typing
from collections import abc

import pytest
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import task

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.server import backend
from rhubarbspar.server import caller_channel
from rhubarbspar.server import caller_http
from tests import sockets

LOCAL = '127.0.0.1'


class RawConnection(protocol.Protocol):
    """One end of a connection that sends raw bytes and records what it receives."""

    def __init__(self) -> None:
        self.received = b''
        self.closed = False

    def dataReceived(self, data: bytes) -> None:
        self.received += data

    def connectionLost(self, reason: typing.Any = None) -> None:
        self.closed = True

    def send(self, data: bytes) -> None:
        self.transport.write(data)


class CallerListener:
    """The listener for callers, with the events that it delivered and the effects it reported."""

    def __init__(self, loop: sockets.Loop, clock: task.Clock) -> None:
        self.events: list[events.Event] = []
        self.reported: list[effects.Effect] = []
        self._loop = loop
        self.service = caller_http.CallerService(
            self.events.append,
            lambda: 0.0,
            self.reported.append,
        )
        factory = caller_channel.CallerFactory(self.service, clock)
        self.port = loop.reactor.listenTCP(0, factory, interface=LOCAL)

    async def connect(self) -> RawConnection:
        connected = defer.Deferred()
        factory = protocol.Factory.forProtocol(RawConnection)
        factory.noisy = False
        endpoint = endpoints.TCP4ClientEndpoint(self._loop.reactor, LOCAL, self.port.getHost().port)
        endpoint.connect(factory).chainDeferred(connected)
        return await connected

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all that is received until the connection closes."""
        raw = await self.connect()
        raw.send(data)
        await self._loop.until(lambda: raw.closed)
        return raw.received

    async def requests(self, count: int) -> list[models.Request]:
        """Wait until ``count`` requests were delivered and return all of them."""
        await self._loop.until(lambda: len(self._requests()) >= count)
        return self._requests()

    def refusal_reasons(self) -> list[str]:
        return [effect.reason for effect in self.reported if isinstance(effect, effects.Count)]

    def _requests(self) -> list[models.Request]:
        return [event.request for event in self.events if hasattr(event, 'request')]


@pytest.fixture
def entry(loop: sockets.Loop, clock: task.Clock) -> abc.Iterator[CallerListener]:
    """Return a listener for callers; its timeouts follow ``clock``."""
    made = CallerListener(loop, clock)
    yield made
    loop.run(_close(made.port))


class Backend:
    """A client for backend servers and one server whose responses the test sends."""

    def __init__(self, loop: sockets.Loop) -> None:
        self.finished: list[events.AttemptFinished] = []
        self.connections: list[RawConnection] = []
        self.client = backend.BackendClient(loop.reactor, self.finished.append, lambda: 0.0)
        self._loop = loop
        factory = protocol.Factory()
        factory.noisy = False
        factory.buildProtocol = self._accept
        self.port = loop.reactor.listenTCP(0, factory, interface=LOCAL)
        self.address = f'{LOCAL}:{self.port.getHost().port}'

    def start(self, attempt_id: str = 'a1', method: str = 'GET', **changed: typing.Any) -> None:
        """Start an attempt at the scripted server."""
        fields = {'target': '/x', 'headers': (), 'body': b'', 'deadline_ms': 1500.0} | changed
        request = models.Request(
            request_id=attempt_id,
            service_id='s',
            method=method,
            access_key_digest=None,
            idempotency_key=None,
            **fields,
        )
        self.client.start(effects.StartAttempt(attempt_id, 'server', self.address, request))

    async def received(self, number: int = 0) -> RawConnection:
        """Wait until the server has a request on its nth connection."""

        def has_request() -> bool:
            return len(self.connections) > number and bool(self.connections[number].received)

        await self._loop.until(has_request)
        return self.connections[number]

    async def outcome(self) -> events.AttemptFinished:
        """Wait for the end of the first attempt."""
        await self._loop.until(lambda: self.finished)
        return self.finished[0]

    async def close(self) -> None:
        await self.client.close()
        for raw in self.connections:
            if not raw.closed:
                raw.transport.abortConnection()
        await defer.maybeDeferred(self.port.stopListening)

    def _accept(self, _address: typing.Any) -> RawConnection:
        raw = RawConnection()
        self.connections.append(raw)
        return raw


@pytest.fixture
def backend_side(loop: sockets.Loop) -> abc.Iterator[Backend]:
    """Return a client for backend servers with a scripted server."""
    made = Backend(loop)
    yield made
    loop.run(made.close())


async def _close(port: typing.Any) -> None:
    await defer.maybeDeferred(port.stopListening)
