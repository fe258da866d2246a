"""Send whole HTTP messages without waiting for the reactor."""

import typing


def send_immediately(transport: typing.Any, message: bytes) -> None:
    """Send what the socket takes at once; the reactor sends the rest.

    Twisted's ``write`` waits until the reactor finds the socket writable, which costs two changes of its
    registration and one turn of the event loop for every message. An error of the socket is left to
    the reactor: it meets the same error with the rest and ends the connection.
    """
    pending = transport.dataBuffer or transport._tempDataBuffer  # noqa: WPS437
    if transport.connected and not (transport.disconnecting or pending):
        sent = transport.writeSomeData(message)
        if isinstance(sent, int):
            message = message[sent:]
    if message:
        transport.write(message)
