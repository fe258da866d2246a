"""Connections of callers, with limits on their number, on headers and on slow senders."""

import typing

from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure
from twisted.web import http

from rhubarbspar import const as package_const
from rhubarbspar.server import caller_http
from rhubarbspar.server import caller_request
from rhubarbspar.server import const
from rhubarbspar.server import strict_channel


class CallerChannel(strict_channel.StrictChannel):
    """A caller's connection; a request is complete in ``SLOW_SENDER_TIMEOUT_S`` or is refused."""

    def __init__(self) -> None:
        """Wait for the first request."""
        super().__init__()
        self._receiving = False

    def connectionMade(self) -> None:  # noqa: N802
        """Refuse the connection if there are too many."""
        super().connectionMade()
        service = self.factory.service
        service.open_connections += 1
        if service.open_connections > const.CONNECTIONS_MAX:
            self.refuse(
                package_const.REASON_TOO_MANY_CONNECTIONS,
                const.RETRY_AFTER_CONNECTIONS_MS,
            )

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Count the connection out."""
        self.factory.service.open_connections -= 1
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the time limit with the first byte of a request; later bytes do not extend it."""
        if self.refused:
            return
        if not self._receiving:
            self._receiving = True
            self.resetTimeout()
        basic.LineReceiver.dataReceived(self, data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle the request, unless a part of it was refused."""
        if not self.refused:
            self._receiving = False
            super().allContentReceived()

    def requestDone(self, request: caller_request.CallerRequest) -> None:  # noqa: N802
        """Go on with what the caller has sent after the request."""
        self._receiving = bool(self._dataBuffer)
        super().requestDone(request)

    def timeoutConnection(self) -> None:  # noqa: N802
        """End an idle connection, or refuse a request that is not complete in time."""
        if self._receiving:
            self.refuse(package_const.REASON_REQUEST_TIMEOUT)
            return
        super().timeoutConnection()


class CallerFactory(http.HTTPFactory):
    """Creates the connections of callers."""

    def __init__(self, service: caller_http.CallerService, reactor: typing.Any) -> None:
        """Create a factory for one service."""
        super().__init__(timeout=const.SLOW_SENDER_TIMEOUT_S, reactor=reactor)
        self.service = service

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Create a connection without an access log."""
        channel: typing.Any = CallerChannel()
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: typing.Any) -> None:
        """Skip: events are logged by the reducer's effects."""
