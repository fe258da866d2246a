"""Tests of the HTTP/1.1 server on in-memory transports, and over sockets where these matter."""

import socket

import pytest
from twisted.internet import error
from twisted.python import failure

from rhubarbspar.http1 import const
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from tests.http1 import conftest

BUDGET_BYTES = 4_000_000
BODY_BYTES = 3_000_000
POST = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
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


def test_client_that_takes_no_responses_is_given_no_more(served):
    """Guards against pipelined requests whose unread responses fill the memory."""
    served.site.handle = lambda exchange: exchange.respond(messages.Response(200, body=bytes(9000)))
    served.transport.stalled = True
    served.receive(b''.join(GET % number for number in range(5000)))
    assert served.channel.writer.unsent_bytes < 1_000_000
    served.transport.stalled = False
    served.transport.drain()
    assert served.transport.write_closed
    assert served.sent.count(b'HTTP/1.1 200') >= const.PIPELINE_MAX


def test_pipelined_requests_begin_as_earlier_ones_are_answered(served):
    """Guards against hundreds of requests of one connection that are at work at the same time."""
    count = 200
    served.receive(b''.join(GET % number for number in range(count)))
    assert served.transport.producerState == 'paused'
    answered = 0
    while answered < len(served.exchanges):
        assert len(served.exchanges) - answered <= const.PIPELINE_MAX
        served.exchanges[answered].respond(OK)
        answered += 1
    targets = [exchange.request.target for exchange in served.exchanges]
    assert targets == [b'/%d' % number for number in range(count)]
    assert served.transport.producerState == 'producing'


def test_pipelining_connection_leaves_places_to_others():
    """Guards against callers that get no server since others have many requests at work."""
    limit = descriptors.ConnectionLimit('callers', 8)
    served = conftest.ServedConnection(connections=limit)
    served.receive(b''.join(GET % number for number in range(20)))
    assert len(served.exchanges) == 4
    others = [served.connect()[0] for _ in range(7)]
    for other in others:
        other.dataReceived(GET % 1 + GET % 2)
    assert len(served.exchanges) == 4 + len(others)
    served.exchanges[4].respond(OK)
    assert len(served.exchanges) == 5 + len(others)


def test_client_that_takes_its_responses_slowly_gets_all_of_them(served):
    """Guards against pipelined requests that are dropped although the client reads on."""
    served.site.handle = lambda exchange: exchange.respond(messages.Response(200, body=bytes(9000)))
    served.transport.stalled = True
    count = 0
    while served.transport.producerState == 'producing' and count < 2 * const.PIPELINE_MAX:
        served.receive(GET % count)
        count += 1
    served.transport.stalled = False
    served.transport.drain()
    assert served.transport.producerState == 'producing'
    served.receive(GET % count)
    assert served.sent.count(b'HTTP/1.1 200') == count + 1
    assert not served.transport.write_closed


@pytest.mark.parametrize('reason', ['site', 'response'])
def test_requests_that_were_read_are_answered_before_the_connection_closes(served, reason):
    """Guards against requests at work at servers that get no answer in a planned stop."""
    served.receive(GET % 1 + GET % 2 + GET % 3)
    abandoned = []
    for exchange in served.exchanges:
        exchange.on_abandoned = lambda: abandoned.append(1)
    served.site.closing = reason == 'site'
    served.exchanges[0].respond(messages.Response(200, keep_alive=reason != 'response'))
    assert not served.transport.write_closed
    served.exchanges[2].respond(OK)
    served.exchanges[1].respond(OK)
    assert served.sent.count(b'HTTP/1.1 200') == 3
    assert served.sent.count(b'connection: close') == 1
    assert served.sent.rindex(b'connection: close') > served.sent.rindex(b'HTTP/1.1 200')
    assert served.transport.write_closed
    assert not abandoned


