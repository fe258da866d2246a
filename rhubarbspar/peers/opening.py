"""Incoming connection that is closed if it sends much before it has proved who it is."""

import typing
from collections import abc

from websockets import protocol
from websockets.asyncio import server

from rhubarbspar.peers import const


def lift_bound(connection: server.ServerConnection) -> None:
    """Let a connection that is authenticated send any number of bytes."""
    if isinstance(connection, OpeningConnection):
        connection.authenticated = True


class OpeningConnection(server.ServerConnection):
    """Incoming websocket connection with a bound on what it sends before it is authenticated.

    Parameters
    ----------
    refuse
        Called when the connection exceeds the bound.
    arguments, options
        Arguments of the websocket connection.

    Attributes
    ----------
    authenticated
        Whether the bound no longer applies.
    """

    def __init__(
        self, refuse: abc.Callable[[], None], *arguments: typing.Any, **options: typing.Any
    ) -> None:
        super().__init__(*arguments, **options)
        self.authenticated = False
        self._refuse = refuse
        self._received_bytes = 0

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 (name of asyncio's protocols)
        """Parse received bytes, unless there are too many."""
        if self.authenticated:
            super().data_received(data)
            return
        self._received_bytes += len(data)
        if self._received_bytes <= const.OPENING_MAX_BYTES:
            super().data_received(data)
        elif self.protocol.state is not protocol.CLOSED:
            self._refuse()
            self.transport.abort()
