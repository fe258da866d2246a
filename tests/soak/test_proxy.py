"""Links of the soak change the time at which bytes arrive, never their order."""

import socket

from tests.soak import proxy


def test_bytes_keep_their_order_when_a_link_recovers(loop):
    """Guards against responses to the wrong request that the proxy itself has made."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        link = proxy.Link(loop.reactor, *listener.getsockname())
        with socket.create_connection((proxy.HOST, link.port)) as near:
            loop.run(loop.until(lambda: len(link.sides) == 2))
            far, _ = listener.accept()
            for mode, chunk in ((proxy.Mode.DELAYED, b'first '), (proxy.Mode.PASSES, b'second')):
                link.mode = mode
                near.sendall(chunk)
                loop.run(loop.wait(proxy.DELAY_S / 4))
            near.shutdown(socket.SHUT_WR)
            loop.run(loop.wait(proxy.DELAY_S * 2))
        far.settimeout(5)
        with far:
            assert far.recv(100) == b'first second'
        link.close()
