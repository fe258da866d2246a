"""Backend servers that speak the platform's protocol and can be made to fail."""

import json

from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from tests.soak import models
from tests.soak import proxy

SLOTS = 6
QUEUE = 12
WORK_S = 0.03
SLOW_S = 0.6
ENDLESS_LINE_BYTES = 40_000
_LIMITS = server.Limits(16_384, 1_048_576, 3000, 15_000)
_HEAD_ENDS = {
    'endless_body': b'\r\n',
    'endless_trailers': b'transfer-encoding: chunked\r\n\r\n0\r\n',
}


class Backend:
    """One backend server, its registration and the link in front of it."""

    def __init__(self, reactor, store, ledger, clock_s, service_id, number, domain):
        """Start and register."""
        self._reactor = reactor
        self._store = store
        self._ledger = ledger
        self._clock_s = clock_s
        self._service_id = service_id
        self._number = number
        self._domain = domain
        self._incarnation = 0
        self._listener = None
        self._site = None
        self.link = None
        self.start()

    def start(self):
        """Start a new incarnation under a new id."""
        self._incarnation += 1
        self.server_id = f'{self._service_id}-{self._number}-{self._incarnation}'
        self.hangs = False
        self.endless = ''
        self.work_s = WORK_S
        self._running = 0
        self._sequence = 0
        self._site = self.make_site()
        self._listener = self._reactor.listenTCP(0, self._site, interface=proxy.HOST)
        if self.link is None:
            self.link = proxy.Link(self._reactor, proxy.HOST, 0)
        self.link.target = (proxy.HOST, self._listener.getHost().port)
        self.register('ready')

    def make_site(self):
        """Return the factory of the connections."""
        return server.Site(self._receive, lambda: _LIMITS, lambda: 0.0)

    def register(self, state):
        """Write the registration."""
        self._sequence += 1
        content = json.dumps(self.entry(state)).encode()
        self._store.put(f'servers/{self.server_id}', content)
        if state == 'draining':
            self._ledger.draining_s[self.server_id] = self._clock_s()

    def entry(self, state):
        """Return the registration in a state."""
        return {
            'service': self._service_id,
            'address': f'{proxy.HOST}:{self.link.port}',
            'zone': self._domain,
            'version': 'v1',
            'slots': SLOTS,
            'state': state,
            'seqNo': self._sequence,
            'born': 1_700_000_000_000 + self._incarnation,
        }

    def crash(self):
        """End at once; the registration lapses later."""
        self._site.abort()
        self._listener.stopListening()
        gone = f'servers/{self.server_id}'
        self._reactor.callLater(1.5, self._store.delete, gone)

    def close(self):
        """Stop listening."""
        self._site.abort()
        self.link.close()
        return self._listener.stopListening()

    def _receive(self, exchange):
        headers = exchange.request.headers
        attempt_id = text_of(headers, b'x-rhubarbspar-attempt-id')
        if text_of(headers, b'x-rhubarbspar-target-instance') != self.server_id:
            exchange.respond(messages.Response(421))
            return
        if self._running >= SLOTS + QUEUE:
            refusal = (b'x-rhubarbspar-not-executed', b'1')
            exchange.respond(messages.Response(503, (refusal,)))
            return
        self._ledger.runs.append(
            models.Run(
                attempt_id,
                self.server_id,
                self._clock_s(),
                text_of(headers, b'x-rhubarbspar-tenant'),
                messages.find_header(headers, b'authorization') is not None,
            )
        )
        if self.endless:
            self._write_without_end(exchange, attempt_id)
            return
        self._running += 1
        if not self.hangs:
            self._reactor.callLater(self.work_s, self._respond, exchange, attempt_id)

    def _write_without_end(self, exchange, attempt_id):
        """Send a head or a body until the caller closes the connection."""
        transport = exchange._channel.transport
        head = f'HTTP/1.1 200 OK\r\nx-rhubarbspar-attempt-id: {attempt_id}\r\n'
        transport.write(head.encode() + _HEAD_ENDS.get(self.endless, b''))
        transport.registerProducer(_EndlessWriter(transport), streaming=False)

    def _respond(self, exchange, attempt_id):
        self._running -= 1
        headers = (
            (b'x-rhubarbspar-attempt-id', attempt_id.encode()),
            (b'x-rhubarbspar-response-seal', b'1'),
            (b'x-rhubarbspar-server-load', b'%d,0,%d' % (self._running, SLOTS)),
        )
        exchange.respond(messages.Response(200, headers, f'answer to {attempt_id}'.encode()))


class _EndlessWriter:
    """Sends header lines, as fast as the caller reads them, until the connection closes."""

    def __init__(self, transport):
        self._transport = transport

    def resumeProducing(self):  # noqa: N802
        """Send the next line."""
        self._transport.write(b'x: ' + b'y' * ENDLESS_LINE_BYTES + b'\r\n')

    def stopProducing(self):  # noqa: N802
        """End with the connection."""


def text_of(headers, name):
    """Return a header as text, ``None`` without it."""
    found = messages.find_header(headers, name)
    return None if found is None else found.decode()
