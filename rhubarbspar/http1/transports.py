"""Options of TCP transports."""

import contextlib
import select
import socket
import typing

from twisted.internet import error
from twisted.python import failure

from rhubarbspar.http1 import const

_DRAINED_BYTES: typing.Final = 65_536


def set_tcp_options(transport: typing.Any) -> None:
    """Set TCP_NODELAY, and TCP_USER_TIMEOUT to close the connection to an unreachable peer."""
    transport.setTcpNoDelay(True)  # noqa: FBT003 (Twisted's signature)
    transport.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, const.TCP_USER_TIMEOUT_MS
    )


def end_writing(transport: typing.Any) -> bool:
    """Close the write side now, not when the event loop comes to it.

    Return false, and leave it open, if the peer has sent bytes that are not read yet.
    """
    if has_unread(transport):
        return False
    with contextlib.suppress(OSError):
        transport.socket.shutdown(socket.SHUT_WR)
    return True


def has_waiting_connection(port: typing.Any) -> bool:
    """Return whether a connection waits for its acceptance at a listening port."""
    poll = select.poll()
    poll.register(port.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_unread(transport: typing.Any) -> bool:
    """Return whether the peer has sent bytes that are not read yet."""
    try:
        return bool(transport.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def close(transport: typing.Any, final_bytes: bytes = b'') -> None:
    """Close a connection on which nothing is unsent, and its descriptor, at once.

    The methods of the transport leave the descriptor open until the reactor's next round.

    Parameters
    ----------
    final_bytes
        What the peer still gets, if it fits into the buffer of the system.
    """
    with contextlib.suppress(OSError):
        if final_bytes:
            transport.socket.send(final_bytes)
        # Closing with unread bytes resets the connection, which can lose what was sent before.
        transport.socket.recv(_DRAINED_BYTES)
    transport.connectionLost(failure.Failure(error.ConnectionDone()))
