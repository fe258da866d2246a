"""Connections of callers, with responses in the order of the requests."""

import collections

import httptools
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

CONNECT_S = 1.0


def connect(reactor, host, port, connection):
    """Return a deferred that fires with a connection once it is open, or with ``None``."""
    opener = _Opener(connection)
    reactor.connectTCP(host, port, opener, timeout=CONNECT_S)
    return opener.opened


class Connection(protocol.Protocol):
    """A caller's connection; responses come in the order of the requests.

    Attributes
    ----------
    pending
        Requests without a response, each with the deferred that fires when it has ended.
    opened
        Fires with the connection once it is open.
    """

    def __init__(self, ledger, clock_s, link=None):
        """Create the protocol of a new connection, which leads through a link."""
        self._link = link
        self._ledger = ledger
        self._clock_s = clock_s
        self.pending = collections.deque()
        self.opened = None
        self.port = 0
        self.is_open = True
        self.has_served = False
        self.used_s = clock_s()
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def send(self, sent, content):
        """Send a request; return a deferred that fires when it has ended."""
        finished = defer.Deferred()
        sent.sent_s = self._clock_s()
        sent.reused = self.has_served
        sent.behind = bool(self.pending)
        self.pending.append((sent, finished))
        self.transport.write(content)
        return finished

    def leave(self, sent, end):
        """Close the connection because a caller waits no longer."""
        if sent.ended_s is None:
            self.close(end)

    def connectionMade(self):  # noqa: N802
        """Report that requests can be sent."""
        self.port = self.transport.getHost().port
        self.opened.callback(self)

    def dataReceived(self, chunk):  # noqa: N802
        """Parse responses."""
        if not self.is_open:
            return
        if not self.pending:
            if not chunk.startswith((b'HTTP/1.1 4', b'HTTP/1.1 5')):
                self._ledger.notes.append(f'MIXED: {chunk[:60]!r} without a request')
            self.close('closed')
            return
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._ledger.notes.append(f'MIXED: {self.pending[0][0].attempt_id} got {chunk[:60]!r}')
            self.close('malformed')

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Complete a response that ends with the connection; all others have no answer."""
        is_clean = reason.check(error.ConnectionDone) is not None
        if is_clean and self._status and not self._is_framed and self.pending:
            self.on_message_complete()
        self.close('refused' if self._is_refused() else 'closed' if is_clean else 'reset')

    def on_header(self, name, content):
        """Store a header."""
        self._headers[name.lower()] = content

    def on_headers_complete(self):
        """Store the status; an interim response is followed by another."""
        self._status = self._parser.get_status_code()
        self._is_framed = (
            b'content-length' in self._headers or b'transfer-encoding' in self._headers
        )

    def on_body(self, part):
        """Store a part of the body."""
        self._body.append(part)

    def on_message_complete(self):
        """End the first request."""
        if self._status < 200 or not self.pending:
            self._reset()
            return
        sent, finished = self.pending.popleft()
        headers = self._headers
        sent.status = self._status
        sent.body = b''.join(self._body)
        sent.seal = headers.get(b'x-rhubarbspar-response-seal', b'').decode()
        sent.retry_after_s = _number(headers.get(b'retry-after'))
        sent.ended_s = self.used_s = self._clock_s()
        sent.end = 'answered'
        self.has_served = True
        closes = headers.get(b'connection', b'').lower() == b'close'
        self._reset()
        finished.callback(sent)
        if closes:
            self.close('unread')

    def _reset(self):
        self._headers = {}
        self._status = 0
        self._is_framed = False
        self._body = []

    def _is_refused(self):
        if self._link is None:
            return False
        is_refused = self.port in self._link.refused
        self._link.refused.discard(self.port)
        return is_refused

    def close(self, end):
        """Close the connection; requests without a response end as told."""
        if not self.is_open:
            return
        self.is_open = False
        for position, (sent, finished) in enumerate(self.pending):
            sent.ended_s = self._clock_s()
            sent.end = end
            sent.behind = position > 0
            finished.callback(sent)
        self.pending.clear()
        if self.transport is None:
            return
        if end == 'malformed':
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


class _Opener(protocol.ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, connection):
        self._connection = connection
        self.opened = defer.Deferred()

    def buildProtocol(self, addr):  # noqa: N802
        """Return the connection."""
        self._connection.opened = self.opened
        return self._connection

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Report that there is no connection."""
        self.opened.callback(None)


def _number(raw):
    try:
        return float(raw or 0)
    except ValueError:
        return 0.0
