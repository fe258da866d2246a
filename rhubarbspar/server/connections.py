"""Connection pool for backend servers, on Twisted's HTTP/1.1 client protocol.

Twisted's agent is not used: per request it parses a URL, starts and stops a timer and pauses the
connection until the body is read, while responses are always read whole here. Twisted's client also
hides the ``Connection`` header of a response. The pool keeps it, because the headers that it names
must not be passed on either.
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

_ATTR_CONNECTION_HEADERS = 'connection_options'
_DEFAULT_PORT = ':80'
_QUIESCENT = 'QUIESCENT'


class ConnectionPool:
    """Opens connections and keeps idle ones for ``BACKEND_IDLE_CONNECTION_S``."""

    def __init__(self, reactor: typing.Any) -> None:
        """Create an empty pool."""
        self._idle: dict[str, collections.deque[_IdleConnection]] = {}
        self._reactor = reactor
        self._expiry_timer: typing.Any = None

    def send(self, address: str, request: typing.Any) -> 'defer.Deferred[typing.Any]':
        """Send a request on an idle connection, or on a new one that is kept afterwards."""
        kept = self._take_idle(address)
        return self.send_on_new(address, request) if kept is None else kept.request(request)

    def send_on_new(self, address: str, request: typing.Any) -> 'defer.Deferred[typing.Any]':
        """Send a request on a new connection, kept afterwards if the request is persistent."""
        host, _, port = address.rpartition(':')
        timeout_s = const.BACKEND_CONNECT_TIMEOUT_MS / package_const.MS_PER_S
        endpoint = endpoints.TCP4ClientEndpoint(self._reactor, host, int(port), timeout=timeout_s)
        factory: typing.Any = _Factory(functools.partial(self._keep, address))
        connecting: defer.Deferred[typing.Any] = endpoint.connect(factory)
        return connecting.addCallback(_send_request, request)

    def close(self) -> 'defer.Deferred[typing.Any]':
        """Close the idle connections."""
        idle = [
            kept.connection for idle_connections in self._idle.values() for kept in idle_connections
        ]
        self._idle.clear()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        return defer.gatherResults([connection.abort() for connection in idle])

    def _take_idle(self, address: str) -> typing.Any:
        idle_connections = self._idle.get(address)
        expired_s = self._reactor.seconds() - const.BACKEND_IDLE_CONNECTION_S
        while idle_connections:
            kept = idle_connections.pop()
            if kept.since_s > expired_s and kept.is_usable():
                return kept.connection
            kept.connection.transport.loseConnection()
        return None

    def _keep(self, address: str, connection: typing.Any) -> None:
        idle_connections = self._idle.setdefault(address, collections.deque())
        if len(idle_connections) == const.BACKEND_CONNECTIONS_MAX:
            idle_connections.popleft().connection.transport.loseConnection()
        idle_connections.append(_IdleConnection(connection, self._reactor.seconds()))
        if self._expiry_timer is None:
            self._schedule_expiry(const.BACKEND_IDLE_CONNECTION_S)

    def _schedule_expiry(self, delay_s: float) -> None:
        self._expiry_timer = self._reactor.callLater(delay_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close expired connections; one timer serves the whole pool."""
        self._expiry_timer = None
        now_s = self._reactor.seconds()
        due_s = now_s - const.BACKEND_IDLE_CONNECTION_S
        for address, idle_connections in list(self._idle.items()):
            while idle_connections and idle_connections[0].since_s <= due_s:
                idle_connections.popleft().connection.transport.loseConnection()
            if not idle_connections:
                self._idle.pop(address)
        if self._idle:
            oldest_s = min(kept[0].since_s for kept in self._idle.values())
            self._schedule_expiry(oldest_s - due_s)


class _IdleConnection(typing.NamedTuple):
    """A connection that waits for the next request."""

    connection: typing.Any
    since_s: float

    def is_usable(self) -> bool:
        """Return whether the connection is idle and not known to be closing."""
        ending = self.connection.transport.disconnecting
        return self.connection.state == _QUIESCENT and not ending


class _Protocol(_newclient.HTTP11ClientProtocol):
    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        unpaused: typing.Any = _UnpausedTransport(self.transport)
        self.transport = unpaused

    def request(self, request: typing.Any) -> typing.Any:
        finished = super().request(request)
        return finished.addCallback(_attach_connection_headers, self._parser)


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, keep: abc.Callable[[typing.Any], None]) -> None:
        self._keep = keep

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        return _Protocol(self._keep)


class _UnpausedTransport:
    """Transport that sends immediately and never pauses: responses are always read whole."""

    def __init__(self, transport: typing.Any) -> None:
        self._transport = transport

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: reading continues."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: reading was never paused."""

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
    """Return the ``Connection`` headers of a response, which Twisted hides."""
    texts = getattr(response, _ATTR_CONNECTION_HEADERS, ())
    return tuple(('connection', text.decode('latin-1')) for text in texts)


def _send_request(connection: typing.Any, request: typing.Any) -> typing.Any:
    return connection.request(request)


def _attach_connection_headers(response: typing.Any, parser: typing.Any) -> typing.Any:
    texts = () if parser is None else parser.connHeaders.getRawHeaders(b'connection', ())
    setattr(response, _ATTR_CONNECTION_HEADERS, texts)
    return response
