"""HTTP client that sends attempts to backend servers.

A connection carries one request at a time. After a timeout or a cancellation it is closed, so that
a late response is never matched to another request.
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

_NOT_SENT_ERRORS = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    internet_error.DNSLookupError,
    # Raised for a malformed request line, before a connection is opened.
    ValueError,
)

_SAFE_METHODS = frozenset(('GET', 'HEAD'))


class BackendClient:
    """Sends attempts to backend servers and reports how they ended."""

    def __init__(
        self, reactor: typing.Any, deliver: Deliver, clock_ms: abc.Callable[[], float]
    ) -> None:
        """Create a client that passes an event to ``deliver`` when an attempt ends."""
        self._deliver = deliver
        self._clock_ms = clock_ms
        self._pending: dict[str, defer.Deferred[typing.Any]] = {}
        self._connections = connections.ConnectionPool(reactor)

    def start(self, effect: effects.StartAttempt) -> None:
        """Send the request of an attempt; ``AttemptFinished`` follows unless it is cancelled."""
        started_ms = self._clock_ms()
        attempt = defer.maybeDeferred(self._request, effect, started_ms)
        attempt.addCallback(_collect)
        self._pending[effect.attempt_id] = attempt
        attempt.addBoth(self._on_finished, effect.attempt_id, started_ms)

    def cancel(self, attempt_id: str) -> None:
        """Close the connection of an attempt, which then delivers no event."""
        attempt = self._pending.pop(attempt_id, None)
        if attempt is not None:
            attempt.cancel()

    def close(self) -> 'defer.Deferred[typing.Any]':
        """Close idle connections."""
        return self._connections.close()

    def _request(
        self,
        effect: effects.StartAttempt,
        started_ms: float,
    ) -> 'defer.Deferred[iweb.IResponse]':
        request = effect.request
        request_headers = http_headers.Headers()
        for name, text in headers.for_backend(request.headers):
            request_headers.addRawHeader(name.encode('latin-1'), text.encode('latin-1'))
        remaining_ms = max(1, int(request.deadline_ms - started_ms))
        request_headers.setRawHeaders(const.HEADER_TIMEOUT.encode(), [str(remaining_ms).encode()])
        # A reused connection may be closing already, which would leave the outcome of a
        # non-idempotent request unknown; such a request gets a new connection.
        may_reuse = request.method in _SAFE_METHODS
        http_request = connections.make_request(
            effect.address, request.method, request.target, request_headers, request.body, may_reuse
        )
        if may_reuse:
            return self._connections.send(effect.address, http_request)
        return self._connections.send_on_new(effect.address, http_request)

    def _on_finished(self, outcome: typing.Any, attempt_id: str, started_ms: float) -> None:
        if self._pending.pop(attempt_id, None) is None:
            return
        latency_ms = self._clock_ms() - started_ms
        if isinstance(outcome, failure.Failure):
            self._deliver(_to_finished(outcome, attempt_id, latency_ms))
            return
        self._deliver(events.AttemptFinished(attempt_id, outcome, latency_ms))


class _BodyCollector(protocol.Protocol):
    """Collects a response body of at most ``BODY_MAX_BYTES``."""

    def __init__(self) -> None:
        """Create a collector; ``completed`` fires with the whole body."""
        self.completed: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append to the body, or abort once it exceeds the limit."""
        self._size_bytes += len(data)
        if self._size_bytes > package_const.BODY_MAX_BYTES:
            self.abort(errors.ResponseTooLargeError())
            return
        self._parts.append(data)

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Complete the body at its announced end; any other end is an error."""
        if self.completed.called:
            return
        if reason.check(client.ResponseDone):
            self.completed.callback(b''.join(self._parts))
            return
        self.completed.errback(reason)

    def abort(self, cause: Exception) -> None:
        """Close the connection and fail with ``cause``."""
        transport: typing.Any = self.transport
        if transport is not None:
            getattr(transport, 'abortConnection', transport.stopProducing)()
        if not self.completed.called:
            self.completed.errback(failure.Failure(cause))

    def _cancel(self, _: object) -> None:
        self.abort(defer.CancelledError())


def _collect(response: typing.Any) -> 'defer.Deferred[models.Answered]':
    collector = _BodyCollector()
    response.deliverBody(collector)
    return collector.completed.addCallback(lambda body: _to_answered(response, body))


def _to_answered(response: typing.Any, body: bytes) -> models.Answered:
    received = headers.decode(response.headers.getAllRawHeaders()) + connections.connection_headers(
        response
    )
    return models.Answered(models.Response(response.code, headers.end_to_end(received), body))


def _to_finished(
    reason: failure.Failure, attempt_id: str, latency_ms: float
) -> events.AttemptFinished:
    if reason.check(*_NOT_SENT_ERRORS):
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
    # A response without a length may be truncated although its server did not crash.
    connection_lost = bool(reason.check(client.ResponseNeverReceived, client.ResponseFailed))
    return events.AttemptFinished(attempt_id, unknown, latency_ms, connection_lost)
