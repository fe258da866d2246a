"""Server side: requests of one connection are delivered at once and answered in order."""

import collections
import dataclasses
import typing
from collections import abc

import httptools
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface  # type: ignore[import-untyped]

from rhubarbspar.http1 import const
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import transports


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take; all sizes and times are upper bounds."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Exchange:
    """A request that waits for its response.

    Attributes
    ----------
    request
        What the client sent.
    on_abandoned
        Called when the client leaves before its response.
    """

    def __init__(self, channel: 'Channel', request: messages.Request, *, keep_alive: bool) -> None:
        """Wait for the response."""
        self.request = request
        self.on_abandoned: abc.Callable[[], None] | None = None
        self.response: messages.Response | None = None
        self.keep_alive = keep_alive
        self._channel = channel

    def respond(self, response: messages.Response) -> None:
        """Send the response once all earlier ones of the connection have been sent."""
        if self.response is None:
            self.response = response
            self._channel.flush()


class Site(protocol.Factory):
    """Accepts connections; ``handle`` receives each exchange.

    Parameters
    ----------
    handle
        Receives each complete request.
    limits
        Returns the limits in force.
    clock_ms
        Monotonic clock.
    """

    def __init__(
        self,
        handle: abc.Callable[[Exchange], None],
        limits: abc.Callable[[], Limits],
        clock_ms: abc.Callable[[], float],
    ) -> None:
        """Accept connections without a limit."""
        self.handle = handle
        self.limits = limits
        self.clock_ms = clock_ms
        self.channels: set[Channel] = set()
        self.closing = False

    def buildProtocol(self, addr: typing.Any) -> 'Channel':  # noqa: N802
        """Return the protocol of a new connection."""
        return Channel(self)

    def close_expired(self) -> None:
        """Close the connections that are idle or slow beyond their limits."""
        now_ms = self.clock_ms()
        for channel in tuple(self.channels):
            channel.check_time(now_ms)

    def abort(self) -> None:
        """Close every connection at once."""
        for channel in tuple(self.channels):
            transport: typing.Any = channel.transport
            transport.abortConnection()

    def close_idle(self) -> None:
        """Close every connection that carries no request."""
        for channel in tuple(self.channels):
            channel.close_if_idle()


@interface.implementer(interfaces.IHalfCloseableProtocol)
class Channel(protocol.Protocol):
    """One connection of a client."""

    def __init__(self, site: Site) -> None:
        """Wait for the first request."""
        self._site = site
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[Exchange] = collections.deque()
        self._message = _Incoming()
        self._last_active_ms = site.clock_ms()
        self._completed_in_chunk = False
        self._ending = False
        self._paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        transports.set_tcp_options(self.transport)
        self._site.channels.add(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell the exchanges that wait that nobody reads their responses."""
        self._ending = True
        self._site.channels.discard(self)
        waiting = [exchange for exchange in self._pending if exchange.response is None]
        self._pending.clear()
        for exchange in waiting:
            if exchange.on_abandoned is not None:
                exchange.on_abandoned()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Treat the end of the client's side as its leaving."""
        transport: typing.Any = self.transport
        transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side has ended its responses."""

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Parse what arrived."""
        if self._ending:
            return
        self._last_active_ms = self._site.clock_ms()
        self._completed_in_chunk = False
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(const.STATUS_BAD_REQUEST)
            return
        if not self._completed_in_chunk:
            # A chunk that also ends an earlier message says little of the size of the next one.
            self._message.size_bytes += len(chunk)
        self._check_size()

    def check_time(self, now_ms: float) -> None:
        """Close the connection if it is idle, or its head slow, beyond the limits."""
        limits = self._site.limits()
        silent_ms = now_ms - self._last_active_ms
        if self._pending or self._ending:
            return
        if self._message.started and not self._message.head_complete:
            if now_ms - self._message.started_ms > limits.header_timeout_ms:
                self._refuse(const.STATUS_REQUEST_TIMEOUT)
        elif silent_ms > limits.idle_timeout_ms:
            self._end()

    def close_if_idle(self) -> None:
        """Close the connection if no request is under way on it."""
        if not (self._pending or self._message.started or self._ending):
            self._end()

    def flush(self) -> None:
        """Write the responses that are next in order."""
        transport: typing.Any = self.transport
        while self._pending and self._pending[0].response is not None:
            exchange = self._pending.popleft()
            response = exchange.response
            if response is None:
                return
            close = self._site.closing or not (exchange.keep_alive and response.keep_alive)
            to_head = exchange.request.method == b'HEAD'
            transport.write(messages.serialize_response(response, to_head=to_head, close=close))
            self._last_active_ms = self._site.clock_ms()
            if close:
                self._abandon_rest()
                self._end()
                return
        if self._paused and len(self._pending) < const.PIPELINE_MAX:
            self._paused = False
            transport.resumeProducing()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._message = _Incoming(started=True, started_ms=self._site.clock_ms())

    def on_url(self, part: bytes) -> None:
        """Take a part of the request target."""
        self._message.target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header."""
        self._message.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Answer an expectation."""
        self._message.head_complete = True
        expected = messages.find_header(self._message.headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue' and not self._pending:
            transport: typing.Any = self.transport
            transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._message.body += part

    def on_message_complete(self) -> None:
        """Deliver the request."""
        message = self._message
        self._message = _Incoming()
        self._completed_in_chunk = True
        if self._ending or message.size_refused:
            return
        request = messages.Request(
            self._parser.get_method(),
            bytes(message.target),
            tuple(message.headers),
            bytes(message.body),
        )
        exchange = Exchange(self, request, keep_alive=self._parser.should_keep_alive())
        self._pending.append(exchange)
        if len(self._pending) >= const.PIPELINE_MAX:
            self._paused = True
            transport: typing.Any = self.transport
            transport.pauseProducing()
        self._site.handle(exchange)

    def _check_size(self) -> None:
        message = self._message
        if not message.started:
            return
        limits = self._site.limits()
        if not message.head_complete and message.size_bytes > limits.header_max_bytes:
            self._refuse(const.STATUS_HEADERS_TOO_LARGE)
        elif len(message.body) > limits.body_max_bytes:
            self._refuse(const.STATUS_CONTENT_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        """Answer a request that cannot be read, behind those that were."""
        self._message.size_refused = True
        exchange = Exchange(self, messages.Request(b'', b'', ()), keep_alive=False)
        self._pending.append(exchange)
        exchange.respond(messages.Response(status, keep_alive=False))

    def _abandon_rest(self) -> None:
        """Cancel the requests behind a response that closes the connection."""
        rest = tuple(self._pending)
        self._pending.clear()
        for exchange in rest:
            if exchange.on_abandoned is not None:
                exchange.on_abandoned()

    def _end(self) -> None:
        """End this side, and the connection when the client has had time to read."""
        self._ending = True
        transport: typing.Any = self.transport
        # Closing a socket with unread bytes resets it and can destroy the last response.
        transport.loseWriteConnection()
        transport.reactor.callLater(const.LINGER_S, transport.loseConnection)


@dataclasses.dataclass(slots=True)
class _Incoming:
    """A request that is being received."""

    started: bool = False
    started_ms: float = 0.0
    head_complete: bool = False
    size_bytes: int = 0
    size_refused: bool = False
    target: bytearray = dataclasses.field(default_factory=bytearray)
    headers: list[messages.Header] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
