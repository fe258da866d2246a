"""Options of TCP transports."""

import socket
import typing

from rhubarbspar.http1 import const


def set_tcp_options(transport: typing.Any) -> None:
    """Send small writes at once, and end the connection to a peer that acknowledges nothing."""
    transport.setTcpNoDelay(True)  # noqa: FBT003 (Twisted's signature)
    transport.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, const.TCP_USER_TIMEOUT_MS
    )
