"""HTTP/1.1 server: pipelined requests are handled concurrently and answered in order."""

import collections
import contextlib
import dataclasses
import math
import typing
from collections import abc

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface  # type: ignore[import-untyped]

from rhubarbspar.http1 import const
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import receive_buffers
from rhubarbspar.http1 import request_parser
from rhubarbspar.http1 import transports
from rhubarbspar.http1 import writing


Screen: typing.TypeAlias = abc.Callable[[messages.Request], messages.Response | None]
Refuse: typing.TypeAlias = abc.Callable[[messages.Request], messages.Response]


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

    def __init__(
        self,
        channel: 'Channel',
        request: messages.Request,
        share: memory.Share,
        *,
        keep_alive: bool,
    ) -> None:
        """Create an exchange without a response; ``share`` holds the memory of its request."""
        self.request = request
        self.share = share
        self.on_abandoned: abc.Callable[[], None] | None = None
        self.response: messages.Response | None = None
        self.keep_alive = keep_alive
        self._channel = channel

    def respond(self, response: messages.Response) -> None:
        """Send the response after all earlier ones of the connection; later calls do nothing."""
        if self.response is not None:
            return
        self.response = response
        if not self._channel.closing:
            self.share.hold(len(response.body))
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
    budget
        Bounds what requests and responses hold in memory; by default they hold what they need.
    screen
        Called with the head of each request before its body is read; returns the response that
        refuses it, or ``None``.
    connections
        Bounds the open connections; by default there may be any number.
    refuse_surplus
        Returns the response to a request on a connection beyond the limit, by its head; by default
        it has status 503.

    Attributes
    ----------
    closing
        Whether connections close after their pending requests.
    on_refusal
        Called with the status of each request that is refused without ``handle``.
    """

    def __init__(
        self,
        handle: abc.Callable[[Exchange], None],
        limits: abc.Callable[[], Limits],
        clock_ms: abc.Callable[[], float],
        budget: memory.MemoryBudget | None = None,
        screen: Screen | None = None,
        connections: descriptors.ConnectionLimit | None = None,
        refuse_surplus: Refuse | None = None,
    ) -> None:
        """Create a site without connections."""
        self.handle = handle
        self.limits = limits
        self.clock_ms = clock_ms
        self.budget = budget or memory.MemoryBudget()
        self.connections = connections or descriptors.ConnectionLimit()
        self._screen = screen
        self._refuse_surplus = refuse_surplus or _refuse_surplus
        # What a connection gets that closes before its request is read. A response that depends on
        # the request cannot be given then.
        self._final_bytes = b'' if refuse_surplus else _REFUSAL_BYTES
        self.channels: set[Channel] = set()
        self.closing = False
        # Requests without a response that has been written, on all connections.
        self._pending_count = 0
        self.on_refusal: abc.Callable[[int], None] | None = None

    def buildProtocol(self, addr: typing.Any) -> protocol.Protocol:  # noqa: N802
        """Return the protocol of a new connection.

        At the limit, it takes the place of the connection that has been idle longest. If none is
        idle, its request is refused. If too many are refused already, it is closed at once.
        """
        idle_since_max_ms = self.clock_ms() - const.EVICTION_IDLE_MIN_MS
        for connections in (self.connections, self.connections.surplus):
            if connections is not None and connections.acquire(idle_since_max_ms):
                return Channel(self, connections)
        return _Refusal(self)

    def refuse_by_head(
        self, request: messages.Request, *, is_surplus: bool
    ) -> messages.Response | None:
        """Return the response that refuses a request by its head, or ``None``.

        Parameters
        ----------
        is_surplus
            Whether its connection is one beyond the limit.
        """
        if is_surplus:
            return self._refuse_surplus(request)
        return None if self._screen is None else self._screen(request)

    def close_unread(self, transport: typing.Any) -> None:
        """Close a connection of which no request is read, with a refusal if it is always the same."""
        transports.close(transport, self._final_bytes)

    def append(self, pending: collections.deque[Exchange], exchange: Exchange) -> None:
        """Count a request that begins, behind the earlier ones of its connection."""
        pending.append(exchange)
        self._pending_count += 1

    def count_ended(self, count: int) -> None:
        """Note that requests have been answered or abandoned."""
        self._pending_count -= count

    @property
    def serves_surplus(self) -> bool:
        """Return whether a complete request on a connection beyond the limit is handled.

        That is so while other connections hold their places without a request at work. The request
        has begun to count.
        """
        return self._pending_count <= self.connections.limit

    def free_count(self, pending_count: int) -> int:
        """Return how many more requests of a connection may be handled; one if none is pending."""
        room = self.connections.limit * const.PIPELINE_SHARE - self._pending_count
        free = min(const.PIPELINE_MAX - pending_count, room)
        return max(0 if pending_count else 1, int(free))

    @property
    def unsent_count(self) -> int:
        """Return the number of connections with a response that may not have arrived yet.

        That is so while it is written, and until the client has closed its side after the last one.
        """
        return sum(channel.closing or not channel.writer.is_sent for channel in self.channels)

    def close_expired(self) -> None:
        """Close connections that are idle or stalled, and refuse requests that are overdue."""
        now_ms = self.clock_ms()
        limits = self.limits()
        for channel in tuple(self.channels):
            channel.check_time(now_ms, limits)

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
class _HalfCloseable(protocol.Protocol):
    """A connection that closes when its client ends its side."""

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection: a client that ends its side counts as disconnected."""
        transport: typing.Any = self.transport
        transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side has closed after its last response."""


class Channel(_HalfCloseable):
    """A connection of a client.

    Attributes
    ----------
    closing
        Whether no more responses can be sent.
    writer
        Sends the responses.
    """

    def __init__(self, site: Site, connections: descriptors.ConnectionLimit) -> None:
        """Create the protocol of a new connection, which counts as one of ``connections``."""
        self._site = site
        self._connections = connections
        self._is_surplus = connections is site.connections.surplus
        self._has_served = False
        self._parser = request_parser.RequestParser(self, site.budget, site.clock_ms)
        self._pending: collections.deque[Exchange] = collections.deque()
        # What was read behind the requests that may be handled now, and the memory that it takes.
        self._unparsed = b''
        self._unparsed_share = memory.Share(site.budget)
        self._is_parsing = False
        # The partial request since whose begin the connection counts as idle.
        self._idle_partial: request_parser.PartialRequest | None = None
        self._last_active_ms = site.clock_ms()
        self.closing = False
        self._reading = _Reading()
        self.writer: writing.SliceWriter
        self._receive_buffer: receive_buffers.ReceiveBuffer

    def connectionMade(self) -> None:  # noqa: N802
        """Set the TCP options and register the connection with the site."""
        transports.set_tcp_options(self.transport)
        self._receive_buffer = receive_buffers.ReceiveBuffer(
            self.transport, self._site.connections.receive_buffer_bytes
        )
        share = memory.Share(self._site.budget)
        self.writer = writing.SliceWriter(self.transport, share, self._note_sent)
        self._site.channels.add(self)
        self._update_idle()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Abandon the exchanges that have no response yet."""
        self.closing = True
        self._site.channels.discard(self)
        self._connections.mark_busy(self)
        self._connections.release()
        self._parser.stop()
        self._unparsed_share.release()
        self._site.count_ended(len(self._pending))
        _abandon(self._pending)

    def evict(self) -> bool:
        """Close the idle connection at once, unless a request of the client has arrived."""
        has_unread = not self.closing and transports.has_unread(self.transport)
        if has_unread or not self.writer.is_sent:
            return False
        has_request = self._parser.partial.started or not self._has_served
        if self.closing or not has_request:
            transports.close(self.transport)
        else:
            self._site.close_unread(self.transport)
        return True

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Parse received bytes and refuse a malformed or oversized request."""
        if self.closing or self._reading.is_ending:
            return
        self._last_active_ms = self._site.clock_ms()
        self._unparsed = self._unparsed + chunk if self._unparsed else chunk
        self._parse()

    def check_time(self, now_ms: float, limits: Limits) -> None:
        """Close the connection if it is idle or stalled; refuse a request that is overdue."""
        if self.closing and self.writer.is_sent:
            return
        partial = self._parser.partial
        if not self._pending and self._reading.check_partial(partial, now_ms):
            self._update_idle()
        if not self.writer.is_sent:
            self.writer.abort_if_stalled(now_ms)
        elif self._reading.waited_ms(now_ms) > const.MEMORY_WAIT_MAX_MS:
            self._refuse(_OUT_OF_MEMORY)
        elif not self._pending:
            self._check_idle(partial, now_ms, limits)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or being received."""
        is_busy = self._pending or self._parser.partial.started or self.closing
        if not is_busy and _end_writing(self):
            self._close()

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests.

        A connection closes after the requests that were read, since servers may run them. Until
        then, no more are read.
        """
        while self._pending and self._pending[0].response is not None:
            exchange = self._pending.popleft()
            self._site.count_ended(1)
            response = exchange.response
            if response is None:
                return
            keep_alive = exchange.keep_alive and response.keep_alive
            if self._site.closing or not keep_alive:
                self._reading.is_ending = True
            close = self._reading.is_ending and not self._pending
            self._last_active_ms = self._site.clock_ms()
            _write(self.writer, exchange, response, close=close)
            if close:
                self._close()
                return
        self._parse()

    def receive_request(self, request: messages.Request, share: memory.Share) -> None:
        """Pass a request to the site.

        A request behind the last one that is answered is dropped: the client sends it again. So
        are those that were read together with many earlier ones whose responses the client does
        not take.
        """
        if self._reading.is_ending or self.writer.is_backlogged:
            share.release()
            self._reading.is_ending = True
            self._update_reading()
            return
        self._receive_buffer.reset()
        self._reading.is_stalled = False
        keep_alive = self._parser.should_keep_alive() and not self._is_surplus
        exchange = Exchange(self, request, share, keep_alive=keep_alive)
        self._site.append(self._pending, exchange)
        self._has_served = True
        self._update_idle()
        is_refused = self._is_surplus and not self._site.serves_surplus
        refusal = self._site.refuse_by_head(request, is_surplus=is_refused)
        if refusal is None and self._site.budget.is_exceeded_by(share):
            refusal = _OUT_OF_MEMORY
        if refusal is None:
            self._site.handle(exchange)
        else:
            exchange.respond(refusal)

    def expect_continue(self) -> None:
        """Let the client send the body, unless earlier requests are pending."""
        if not self._pending:
            self.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n', b'')

    def _check_partial(self, partial: request_parser.PartialRequest) -> None:
        """Refuse a request that is not acceptable; stop reading until its next part fits."""
        refusal = _find_excess(partial, self._site)
        if refusal is None and partial.head_complete and not partial.is_screened:
            partial.is_screened = True
            self._reading.note_progress(len(partial.body), self._site.clock_ms())
            request = self._parser.make_request()
            refusal = self._site.refuse_by_head(request, is_surplus=self._is_surplus)
        if refusal is not None:
            self._refuse(refusal)
            return
        message_max_bytes = self._site.budget.message_max_bytes
        if partial.share.reserve(_needed_bytes(partial, message_max_bytes), self._resume):
            self._receive_buffer.fit(partial.share.size_bytes - partial.held_bytes)
        elif partial.head_is_large or self._site.budget.is_crowded:
            self._refuse(_OUT_OF_MEMORY)
        else:
            self._reading.waiting_since_ms = self._site.clock_ms()
            self._update_reading()

    def _resume(self) -> None:
        """Read on: the memory for the request is reserved."""
        self._reading.waiting_since_ms = math.inf
        self._last_active_ms = self._site.clock_ms()
        partial = self._parser.partial
        self._receive_buffer.fit(partial.share.size_bytes - partial.held_bytes)
        self._reading.note_progress(len(partial.body), self._site.clock_ms())
        self._parse()

    def _parse(self) -> None:
        """Parse what was read, as far as its requests may be handled now; pause or resume reading.

        The rest follows when earlier requests are answered, or the memory for the request is there.
        """
        if self._is_parsing or self.closing:
            return
        self._is_parsing = True
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, self, '_is_parsing', False)  # noqa: FBT003
            self._parse_parts()
        if self._reading.is_ending:
            self._unparsed = b''
        self._unparsed_share.hold(len(self._unparsed))
        self._update_reading()
        self._update_idle()

    def _parse_parts(self) -> None:
        """Parse as many requests as may be handled; none while the client takes no responses."""
        must_wait = self.writer.is_backlogged
        while self._unparsed and not (must_wait or self._reading.must_stop):
            count = self._site.free_count(len(self._pending))
            if not count:
                return
            part, rest = _split_heads(self._unparsed, count)
            self._unparsed = rest
            try:
                self._parser.feed(part)
            except errors.MalformedError as error:
                self._refuse(_describe(error))
                return
            if self._parser.partial.started and not self.closing:
                self._check_partial(self._parser.partial)

    def _update_reading(self) -> None:
        """Pause or resume reading, as the pending requests and the memory permit."""
        reading = self._reading
        is_full = bool(self._unparsed) or len(self._pending) >= const.PIPELINE_MAX
        must_pause = reading.must_stop or is_full or self.writer.is_backlogged
        if not self.closing:
            self._reading.switch(self.transport, is_paused=must_pause)

    def _check_idle(
        self, partial: request_parser.PartialRequest, now_ms: float, limits: Limits
    ) -> None:
        """Close a connection without a pending request, or refuse a request that comes too slowly."""
        is_stalled = self._reading.is_stalled and self._site.budget.is_short
        if is_stalled or _has_overdue_head(partial, now_ms, limits):
            self._refuse(_TOO_SLOW)
            return
        if partial.started and not partial.head_complete:
            return
        idle_ms = now_ms - self._last_active_ms
        if self._is_surplus and idle_ms > const.SURPLUS_IDLE_MAX_MS:
            self.evict()
        elif idle_ms > limits.idle_timeout_ms and _end_writing(self):
            self._close()

    def _update_idle(self) -> None:
        """Tell the limit of the connections whether this one may be closed for a new one."""
        partial = self._parser.partial
        is_ending = self.closing or self._reading.is_ending
        is_used = bool(self._pending) or not self.writer.is_sent
        keeps_partial = partial.is_screened or not self._connections.evicts_partial
        keeps_partial = keeps_partial and not self._reading.is_stalled
        if partial.started and partial is not self._idle_partial:
            # The connection has not been idle before the request began.
            self._connections.mark_busy(self)
            self._idle_partial = partial
        is_kept = is_ending or is_used or partial.started and keeps_partial
        if self._pending or is_kept and not self._is_surplus:
            self._connections.mark_busy(self)
        else:
            self._connections.mark_idle(self, self._site.clock_ms())

    def _refuse(self, refusal: messages.Response) -> None:
        """Queue an error response after the pending ones and close the connection."""
        if self._site.on_refusal is not None:
            self._site.on_refusal(refusal.status)
        self._parser.stop()
        self._receive_buffer.reset()
        self._reading.waiting_since_ms = math.inf
        self._reading.is_ending = True
        share = memory.Share(self._site.budget)
        exchange = Exchange(self, messages.Request(b'', b'', ()), share, keep_alive=False)
        self._site.append(self._pending, exchange)
        exchange.respond(refusal)

    def _close(self) -> None:
        """Close the write side once all is sent, and the connection ``LINGER_S`` later."""
        self.closing = True
        self._update_idle()
        self._parser.stop()
        # What the client still sends is read and dropped: closing a socket with unread bytes
        # resets it, which can lose the last response.
        self._reading.switch(self.transport, is_paused=False)
        self._receive_buffer.drain()
        if self.writer.is_sent:
            self._note_sent()

    def _note_sent(self) -> None:
        """Close the write side if the connection is to close; otherwise read on."""
        if self._reading.is_ending and not (self._pending or self.closing):
            self._close()
        elif self.closing:
            transport: typing.Any = self.transport
            transport.loseWriteConnection()
            transport.reactor.callLater(const.LINGER_S, transport.loseConnection)
        else:
            self._parse()
        self._update_idle()


class _Refusal(protocol.Protocol):
    """A connection that closes at once."""

    def __init__(self, site: Site) -> None:
        self._site = site

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection and its descriptor."""
        self._site.close_unread(self.transport)


