"""HTTP/1.1 server: pipelined requests are handled concurrently and answered in order."""

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
    """Upper bounds of the sizes of a request and of the times that a client may take."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Exchange:
    """A request and its response.

    Attributes
    ----------
    request
        Complete request of the client.
    on_abandoned
        Called when no response can be sent any more, for example after a disconnect.
    """

    def __init__(self, channel: 'Channel', request: messages.Request, *, keep_alive: bool) -> None:
        """Create an exchange without a response."""
        self.request = request
        self.on_abandoned: abc.Callable[[], None] | None = None
        self.response: messages.Response | None = None
        self.keep_alive = keep_alive
        self._channel = channel

    def respond(self, response: messages.Response) -> None:
        """Send the response after all earlier ones of the connection; later calls do nothing."""
        if self.response is None:
            self.response = response
            self._channel.flush()


class Site(protocol.Factory):
    """Accepts connections and passes each exchange to ``handle``.

    Parameters
    ----------
    handle
        Called with the exchange of each complete request.
    limits
        Returns the limits that apply now.
    clock_ms
        Monotonic clock in milliseconds.
    """

    def __init__(
        self,
        handle: abc.Callable[[Exchange], None],
        limits: abc.Callable[[], Limits],
        clock_ms: abc.Callable[[], float],
    ) -> None:
        """Create a site without connections."""
        self.handle = handle
        self.limits = limits
        self.clock_ms = clock_ms
        self.channels: set[Channel] = set()
        self.closing = False

    def buildProtocol(self, addr: typing.Any) -> 'Channel':  # noqa: N802
        """Return the protocol of a new connection."""
        return Channel(self)

    def close_expired(self) -> None:
        """Close connections that are idle for too long or whose request head is overdue."""
        now_ms = self.clock_ms()
        for channel in tuple(self.channels):
            channel.check_time(now_ms)

    def abort(self) -> None:
        """Close all connections immediately."""
        for channel in tuple(self.channels):
            transport: typing.Any = channel.transport
            transport.abortConnection()

    def close_idle(self) -> None:
        """Close all connections without a pending request."""
        for channel in tuple(self.channels):
            channel.close_if_idle()


@interface.implementer(interfaces.IHalfCloseableProtocol)
class Channel(protocol.Protocol):
    """A connection of a client."""

    def __init__(self, site: Site) -> None:
        """Create the protocol of a new connection."""
        self._site = site
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[Exchange] = collections.deque()
        self._partial = _PartialRequest()
        self._last_active_ms = site.clock_ms()
        self._completed_in_chunk = False
        self._closing = False
        self._paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Set the TCP options and register the connection with the site."""
        transports.set_tcp_options(self.transport)
        self._site.channels.add(self)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Abandon the exchanges that have no response yet."""
        self._closing = True
        self._site.channels.discard(self)
        unanswered = [exchange for exchange in self._pending if exchange.response is None]
        self._pending.clear()
        for exchange in unanswered:
            if exchange.on_abandoned is not None:
                exchange.on_abandoned()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection: a client that ends its side counts as disconnected."""
        transport: typing.Any = self.transport
        transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side has closed after its last response."""

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Parse received bytes and refuse a malformed or oversized request."""
        if self._closing:
            return
        self._last_active_ms = self._site.clock_ms()
        self._completed_in_chunk = False
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(const.STATUS_BAD_REQUEST)
            return
        if not self._completed_in_chunk:
            # A chunk that also holds the end of an earlier message would overstate this size.
            self._partial.size_bytes += len(chunk)
        self._check_size()

    def check_time(self, now_ms: float) -> None:
        """Close the connection if it is idle for too long, or if a request head is overdue."""
        limits = self._site.limits()
        idle_ms = now_ms - self._last_active_ms
        if self._pending or self._closing:
            return
        if self._partial.started and not self._partial.head_complete:
            if now_ms - self._partial.started_ms > limits.header_timeout_ms:
                self._refuse(const.STATUS_REQUEST_TIMEOUT)
        elif idle_ms > limits.idle_timeout_ms:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or being received."""
        if not (self._pending or self._partial.started or self._closing):
            self._close()

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests."""
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
                self._abandon_pending()
                self._close()
                return
        if self._paused and len(self._pending) < const.PIPELINE_MAX:
            self._paused = False
            transport.resumeProducing()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._partial = _PartialRequest(started=True, started_ms=self._site.clock_ms())

    def on_url(self, part: bytes) -> None:
        """Append to the request target."""
        self._partial.target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header with its name in lower case."""
        self._partial.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Answer ``Expect: 100-continue``, unless earlier requests are pending."""
        self._partial.head_complete = True
        expected = messages.find_header(self._partial.headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue' and not self._pending:
            transport: typing.Any = self.transport
            transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, part: bytes) -> None:
        """Append to the body."""
        self._partial.body += part

    def on_message_complete(self) -> None:
        """Pass the request to the site; stop reading at ``PIPELINE_MAX`` pending requests."""
        partial = self._partial
        self._partial = _PartialRequest()
        self._completed_in_chunk = True
        if self._closing or partial.is_refused:
            return
        request = messages.Request(
            self._parser.get_method(),
            bytes(partial.target),
            tuple(partial.headers),
            bytes(partial.body),
        )
        exchange = Exchange(self, request, keep_alive=self._parser.should_keep_alive())
        self._pending.append(exchange)
        if len(self._pending) >= const.PIPELINE_MAX:
            self._paused = True
            transport: typing.Any = self.transport
            transport.pauseProducing()
        self._site.handle(exchange)

    def _check_size(self) -> None:
        partial = self._partial
        if not partial.started:
            return
        limits = self._site.limits()
        if not partial.head_complete and partial.size_bytes > limits.header_max_bytes:
            self._refuse(const.STATUS_HEADERS_TOO_LARGE)
        elif len(partial.body) > limits.body_max_bytes:
            self._refuse(const.STATUS_CONTENT_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        """Queue an error response after the pending ones and close the connection."""
        self._partial.is_refused = True
        exchange = Exchange(self, messages.Request(b'', b'', ()), keep_alive=False)
        self._pending.append(exchange)
        exchange.respond(messages.Response(status, keep_alive=False))

    def _abandon_pending(self) -> None:
        """Abandon the requests that follow a response that closes the connection."""
        rest = tuple(self._pending)
        self._pending.clear()
        for exchange in rest:
            if exchange.on_abandoned is not None:
                exchange.on_abandoned()

    def _close(self) -> None:
        """Close the write side now and the connection after ``LINGER_S``."""
        self._closing = True
        transport: typing.Any = self.transport
        # Closing a socket with unread bytes resets it, which can lose the last response.
        transport.loseWriteConnection()
        transport.reactor.callLater(const.LINGER_S, transport.loseConnection)


@dataclasses.dataclass(slots=True)
class _PartialRequest:
    """A partially received request."""

    started: bool = False
    started_ms: float = 0.0
    head_complete: bool = False
    size_bytes: int = 0
    is_refused: bool = False
    target: bytearray = dataclasses.field(default_factory=bytearray)
    headers: list[messages.Header] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