def test_no_request_is_read_once_the_connection_is_to_close(served):
    """Guards against requests that are passed on although the client will send them again."""
    served.receive(GET % 1 + GET % 2)
    served.site.closing = True
    served.exchanges[0].respond(OK)
    assert served.transport.producerState == 'paused'
    served.receive(GET % 3)
    assert len(served.exchanges) == 2
    served.exchanges[1].respond(OK)
    assert served.transport.producerState == 'producing'
    assert served.transport.write_closed


def test_slow_client_gets_its_whole_response_before_the_connection_closes(served):
    """Guards against responses that are cut because the connection closes too early."""
    served.site.closing = True
    served.receive(GET % 1)
    served.transport.stalled = True
    served.exchanges[0].respond(messages.Response(200, body=bytes(300_000)))
    served.clock.advance(5)
    assert not (served.transport.write_closed or served.transport.disconnecting)
    assert served.site.unsent_count == 1
    served.transport.stalled = False
    served.transport.drain()
    assert served.sent.endswith(bytes(300_000))
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
        (b'GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\nHost: b\r\n\r\n', b'400'),
        (b'GET http://a/ HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n', b'400'),
    ],
)
def test_unacceptable_requests_are_refused(served, chunk, status):
    """Guards against request smuggling and oversized requests."""
    served.receive(chunk)
    assert served.sent.startswith(b'HTTP/1.1 ' + status)
    assert not served.exchanges


@pytest.mark.parametrize(
    ('line', 'target', 'host'),
    [
        (b'POST http://shop.example/a/b?c=/d&e', b'/a/b?c=/d&e', b'shop.example'),
        (b'GET HTTP://Shop.example:8080', b'/', b'Shop.example:8080'),
        (b'GET http://shop.example:?q', b'/?q', b'shop.example'),
        (b'GET http://[::1]:80/%2F//x/../y', b'/%2F//x/../y', b'[::1]:80'),
        (b'OPTIONS http://shop.example', b'*', b'shop.example'),
        (b'OPTIONS http://shop.example/', b'/', b'shop.example'),
        (b'OPTIONS *', b'*', b'header.example'),
        (b'GET /http://shop.example/', b'/http://shop.example/', b'header.example'),
        (b'GET //shop.example/a', b'//shop.example/a', b'header.example'),
    ],
)
@pytest.mark.parametrize('is_split', [True, False])
def test_target_in_absolute_form_names_the_host(served, line, target, host, is_split):
    """Guards against a target in absolute form that is taken for a path."""
    chunk = line + b' HTTP/1.1\r\nHost: header.example\r\nX: 1\r\nContent-Length: 1\r\n\r\na'
    for part in [chunk[:9], chunk[9:-1], chunk[-1:]] if is_split else [chunk]:
        served.receive(part)
    request = served.exchanges[0].request
    assert (request.target, request.body) == (target, b'a')
    assert [each for name, each in request.headers if name == b'host'] == [host]
    assert messages.find_header(request.headers, b'x') == b'1'


@pytest.mark.parametrize(
    'target',
    [
        b'ftp://shop.example/',
        b'http:///a',
        b'http://user@shop.example/',
        b'http://shop.example:port/',
        b'http://shop.example:80:80/',
        b'http://[::1/',
        b'http://a%zz/',
        b'shop.example:80',
        b'a/b',
    ],
)
def test_malformed_target_is_refused_with_a_reason(served, target):
    """Guards against targets that are routed by a host that they do not name."""
    served.receive(b'GET ' + target + b' HTTP/1.1\r\nHost: shop.example\r\n\r\n')
    assert served.sent.startswith(b'HTTP/1.1 400 ')
    assert served.sent.partition(b'\r\n\r\n')[2]
    assert not served.exchanges


CHUNKED = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1%b\r\na\r\n0\r\n%b'


