"""Incoming connections of peers, which are bounded until the handshake has ended."""

import asyncio
import typing

from websockets.asyncio import server

from rhubarbspar import const
from rhubarbspar.http1 import descriptors

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
    """

    def __init__(
        self,
        handshakes: descriptors.ConnectionLimit,
        *arguments: typing.Any,
        **options: typing.Any,
    ) -> None:
        """Create the protocol of a new connection."""
        super().__init__(*arguments, **options)
        self._handshakes = handshakes
        self._is_counted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or close it at once if there are too many."""
        super().connection_made(transport)
        now_ms = self.loop.time() * const.MS_PER_S
        if not self._handshakes.acquire(now_ms - _HANDSHAKE_MIN_MS):
            self.transport.abort()
            return
        self._is_counted = True
        self._handshakes.mark_idle(self, now_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self.finish_handshake()
        super().connection_lost(exc)

    def finish_handshake(self) -> None:
        """Stop counting the connection: it has ended, or the peer has proved its identity."""
        if self._is_counted:
            self._is_counted = False
            self._handshakes.mark_busy(self)
            self._handshakes.release()

    def evict(self) -> bool:
        """Close the connection for a new one."""
        self.transport.abort()
        self.finish_handshake()
        return True
