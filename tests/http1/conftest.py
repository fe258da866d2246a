"""Fixtures of the HTTP tests: transports in memory and a clock that the test moves."""

import types

import pytest
from twisted.internet import testing

from rhubarbspar.http1 import server


class Transport(testing.StringTransport):
    """Keeps what is written and how the connection was ended."""

    def __init__(self, clock):
        """Record on a clock."""
        super().__init__()
        self.reactor = clock
        self.socket = types.SimpleNamespace(setsockopt=lambda *_arguments: None)
        self.write_ended = False
        self.aborted = False

    def setTcpNoDelay(self, _enabled):  # noqa: N802
        """Accept the option."""

    def loseWriteConnection(self):  # noqa: N802
        """Record the end of this side."""
        self.write_ended = True

    def abortConnection(self):  # noqa: N802
        """Record the end of the connection."""
        self.aborted = True
        self.disconnecting = True


class Served:
    """A site with one connection."""

    def __init__(self, **limits):
        """Accept a connection."""
        self.clock = testing.MemoryReactorClock()
        self.now_ms = 0.0
        self.exchanges = []
        members = {
            'header_max_bytes': 1000,
            'body_max_bytes': 100,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        }
        declared = server.Limits(**{**members, **limits})
        self.site = server.Site(self.exchanges.append, lambda: declared, lambda: self.now_ms)
        self.channel = self.site.buildProtocol(None)
        self.transport = Transport(self.clock)
        self.channel.makeConnection(self.transport)

    def receive(self, chunk):
        """Receive bytes of the client."""
        self.channel.dataReceived(chunk)

    @property
    def sent(self):
        """Return the bytes that the client has got."""
        return self.transport.value()


@pytest.fixture
def served():
    """Return a site with one open connection."""
    return Served()