@dataclasses.dataclass(slots=True)
class _Reading:
    """Whether a connection is read.

    Attributes
    ----------
    is_ending
        Whether the connection closes after the pending requests.
    waiting_since_ms
        Since when the request waits for memory; infinity if it does not.
    """

    is_paused: bool = False
    is_ending: bool = False
    waiting_since_ms: float = math.inf
    is_stalled: bool = False
    _progress_bytes: int = 0
    _progress_ms: float = 0.0

    @property
    def must_stop(self) -> bool:
        """Return whether nothing more is read for now."""
        return self.waits_for_memory or self.is_ending

    @property
    def waits_for_memory(self) -> bool:
        """Return whether the request waits for memory."""
        return self.waiting_since_ms < math.inf

    def waited_ms(self, now_ms: float) -> float:
        """Return for how long the request has waited for memory; negative if it does not."""
        return now_ms - self.waiting_since_ms

    def note_progress(self, received_bytes: int, now_ms: float) -> None:
        """Note that a body makes progress."""
        self._progress_bytes = received_bytes
        self._progress_ms = now_ms
        self.is_stalled = False

    def check_partial(self, partial: request_parser.PartialRequest, now_ms: float) -> bool:
        """Determine whether too little of a body has come; return whether one is being read."""
        if self.must_stop or not partial.is_screened:
            return False
        received_bytes = len(partial.body)
        if received_bytes - self._progress_bytes >= const.BODY_PROGRESS_MIN_BYTES:
            self.note_progress(received_bytes, now_ms)
        self.is_stalled = now_ms - self._progress_ms > const.BODY_PROGRESS_MAX_MS
        return True

    def switch(self, transport: typing.Any, *, is_paused: bool) -> None:
        """Pause or resume reading."""
        if is_paused == self.is_paused:
            return
        self.is_paused = is_paused
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()


