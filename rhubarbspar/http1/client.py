"""HTTP/1.1 client with a connection pool; a connection carries one request at a time."""

import dataclasses
import re
import typing
from collections import abc

import httptools
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure

from rhubarbspar import const as package_const
from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import const
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import receive_buffers
from rhubarbspar.http1 import transports
from rhubarbspar.http1 import writing

Outcome: typing.TypeAlias = messages.Response | errors.HttpError
_TIMEOUT_PARAMETER: typing.Final = re.compile(rb'timeout=(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The address of a server."""

    host: str
    port: int


class Call:
    """A request and its outcome; ``finish`` is called once, unless the call is cancelled.

    Parameters
    ----------
    request
        What to send.
    finish
        Receives the response or an error.
    expected_echo
        Header that the response must repeat with this value. A response with another value belongs
        to an earlier request and is skipped, up to ``SKIPPED_RESPONSES_MAX`` of them. More of them
        end the call as malformed, and so does one without the header: it may belong to any request.
    """

    def __init__(
        self,
        request: messages.Request,
        finish: abc.Callable[[Outcome], None],
        expected_echo: messages.Header | None = None,
    ) -> None:
        """Create a call; ``Pool.start`` sends its request."""
        self.request = request
        self.expected_echo = expected_echo
        self.connection: Connection | None = None
        self.connector: typing.Any = None
        self.reused = False
        self.done = False
        # Time at which a connection opened for this call, by the clock of the pool.
        self.connected_ms: float | None = None
        self._finish = finish

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome, unless the call has ended already."""
        if not self.done:
            self.done = True
            self._finish(outcome)

    def abort(self, error: errors.HttpError) -> None:
        """Close the connection and report an error, unless the call has ended already."""
        unfinished = not self.done
        self.cancel()
        if unfinished:
            self._finish(error)

    def cancel(self) -> None:
        """Close the connection and report nothing."""
        self.done = True
        if self.connection is not None:
            self.connection.abort()
        elif self.connector is not None:
            self.connector.disconnect()


class Pool:
    """Connection pool of one endpoint; reuses the most recently used connection first.

    Parameters
    ----------
    reactor
        Twisted reactor that opens the connections.
    endpoint
        Server to connect to.
    clock_ms
        Monotonic clock in milliseconds.
    idle_max_ms
        Idle timeout: a connection that was idle for longer is closed, not reused.
    budget
        Bounds what the responses hold in memory; by default they hold what they need.
    connections
        Bounds the open connections of all pools that share it; by default there may be any number.
    """

    def __init__(
        self,
        reactor: typing.Any,
        endpoint: Endpoint,
        clock_ms: abc.Callable[[], float],
        idle_max_ms: float,
        budget: memory.MemoryBudget | None = None,
        connections: descriptors.ConnectionLimit | None = None,
    ) -> None:
        """Create an empty pool."""
        self.connections = connections or descriptors.ConnectionLimit()
        self.budget = budget or memory.MemoryBudget()
        self.clock_ms = clock_ms
        self.endpoint = endpoint
        self.idle_max_ms = idle_max_ms
        self.idle: list[Connection] = []
        self._reactor = reactor

    def start(self, call: Call, connect_timeout_ms: float) -> None:
        """Send a request on an idle connection, or on a new one."""
        connection = self._take_idle()
        if connection is not None:
            call.reused = True
            connection.send(call)
            return
        if not self.connections.acquire():
            call.finish(errors.NoSocketError('all connections of this kind are in use'))
            return
        factory = _Factory(self, call)
        call.connector = self._reactor.connectTCP(
            self.endpoint.host,
            self.endpoint.port,
            factory,
            timeout=connect_timeout_ms / package_const.MS_PER_S,
        )

    def close(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self.idle):
            connection.abort()
        self.idle.clear()

    def close_expired(self) -> None:
        """Close the connections whose idle timeout has passed."""
        now_ms = self.clock_ms()
        for connection in tuple(self.idle):
            if connection.expires_ms <= now_ms:
                connection.abort()

    def _take_idle(self) -> 'Connection | None':
        self.close_expired()
        return self.idle.pop() if self.idle else None


class Connection(protocol.Protocol):
    """One connection to a server."""

    def __init__(self, pool: Pool, first: Call) -> None:
        """Create the protocol of a new connection, which sends ``first`` once open."""
        self.expires_ms = float('inf')
        self._pool = pool
        self._call: Call | None = first
        self._parser: typing.Any = None
        self._partial = _PartialResponse()
        self._closed = False
        self._idle_timeout_ms = pool.idle_max_ms
        self._share = memory.Share(pool.budget)
        self._writer: writing.SliceWriter
        self._receive_buffer: receive_buffers.ReceiveBuffer

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first request."""
        transports.set_tcp_options(self.transport)
        self._receive_buffer = receive_buffers.ReceiveBuffer(
            self.transport, self._pool.connections.receive_buffer_bytes
        )
        self._writer = writing.SliceWriter(self.transport, memory.Share(self._pool.budget))
        call = self._call
        if call is None or call.done:
            self.abort()
            return
        call.connected_ms = self._pool.clock_ms()
        self.send(call)

    def send(self, call: Call) -> None:
        """Send a request; the connection must be idle."""
        self._pool.connections.mark_busy(self)
        self._call = call
        call.connection = self
        self._parser = httptools.HttpResponseParser(self)
        self._partial = _PartialResponse()
        head = messages.serialize_request_head(call.request)
        self._writer.write(head, call.request.body)

    def abort(self) -> None:
        """Close the connection immediately and remove it from the pool."""
        self._closed = True
        self._remove_from_pool()
        # The parser and the connection refer to each other, which would keep the partial response.
        self._partial = _PartialResponse()
        self._share.release()
        transport: typing.Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def evict(self) -> bool:
        """Close the idle connection and its descriptor at once."""
        transports.close(self.transport)
        return True

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Parse received bytes; bytes that arrive without a request close the connection."""
        if self._call is None or self._closed:
            self.abort()
            return
        # The first part of a body in the chunk sets this to 0 again.
        self._partial.unframed_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(errors.MalformedError(str(error)))
            return
        if self._call is None:
            return
        if self._partial.is_head_only:
            self._complete()
            if self._call is not None:
                # The parser takes what follows for the body that the head announces.
                self._fail(errors.MalformedError('the response to HEAD names another request'))
        else:
            self._check_size()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Complete a response that ends with the connection, or report the connection as broken."""
        self._closed = True
        self._remove_from_pool()
        self._pool.connections.release()
        if self._call is None:
            return
        ended_cleanly = reason.check(internet_error.ConnectionDone) is not None
        if ended_cleanly and self._partial.ends_with_connection:
            self._complete()
            return
        self._fail(errors.BrokenError(reason.getErrorMessage()))

    def on_message_begin(self) -> None:
        """Begin a response, discarding an interim one (1xx)."""
        last = self._partial
        self._partial = _PartialResponse(unframed_bytes=last.unframed_bytes, skipped=last.skipped)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header with its name in lower case."""
        self._partial.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Determine whether the body ends with the connection."""
        partial = self._partial
        partial.status = self._parser.get_status_code()
        has_framing = any(name in _FRAMING_HEADERS for name, _ in partial.headers)
        has_no_body = partial.status in {const.STATUS_NO_CONTENT, const.STATUS_NOT_MODIFIED}
        is_to_head = self._call is not None and self._call.request.method == b'HEAD'
        partial.is_head_only = is_to_head and partial.status >= const.STATUS_OK
        partial.ends_with_connection = not (has_framing or has_no_body or is_to_head)
        partial.announced_bytes = messages.content_length(partial.headers)

    def on_body(self, part: bytes) -> None:
        """Append to the body."""
        self._partial.body.append(part)
        self._partial.unframed_bytes = 0

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim one (1xx)."""
        if self._partial.status >= const.STATUS_OK:
            self._complete()

    def _check_size(self) -> None:
        """Fail a response that is too large; stop reading until the next part of it fits."""
        partial = self._partial
        body_max_bytes = self._pool.budget.message_max_bytes
        error = _find_excess(partial, body_max_bytes)
        if error is not None:
            self._fail(error)
            return
        if partial.is_open_ended:
            self._share.mark_open_ended(self._give_up)
        expected_bytes = partial.announced_bytes
        if expected_bytes is None:
            # A body that fits exactly is not to wait for the read-ahead behind its end.
            expected_bytes = int(min(len(partial.body) + const.READ_AHEAD_BYTES, body_max_bytes))
        transport: typing.Any = self.transport
        if self._share.reserve(expected_bytes, self._resume):
            self._receive_buffer.fit(expected_bytes - len(partial.body))
        else:
            transport.pauseProducing()

    def _resume(self) -> None:
        """Read on: the memory for the response is reserved."""
        self._receive_buffer.fit(self._share.size_bytes - len(self._partial.body))
        transport: typing.Any = self.transport
        transport.resumeProducing()

    def _give_up(self) -> None:
        """Fail a response of unknown size whose memory others wait for."""
        self._fail(errors.MalformedError('the body has no length and others need the memory'))

    def _complete(self) -> None:
        call = self._call
        if call is None:
            # The request has its response already; a second one belongs to no request.
            self.abort()
            return
        partial = self._partial
        found_echo = _find_echo(partial.headers, call.expected_echo)
        if call.expected_echo is not None and found_echo is None:
            self._fail(errors.MalformedError('the response names no request'))
            return
        if found_echo != call.expected_echo:
            self._skip(partial)
            return
        self._call = None
        self._receive_buffer.reset()
        # A server that answers before it has read the whole request may leave the rest unread.
        reusable = self._writer.is_sent and not (self._closed or partial.ends_with_connection)
        if reusable and self._parser.should_keep_alive():
            self._keep_idle(partial.headers)
        else:
            self.abort()
        self._partial = _PartialResponse()
        body = partial.body.finish()
        call.finish(messages.Response(partial.status, tuple(partial.headers), body))
        self._share.release()

    def _skip(self, partial: '_PartialResponse') -> None:
        """Drop a response to another request; fail if the connection ends with it or sends many."""
        skipped = partial.skipped
        skipped.count += 1
        skipped.body_bytes += len(partial.body)
        self._partial = _PartialResponse(skipped=skipped)
        self._share.release()
        if self._closed:
            self._fail(errors.BrokenError('the response belongs to another request'))
        elif skipped.count > const.SKIPPED_RESPONSES_MAX:
            self._fail(errors.MalformedError('too many responses belong to other requests'))
        elif skipped.body_bytes > const.RESPONSE_MAX_BYTES:
            self._fail(errors.MalformedError('the responses to other requests are too large'))

    def _keep_idle(self, headers: list[messages.Header]) -> None:
        keep_alive = messages.find_header(headers, b'keep-alive')
        if keep_alive is not None:
            self._idle_timeout_ms = _find_idle_timeout_ms(
                keep_alive, self._idle_timeout_ms, self._pool.idle_max_ms
            )
        self.expires_ms = self._pool.clock_ms() + self._idle_timeout_ms
        self._pool.idle.append(self)
        self._pool.connections.mark_idle(self, self._pool.clock_ms())

    def _fail(self, error: errors.HttpError) -> None:
        call = self._call
        self._call = None
        self.abort()
        if call is not None:
            call.finish(error)

    def _remove_from_pool(self) -> None:
        self._pool.connections.mark_busy(self)
        if self in self._pool.idle:
            self._pool.idle.remove(self)


_FRAMING_HEADERS: typing.Final = frozenset((b'content-length', b'transfer-encoding'))


class _Factory(protocol.ClientFactory):
    """Creates the connection of one call."""

    noisy = False

    def __init__(self, pool: Pool, call: Call) -> None:
        self._pool = pool
        self._call = call

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return the protocol of the connection that has opened."""
        return Connection(self._pool, self._call)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: failure.Failure
    ) -> None:
        """Report that no connection was opened and nothing was sent."""
        self._pool.connections.release()
        # The system grants this process no socket, which says nothing about the server.
        has_no_socket = reason.check(internet_error.ConnectBindError) is not None
        error_type = errors.NoSocketError if has_no_socket else errors.ConnectError
        self._call.finish(error_type(reason.getErrorMessage()))


