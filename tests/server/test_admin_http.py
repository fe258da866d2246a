"""Tests of the HTTP endpoints for operators over real sockets."""

import pytest
from twisted.internet import endpoints
from twisted.internet import protocol

from rhubarbspar.core import effects
from rhubarbspar.server import admin_http
from rhubarbspar.server import metrics
from tests.server import conftest

KEY = b'Authorization: Bearer secret\r\n'


@pytest.fixture
def ask(loop):
    """Return a function that sends a request and returns the response and delivered events."""
    delivered = []
    counters = metrics.Metrics('i1')
    counters.count(effects.Count('refusals', 'full'))
    root = {
        b'configuration': admin_http.ConfigurationResource('secret', delivered.append),
        b'drain': admin_http.DrainResource('secret', lambda: delivered.append('drain')),
        b'metrics': admin_http.MetricsResource(counters),
    }
    site = admin_http.AdminSite(admin_http.parent_resource(root))
    port = loop.reactor.listenTCP(0, site, interface='127.0.0.1')

    async def exchange(sent):
        endpoint = endpoints.TCP4ClientEndpoint(loop.reactor, '127.0.0.1', port.getHost().port)
        raw = await endpoint.connect(protocol.Factory.forProtocol(conftest.RawConnection))
        raw.send(sent + b'Connection: close\r\n\r\n')
        await loop.until(lambda: raw.closed)
        assert b'server:' not in raw.received.lower()
        assert b'Traceback' not in raw.received
        return raw.received, delivered

    async def stop():
        await port.stopListening()

    yield lambda sent: loop.run(exchange(sent))
    loop.run(stop())


@pytest.mark.parametrize('key', [b'', KEY.replace(b'secret', b'wrong'), b'Authorization: \xff\r\n'])
def test_wrong_operator_key_changes_nothing(ask, key):
    """Guards against drains and configuration pushes by anyone without the operator key."""
    for path in (b'/drain', b'/configuration'):
        received, delivered = ask(b'POST ' + path + b' HTTP/1.1\r\n' + key)
        assert received.startswith(b'HTTP/1.1 401')
        assert not delivered


@pytest.mark.parametrize('revision', [b'', b'x', b'-1', b'9' * 5000, b'\xb2'])
def test_malformed_revision_is_refused(ask, revision):
    """Guards against an exception, and against a configuration whose revision is unknown."""
    fields = KEY + b'Configuration-Revision: ' + revision + b'\r\n'
    received, delivered = ask(b'POST /configuration HTTP/1.1\r\n' + fields)
    assert received.startswith(b'HTTP/1.1 400')
    assert not delivered


def test_accepted_push_and_drain_are_delivered(ask):
    """Guards against a push or drain that is accepted but has no effect."""
    fields = KEY + b'Configuration-Revision: 7\r\n'
    assert ask(b'POST /configuration HTTP/1.1\r\n' + fields)[0].startswith(b'HTTP/1.1 202')
    _, delivered = ask(b'POST /drain HTTP/1.1\r\n' + KEY)
    assert delivered[0].revision == 7
    assert delivered[1] == 'drain'


@pytest.mark.parametrize('accept', [b'*/*', b'text/plain', b'\xff'])
def test_metrics_show_counters_by_reason(ask, accept):
    """Guards against metrics that fail on an unusual ``Accept`` header."""
    received, _ = ask(b'GET /metrics HTTP/1.1\r\nAccept: ' + accept + b'\r\n')
    assert received.startswith(b'HTTP/1.1 200')
    assert b'rhubarbspar_refusals_total{instance="i1",reason="full"} 1' in received
