"""Producers and consumers of HTTP bodies."""

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

# An answer without a length ends with its connection.
_COMPLETE = (client.ResponseDone, http.PotentialDataLoss)


class Consumer(typing.Protocol):
    """Receives the bytes of a body."""

    def write(self, chunk: bytes) -> None:
        """Take a part of the body."""


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Sends a body that is completely in memory."""

    def __init__(self, body: bytes) -> None:
        """Keep the body."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Consumer) -> defer.Deferred[None]:  # noqa: N802
        """Write the body at once."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is written at once."""


class BodyCollector(protocol.Protocol):
    """Collects a body; ``completed`` fires with it."""

    def __init__(self, max_bytes: int) -> None:
        """Accept at most this size."""
        self.completed: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._chunks = bytearray()
        self._max_bytes = max_bytes

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
        self._chunks += chunk
        if len(self._chunks) > self._max_bytes:
            _disconnect(self)
            _fail(self.completed, errors.AnswerError('answer is too large'))

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """End the body."""
        if self.completed.called:
            return
        if isinstance(reason.value, _COMPLETE):
            self.completed.callback(bytes(self._chunks))
        else:
            self.completed.errback(reason)

    def _cancel(self, _completed: defer.Deferred[bytes]) -> None:
        _disconnect(self)


class LineReceiver(protocol.Protocol):
    """Hands a body over line by line; ``completed`` fires at its end.

    Parameters
    ----------
    on_line
        Receives each line without its end. A ``PlatformError`` it raises ends the stream.
    max_bytes
        Longest permitted line.
    """

    def __init__(self, on_line: abc.Callable[[bytes], None], max_bytes: int) -> None:
        """Wait for the first line."""
        self.completed: defer.Deferred[None] = defer.Deferred(self._cancel)
        self._on_line = on_line
        self._max_bytes = max_bytes
        self._rest = bytearray()

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
        *complete, last = chunk.split(b'\n')
        try:
            for part in complete:
                self._finish_line(part)
        except errors.PlatformError as error:
            self.abort(error)
            return
        self._rest += last
        if len(self._rest) > self._max_bytes:
            self.abort(errors.AnswerError('line is too long'))

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """End the body."""
        if self.completed.called:
            return
        if isinstance(reason.value, _COMPLETE):
            self.completed.callback(None)
        else:
            self.completed.errback(reason)

    def abort(self, reason: errors.PlatformError) -> None:
        """End the stream with an error."""
        _fail(self.completed, reason)
        _disconnect(self)

    def _finish_line(self, part: bytes) -> None:
        if self.completed.called:
            return
        self._rest += part
        line = bytes(self._rest)
        self._rest.clear()
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