@dataclasses.dataclass(slots=True)
class _SkippedResponses:
    """Responses to other requests that came before the one to the call."""

    count: int = 0
    body_bytes: int = 0


@dataclasses.dataclass(slots=True)
class _PartialResponse:
    """A partially received response.

    Attributes
    ----------
    announced_bytes
        Size of the body according to the head.
    is_head_only
        Whether the head is complete and no body follows, because the request was HEAD.
    unframed_bytes
        Bytes received since the last part of the body: head, trailers, chunk extensions.
    """

    status: int = 0
    announced_bytes: int | None = None
    is_head_only: bool = False
    unframed_bytes: int = 0
    ends_with_connection: bool = False
    skipped: _SkippedResponses = dataclasses.field(default_factory=_SkippedResponses)
    headers: list[messages.Header] = dataclasses.field(default_factory=list)
    body: bodies.BlockBuffer = dataclasses.field(default_factory=bodies.BlockBuffer)

    @property
    def is_open_ended(self) -> bool:
        """Return whether the head is complete and does not tell the size of the body."""
        return self.status >= const.STATUS_OK and self.announced_bytes is None


def _find_idle_timeout_ms(keep_alive: bytes, present_ms: float, idle_max_ms: float) -> float:
    """Return the idle timeout that a server has announced, or the present one."""
    match = _TIMEOUT_PARAMETER.search(keep_alive)
    if match is None:
        return present_ms
    announced_ms = int(match.group(1)) * package_const.MS_PER_S - const.KEEP_ALIVE_MARGIN_MS
    return max(0, min(idle_max_ms, announced_ms))


def _find_excess(partial: _PartialResponse, body_max_bytes: float) -> errors.MalformedError | None:
    """Return the error of a response that exceeds a limit."""
    if partial.unframed_bytes > const.RESPONSE_HEAD_MAX_BYTES:
        return errors.MalformedError('the head or trailers are too large')
    if len(partial.headers) > const.RESPONSE_HEADERS_MAX:
        return errors.MalformedError('there are too many headers')
    body_bytes = max(len(partial.body), partial.announced_bytes or 0)
    if body_bytes > min(const.RESPONSE_MAX_BYTES, body_max_bytes):
        return errors.TooLargeError('the body is too large')
    return None


def _find_echo(
    headers: list[messages.Header], expected: messages.Header | None
) -> messages.Header | None:
    """Return the header by which a response names its request, if the request has one."""
    if expected is None:
        return None
    found = messages.find_header(headers, expected[0])
    return None if found is None else (expected[0], found)
