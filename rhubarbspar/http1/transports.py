"""Options of TCP transports."""

import socket
import typing

from rhubarbspar.http1 import const


def set_tcp_options(transport: typing.Any) -> None:
    """Set TCP_NODELAY, and TCP_USER_TIMEOUT to close the connection to an unreachable peer."""
    transport.setTcpNoDelay(True)  # noqa: FBT003 (Twisted's signature)
    transport.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, const.TCP_USER_TIMEOUT_MS
    )
