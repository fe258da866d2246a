"""Writes messages to a transport in slices, and tells when all of them are sent.

The transport copies what it is given. Slices keep it from holding a second copy of a large body.
"""

import collections
import typing
from collections import abc

from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import const
from rhubarbspar.http1 import memory

SLICE_BYTES: typing.Final = 65_536
_UNCHECKED: typing.Final = -1


class SliceWriter:
    """Pull producer of a transport (``IPullProducer``).

    Parameters
    ----------
    transport
        Transport of the connection.
    share
        Holds the bytes that are not sent yet.
    on_sent
        Called each time that the transport has sent everything.

    Attributes
    ----------
    is_sent
        Whether the transport has sent everything.
    unsent_bytes
        Bytes that the transport has not got yet.
    unsent_count
        Messages written since the transport had sent everything.
    """

    def __init__(
        self,
        transport: typing.Any,
        share: memory.Share,
        on_sent: abc.Callable[[], None] | None = None,
    ) -> None:
        """Create a writer without messages."""
        self._transport = transport
        self._share = share
        self._on_sent = on_sent
        self._parts: collections.deque[memoryview] = collections.deque()
        self.unsent_bytes = 0
        self.unsent_count = 0
        self.is_sent = True
        # Unsent bytes at the last check, and since when there are as many.
        self._checked_bytes = _UNCHECKED
        self._checked_ms = 0.0

    @property
    def is_backlogged(self) -> bool:
        """Return whether the peer takes its messages much more slowly than it asks for them."""
        return self.unsent_count >= const.PIPELINE_MAX and self.unsent_bytes > SLICE_BYTES

    def abort_if_stalled(self, now_ms: float) -> None:
        """Disconnect a peer that has taken nothing for long, if others wait for the memory."""
        if self.unsent_bytes != self._checked_bytes:
            self._checked_bytes = self.unsent_bytes
            self._checked_ms = now_ms
        is_stalled = now_ms - self._checked_ms > const.STALLED_WRITE_MAX_MS
        if is_stalled and self._share.budget.is_short:
            self._transport.abortConnection()

    def write(self, head: bytes, body: bodies.Body) -> None:
        """Write a message after the earlier ones."""
        if len(head) + len(body) <= SLICE_BYTES:
            self._parts.append(memoryview(head + bodies.join(body)))
        else:
            self._parts.append(memoryview(head))
            self._parts.extend(bodies.views_of(body))
        self.unsent_count += 1
        self.unsent_bytes += len(head) + len(body)
        self._checked_bytes = _UNCHECKED
        self._share.hold(self.unsent_bytes)
        if self.is_sent:
            self.is_sent = False
            # The transport asks for the first slice at once.
            self._transport.registerProducer(self, streaming=False)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Pass the next slice to the transport, which has sent the last one."""
        if not self._parts:
            self.is_sent = True
            self.unsent_count = 0
            self._transport.unregisterProducer()
            self._share.release()
            if self._on_sent is not None:
                self._on_sent()
            return
        part = self._parts.popleft()
        if len(part) > SLICE_BYTES:
            self._parts.appendleft(part[SLICE_BYTES:])
        self.unsent_bytes -= min(len(part), SLICE_BYTES)
        self._share.hold(self.unsent_bytes)
        self._transport.write(bytes(part[:SLICE_BYTES]))

    def stopProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Drop what is not sent: the connection is gone."""
        self.is_sent = True
        self._parts.clear()
        self.unsent_bytes = 0
        self._share.release()
