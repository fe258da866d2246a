"""HTTP agents that connect to IP addresses and never retry a request by themselves."""

import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.web import client
from twisted.web import iweb
from zope import interface  # type: ignore[import-untyped]

from rhubarbspar.storage import const

# Exceptions with which an exchange fails that got no complete answer.
TRANSPORT_ERRORS: typing.Final = (
    client.RequestTransmissionFailed,
    client.ResponseFailed,
    client.ResponseNeverReceived,
    defer.CancelledError,
    defer.TimeoutError,
    internet_error.ConnectError,
    internet_error.ConnectionAborted,
    internet_error.ConnectionClosed,
)


class Reactor(typing.Protocol):
    """The timer interface of the Twisted reactor; Twisted itself uses the rest of the reactor."""

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: abc.Callable[..., object],
        *args: object,
        **kw: object,
    ) -> typing.Any:
        """Call a function after a delay in seconds and return the timer."""


@interface.implementer(iweb.IAgentEndpointFactory)
class _IpEndpointFactory:
    """Makes endpoints for IP addresses, without name resolution."""

    def __init__(self, reactor: Reactor, timeout_ms: float) -> None:
        self._reactor = reactor
        self._timeout_ms = timeout_ms

    def endpointForURI(self, uri: client.URI) -> endpoints.TCP4ClientEndpoint:  # noqa: N802
        """Return the TCP endpoint of a URL."""
        return endpoints.TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode(),
            uri.port,
            timeout=self._timeout_ms / const.MS_PER_S,
        )


def is_timeout(error: BaseException) -> bool:
    """Return whether an exchange failed because it was cancelled at its timeout."""
    if isinstance(error, client.ResponseFailed):
        return any(reason.check(defer.CancelledError) for reason in error.reasons)
    return isinstance(error, defer.CancelledError | defer.TimeoutError)


def make_pool(
    reactor: Reactor,
    connections_per_host: int = const.CONNECTIONS_PER_HOST,
) -> client.HTTPConnectionPool:
    """Return a pool of persistent connections that does not retry requests."""
    pool_type: abc.Callable[..., client.HTTPConnectionPool] = client.HTTPConnectionPool
    pool = pool_type(reactor, persistent=True)
    pool.cachedConnectionTimeout = const.IDLE_CONNECTION_TIMEOUT_S
    pool.maxPersistentPerHost = connections_per_host
    # The caller decides about a retry, since the first attempt may have taken effect.
    pool.retryAutomatically = False
    return pool


def make_agent(
    reactor: Reactor,
    pool: client.HTTPConnectionPool,
    connect_timeout_ms: float,
) -> client.Agent:
    """Return an agent that takes its connections from a pool."""
    create_agent: abc.Callable[..., client.Agent] = client.Agent.usingEndpointFactory
    return create_agent(reactor, _IpEndpointFactory(reactor, connect_timeout_ms), pool)


def close_idle_connections(pool: client.HTTPConnectionPool) -> defer.Deferred[None]:
    """Close the idle connections of a pool; the pool stays usable."""
    close: abc.Callable[[], defer.Deferred[None]] = pool.closeCachedConnections
    return close()
