"""Limits of the connections of a server and of a client."""

import pytest
from twisted.internet import error
from twisted.python import failure

from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import messages
from tests.http1 import conftest
from tests.http1 import test_client

GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
HALF = b'GET / HTTP/1.1\r\nHos'
POST = b'POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n'
OK = messages.Response(200, body=b'body')
LATER_MS = 1000


def serve(limit, *, evicts_partial=False):
    """Return a site with a limit and one connection for refusals; one connection is open."""
    surplus = descriptors.ConnectionLimit('surplus', 1)
    limited = descriptors.ConnectionLimit('callers', limit, surplus, evicts_partial)
    return conftest.ServedConnection(connections=limited, body_max_bytes=5000)


def test_connection_that_is_idle_longest_gives_way():
    """Guards against callers that are kept out by idle connections, and against cut requests."""
    served = serve(3)
    served.receive(GET)
    idle_channel, idle = served.connect()
    served.now_ms += 1
    _, younger = served.connect()
    idle_channel.dataReceived(GET)
    served.exchanges[1].respond(OK)
    served.now_ms += LATER_MS
    served.connect()
    assert (served.transport.disconnected, idle.disconnected, younger.disconnected) == (0, 0, 1)
    # A request that crosses the close of a new connection gets an answer.
    assert younger.value().startswith(b'HTTP/1.1 503 ')
    served.connect()
    assert (served.transport.disconnected, idle.disconnected) == (0, 1)
    assert idle.value().count(b'HTTP/1.1') == 1
    assert served.site.connections.open_count == 3


def test_idle_connection_is_found_behind_those_whose_requests_have_arrived():
    """Guards against refusals while many idle connections are used again at the same time."""
    served = serve(40)
    others = [served.connect() for _ in range(39)]
    for _, transport in others[:-1]:
        transport.unread = GET
    served.transport.unread = GET
    served.now_ms += LATER_MS
    served.connect()
    assert [transport.disconnected for _, transport in others] == [False] * 38 + [True]


@pytest.mark.parametrize('reason', ['pending', 'unsent', 'unread', 'just opened', 'half'])
def test_connection_that_may_carry_a_request_stays_open(reason):
    """Guards against requests that are lost when their connection closes for another one."""
    served = serve(1)
    served.transport.stalled = reason == 'unsent'
    served.transport.unread = GET if reason == 'unread' else b''
    served.receive({'pending': GET, 'unsent': GET, 'half': HALF}.get(reason, b''))
    if reason == 'unsent':
        served.exchanges[0].respond(OK)
    served.now_ms += 50 if reason == 'just opened' else LATER_MS
    surplus, transport = served.connect()
    surplus.dataReceived(GET)
    assert not served.transport.disconnected
    _, closed = served.connect()
    assert closed.value().startswith(b'HTTP/1.1 503 ')
    assert closed.disconnected
    assert served.site.connections.surplus.open_count == 1
    if reason == 'pending':
        assert transport.value().startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: 1\r\n' in transport.value()
    else:
        # No other request is at work, so that the one on the surplus connection is served.
        assert not transport.value()
        served.exchanges[-1].respond(OK)
        assert transport.value().startswith(b'HTTP/1.1 200 ')
    assert b'connection: close\r\n' in transport.value()


def test_unfinished_bodies_give_way_once_they_make_no_progress():
    """Guards against slow bodies that keep callers out; a body that makes progress stays."""
    served = serve(2)
    served.receive(POST + b'x')
    progressing, transport = served.connect()
    progressing.dataReceived(POST + b'x')
    for _ in range(6):
        served.now_ms += 250
        served.receive(b'x')
        progressing.dataReceived(bytes(300))
        served.site.close_expired()
    served.now_ms += 101
    channel, _ = served.connect()
    channel.dataReceived(GET)
    assert (served.transport.disconnected, transport.disconnected) == (True, False)
    # A body that is not complete has not run.
    assert served.sent.startswith(b'HTTP/1.1 503 ')
    assert len(served.exchanges) == 1


