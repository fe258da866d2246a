"""Checks whether a connection to a server can be opened."""

import typing

from twisted.internet import protocol
from twisted.python import failure

from rhubarbspar import const as package_const
from rhubarbspar.http1 import client


class Finish(typing.Protocol):
    """Receives the result of a check."""

    def __call__(self, *, opened: bool) -> None:
        """Report whether the connection was opened."""


def open_and_close(
    reactor: typing.Any, endpoint: client.Endpoint, timeout_ms: float, finish: Finish
) -> None:
    """Open a connection, report the result and close the connection."""
    reactor.connectTCP(
        endpoint.host,
        endpoint.port,
        _ProbeFactory(finish),
        timeout=timeout_ms / package_const.MS_PER_S,
    )


class _Probe(protocol.Protocol):
    """A connection that closes once it is open."""

    def __init__(self, finish: Finish) -> None:
        self._finish = finish

    def connectionMade(self) -> None:  # noqa: N802
        """Report the open connection and close it."""
        transport: typing.Any = self.transport
        transport.loseConnection()
        self._finish(opened=True)


class _ProbeFactory(protocol.ClientFactory):
    """Creates the connection of one check."""

    noisy = False

    def __init__(self, finish: Finish) -> None:
        self._finish = finish

    def buildProtocol(self, addr: typing.Any) -> _Probe:  # noqa: N802
        """Return the protocol of the connection that has opened."""
        return _Probe(self._finish)

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: failure.Failure
    ) -> None:
        """Report that no connection was opened."""
        self._finish(opened=False)
