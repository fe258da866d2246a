"""Incremental parser of the requests of a connection."""

import dataclasses
import typing
from collections import abc

import httptools

from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import request_targets


@dataclasses.dataclass(slots=True)
class PartialRequest:
    """A partially received request.

    Attributes
    ----------
    share
        Holds the memory of the request.
    announced_bytes
        Size of the body according to the head.
    head_bytes
        Received bytes of an incomplete head.
    header_bytes
        Memory of the headers.
    trailer_bytes
        Bytes received since the last part of the body: trailers, chunk extensions.
    is_screened
        Whether its head was accepted before its body was read.
    """

    share: memory.Share
    started: bool = False
    started_ms: float = 0.0
    head_complete: bool = False
    is_screened: bool = False
    announced_bytes: int | None = None
    head_bytes: int = 0
    header_bytes: int = 0
    trailer_bytes: int = 0
    target: bytearray = dataclasses.field(default_factory=bytearray)
    headers: list[messages.Header] = dataclasses.field(default_factory=list)
    body: bodies.BlockBuffer = dataclasses.field(default_factory=bodies.BlockBuffer)

    @property
    def held_bytes(self) -> int:
        """Return the memory that the request takes as far as it has arrived."""
        head_bytes = max(self.head_bytes, self.header_bytes) + len(self.target)
        return head_bytes + len(self.body) + self.trailer_bytes

    @property
    def head_is_large(self) -> bool:
        """Return whether the headers take much memory, which must not wait for more."""
        return self.header_bytes > memory.UNRESERVED_MAX_BYTES

    @property
    def body_bytes(self) -> int:
        """Return the size of the body, as announced or as far as it has arrived."""
        return max(len(self.body), self.announced_bytes or 0)


class Receiver(typing.Protocol):
    """Receives the requests of a connection."""

    def receive_request(self, request: messages.Request, share: memory.Share) -> None:
        """Handle a complete request; ``share`` holds its memory."""

    def expect_continue(self) -> None:
        """Tell the client that it may send the body."""


class RequestParser:
    """Parses the bytes of a connection.

    Parameters
    ----------
    receiver
        Receives each complete request.
    budget
        Budget of the memory of the requests.
    clock_ms
        Monotonic clock in milliseconds.

    Attributes
    ----------
    partial
        The request that is being received.
    """

    def __init__(
        self, receiver: Receiver, budget: memory.MemoryBudget, clock_ms: abc.Callable[[], float]
    ) -> None:
        """Wait for the first request."""
        self.partial = PartialRequest(memory.Share(budget))
        self._receiver = receiver
        self._budget = budget
        self._clock_ms = clock_ms
        self._parser = httptools.HttpRequestParser(self)
        self._completed_in_chunk = False
        self._stopped = False

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        errors.MalformedError
            If they are malformed, or ask for another protocol.
        """
        self._completed_in_chunk = False
        if self.partial.head_complete:
            # The first part of the body in the chunk sets this to 0 again.
            self.partial.trailer_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as error:
            raise errors.MalformedError('the request asks for another protocol') from error
        except httptools.HttpParserError as error:
            # What a callback has raised is the context of the parser's error.
            context = error.__context__
            reason = context if isinstance(context, errors.MalformedError) else error
            raise errors.MalformedError(str(reason)) from error
        if not (self._completed_in_chunk or self.partial.head_complete):
            # A chunk that also holds the end of an earlier message would overstate this size.
            self.partial.head_bytes += len(chunk)

    def stop(self) -> None:
        """Drop the partial request; what is left of the chunk is ignored."""
        self._stopped = True
        self.partial.share.release()
        self.partial.body = bodies.BlockBuffer()
        # The parser and its receiver refer to each other, which would keep the headers for long.
        self.partial.headers = []
        self.partial.target = bytearray()

    def make_request(self) -> messages.Request:
        """Return the request as far as it has arrived."""
        partial = self.partial
        return messages.Request(
            self._parser.get_method(),
            bytes(partial.target),
            tuple(partial.headers),
            partial.body.finish(),
        )

    def should_keep_alive(self) -> bool:
        """Return whether the connection can carry another request after the last one."""
        return bool(self._parser.should_keep_alive())

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.partial.started = True
        self.partial.started_ms = self._clock_ms()

    def on_url(self, part: bytes) -> None:
        """Append to the request target."""
        self.partial.target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header with its name in lower case; drop a trailer (RFC 9110, section 6.5.1)."""
        if self.partial.head_complete or self._stopped:
            return
        self.partial.headers.append((name.lower(), content))
        self.partial.header_bytes += len(name) + len(content) + memory.HEADER_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Put the target into origin form; note the size of the body; answer ``Expect``."""
        partial = self.partial
        partial.head_complete = True
        _check_host(partial)
        self._set_origin(partial)
        partial.announced_bytes = messages.content_length(partial.headers)
        expected = messages.find_header(partial.headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue':
            self._receiver.expect_continue()

    def on_body(self, part: bytes) -> None:
        """Append to the body."""
        self.partial.trailer_bytes = 0
        if not self._stopped:
            self.partial.body.append(part)

    def on_message_complete(self) -> None:
        """Pass the request on."""
        request = self.make_request()
        share = self.partial.share
        share.hold(self.partial.held_bytes)
        self.partial = PartialRequest(memory.Share(self._budget))
        self._completed_in_chunk = True
        if self._stopped:
            share.release()
        else:
            self._receiver.receive_request(request, share)

    def _set_origin(self, partial: PartialRequest) -> None:
        """Put the request target into origin form.

        Raises
        ------
        errors.MalformedError
            If it is malformed.
        """
        if partial.target.startswith(b'/'):
            return
        method = self._parser.get_method()
        headers = tuple(partial.headers)
        origin = request_targets.to_origin_form(method, bytes(partial.target), headers)
        partial.target = bytearray(origin.target)
        partial.headers = list(origin.headers)


def _check_host(partial: PartialRequest) -> None:
    """Raise ``errors.MalformedError`` if there are several hosts (RFC 9112, section 3.2)."""
    if sum(name == b'host' for name, _ in partial.headers) > 1:
        raise errors.MalformedError('the request has several Host headers')