def test_half_request_behind_an_idle_time_is_not_the_oldest():
    """Guards against requests that are cut since their connection was idle before they began."""
    served = serve(1, evicts_partial=True)
    served.now_ms += LATER_MS
    served.receive(HALF)
    served.now_ms += 50
    served.connect()
    assert not served.transport.disconnected


def test_half_requests_give_way_where_no_caller_sends_them():
    """Guards against strangers at an internal port that keep out those whom it serves."""
    served = serve(1, evicts_partial=True)
    served.receive(HALF)
    served.now_ms += LATER_MS
    channel, _ = served.connect()
    channel.dataReceived(GET)
    assert len(served.exchanges) == 1
    assert served.transport.disconnected


@pytest.mark.parametrize('sent', [b'', HALF, GET])
def test_surplus_connection_gives_way_to_a_newer_one(sent):
    """Guards against callers without any answer while strangers hold the surplus connections."""
    served = serve(1)
    served.receive(GET)
    first, transport = served.connect()
    first.dataReceived(sent)
    served.now_ms += LATER_MS
    second, newer = served.connect()
    second.dataReceived(GET)
    assert transport.disconnected
    assert newer.value().startswith(b'HTTP/1.1 503 ')


def test_surplus_connection_gives_way_only_after_its_refusal_is_sent():
    """Guards against refusals that are lost because their connection closes too early."""
    served = serve(1)
    served.receive(GET)
    first, transport = served.connect()
    transport.stalled = True
    first.dataReceived(GET)
    served.now_ms += LATER_MS
    served.connect()
    assert not transport.disconnected
    transport.stalled = False
    transport.drain()
    served.now_ms += LATER_MS
    served.connect()
    assert transport.disconnected


def test_silent_surplus_connection_is_closed():
    """Guards against descriptors that connections hold which only wait for a refusal."""
    served = serve(1)
    served.receive(GET)
    _, surplus = served.connect()
    served.now_ms += LATER_MS + 1
    served.site.close_expired()
    assert surplus.disconnected
    assert served.site.connections.surplus.open_count == 0


def test_reports_count_what_is_new():
    """Guards against log lines that repeat old evictions."""
    limited = descriptors.ConnectionLimit('servers', 0)
    assert limited.take_new_counts() is None
    assert not limited.acquire()
    assert limited.take_new_counts() == (('evicted', 0), ('refused', 1))
    assert limited.take_new_counts() is None


RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


def test_idle_connection_to_one_server_gives_way_to_that_of_another():
    """Guards against attempts that cannot open a connection beside idle ones to other servers."""
    limited = descriptors.ConnectionLimit('servers', 1)
    first, second = test_client.OpenedPool(limited), test_client.OpenedPool(limited)
    first.start()
    first.connections[0].dataReceived(RESPONSE)
    second.start()
    assert first.connections[0].transport.disconnected
    assert not first.pool.idle
    assert limited.open_count == 1
    second.connections[0].dataReceived(RESPONSE)
    assert second.outcomes[0].status == 200


def test_call_ends_at_once_when_all_connections_are_in_use():
    """Guards against attempts that wait for their deadline without a connection."""
    limited = descriptors.ConnectionLimit('servers', 1)
    opened = test_client.OpenedPool(limited)
    opened.start()
    opened.start()
    assert [type(outcome) for outcome in opened.outcomes] == [errors.NoSocketError]
    opened.lose(error.ConnectionLost())
    assert limited.open_count == 0


@pytest.mark.parametrize(
    ('reason', 'expected'),
    [
        (error.ConnectBindError(24, 'Too many open files'), errors.NoSocketError),
        (error.ConnectionRefusedError(), errors.ConnectError),
    ],
)
def test_lack_of_descriptors_is_told_from_an_unreachable_server(reason, expected):
    """Guards against servers that are avoided because this process has no descriptor left."""
    limited = descriptors.ConnectionLimit('servers', 1)
    opened = test_client.OpenedPool(limited)
    call = test_client.client.Call(test_client.REQUEST, opened.outcomes.append)
    opened.pool.start(call, 300)
    factory = opened.clock.tcpClients[0][2]
    factory.clientConnectionFailed(None, failure.Failure(reason))
    assert [type(outcome) for outcome in opened.outcomes] == [expected]
    assert limited.open_count == 0
