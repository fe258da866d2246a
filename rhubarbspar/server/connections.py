"""Kept connections to backend servers, with Twisted's protocol of HTTP/1.1 clients.

Twisted's agent is not used: per request it parses an URL, starts and stops a timer and pauses the
connection until somebody reads the body, while answers are always read whole here. Twisted's client also
hides the ``Connection`` header of a response, but the headers that it names must not be passed on either.
"""

import collections
import functools
import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.web import _newclient  # noqa: WPS450
from twisted.web import http_headers

from rhubarbspar import const as package_const
from rhubarbspar.core import models
from rhubarbspar.storage import bodies
from rhubarbspar.server import const
from rhubarbspar.server import sending

_ATTR_OPTIONS = 'connection_options'
_DEFAULT_PORT = ':80'
_QUIESCENT = 'QUIESCENT'


class ConnectionPool:
    """Opens connections and keeps idle ones for a short time."""

    def __init__(self, reactor: typing.Any) -> None:
        """Open no connection yet."""
        self._idle: dict[str, collections.deque[_Idle]] = {}
        self._reactor = reactor
        self._sweeping: typing.Any = None

    def send(self, address: str, request: typing.Any) -> 'defer.Deferred[typing.Any]':
        """Send a request on an idle connection, or on a new one, which is kept afterwards."""
        kept = self._take(address)
        return self.send_on_new(address, request) if kept is None else kept.request(request)

    def send_on_new(self, address: str, request: typing.Any) -> 'defer.Deferred[typing.Any]':
        """Send a request on a new connection, which is kept if the request is persistent."""
        host, _, port = address.rpartition(':')
        timeout_s = const.BACKEND_CONNECT_TIMEOUT_MS / package_const.MS_PER_S
        endpoint = endpoints.TCP4ClientEndpoint(self._reactor, host, int(port), timeout=timeout_s)
        factory: typing.Any = _Factory(functools.partial(self._keep, address))
        connecting: defer.Deferred[typing.Any] = endpoint.connect(factory)
        return connecting.addCallback(_request, request)

    def close(self) -> 'defer.Deferred[typing.Any]':
        """Close the idle connections."""
        idle = [kept.connection for waiting in self._idle.values() for kept in waiting]
        self._idle.clear()
        if self._sweeping is not None:
            self._sweeping.cancel()
            self._sweeping = None
        return defer.gatherResults([connection.abort() for connection in idle])

    def _take(self, address: str) -> typing.Any:
        waiting = self._idle.get(address)
        oldest_s = self._reactor.seconds() - const.BACKEND_IDLE_CONNECTION_S
        while waiting:
            kept = waiting.pop()
            if kept.since_s > oldest_s and kept.is_usable():
                return kept.connection
            kept.connection.transport.loseConnection()
        return None

    def _keep(self, address: str, connection: typing.Any) -> None:
        waiting = self._idle.setdefault(address, collections.deque())
        if len(waiting) == const.BACKEND_CONNECTIONS_MAX:
            waiting.popleft().connection.transport.loseConnection()
        waiting.append(_Idle(connection, self._reactor.seconds()))
        if self._sweeping is None:
            self._sweep_later(const.BACKEND_IDLE_CONNECTION_S)

    def _sweep_later(self, delay_s: float) -> None:
        self._sweeping = self._reactor.callLater(delay_s, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have been idle for too long, with one timer for all."""
        self._sweeping = None
        now_s = self._reactor.seconds()
        due_s = now_s - const.BACKEND_IDLE_CONNECTION_S
        for address, waiting in list(self._idle.items()):
            while waiting and waiting[0].since_s <= due_s:
                waiting.popleft().connection.transport.loseConnection()
            if not waiting:
                self._idle.pop(address)
        if self._idle:
            first_s = min(kept[0].since_s for kept in self._idle.values())
            self._sweep_later(first_s - due_s)


class _Idle(typing.NamedTuple):
    """A connection that waits for the next request."""

    connection: typing.Any
    since_s: float

    def is_usable(self) -> bool:
        """Tell whether no end of the connection is known."""
        ending = self.connection.transport.disconnecting
        return self.connection.state == _QUIESCENT and not ending


class _Protocol(_newclient.HTTP11ClientProtocol):
    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        steady: typing.Any = _Transport(self.transport)
        self.transport = steady

    def request(self, request: typing.Any) -> typing.Any:
        finished = super().request(request)
        return finished.addCallback(_keep_options, self._parser)


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, keep: abc.Callable[[typing.Any], None]) -> None:
        self._keep = keep

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        return _Protocol(self._keep)


class _Transport:
    """A transport that sends at once and goes on reading: answers are always read whole."""

    def __init__(self, transport: typing.Any) -> None:
        self._transport = transport

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def pauseProducing(self) -> None:  # noqa: N802
        """Go on reading."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on reading."""

    def writeSequence(self, chunks: abc.Iterable[bytes]) -> None:  # noqa: N802
        """Send the chunks as one message."""
        sending.send_immediately(self._transport, b''.join(chunks))


def make_request(
    address: str,
    method: str,
    target: str,
    fields: http_headers.Headers,
    body: bytes = b'',
    persistent: bool = True,
) -> typing.Any:
    """Return a request for ``ConnectionPool``.

    Raises
    ------
    ValueError
        If method or target are malformed.
    """
    host = address.removesuffix(_DEFAULT_PORT)
    fields.setRawHeaders(b'Host', [host.encode()])
    producer = bodies.BytesProducer(body) if body else None
    return _newclient.Request(
        method.encode(), target.encode('latin-1'), fields, producer, persistent
    )


def connection_headers(response: typing.Any) -> models.Headers:
    """Return the ``Connection`` headers of a response."""
    texts = getattr(response, _ATTR_OPTIONS, ())
    return tuple(('connection', text.decode('latin-1')) for text in texts)


def _request(connection: typing.Any, request: typing.Any) -> typing.Any:
    return connection.request(request)


def _keep_options(response: typing.Any, parser: typing.Any) -> typing.Any:
    texts = () if parser is None else parser.connHeaders.getRawHeaders(b'connection', ())
    setattr(response, _ATTR_OPTIONS, texts)
    return response
