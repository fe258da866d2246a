"""Authenticated connection to one peer, with a bounded send queue."""

import asyncio
import collections
from collections import abc

import websockets
from websockets.asyncio import connection as websocket_connection

from rhubarbspar.http1 import memory
from rhubarbspar.peers import const
from rhubarbspar.peers import handshake


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
    """

    def __init__(
        self,
        identity: handshake.Identity,
        websocket: websocket_connection.Connection,
        budget: memory.MemoryBudget,
    ) -> None:
        self.identity = identity
        self.preferred = False
        self._websocket = websocket
        self._send_queue: collections.deque[bytes] = collections.deque()
        self._share = memory.Share(budget)
        self._queue_changed = asyncio.Event()
        self._closing = False

    def enqueue(self, frame: bytes) -> bool:
        """Queue a frame for sending; return whether the queue had room."""
        queued_bytes = self._share.size_bytes + len(frame)
        if (
            queued_bytes > const.SEND_QUEUE_MAX_BYTES
            or len(self._send_queue) >= const.SEND_QUEUE_MAX_FRAMES
            or not self._share.budget.fits(self._share, queued_bytes)
        ):
            return False
        self._send_queue.append(frame)
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
                frame = self._send_queue[0]
                await self._websocket.send(frame)
                self._dequeue(frame)
        await self._websocket.close()

    def _dequeue(self, frame: bytes) -> None:
        # ``abort`` may have cleared the queue while the frame was being sent.
        if self._send_queue:
            self._send_queue.popleft()
            self._share.hold(self._share.size_bytes - len(frame))
