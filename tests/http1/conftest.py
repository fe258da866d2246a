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
        self.socket = types.SimpleNamespace(
            recv=lambda *_arguments: b'',
            setsockopt=lambda *_arguments: None,
            shutdown=lambda *_arguments: None,
        )
        self.write_closed = False
        self.aborted = False
        # Whether the peer reads nothing, so that the transport asks for nothing more.
        self.stalled = False

    def setTcpNoDelay(self, _enabled):  # noqa: N802
        """Ignore the option."""

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Ask a pull producer for its first part, and for the others while the peer reads."""
        super().registerProducer(producer, streaming)
        producer.resumeProducing()
        self.drain()

    def drain(self):
        """Ask the producer for its next parts unless the peer reads nothing."""
        while self.producer is not None and not self.stalled:
            self.producer.resumeProducing()

    def loseWriteConnection(self):  # noqa: N802
        """Record that the write side was closed."""
        self.write_closed = True

    def abortConnection(self):  # noqa: N802
        """Record that the connection was aborted; its producer stops."""
        self.aborted = True
        self.disconnecting = True
        if self.producer is not None:
            self.producer.stopProducing()
            self.producer = None


class ServedConnection:
    """A site with one open connection and a record of its exchanges."""

    def __init__(self, budget=None, screen=None, **limits):
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
        self.site = server.Site(
            self.exchanges.append, lambda: current_limits, lambda: self.now_ms, budget, screen
        )
        self.channel, self.transport = self.connect()

    def connect(self):
        """Open a connection; return its protocol and transport."""
        channel = self.site.buildProtocol(None)
        transport = Transport(self.clock)
        channel.makeConnection(transport)
        return channel, transport

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