_OUT_OF_MEMORY: typing.Final = messages.Response(
    const.STATUS_UNAVAILABLE, (const.MEMORY_RETRY_AFTER,), keep_alive=False
)
_TOO_SLOW: typing.Final = messages.Response(const.STATUS_REQUEST_TIMEOUT, keep_alive=False)
_TOO_MANY_CONNECTIONS: typing.Final = messages.Response(
    const.STATUS_UNAVAILABLE, (const.SURPLUS_RETRY_AFTER,), keep_alive=False
)


_REFUSAL_BYTES: typing.Final = messages.serialize_response_head(
    _TOO_MANY_CONNECTIONS, to_head=False, close=True
)


def _refuse_surplus(_request: messages.Request) -> messages.Response:
    return _TOO_MANY_CONNECTIONS


def _write(
    writer: writing.SliceWriter, exchange: Exchange, response: messages.Response, *, close: bool
) -> None:
    """Pass the response of an exchange to the transport."""
    to_head = exchange.request.method == b'HEAD'
    head = messages.serialize_response_head(response, to_head=to_head, close=close)
    writer.write(head, b'' if to_head else response.body)
    # The writer holds the response now; released earlier, its memory would be given away.
    exchange.share.release()


def _abandon(pending: collections.deque[Exchange]) -> None:
    """Abandon the requests to which no response can be sent any more."""
    rest = tuple(pending)
    pending.clear()
    for exchange in rest:
        exchange.share.release()
        if exchange.response is None and exchange.on_abandoned is not None:
            exchange.on_abandoned()


