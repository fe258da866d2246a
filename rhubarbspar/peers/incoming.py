"""Incoming connections of peers, which are bounded until the handshake has ended.

Their number is, and so is what each of them sends.
"""

import asyncio
import typing
from collections import abc

from websockets import protocol
from websockets.asyncio import server

from rhubarbspar import const as package_const
from rhubarbspar.http1 import descriptors
from rhubarbspar.peers import const

# A peer may take this long for its part of the handshake. Longer ones give way to new connections.
_HANDSHAKE_MIN_MS: typing.Final = 500
_BACKLOG_MAX: typing.Final = 100
_BACKLOG_MIN: typing.Final = 8


def backlog(handshakes: descriptors.ConnectionLimit) -> int:
    """Return the length of the queue of connections, all of which are accepted at once."""
    return int(max(_BACKLOG_MIN, min(_BACKLOG_MAX, handshakes.limit)))


class Connection(server.ServerConnection):
    """A connection that counts as one without a proven identity until ``finish_handshake``.

    Parameters
    ----------
    handshakes
        Bounds these connections. At the limit, a new one takes the place of the oldest.
    refuse
        Called when the connection sends more than ``const.OPENING_MAX_BYTES`` before that.
    arguments, options
        Arguments of the websocket connection.
    """

    def __init__(
        self,
        handshakes: descriptors.ConnectionLimit,
        refuse: abc.Callable[[], None],
        *arguments: typing.Any,
        **options: typing.Any,
    ) -> None:
        """Create the protocol of a new connection."""
        super().__init__(*arguments, **options)
        self._handshakes = handshakes
        self._refuse = refuse
        self._is_counted = False
        self._has_proved_identity = False
        self._received_bytes = 0

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 (name of asyncio's protocols)
        """Parse received bytes, unless there are too many."""
        if self._has_proved_identity:
            super().data_received(data)
            return
        self._received_bytes += len(data)
        if self._received_bytes <= const.OPENING_MAX_BYTES:
            super().data_received(data)
        elif self.protocol.state is not protocol.CLOSED:
            self._refuse()
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or close it at once if there are too many."""
        super().connection_made(transport)
        now_ms = self.loop.time() * package_const.MS_PER_S
        if not self._handshakes.acquire(now_ms - _HANDSHAKE_MIN_MS):
            self.transport.abort()
            return
        self._is_counted = True
        self._handshakes.mark_idle(self, now_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self._stop_counting()
        super().connection_lost(exc)

    def finish_handshake(self) -> None:
        """Lift the bounds: the peer has proved its identity."""
        self._has_proved_identity = True
        self._stop_counting()

    def evict(self) -> bool:
        """Close the connection for a new one."""
        self.transport.abort()
        self._stop_counting()
        return True

    def _stop_counting(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._handshakes.mark_busy(self)
            self._handshakes.release()
