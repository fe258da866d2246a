"""JSON over HTTP to one platform service, addressed by IP number."""

import json
import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import http_headers
from twisted.web import iweb

from rhubarbspar.storage import agents
from rhubarbspar.storage import bodies
from rhubarbspar.storage import const
from rhubarbspar.storage import errors

JsonObject: typing.TypeAlias = dict[str, typing.Any]

Reactor: typing.TypeAlias = agents.Reactor


class DelayedCall(typing.Protocol):
    """A timer that can be stopped."""

    def active(self) -> bool:
        """Return whether the timer is still to fire."""

    def cancel(self) -> None:
        """Stop the timer."""


class JsonClient:
    """Exchanges JSON documents with one service.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    base_url
        ``http://ADDRESS:PORT`` with an IP number.
    timeout_ms
        For a whole exchange: connection, request and complete answer.
    clock
        Its timers govern the time limits; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: Reactor,
        base_url: str,
        timeout_ms: float = const.CALL_TIMEOUT_MS,
        clock: Reactor | None = None,
    ) -> None:
        """Open no connection yet."""
        self._clock = clock or reactor
        self._base_url = base_url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._pool = agents.make_pool(reactor)
        self._agent = agents.make_agent(reactor, self._pool, timeout_ms)

    async def get(self, path: str) -> typing.Any:
        """Read a document.

        Raises
        ------
        errors.UnavailableError
            If no complete answer arrived in time.
        errors.AnswerError
            If the answer is not JSON.
        errors.RejectedError
            If the status is not 200.
        """
        return await self._exchange(b'GET', path, None)

    async def post(self, path: str, document: JsonObject) -> typing.Any:
        """Send a document and return the answer; raises the errors of ``get``."""
        return await self._exchange(b'POST', path, document)

    def stream(
        self, path: str, document: JsonObject, lines: bodies.LineReceiver
    ) -> defer.Deferred[None]:
        """Send a document and hand the answer over line by line.

        The returned Deferred fires when the stream has ended, fails with ``PlatformError`` and can
        be cancelled.
        """
        return defer.Deferred.fromCoroutine(self._stream(path, document, lines))

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return agents.close_idle_connections(self._pool)

    def call_later(self, delay_ms: float, function: abc.Callable[[], None]) -> DelayedCall:
        """Start a timer."""
        timer: DelayedCall = self._clock.callLater(delay_ms / const.MS_PER_S, function)
        return timer

    async def _exchange(self, method: bytes, path: str, document: JsonObject | None) -> typing.Any:
        exchange = defer.Deferred.fromCoroutine(self._fetch(method, path, document))
        self._limit(exchange)
        try:
            status, body = await _translated(exchange)
        except errors.UnavailableError as error:
            if agents.is_timeout(error.__cause__ or error):
                # Other idle connections may have stopped carrying traffic as well.
                self.close().addErrback(_ignore)
            raise
        if status != const.HTTP_OK:
            raise _rejection(status, body)
        return _loads(body)

    async def _fetch(
        self,
        method: bytes,
        path: str,
        document: JsonObject | None,
    ) -> tuple[int, bytes]:
        response = await self._request(method, path, document)
        collector = bodies.BodyCollector(const.ANSWER_MAX_BYTES)
        response.deliverBody(collector)
        return response.code, await collector.completed

    async def _stream(self, path: str, document: JsonObject, lines: bodies.LineReceiver) -> None:
        request = defer.Deferred.fromCoroutine(self._request(b'POST', path, document))
        self._limit(request)
        response = await _translated(request)
        if response.code != const.HTTP_OK:
            raise errors.RejectedError(response.code, 0, 'stream refused')
        response.deliverBody(lines)
        await _translated(lines.completed)

    def _limit(self, call: defer.Deferred[typing.Any]) -> None:
        time = typing.cast(interfaces.IReactorTime, self._clock)
        call.addTimeout(self._timeout_ms / const.MS_PER_S, time)

    async def _request(self, method: bytes, path: str, document: JsonObject | None) -> typing.Any:
        headers = http_headers.Headers({'Content-Type': ['application/json']})
        url = f'{self._base_url}{path}'.encode()
        return await self._agent.request(method, url, headers, _producer(document))


async def _translated(call: defer.Deferred[typing.Any]) -> typing.Any:
    try:
        return await call
    except agents.TRANSPORT_ERRORS as error:
        raise errors.UnavailableError(_describe(error)) from error


def _producer(document: JsonObject | None) -> iweb.IBodyProducer | None:
    if document is None:
        return None
    return typing.cast(iweb.IBodyProducer, bodies.BytesProducer(json.dumps(document).encode()))


def _describe(error: BaseException) -> str:
    return f'{type(error).__name__}: no complete answer'


def _loads(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.AnswerError('answer is not JSON') from error


def _rejection(status: int, body: bytes) -> errors.RejectedError:
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        document = {}
    code = document.get('code', 0)
    if not isinstance(code, int):
        code = 0
    return errors.RejectedError(status, code, str(document.get('message', '')))


def _ignore(_reason: failure.Failure) -> None:
    """Connections that are being dropped need no report."""
