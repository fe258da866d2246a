"""Tests of the HTTP/1.1 server on in-memory transports."""

import pytest
from twisted.internet import error
from twisted.python import failure

from rhubarbspar.http1 import messages

GET = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'
OK = messages.Response(200, ((b'x-name', b'value'),), b'body')


def test_request_is_delivered_and_answered(served):
    """Guards against a connection that loses or changes a request."""
    served.receive(b'POST /a?b HTTP/1.1\r\nHost: h\r\nX-Name: V\r\nContent-Length: 3\r\n\r\nabc')
    request = served.exchanges[0].request
    assert (request.method, request.target, request.body) == (b'POST', b'/a?b', b'abc')
    assert messages.find_header(request.headers, b'x-name') == b'V'
    served.exchanges[0].respond(OK)
    assert served.sent == b'HTTP/1.1 200 OK\r\nx-name: value\r\ncontent-length: 4\r\n\r\nbody'


def test_chunked_body_is_joined(served):
    """Guards against a chunked request that is passed on without its whole body."""
    served.receive(
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
    )
    assert served.exchanges[0].request.body == b'abc'


def test_pipelined_requests_are_handled_concurrently_and_answered_in_order(served):
    """Guards against responses that are matched to the wrong pipelined request."""
    served.receive(GET % 1 + GET % 2)
    first, second = served.exchanges
    second.respond(messages.Response(200, body=b'second'))
    assert not served.sent
    first.respond(messages.Response(200, body=b'first'))
    assert served.sent.index(b'first') < served.sent.index(b'second')


def test_requests_after_a_closing_response_are_abandoned(served):
    """Guards against work on requests that the client will send again on another connection."""
    served.receive(GET % 1 + GET % 2)
    abandoned = []
    served.exchanges[1].on_abandoned = lambda: abandoned.append(2)
    served.exchanges[0].respond(messages.Response(200, keep_alive=False))
    assert b'connection: close' in served.sent
    assert abandoned == [2]
    assert served.transport.write_closed


def test_disconnect_abandons_the_pending_request(served):
    """Guards against work on the requests of a client that has disconnected."""
    served.receive(GET % 1)
    left = []
    served.exchanges[0].on_abandoned = lambda: left.append(1)
    served.channel.connectionLost(failure.Failure(error.ConnectionLost()))
    assert left == [1]
    served.exchanges[0].respond(OK)
    assert not served.sent


@pytest.mark.parametrize(
    ('chunk', 'status'),
    [
        (b'no request\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 1100, b'431'),
        (b'POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n' + b'a' * 200, b'413'),
        (b'POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', b'400'),
        (b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n', b'400'),
    ],
)
def test_unacceptable_requests_are_refused(served, chunk, status):
    """Guards against request smuggling and oversized requests."""
    served.receive(chunk)
    assert served.sent.startswith(b'HTTP/1.1 ' + status)
    assert not served.exchanges


def test_slow_head_is_timed_out(served):
    """Guards against a connection that an incomplete request head keeps open."""
    served.receive(b'GET / HT')
    served.now_ms = 2900
    served.site.close_expired()
    assert not served.sent
    served.now_ms = 3100
    served.site.close_expired()
    assert served.sent.startswith(b'HTTP/1.1 408')


def test_idle_connection_is_closed_only_after_its_timeout(served):
    """Guards against closing a connection that the client is about to use."""
    served.receive(GET % 1)
    served.exchanges[0].respond(OK)
    served.now_ms = 14_000
    served.site.close_expired()
    assert not served.transport.write_closed
    served.now_ms = 15_100
    served.site.close_expired()
    assert served.transport.write_closed


def test_pending_request_keeps_its_connection_open(served):
    """Guards against aborting a request that takes longer than the idle timeout."""
    served.receive(GET % 1)
    served.now_ms = 60_000
    served.site.close_expired()
    served.site.close_idle()
    assert not served.transport.write_closed


def test_closing_site_closes_the_connection_after_a_response(served):
    """Guards against clients that keep their connection to an instance that stops."""
    served.receive(GET % 1)
    served.site.closing = True
    served.exchanges[0].respond(OK)
    assert b'connection: close' in served.sent


def test_head_has_a_length_and_no_body(served):
    """Guards against a body after HEAD that the client reads as the next response."""
    served.receive(b'HEAD / HTTP/1.1\r\n\r\n')
    response = messages.Response(200, ((b'content-length', b'99'),))
    served.exchanges[0].respond(response)
    assert served.sent == b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n'
