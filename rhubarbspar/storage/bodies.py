"""Twisted producer and receivers of HTTP bodies."""

import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import iweb
from zope import interface  # type: ignore[import-untyped]

from rhubarbspar.storage import errors

# Reasons of a complete body. A response without a Content-Length ends when its connection closes.
_COMPLETE_REASONS = (client.ResponseDone, http.PotentialDataLoss)


class Consumer(typing.Protocol):
    """Destination that the producer writes a body to."""

    def write(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Producer of a body that is completely in memory."""

    def __init__(self, body: bytes) -> None:
        """Store the body and its length."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Consumer) -> defer.Deferred[None]:  # noqa: N802
        """Write the whole body at once."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written at once."""


class BodyCollector(protocol.Protocol):
    """Buffers a whole body; ``completed`` fires with its bytes.

    Parameters
    ----------
    max_bytes
        A longer body fails with ``AnswerError``.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start with an empty buffer."""
        self.completed: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._buffer = bytearray()
        self._max_bytes = max_bytes

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Append a chunk; fail if the body exceeds the size limit."""
        self._buffer += chunk
        if len(self._buffer) > self._max_bytes:
            _disconnect(self)
            _fail(self.completed, errors.AnswerError('answer exceeds the size limit'))

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Complete the body, or fail if it was cut off."""
        if self.completed.called:
            return
        if isinstance(reason.value, _COMPLETE_REASONS):
            self.completed.callback(bytes(self._buffer))
        else:
            self.completed.errback(reason)

    def _cancel(self, _completed: defer.Deferred[bytes]) -> None:
        _disconnect(self)


class LineReceiver(protocol.Protocol):
    """Splits a body into lines; ``completed`` fires at its end.

    Parameters
    ----------
    on_line
        Receives each non-empty line without its newline. If it raises a ``PlatformError``, the
        stream fails with that error.
    max_bytes
        Maximum length of an incomplete line; a longer one fails with ``AnswerError``.
    """

    def __init__(self, on_line: abc.Callable[[bytes], None], max_bytes: int) -> None:
        """Start with an empty line buffer."""
        self.completed: defer.Deferred[None] = defer.Deferred(self._cancel)
        self._on_line = on_line
        self._max_bytes = max_bytes
        self._partial_line = bytearray()

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Split a chunk into lines and deliver the complete ones."""
        *complete_parts, last_part = chunk.split(b'\n')
        try:
            for part in complete_parts:
                self._finish_line(part)
        except errors.PlatformError as error:
            self.abort(error)
            return
        self._partial_line += last_part
        if len(self._partial_line) > self._max_bytes:
            self.abort(errors.AnswerError('line exceeds the size limit'))

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Complete the stream, or fail if it was cut off."""
        if self.completed.called:
            return
        if isinstance(reason.value, _COMPLETE_REASONS):
            self.completed.callback(None)
        else:
            self.completed.errback(reason)

    def abort(self, reason: errors.PlatformError) -> None:
        """Fail the stream with an error and close the connection."""
        _fail(self.completed, reason)
        _disconnect(self)

    def _finish_line(self, part: bytes) -> None:
        if self.completed.called:
            return
        self._partial_line += part
        line = bytes(self._partial_line)
        self._partial_line.clear()
        if line:
            self._on_line(line)

    def _cancel(self, _completed: defer.Deferred[None]) -> None:
        _disconnect(self)


def _disconnect(body_protocol: protocol.Protocol) -> None:
    transport: typing.Any = body_protocol.transport
    if transport is not None:
        transport.loseConnection()


def _fail(
    completed: defer.Deferred[bytes] | defer.Deferred[None],
    reason: errors.PlatformError,
) -> None:
    if not completed.called:
        completed.errback(reason)
