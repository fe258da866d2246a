"""Sizes of the receive buffers of connections: bytes that the kernel keeps until they are read.

Without a size, the kernel grows the buffer of a connection up to megabytes. A connection has a small
buffer, and a larger one only for the part of a message whose memory is reserved already.
"""

import contextlib
import socket
import typing

# Room for the ten segments that a sender may send before it gets the first acknowledgement, as the
# kernel counts them (the kernel doubles the size for this). With half of it, some are dropped.
CALLER_BYTES: typing.Final = 16_384
# At the ports that callers do not use, requests have a head of a few hundred bytes.
INTERNAL_BYTES: typing.Final = 8192
# Largest buffer, as the kernel counts. An upload of 360 KB that starts with ten segments and doubles
# them with each round trip needs a window of 140 KB in its fifth and last round.
KERNEL_MAX_BYTES: typing.Final = 524_288
# Buffer of a new connection in the accept queue, before its size is set (``tcp_rmem``). A smaller
# size on the listening socket would bound the window of the connection to 64 KiB for good.
UNACCEPTED_BYTES: typing.Final = 131_072
_READ_MAX_BYTES: typing.Final = 65_536


def kernel_bytes(size_bytes: int) -> int:
    """Return how much the kernel keeps with a buffer size; it doubles what ``SO_RCVBUF`` says."""
    return 2 * size_bytes


class ReceiveBuffer:
    """The receive buffer of a connection.

    Parameters
    ----------
    transport
        Transport of the connection.
    size_bytes
        Value of ``SO_RCVBUF`` while no memory is reserved for what arrives.
    """

    def __init__(self, transport: typing.Any, size_bytes: int) -> None:
        """Set the size."""
        self._transport = transport
        self._least_bytes = kernel_bytes(size_bytes)
        self._present_bytes = 0
        self._resize(self._least_bytes)

    def fit(self, expected_bytes: int) -> None:
        """Grow to hold what is expected; the memory for it must be reserved."""
        wanted_bytes = min(expected_bytes, KERNEL_MAX_BYTES)
        if wanted_bytes > self._present_bytes:
            self._resize(wanted_bytes)

    def reset(self) -> None:
        """Shrink to the size without reserved memory."""
        if self._present_bytes > self._least_bytes:
            self._resize(self._least_bytes)

    def drain(self) -> None:
        """Read as much as possible at once: nothing of it is kept."""
        self._transport.bufferSize = _READ_MAX_BYTES

    def _resize(self, present_bytes: int) -> None:
        self._present_bytes = present_bytes
        # What the transport reads at once is in memory before anything decides about it.
        self._transport.bufferSize = min(_READ_MAX_BYTES, present_bytes // 2)
        opened = self._transport.socket
        # The connection may be closed already.
        with contextlib.suppress(OSError):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, present_bytes // 2)
            # The window does not grow beyond the buffer with which the connection was opened.
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, present_bytes)
