"""Client side: one request at a time on each connection, kept connections reused."""

import dataclasses
import re
import typing
from collections import abc

import httptools
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure

from rhubarbspar import const as package_const
from rhubarbspar.http1 import const
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import transports

Outcome: typing.TypeAlias = messages.Response | errors.HttpError
_TIMEOUT_PARAMETER: typing.Final = re.compile(rb'timeout=(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to connect to."""

    host: str
    port: int


class Call:
    """A request under way; ``finish`` is called once, unless the call is cancelled.

    Parameters
    ----------
    request
        What to send.
    finish
        Receives the response or an error.
    expected_echo
        Header and value that the response has to repeat; a response with another value of this
        header belongs to an earlier request and is skipped.
    """

    def __init__(
        self,
        request: messages.Request,
        finish: abc.Callable[[Outcome], None],
        expected_echo: messages.Header | None = None,
    ) -> None:
        """Start nothing yet."""
        self.request = request
        self.expected_echo = expected_echo
        self.connection: Connection | None = None
        self.connector: typing.Any = None
        self.reused = False
        self.done = False
        # When the connection was opened for this call, by the pool's clock.
        self.connected_ms: float | None = None
        self._finish = finish

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome."""
        if not self.done:
            self.done = True
            self._finish(outcome)

    def abort(self, error: errors.HttpError) -> None:
        """Close the connection of the call and report an error."""
        unfinished = not self.done
        self.cancel()
        if unfinished:
            self._finish(error)

    def cancel(self) -> None:
        """Close the connection of the call and report nothing."""
        self.done = True
        if self.connection is not None:
            self.connection.abort()
        elif self.connector is not None:
            self.connector.disconnect()


class Pool:
    """Connections to one endpoint, the one used last first.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    endpoint
        Where to connect.
    clock_ms
        Monotonic clock.
    idle_max_ms
        A connection that was idle for longer is closed instead of used.
    """

    def __init__(
        self,
        reactor: typing.Any,
        endpoint: Endpoint,
        clock_ms: abc.Callable[[], float],
        idle_max_ms: float,
    ) -> None:
        """Open no connection yet."""
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
        """Close the connections that were idle for too long."""
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
        """Wait for the connection to open."""
        self.expires_ms = float('inf')
        self._pool = pool
        self._call: Call | None = first
        self._parser: typing.Any = None
        self._answer = _Answer()
        self._closed = False
        self._idle_limit_ms = pool.idle_max_ms

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first request."""
        transports.set_tcp_options(self.transport)
        call = self._call
        if call is None or call.done:
            self.abort()
            return
        call.connected_ms = self._pool.clock_ms()
        self.send(call)

    def send(self, call: Call) -> None:
        """Send a request; the connection carries no other."""
        self._call = call
        call.connection = self
        self._parser = httptools.HttpResponseParser(self)
        self._answer = _Answer()
        transport: typing.Any = self.transport
        transport.write(messages.serialize_request(call.request))

    def abort(self) -> None:
        """Close at once."""
        self._closed = True
        self._forget_idle()
        transport: typing.Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Parse what arrived; bytes that belong to no request end the connection."""
        if self._call is None or self._closed:
            self.abort()
            return
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(errors.MalformedError(str(error)))
            return
        if self._call is not None and len(self._answer.body) > const.RESPONSE_MAX_BYTES:
            self._fail(errors.MalformedError('response is too large'))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Complete a response without a length, or report the loss."""
        self._closed = True
        self._forget_idle()
        if self._call is None:
            return
        ended_cleanly = reason.check(internet_error.ConnectionDone) is not None
        if ended_cleanly and self._answer.ends_with_connection:
            self._complete()
            return
        self._fail(errors.BrokenError(reason.getErrorMessage()))

    def on_message_begin(self) -> None:
        """Start a response."""
        self._answer = _Answer()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header."""
        self._answer.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Decide how the body ends."""
        answer = self._answer
        answer.status = self._parser.get_status_code()
        framed = any(name in _FRAMING for name, _ in answer.headers)
        bodiless = answer.status in {const.STATUS_NO_CONTENT, const.STATUS_NOT_MODIFIED}
        answer.ends_with_connection = not (framed or bodiless)

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._answer.body += part

    def on_message_complete(self) -> None:
        """Report the response, unless it belongs to an earlier request."""
        if self._answer.status >= const.STATUS_OK:
            self._complete()

    def _complete(self) -> None:
        call = self._call
        if call is None:
            # A second response on the connection belongs to no request.
            self.abort()
            return
        answer = self._answer
        if not _echoes(answer.headers, call.expected_echo):
            self._answer = _Answer()
            if self._closed:
                self._fail(errors.BrokenError('the response belongs to another request'))
            return
        self._call = None
        reusable = not (self._closed or answer.ends_with_connection)
        if reusable and self._parser.should_keep_alive():
            self._keep(answer.headers)
        else:
            self.abort()
        call.finish(messages.Response(answer.status, tuple(answer.headers), bytes(answer.body)))

    def _keep(self, headers: list[messages.Header]) -> None:
        announced = messages.find_header(headers, b'keep-alive')
        if announced is not None:
            self._learn_idle_limit(announced)
        self.expires_ms = self._pool.clock_ms() + self._idle_limit_ms
        self._pool.idle.append(self)

    def _learn_idle_limit(self, announced: bytes) -> None:
        match = _TIMEOUT_PARAMETER.search(announced)
        if match is None:
            return
        limit_ms = int(match.group(1)) * package_const.MS_PER_S - const.KEEP_ALIVE_MARGIN_MS
        self._idle_limit_ms = max(0, min(self._pool.idle_max_ms, limit_ms))

    def _fail(self, error: errors.HttpError) -> None:
        call = self._call
        self._call = None
        self.abort()
        if call is not None:
            call.finish(error)

    def _forget_idle(self) -> None:
        if self in self._pool.idle:
            self._pool.idle.remove(self)


_FRAMING: typing.Final = frozenset((b'content-length', b'transfer-encoding'))


class _Factory(protocol.ClientFactory):
    """Opens the connection of one call."""

    noisy = False

    def __init__(self, pool: Pool, call: Call) -> None:
        self._pool = pool
        self._call = call

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return the protocol of the open connection."""
        return Connection(self._pool, self._call)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: failure.Failure
    ) -> None:
        """Report that nothing was sent."""
        self._call.finish(errors.ConnectError(reason.getErrorMessage()))


@dataclasses.dataclass(slots=True)
class _Answer:
    """A response that is being received."""

    status: int = 0
    ends_with_connection: bool = False
    headers: list[messages.Header] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)


def _echoes(headers: list[messages.Header], expected: messages.Header | None) -> bool:
    if expected is None:
        return True
    found = messages.find_header(headers, expected[0])
    return found is None or found == expected[1]
