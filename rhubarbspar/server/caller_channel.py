"""Caller connections, limited in number, header size and time to send a request."""

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
    """A caller's connection; refuses a request not complete in ``SLOW_SENDER_TIMEOUT_S``."""

    def __init__(self) -> None:
        """Create a connection that is receiving no request."""
        super().__init__()
        self._receiving = False

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection, and refuse it above ``CONNECTIONS_MAX``."""
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
        """Subtract the connection from the number of open ones."""
        self.factory.service.open_connections -= 1
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the timeout with the first byte of a request; later bytes do not extend it."""
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
        """Continue with the bytes that the caller pipelined after the request."""
        self._receiving = bool(self._dataBuffer)
        super().requestDone(request)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection, or refuse a request that is still incomplete."""
        if self._receiving:
            self.refuse(package_const.REASON_REQUEST_TIMEOUT)
            return
        super().timeoutConnection()


class CallerFactory(http.HTTPFactory):
    """Creates the protocol of each caller connection."""

    def __init__(self, service: caller_http.CallerService, reactor: typing.Any) -> None:
        """Pass the requests of all connections to ``service``."""
        super().__init__(timeout=const.SLOW_SENDER_TIMEOUT_S, reactor=reactor)
        self.service = service

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Create a connection with the timeout and the clock of this factory."""
        channel: typing.Any = CallerChannel()
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: typing.Any) -> None:
        """Write no access log: the effects of the reducer log the events."""
