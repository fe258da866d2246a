"""Tests of the HTTP/1.1 server on real sockets whose bytes have arrived and are not read yet."""

import socket

from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server

LIMITS = server.Limits(16_384, 1_048_576, 3000, 15_000)


def test_request_that_waits_unread_is_answered_before_its_connection_closes(loop):
    """Guards against requests that end without an answer because a planned stop closes their connection."""
    site = server.Site(
        lambda exchange: exchange.respond(messages.Response(200)),
        lambda: LIMITS,
        lambda: loop.reactor.seconds() * 1000,
    )
    port = loop.reactor.listenTCP(0, site, interface='127.0.0.1')
    with socket.create_connection(('127.0.0.1', port.getHost().port)) as caller:
        loop.run(loop.until(lambda: site.channels))
        caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        site.closing = True
        site.close_idle()
        loop.run(loop.wait(0.2))
        caller.settimeout(5)
        received = caller.recv(100)
    site.abort()
    port.stopListening()
    assert received.startswith(b'HTTP/1.1 200')