@pytest.mark.parametrize(
    ('first', 'part'),
    [
        (CHUNKED % (b'', b'x: '), b'y' * 300),
        (CHUNKED % (b'', b''), b'x: y\r\n' * 50),
        (CHUNKED.partition(b'%b')[0] + b';', b'y' * 300),
    ],
    ids=['trailer', 'trailers', 'chunk extension'],
)
def test_bytes_without_end_behind_a_head_are_refused(served, first, part):
    """Guards against a client that fills the memory with bytes that are no body."""
    served.receive(first)
    for _ in range(3):
        served.receive(part)
        assert not served.sent
    served.receive(part)
    assert served.sent.startswith(b'HTTP/1.1 431 ')
    assert not served.site.budget.held_bytes


def test_trailers_are_no_headers(served):
    """Guards against a host or a key that a client adds behind the body, unseen by routing."""
    served.receive(CHUNKED % (b';e=1', b'Host: b\r\nAuthorization: Bearer k\r\n\r\n'))
    (exchange,) = served.exchanges
    assert exchange.request.headers == ((b'host', b'a'), (b'transfer-encoding', b'chunked'))
    assert exchange.request.body == b'a'


def test_malformed_request_is_refused_once_behind_pending_ones(served):
    """Guards against further responses that a client takes for those of other requests."""
    served.receive(GET % 1)
    for _ in range(3):
        served.receive(b'no request\r\n\r\n')
    served.exchanges[0].respond(OK)
    assert served.sent.count(b'HTTP/1.1 200') == 1
    assert served.sent.count(b'HTTP/1.1 400') == 1
    assert served.transport.write_closed


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


@pytest.fixture
def client(loop, served):
    """Return a client's socket; the site of ``served`` has answered one request on it."""

    async def answer_first():
        await loop.until(lambda: served.exchanges)
        served.exchanges[0].respond(OK)
        await loop.until(lambda: all(channel.writer.is_sent for channel in served.site.channels))

    port = loop.reactor.listenTCP(0, served.site, interface='127.0.0.1')
    with socket.create_connection(('127.0.0.1', port.getHost().port), 30) as connection:
        connection.sendall(GET % 1)
        loop.run(answer_first())
        assert connection.recv(1000).endswith(OK.body)
        yield connection
    served.site.abort()
    loop.run(loop.wait(0))
    port.stopListening()


def close_idle(served):
    """Close the idle connections of a site that stops."""
    served.site.closing = True
    served.site.close_idle()


def close_expired(served):
    """Close the connections that have been idle for too long."""
    served.now_ms = 15_100
    served.site.close_expired()


@pytest.mark.parametrize('close', [close_idle, close_expired])
def test_request_that_has_arrived_is_answered_before_an_idle_connection_closes(
    loop, served, client, close
):
    """Guards against a request that is read and dropped, when the loop is late and then closes."""
    client.sendall(GET % 2)
    close(served)
    loop.run(loop.until(lambda: len(served.exchanges) == 2))
    served.exchanges[1].respond(OK)
    loop.run(loop.wait(0))
    assert client.recv(1000).endswith(OK.body)


@pytest.mark.parametrize('close', [close_idle, close_expired])
def test_client_sees_at_once_that_an_idle_connection_closes(served, client, close):
    """Guards against requests that are sent between the decision to close and the close."""
    close(served)
    assert client.recv(1) == b''


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


@pytest.fixture
def budget():
    """Return a budget that has room for one large body."""
    return memory.MemoryBudget(BUDGET_BYTES)


@pytest.fixture
def limited(budget):
    """Return a site with a budget of memory."""
    return conftest.ServedConnection(budget, body_max_bytes=2 * BODY_BYTES, header_max_bytes=16_384)


def test_bodies_of_callers_share_one_budget(limited, budget):
    """Guards against bodies within the limit that together take the process over its memory."""
    second, second_transport = limited.connect()
    limited.receive(POST % BODY_BYTES + b'a')
    second.dataReceived(POST % BODY_BYTES + b'b')
    assert second_transport.producerState == 'paused'
    limited.receive(b'a' * (BODY_BYTES - 1))
    assert budget.held_bytes <= BUDGET_BYTES
    limited.exchanges[0].respond(OK)
    assert second_transport.producerState == 'producing'
    second.dataReceived(b'b' * (BODY_BYTES - 1))
    assert len(limited.exchanges[1].request.body) == BODY_BYTES


