"""HTTP of a caller."""

import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.web import http_headers
from twisted.web import iweb

from rhubarbspar.storage import agents
from rhubarbspar.storage import bodies
from rhubarbspar.standins import const
from rhubarbspar.standins import errors


class ConnectionLostError(errors.StandinError):
    """The connection was lost before the answer was complete; the request may have run."""


class NotSentError(errors.StandinError):
    """The connection could not be opened; the request did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP answer."""

    status: int
    content_type: str
    body: bytes


class HttpCaller:
    """Sends requests through a pool of connections."""

    def __init__(self, reactor: agents.Reactor) -> None:
        """Open no connection yet."""
        self._reactor = reactor
        self._pool = agents.make_pool(reactor, const.CALLER_CONNECTIONS_PER_HOST)
        self._agent = agents.make_agent(reactor, self._pool, const.CALLER_CONNECT_TIMEOUT_MS)

    async def send(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_ms: float,
    ) -> HttpAnswer:
        """Send a request once and return its complete answer.

        Raises
        ------
        NotSentError
            If the connection could not be opened.
        ConnectionLostError
            If no complete answer arrives in time.
        """
        exchange = defer.Deferred.fromCoroutine(self._exchange(method, url, headers, body))
        time = typing.cast(interfaces.IReactorTime, self._reactor)
        exchange.addTimeout(max(0, timeout_ms) / const.MS_PER_S, time)
        try:
            return await exchange
        except internet_error.ConnectError as refused:
            raise NotSentError('not_connected') from refused
        except agents.TRANSPORT_ERRORS as lost:
            raise self._lost(lost) from lost

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return agents.close_idle_connections(self._pool)

    def _lost(self, error: BaseException) -> ConnectionLostError:
        if not agents.is_timeout(error):
            return ConnectionLostError('connection_lost')
        # Other idle connections may have stopped carrying traffic as well.
        agents.close_idle_connections(self._pool).addErrback(_ignore)
        return ConnectionLostError('timeout')

    async def _exchange(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
    ) -> HttpAnswer:
        raw_headers = http_headers.Headers({name: [text] for name, text in headers.items()})
        producer = typing.cast(iweb.IBodyProducer, bodies.BytesProducer(body)) if body else None
        request = self._agent.request(method.encode(), url.encode(), raw_headers, producer)
        response: typing.Any = await request
        collector = bodies.BodyCollector(const.CALLER_ANSWER_MAX_BYTES)
        response.deliverBody(collector)
        whole = await collector.completed
        content_types = response.headers.getRawHeaders(const.CONTENT_TYPE, [''])
        return HttpAnswer(response.code, content_types[0], whole)


def _ignore(_reason: object) -> None:
    """Connections that are being dropped need no report."""
