"""Write HTTP messages to the socket without waiting for the reactor."""

import typing


def send_immediately(transport: typing.Any, message: bytes) -> None:
    """Write as much as the socket accepts now; the reactor writes the rest.

    Twisted's ``write`` waits until the reactor finds the socket writable, which costs two changes
    of its registration and one iteration of the event loop per message. A socket error is left to
    the reactor, which gets the same error for the rest and closes the connection.
    """
    pending = transport.dataBuffer or transport._tempDataBuffer  # noqa: WPS437
    if transport.connected and not (transport.disconnecting or pending):
        sent = transport.writeSomeData(message)
        if isinstance(sent, int):
            message = message[sent:]
    if message:
        transport.write(message)
