"""Options of TCP transports."""

import contextlib
import socket
import typing

from rhubarbspar.http1 import const


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
    try:
        unread = transport.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        unread = b''
    if unread:
        return False
    with contextlib.suppress(OSError):
        transport.socket.shutdown(socket.SHUT_WR)
    return True