def _split_heads(chunk: bytes, count: int) -> tuple[bytes, bytes]:
    """Split what was read behind the end of a number of heads; a blank line may be one."""
    end = 0
    for _ in range(count):
        found = chunk.find(_BLANK_LINE, end)
        if found < 0:
            return chunk, b''
        end = found + len(_BLANK_LINE)
    return chunk[:end], chunk[end:]


_BLANK_LINE: typing.Final = b'\n\r\n'


def _describe(error: errors.MalformedError) -> messages.Response:
    """Return the response to a malformed request."""
    headers = ((b'content-type', b'text/plain'),)
    reason = str(error).encode()
    return messages.Response(const.STATUS_BAD_REQUEST, headers, reason, keep_alive=False)


def _end_writing(channel: Channel) -> bool:
    """Close the write side of an idle connection, unless a request has arrived that is not read.

    Return false in that case. A request that arrives later finds the write side closed. A connection
    that still sends closes its write side when all is sent.
    """
    return not channel.writer.is_sent or transports.end_writing(channel.transport)


def _find_excess(partial: request_parser.PartialRequest, site: Site) -> messages.Response | None:
    """Return the response that refuses a request which exceeds a limit."""
    limits = site.limits()
    if max(partial.head_bytes, partial.trailer_bytes) > limits.header_max_bytes:
        return messages.Response(const.STATUS_HEADERS_TOO_LARGE, keep_alive=False)
    if not partial.head_complete:
        return None
    if partial.body_bytes > limits.body_max_bytes:
        return messages.Response(const.STATUS_CONTENT_TOO_LARGE, keep_alive=False)
    if partial.body_bytes > site.budget.message_max_bytes:
        return _OUT_OF_MEMORY
    return None


def _has_overdue_head(
    partial: request_parser.PartialRequest, now_ms: float, limits: Limits
) -> bool:
    """Return whether the head of a request has not been completed in time."""
    if partial.head_complete or not partial.started:
        return False
    return now_ms - partial.started_ms > limits.header_timeout_ms


def _needed_bytes(partial: request_parser.PartialRequest, message_max_bytes: float) -> int:
    """Return the memory that a request needs before more of it is read.

    A body without a length is read ahead by as much as has arrived, as senders double what they send
    with each round trip.
    """
    if partial.announced_bytes is not None:
        return partial.held_bytes - len(partial.body) + partial.announced_bytes
    if not partial.head_complete:
        return partial.held_bytes
    ahead_bytes = max(const.READ_AHEAD_BYTES, min(len(partial.body), const.READ_AHEAD_MAX_BYTES))
    ahead_max_bytes = max(const.READ_AHEAD_BYTES, message_max_bytes - partial.held_bytes)
    return partial.held_bytes + int(min(ahead_bytes, ahead_max_bytes))
