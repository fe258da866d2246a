"""Authenticated connection to one peer, with a bounded send queue."""

import asyncio
import contextlib
import socket
from collections import abc

import websockets
from websockets.asyncio import connection as websocket_connection

from rhubarbspar.http1 import memory
from rhubarbspar.peers import const
from rhubarbspar.peers import fragments
from rhubarbspar.peers import handshake
from rhubarbspar.peers import send_queue


class PeerConnection:
    """Websocket to a peer that has passed the handshake.

    Parameters
    ----------
    identity
        Authenticated identity of the other instance.
    websocket
        The open websocket.
    budget
        Bounds what the queues to all peers hold.

    Attributes
    ----------
    preferred
        Whether the instance with the lower id has opened the connection.
    assembler
        Puts the received fragments together.
    """

    def __init__(
        self,
        identity: handshake.Identity,
        websocket: websocket_connection.Connection,
        budget: memory.MemoryBudget,
    ) -> None:
        self.identity = identity
        self.preferred = False
        self.assembler = fragments.Assembler()
        self._websocket = websocket
        self._send_queue: send_queue.SendQueue[bytes] = send_queue.SendQueue()
        self._share = memory.Share(budget)
        self._queue_changed = asyncio.Event()
        self._closing = False
        # Releases before the fragments do not offer the subprotocol.
        self._accepts_fragments = websocket.subprotocol == const.SUBPROTOCOL
        _limit_unsent(websocket)

    def enqueue(self, frame: bytes, *, is_bulk: bool = False) -> bool:
        """Queue a frame for sending; return whether the queue had room.

        Parameters
        ----------
        is_bulk
            Whether other frames may overtake this one.
        """
        pieces = fragments.split(frame) if is_bulk and self._accepts_fragments else [frame]
        queued_bytes = self._share.size_bytes + sum(map(len, pieces))
        if (
            queued_bytes > const.SEND_QUEUE_MAX_BYTES
            or len(self._send_queue) + len(pieces) > const.SEND_QUEUE_MAX_FRAMES
            or not self._share.budget.fits(self._share, queued_bytes)
        ):
            return False
        for piece in pieces:
            self._send_queue.push(piece, is_bulk=is_bulk)
        self._share.hold(queued_bytes)
        self._queue_changed.set()
        return True

    def abort(self) -> None:
        """Close the connection at once and discard queued frames."""
        self._closing = True
        self._send_queue.clear()
        self._share.release()
        self._queue_changed.set()
        self._websocket.transport.abort()

    def close_after_drain(self) -> None:
        """Close the connection as soon as all queued frames are sent."""
        self._closing = True
        self._queue_changed.set()

    async def write(self) -> None:
        """Send queued frames until the connection is closed."""
        try:
            await self._write()
        except websockets.ConnectionClosed:
            self.abort()

    async def read(self) -> abc.AsyncIterator[str | bytes]:
        """Yield received frames until the connection is closed."""
        try:
            async for frame in self._websocket:
                yield frame
        except websockets.ConnectionClosed:
            return

    async def _write(self) -> None:
        while self._send_queue or not self._closing:
            await self._queue_changed.wait()
            self._queue_changed.clear()
            while self._send_queue:
                await self._send(self._send_queue.pop())
        await self._websocket.close()

    async def _send(self, frame: bytes) -> None:
        await self._websocket.send(frame)
        # ``abort`` may have released the share while the frame was being sent.
        self._share.hold(max(0, self._share.size_bytes - len(frame)))


def _limit_unsent(websocket: websocket_connection.Connection) -> None:
    """Keep the kernel from accepting much more than the link can send at once."""
    connected: socket.socket | None = websocket.transport.get_extra_info('socket')
    option = getattr(socket, 'TCP_NOTSENT_LOWAT', None)
    if connected is None or option is None:
        return
    with contextlib.suppress(OSError):
        # Some systems do not know the option; what has been accepted is then sent first.
        connected.setsockopt(socket.IPPROTO_TCP, option, const.SOCKET_UNSENT_MAX_BYTES)
