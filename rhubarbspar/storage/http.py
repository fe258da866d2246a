"""HTTP client for JSON documents of one platform service, addressed by IP address."""

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
    """Timer that can be cancelled."""

    def active(self) -> bool:
        """Return whether the timer has neither fired nor been cancelled."""

    def cancel(self) -> None:
        """Cancel the timer."""


class JsonClient:
    """Client that exchanges JSON documents with one service.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    base_url
        ``http://ADDRESS:PORT`` with an IP address.
    timeout_ms
        Timeout of a whole exchange: connection, request and complete answer. For a stream, it
        covers the exchange up to the response headers.
    clock
        Source of the timers for timeouts; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: Reactor,
        base_url: str,
        timeout_ms: float = const.CALL_TIMEOUT_MS,
        clock: Reactor | None = None,
    ) -> None:
        """Prepare the connection pool; the first request opens a connection."""
        self._clock = clock or reactor
        self._base_url = base_url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._pool = agents.make_pool(reactor)
        self._agent = agents.make_agent(reactor, self._pool, timeout_ms)

    async def get(self, path: str) -> typing.Any:
        """Get a JSON document.

        Raises
        ------
        errors.UnavailableError
            If no complete answer arrived before the timeout.
        errors.AnswerError
            If the answer is not JSON.
        errors.RejectedError
            If the status is not 200.
        """
        return await self._exchange(b'GET', path, None)

    async def post(self, path: str, document: JsonObject) -> typing.Any:
        """Post a JSON document and return the JSON answer; raises the same errors as ``get``."""
        return await self._exchange(b'POST', path, document)

    def stream(
        self, path: str, document: JsonObject, receiver: bodies.LineReceiver
    ) -> defer.Deferred[None]:
        """Post a JSON document and pass the answer's body to a line receiver.

        The returned Deferred fires when the stream ends, fails with a ``PlatformError`` and can be
        cancelled.
        """
        return defer.Deferred.fromCoroutine(self._stream(path, document, receiver))

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections; requests under way continue."""
        return agents.close_idle_connections(self._pool)

    def call_later(self, delay_ms: float, function: abc.Callable[[], None]) -> DelayedCall:
        """Call a function after a delay and return the timer."""
        timer: DelayedCall = self._clock.callLater(delay_ms / const.MS_PER_S, function)
        return timer

    async def _exchange(self, method: bytes, path: str, document: JsonObject | None) -> typing.Any:
        exchange = defer.Deferred.fromCoroutine(self._fetch(method, path, document))
        self._add_timeout(exchange)
        try:
            status, body = await _await_exchange(exchange)
        except errors.UnavailableError as error:
            if agents.is_timeout(error.__cause__ or error):
                # Other idle connections may have stopped carrying traffic as well.
                self.close().addErrback(_ignore)
            raise
        if status != const.HTTP_OK:
            raise _rejected_error(status, body)
        return _parse_json(body)

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

    async def _stream(self, path: str, document: JsonObject, receiver: bodies.LineReceiver) -> None:
        request = defer.Deferred.fromCoroutine(self._request(b'POST', path, document))
        self._add_timeout(request)
        response = await _await_exchange(request)
        if response.code != const.HTTP_OK:
            raise errors.RejectedError(response.code, 0, 'stream was rejected')
        response.deliverBody(receiver)
        await _await_exchange(receiver.completed)

    def _add_timeout(self, call: defer.Deferred[typing.Any]) -> None:
        reactor_time = typing.cast(interfaces.IReactorTime, self._clock)
        call.addTimeout(self._timeout_ms / const.MS_PER_S, reactor_time)

    async def _request(self, method: bytes, path: str, document: JsonObject | None) -> typing.Any:
        headers = http_headers.Headers({'Content-Type': ['application/json']})
        url = f'{self._base_url}{path}'.encode()
        return await self._agent.request(method, url, headers, _json_producer(document))


async def _await_exchange(call: defer.Deferred[typing.Any]) -> typing.Any:
    try:
        return await call
    except agents.TRANSPORT_ERRORS as error:
        raise errors.UnavailableError(_error_text(error)) from error


def _json_producer(document: JsonObject | None) -> iweb.IBodyProducer | None:
    if document is None:
        return None
    return typing.cast(iweb.IBodyProducer, bodies.BytesProducer(json.dumps(document).encode()))


def _error_text(error: BaseException) -> str:
    return f'{type(error).__name__}: no complete answer'


def _parse_json(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.AnswerError('answer is not JSON') from error


def _rejected_error(status: int, body: bytes) -> errors.RejectedError:
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
    """Ignore a failure to close idle connections; they are discarded anyway."""