def test_body_that_waits_too_long_for_memory_is_refused(limited):
    """Guards against callers that wait although another instance could serve them."""
    second, second_transport = limited.connect()
    limited.receive(POST % BODY_BYTES + b'a')
    second.dataReceived(POST % BODY_BYTES + b'b')
    limited.now_ms = 600
    limited.site.close_expired()
    assert second_transport.value().startswith(b'HTTP/1.1 503')
    assert b'retry-after' in second_transport.value()
    assert not limited.sent


def test_body_that_never_fits_is_refused_at_once(limited):
    """Guards against a wait for memory that the process does not have."""
    limited.receive(POST % (2 * BODY_BYTES - 1))
    assert limited.sent.startswith(b'HTTP/1.1 503')


def test_refusals_without_a_handler_are_reported(limited):
    """Guards against callers that are refused without a trace in logs and metrics."""
    statuses = []
    limited.site.on_refusal = statuses.append
    limited.receive(POST % (2 * BODY_BYTES - 1))
    assert statuses == [503]


def test_announced_body_over_the_limit_is_refused_by_its_head(limited, budget):
    """Guards against reading a body that will be refused."""
    limited.receive(POST % (2 * BODY_BYTES + 1))
    assert limited.sent.startswith(b'HTTP/1.1 413')
    assert not budget.held_bytes


def test_headers_count_with_the_memory_of_their_objects(limited, budget):
    """Guards against heads of many tiny lines that take many times their size."""
    limited.receive(b'GET / HTTP/1.1\r\n' + b'a:b\r\n' * 2000)
    assert budget.held_bytes > 2000 * memory.HEADER_OVERHEAD_BYTES


def test_responses_that_are_not_sent_count(limited, budget):
    """Guards against callers that read nothing and fill the memory with their responses."""
    limited.receive(GET % 1)
    limited.transport.stalled = True
    limited.exchanges[0].respond(messages.Response(200, body=bytes(BODY_BYTES)))
    assert budget.held_bytes > BODY_BYTES / 2
    limited.transport.stalled = False
    limited.transport.drain()
    assert not budget.held_bytes
    assert limited.sent.endswith(bytes(BODY_BYTES))


def test_stalled_caller_yields_only_while_memory_is_short(limited):
    """Guards against one caller that reads nothing and blocks the requests of the others."""
    limited.receive(GET % 1)
    limited.transport.stalled = True
    limited.exchanges[0].respond(messages.Response(200, body=bytes(BODY_BYTES)))
    for now_ms in (0, 5000):
        limited.now_ms = now_ms
        limited.site.close_expired()
    assert not limited.transport.aborted
    second, _ = limited.connect()
    second.dataReceived(POST % BODY_BYTES)
    limited.site.close_expired()
    assert limited.transport.aborted


def test_lost_connection_holds_nothing(limited, budget):
    """Guards against memory of closed connections that stays counted."""
    limited.receive(GET % 1 + POST % BODY_BYTES + b'a')
    limited.channel.connectionLost(failure.Failure(error.ConnectionLost()))
    limited.exchanges[0].respond(messages.Response(200, body=bytes(1000)))
    assert not budget.held_bytes


def test_sender_is_screened_before_its_body_is_read(budget):
    """Guards against strangers whose bodies are kept before they are known to be strangers."""
    refusal = messages.Response(502, keep_alive=False)
    screened = conftest.ServedConnection(budget, lambda _: refusal, body_max_bytes=BODY_BYTES)
    screened.receive(POST % BODY_BYTES + b'a')
    assert screened.sent.startswith(b'HTTP/1.1 502')
    assert not (screened.exchanges or budget.held_bytes)
