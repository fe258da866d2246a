"""Fixtures of the HTTP/1.1 tests: in-memory transports and a clock that the test sets."""

import types

import pytest
from twisted.internet import testing

from rhubarbspar.http1 import server


class Transport(testing.StringTransport):
    """In-memory transport that records what is written and how the connection was closed."""

    def __init__(self, clock):
        """Create a transport whose delayed calls follow ``clock``."""
        super().__init__()
        self.reactor = clock
        self.socket = types.SimpleNamespace(setsockopt=lambda *_arguments: None)
        self.write_closed = False
        self.aborted = False

    def setTcpNoDelay(self, _enabled):  # noqa: N802
        """Ignore the option."""

    def loseWriteConnection(self):  # noqa: N802
        """Record that the write side was closed."""
        self.write_closed = True

    def abortConnection(self):  # noqa: N802
        """Record that the connection was aborted."""
        self.aborted = True
        self.disconnecting = True


class ServedConnection:
    """A site with one open connection and a record of its exchanges."""

    def __init__(self, **limits):
        """Create the site with default limits and open the connection."""
        self.clock = testing.MemoryReactorClock()
        self.now_ms = 0.0
        self.exchanges = []
        members = {
            'header_max_bytes': 1000,
            'body_max_bytes': 100,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        }
        current_limits = server.Limits(**{**members, **limits})
        self.site = server.Site(self.exchanges.append, lambda: current_limits, lambda: self.now_ms)
        self.channel = self.site.buildProtocol(None)
        self.transport = Transport(self.clock)
        self.channel.makeConnection(self.transport)

    def receive(self, chunk):
        """Pass bytes of the client to the connection."""
        self.channel.dataReceived(chunk)

    @property
    def sent(self):
        """Return the bytes sent to the client."""
        return self.transport.value()


@pytest.fixture
def served():
    """Return a site with one open connection."""
    return ServedConnection()
