"""Send requests to backend servers.

A connection carries one request at a time. After a timeout or a cancellation it is closed, so that a late
answer can never be taken for the answer of another request.
"""

import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from rhubarbspar import const as package_const
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.server import connections
from rhubarbspar.server import const
from rhubarbspar.server import errors
from rhubarbspar.server import headers

Deliver: typing.TypeAlias = abc.Callable[[events.Event], None]

_NOT_CONNECTED = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    internet_error.DNSLookupError,
    # The client refuses to send a malformed request line, before it connects.
    ValueError,
)

_REUSING_METHODS = frozenset(('GET', 'HEAD'))


class BackendClient:
    """Carries out attempts at backend servers."""

    def __init__(
        self, reactor: typing.Any, deliver: Deliver, clock_ms: abc.Callable[[], float]
    ) -> None:
        """Create a client that reports each attempt's end to ``deliver``."""
        self._deliver = deliver
        self._clock_ms = clock_ms
        self._running: dict[str, defer.Deferred[typing.Any]] = {}
        self._connections = connections.ConnectionPool(reactor)

    def start(self, effect: effects.StartAttempt) -> None:
        """Send a request; ``AttemptFinished`` follows unless it is cancelled."""
        started_ms = self._clock_ms()
        running = defer.maybeDeferred(self._request, effect, started_ms)
        running.addCallback(_collect)
        self._running[effect.attempt_id] = running
        running.addBoth(self._ended, effect.attempt_id, started_ms)

    def cancel(self, attempt_id: str) -> None:
        """Close the connection of an attempt."""
        running = self._running.pop(attempt_id, None)
        if running is not None:
            running.cancel()

    def close(self) -> 'defer.Deferred[typing.Any]':
        """Close idle connections."""
        return self._connections.close()

    def _request(
        self,
        effect: effects.StartAttempt,
        started_ms: float,
    ) -> 'defer.Deferred[iweb.IResponse]':
        request = effect.request
        sent = http_headers.Headers()
        for name, text in headers.for_backend(request.headers):
            sent.addRawHeader(name.encode('latin-1'), text.encode('latin-1'))
        remaining_ms = max(1, int(request.deadline_ms - started_ms))
        sent.setRawHeaders(const.HEADER_TIMEOUT.encode(), [str(remaining_ms).encode()])
        # A reused connection may be closing already, which would leave the outcome of a
        # non-idempotent request unknown; those get a connection of their own.
        reuses = request.method in _REUSING_METHODS
        made = connections.make_request(
            effect.address, request.method, request.target, sent, request.body, reuses
        )
        if reuses:
            return self._connections.send(effect.address, made)
        return self._connections.send_on_new(effect.address, made)

    def _ended(self, outcome: typing.Any, attempt_id: str, started_ms: float) -> None:
        if self._running.pop(attempt_id, None) is None:
            return
        latency_ms = self._clock_ms() - started_ms
        if isinstance(outcome, failure.Failure):
            self._deliver(_failed(outcome, attempt_id, latency_ms))
            return
        self._deliver(events.AttemptFinished(attempt_id, outcome, latency_ms))


class _BodyCollector(protocol.Protocol):
    """Collects a response body up to the largest size."""

    def __init__(self) -> None:
        """Create a collector; ``done`` fires with the whole body."""
        self.done: defer.Deferred[bytes] = defer.Deferred(self._cancelled)
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body."""
        self._size_bytes += len(data)
        if self._size_bytes > package_const.BODY_MAX_BYTES:
            self.abort(errors.ResponseTooLargeError())
            return
        self._parts.append(data)

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """End the body; anything but its announced end is an error."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone):
            self.done.callback(b''.join(self._parts))
            return
        self.done.errback(reason)

    def abort(self, cause: Exception) -> None:
        """Give up the body and close the connection."""
        transport: typing.Any = self.transport
        if transport is not None:
            getattr(transport, 'abortConnection', transport.stopProducing)()
        if not self.done.called:
            self.done.errback(failure.Failure(cause))

    def _cancelled(self, _: object) -> None:
        self.abort(defer.CancelledError())


def _collect(response: typing.Any) -> 'defer.Deferred[models.Answered]':
    collector = _BodyCollector()
    response.deliverBody(collector)
    return collector.done.addCallback(lambda body: _answered(response, body))


def _answered(response: typing.Any, body: bytes) -> models.Answered:
    received = headers.decode(response.headers.getAllRawHeaders()) + connections.connection_headers(
        response
    )
    return models.Answered(models.Response(response.code, headers.end_to_end(received), body))


def _failed(reason: failure.Failure, attempt_id: str, latency_ms: float) -> events.AttemptFinished:
    if reason.check(*_NOT_CONNECTED):
        refused = models.Refused(
            package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.NOT_RUN
        )
        return events.AttemptFinished(attempt_id, refused, latency_ms)
    if reason.check(errors.ResponseTooLargeError):
        refused = models.Refused(
            package_const.REASON_RESPONSE_TOO_LARGE, models.ExecutionStatus.UNKNOWN
        )
        return events.AttemptFinished(attempt_id, refused, latency_ms)
    unknown = models.Refused(package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.UNKNOWN)
    # A response without a length may be truncated, but its server need not have died.
    lost = bool(reason.check(client.ResponseNeverReceived, client.ResponseFailed))
    return events.AttemptFinished(attempt_id, unknown, latency_ms, lost)
