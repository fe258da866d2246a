"""Receive buffers of connections, over sockets."""

import array
import fcntl
import socket
import struct
import termios
import types

import pytest

from rhubarbspar.http1 import receive_buffers

# Payload of a segment on an Ethernet link; the loopback device would send 64 KiB at once.
SEGMENT_BYTES = 1448
FIRST_ROUND_BYTES = 10 * SEGMENT_BYTES
UPLOAD_BYTES = 360_000
# Offset of the window that the peer grants, in ``struct tcp_info``.
WINDOW_OFFSET = 228


class Pair:
    """A sender and the connection that a listening socket has accepted."""

    def __init__(self):
        """Open the connection."""
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            self.sender = socket.socket()
            self.sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            self.sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sender.connect(listener.getsockname())
            self.accepted, _ = listener.accept()
        self.accepted.settimeout(2)
        transport = types.SimpleNamespace(socket=self.accepted)
        self.buffer = receive_buffers.ReceiveBuffer(transport, receive_buffers.CALLER_BYTES)

    @property
    def window_bytes(self):
        """Return how much the sender may send now."""
        size = WINDOW_OFFSET + 4
        raw = self.sender.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        return struct.unpack_from('I', raw, WINDOW_OFFSET)[0]

    @property
    def unread_bytes(self):
        """Return what the kernel has received and nobody has read."""
        found = array.array('i', [0])
        fcntl.ioctl(self.accepted, termios.FIONREAD, found)
        return found[0]

    def fill(self):
        """Send until nothing more is taken."""
        self.sender.setblocking(False)
        with pytest.raises(BlockingIOError):
            while True:
                self.sender.send(bytes(65_536))

    def read(self, size_bytes):
        """Read a number of bytes."""
        while size_bytes:
            size_bytes -= len(self.accepted.recv(size_bytes))

    def close(self):
        """Close both ends."""
        self.sender.close()
        self.accepted.close()


@pytest.fixture
def pair():
    """Return an open connection."""
    opened = Pair()
    yield opened
    opened.close()


@pytest.mark.parametrize('size_bytes', [60_000, 120_000, UPLOAD_BYTES])
def test_window_never_holds_an_upload_up(pair, size_bytes):
    """Guards against uploads that take more round trips than the slow start of TCP does."""
    sent_bytes = 0
    round_bytes = FIRST_ROUND_BYTES
    while sent_bytes < size_bytes:
        due_bytes = min(round_bytes, size_bytes - sent_bytes)
        assert pair.window_bytes >= due_bytes
        pair.sender.sendall(bytes(due_bytes))
        pair.read(due_bytes)
        sent_bytes += due_bytes
        round_bytes *= 2
        pair.buffer.fit(size_bytes - sent_bytes)


@pytest.mark.parametrize('expected_bytes', [0, 100_000, 60_000_000])
def test_unread_bytes_are_bounded_by_what_is_reserved(pair, expected_bytes):
    """Guards against a kernel that keeps more of a message than the budget counts."""
    pair.buffer.fit(expected_bytes)
    pair.fill()
    least_bytes = receive_buffers.kernel_bytes(receive_buffers.CALLER_BYTES)
    reserved_bytes = min(expected_bytes, receive_buffers.KERNEL_MAX_BYTES)
    # The kernel takes a segment while there is any room.
    assert pair.unread_bytes <= max(least_bytes, reserved_bytes) + 65_536


def test_buffer_shrinks_after_a_message(pair):
    """Guards against idle connections that keep the room of their last upload."""
    pair.buffer.fit(UPLOAD_BYTES)
    pair.buffer.reset()
    least_bytes = receive_buffers.kernel_bytes(receive_buffers.CALLER_BYTES)
    assert pair.accepted.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) == least_bytes
