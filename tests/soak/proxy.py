"""Loopback proxy whose links can be delayed, reset, silenced or cut in one direction."""

import collections
import enum
import os

from twisted.internet import error
from twisted.internet import protocol


class Mode(enum.StrEnum):
    """How a link treats the bytes of both directions."""

    DELAYED = 'delayed'
    DROPS_ANSWERS = 'drops_answers'
    DROPS_REQUESTS = 'drops_requests'
    PASSES = 'passes'
    RESETS = 'resets'
    SILENT = 'silent'


DELAY_S = 0.12
# The soak listens where no other process connects to: a port of a server that has ended may be given to another.
HOST = f'127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.2'
_DROPPED = {
    Mode.DROPS_ANSWERS: frozenset(('answers',)),
    Mode.DROPS_REQUESTS: frozenset(('requests',)),
    Mode.SILENT: frozenset(('answers', 'requests')),
}


class Link(protocol.Factory):
    """One listening address and the address behind it.

    Connections that exist while bytes are dropped stay silent for good, as behind a lost NAT entry.
    """

    noisy = False

    def __init__(self, reactor, host, port):
        """Listen on a free port."""
        self.reactor = reactor
        self.mode = Mode.PASSES
        self.target = (host, port)
        self.sides = set()
        # Local ports of callers whose connections the address behind has refused.
        self.refused = set()
        self._listener = reactor.listenTCP(0, self, interface=HOST)
        self.port = self._listener.getHost().port

    def buildProtocol(self, addr):
        """Return the side of a new connection that faces the one who dialled."""
        return _Side(self, 'requests')

    def reset(self):
        """Reset all connections."""
        for side in tuple(self.sides):
            side.transport.abortConnection()

    def close(self):
        """Stop listening and reset all connections."""
        self.reset()
        return self._listener.stopListening()


class _Side(protocol.Protocol):
    """One half of a proxied connection."""

    def __init__(self, link, direction):
        self._link = link
        self._direction = direction
        self._waiting = []
        self._delayed = collections.deque()
        self._lost = False
        self.other = None

    def connectionMade(self):
        self._link.sides.add(self)
        if self._direction == 'answers':
            return
        if self._link.mode == Mode.RESETS:
            self.transport.abortConnection()
            return
        creator = _Creator(self._link, self)
        self._link.reactor.connectTCP(*self._link.target, creator, timeout=5)

    def connectionLost(self, reason=protocol.connectionDone):
        self._link.sides.discard(self)
        if self.other is None or self._lost or self.other.transport is None:
            return
        if reason.check(error.ConnectionDone):
            # What was passed on before the end is still delivered.
            while self._delayed:
                self._pass_delayed()
            self.other.transport.loseConnection()
        else:
            self.other.transport.abortConnection()

    def dataReceived(self, chunk):
        self._lost = self._lost or self._direction in _DROPPED.get(self._link.mode, ())
        if self._lost:
            return
        if self.other is None:
            self._waiting.append(chunk)
        elif self._link.mode == Mode.DELAYED or self._delayed:
            # Bytes never overtake others that were delayed before the link recovered.
            self._delayed.append(chunk)
            delay_s = DELAY_S if self._link.mode == Mode.DELAYED else 0
            self._link.reactor.callLater(delay_s, self._pass_delayed)
        else:
            self._pass_on(chunk)

    def join(self, other):
        """Pass bytes on to the other half from now on."""
        self.other = other
        for chunk in self._waiting:
            self._pass_on(chunk)

    def _pass_delayed(self):
        if self._delayed:
            self._pass_on(self._delayed.popleft())

    def _pass_on(self, chunk):
        if self.other.transport is not None and self.other.transport.connected:
            self.other.transport.write(chunk)


class _Creator(protocol.ClientFactory):
    noisy = False

    def __init__(self, link, near):
        self._link = link
        self._near = near

    def buildProtocol(self, addr):
        far = _Side(self._link, 'answers')
        far.other = self._near
        self._link.reactor.callLater(0, self._near.join, far)
        return far

    def clientConnectionFailed(self, connector, reason):
        if self._near.transport is not None:
            self._link.refused.add(self._near.transport.getPeer().port)
            self._near.transport.abortConnection()
