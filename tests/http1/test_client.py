"""Tests of the HTTP/1.1 client on in-memory transports."""

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from rhubarbspar.http1 import client
from rhubarbspar.http1 import const
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from tests.http1 import conftest

REQUEST = messages.Request(b'GET', b'/', ((b'host', b'h'),))
ECHO = (b'x-id', b'1')
BUDGET_BYTES = 4_000_000
BODY_BYTES = 3_000_000
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
LINES = (b'x: ' + b'y' * 40 + b'\r\n') * 1000


class OpenedPool:
    """A pool whose connections use in-memory transports."""

    def __init__(self):
        """Create a pool without connections."""
        self.clock = testing.MemoryReactorClock()
        self.now_ms = 0.0
        self.outcomes = []
        self.budget = memory.MemoryBudget(BUDGET_BYTES)
        self.pool = client.Pool(
            self.clock, client.Endpoint('10.0.0.1', 80), lambda: self.now_ms, 5000, self.budget
        )
        self.connections = []
        # Whether the servers read nothing.
        self.stalled = False

    def start(self, expected_echo=None, request=REQUEST):
        """Start a call and open its connection if it needs a new one."""
        call = client.Call(request, self.outcomes.append, expected_echo)
        self.pool.start(call, 300)
        while len(self.clock.tcpClients) > len(self.connections):
            factory = self.clock.tcpClients[len(self.connections)][2]
            connection = factory.buildProtocol(None)
            transport = conftest.Transport(self.clock)
            transport.stalled = self.stalled
            connection.makeConnection(transport)
            self.connections.append(connection)
        return call

    def lose(self, reason):
        """Close the newest connection for a reason."""
        self.connections[-1].connectionLost(failure.Failure(reason))


@pytest.fixture
def opened():
    """Return a pool without connections."""
    return OpenedPool()


def test_response_is_reported_and_the_connection_kept(opened):
    """Guards against a new connection for each request."""
    opened.start()
    opened.connections[0].dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi')
    assert opened.outcomes[0].body == b'hi'
    assert opened.start().reused
    assert len(opened.connections) == 1


def test_connection_is_not_reused_after_its_idle_timeout(opened):
    """Guards against a request on a connection that the server is about to close."""
    opened.start()
    opened.connections[0].dataReceived(
        b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n'
    )
    opened.now_ms = 2500
    assert not opened.start().reused


def test_closing_response_ends_the_connection(opened):
    """Guards against reuse of a connection that the server closes after the response."""
    opened.start()
    opened.connections[0].dataReceived(
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
    )
    assert opened.connections[0].transport.aborted
    assert not opened.start().reused


def test_truncated_response_is_no_response(opened):
    """Guards against a body shorter than its length that is taken as complete."""
    opened.start()
    opened.connections[0].dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi')
    opened.lose(error.ConnectionDone())
    assert isinstance(opened.outcomes[0], errors.BrokenError)


def test_response_without_length_ends_with_its_connection(opened):
    """Guards against a response without a length that is never completed."""
    opened.start()
    opened.connections[0].dataReceived(b'HTTP/1.1 200 OK\r\n\r\npart')
    assert not opened.outcomes
    opened.lose(error.ConnectionDone())
    assert opened.outcomes[0].body == b'part'


def test_reset_ends_a_response_without_length_as_broken(opened):
    """Guards against a body truncated by a reset that is taken as complete."""
    opened.start()
    opened.connections[0].dataReceived(b'HTTP/1.1 200 OK\r\n\r\npart')
    opened.lose(error.ConnectionLost())
    assert isinstance(opened.outcomes[0], errors.BrokenError)


def test_bytes_that_are_no_response_are_malformed(opened):
    """Guards against malformed bytes that are passed on as a response."""
    opened.start()
    opened.connections[0].dataReceived(b'\x00\x01garbage\r\n\r\n')
    assert isinstance(opened.outcomes[0], errors.MalformedError)
    assert opened.connections[0].transport.aborted


def test_second_response_ends_the_connection(opened):
    """Guards against surplus bytes that are matched to the next request."""
    opened.start()
    one = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
    opened.connections[0].dataReceived(one + one)
    assert len(opened.outcomes) == 1
    assert opened.connections[0].transport.aborted
    assert not opened.start().reused


def test_late_response_to_another_request_is_skipped(opened):
    """Guards against a caller that receives the response to another request."""
    opened.start(ECHO)
    answer = b'HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: 1\r\n\r\n%d'
    opened.connections[0].dataReceived(answer % (7, 7))
    assert not opened.outcomes
    opened.connections[0].dataReceived(answer % (1, 1))
    assert opened.outcomes[0].body == b'1'


@pytest.mark.parametrize('body', [b'', b'x', bytes(8_000_000)], ids=len)
@pytest.mark.parametrize('is_within_bound', [True, False])
def test_responses_to_other_requests_are_skipped_up_to_a_bound(opened, body, is_within_bound):
    """Guards against a call that skips responses without end, until its deadline."""
    answer = b'HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: %d\r\n\r\n%b'
    opened.budget.limit_bytes = 10_000_000
    opened.start(ECHO)
    (connection,) = opened.connections
    for _ in range(const.SKIPPED_RESPONSES_MAX):
        connection.dataReceived(answer % (7, len(body), body))
        assert not opened.outcomes
        assert opened.budget.held_bytes <= const.READ_AHEAD_BYTES
    connection.dataReceived(answer % (1 if is_within_bound else 7, len(body), body))
    (outcome,) = opened.outcomes
    assert isinstance(outcome, messages.Response if is_within_bound else errors.MalformedError)
    assert connection.transport.aborted != is_within_bound


def test_large_responses_to_other_requests_are_skipped_up_to_a_bound(opened):
    """Guards against a call that reads large responses to other requests until its deadline."""
    opened.budget.limit_bytes = 100_000_000
    opened.start(ECHO)
    (connection,) = opened.connections
    for size_bytes in (const.RESPONSE_MAX_BYTES, 1):
        assert not opened.outcomes
        connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: %d\r\n\r\n' % size_bytes
        )
        connection.dataReceived(bytes(size_bytes))
    assert isinstance(opened.outcomes[0], errors.MalformedError)
    assert connection.transport.aborted
    assert not opened.budget.held_bytes


def test_response_to_another_request_than_head_ends_the_call(opened):
    """Guards against a HEAD request that takes its response for the body of the skipped one."""
    opened.start(ECHO, messages.Request(b'HEAD', b'/', ()))
    opened.connections[0].dataReceived(b'HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 9\r\n\r\n')
    assert isinstance(opened.outcomes[0], errors.MalformedError)
    assert opened.connections[0].transport.aborted


def test_refused_connection_means_that_nothing_was_sent(opened):
    """Guards against a request that is not retried elsewhere although it never ran."""
    call = client.Call(REQUEST, opened.outcomes.append)
    opened.pool.start(call, 300)
    factory = opened.clock.tcpClients[0][2]
    factory.clientConnectionFailed(None, failure.Failure(error.ConnectionRefusedError()))
    assert isinstance(opened.outcomes[0], errors.ConnectError)


def test_cancelled_call_closes_its_connection_and_reports_nothing(opened):
    """Guards against a server that keeps working for a caller that has disconnected."""
    call = opened.start()
    call.cancel()
    assert opened.connections[0].transport.aborted
    opened.lose(error.ConnectionAborted())
    assert not opened.outcomes


REFUSAL = b'HTTP/1.1 503 Busy\r\n%bX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'


@pytest.mark.parametrize('echo', [b'X-Id: 1\r\n', b''])
def test_repeated_refusal_is_not_taken_for_the_next_response(opened, echo):
    """Guards against "not run" for a request that runs: a server repeats an earlier refusal.

    The repetition names the earlier request, or none.
    """
    opened.start(ECHO)
    opened.connections[0].dataReceived(REFUSAL % b'X-Id: 1\r\n')
    assert opened.start((b'x-id', b'2')).reused
    opened.connections[0].dataReceived(REFUSAL % echo)
    assert not [out for out in opened.outcomes[1:] if isinstance(out, messages.Response)]
    opened.connections[0].dataReceived(b'HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n')
    responses = [out for out in opened.outcomes[1:] if isinstance(out, messages.Response)]
    assert all(response.status == 200 for response in responses)


HEAD = b'HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: 1\r\nContent-Length: 12\r\n\r\n'


@pytest.mark.parametrize('is_reused', [True, False])
def test_response_that_ends_within_its_head_is_broken(opened, is_reused):
    """Guards against an empty or short success: a server stops within the head and closes."""
    for size in range(len(HEAD)):
        if is_reused:
            opened.start(ECHO)
            opened.connections[-1].dataReceived(
                b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na'
            )
        assert opened.start((b'x-id', b'2')).reused == is_reused
        opened.connections[-1].dataReceived(HEAD[:size])
        opened.lose(error.ConnectionDone())
        assert isinstance(opened.outcomes[-1], errors.BrokenError)


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        (STATUS_LINE, LINES),
        (STATUS_LINE + b'x: ', b'y' * 50_000),
        (STATUS_LINE + b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n', LINES),
        (STATUS_LINE + b'Transfer-Encoding: chunked\r\n\r\n1;', b'y' * 50_000),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2000),
    ],
    ids=['head', 'header', 'trailers', 'chunk extension', 'interim responses'],
)
def test_response_without_end_is_malformed(opened, head, part):
    """Guards against a server that fills the memory with bytes that are no body."""
    opened.start()
    (connection,) = opened.connections
    connection.dataReceived(head)
    for _ in range(4):
        connection.dataReceived(part)
    assert isinstance(opened.outcomes[0], errors.MalformedError)
    assert connection.transport.aborted
    assert not opened.budget.held_bytes


def deliver_in_turn(opened, part, count):
    """Deliver a part of a body on each connection that reads, a number of times."""
    for _ in range(count):
        for connection in opened.connections:
            if (
                connection.transport.producerState == 'producing'
                and not connection.transport.aborted
            ):
                connection.dataReceived(part)
                assert opened.budget.held_bytes <= BUDGET_BYTES


def test_bodies_of_servers_share_one_budget(opened):
    """Guards against bodies that together take the process over its memory."""
    calls = [opened.start(), opened.start()]
    first, second = opened.connections
    for connection in opened.connections:
        connection.dataReceived(STATUS_LINE + b'Content-Length: 3000000\r\n\r\n')
    deliver_in_turn(opened, bytes(60_000), 40)
    assert (first.transport.producerState, second.transport.producerState) == (
        'producing',
        'paused',
    )
    assert not opened.outcomes
    calls[0].cancel()
    assert second.transport.producerState == 'producing'
    calls[1].cancel()
    assert not opened.budget.held_bytes


CHUNK = b'ea60\r\n' + bytes(60_000) + b'\r\n'


@pytest.mark.parametrize(
    ('framing', 'part'),
    [(b'', bytes(60_000)), (b'Transfer-Encoding: chunked\r\n', CHUNK)],
    ids=['until the end of the connection', 'chunked'],
)
def test_bodies_without_length_do_not_wait_for_each_other(opened, framing, part):
    """Guards against bodies without end that wait for each other, and others for both of them."""
    opened.start()
    opened.start()
    for connection in opened.connections:
        connection.dataReceived(STATUS_LINE + framing + b'\r\n')
    deliver_in_turn(opened, part, 40)
    (outcome,) = opened.outcomes
    assert isinstance(outcome, errors.MalformedError)
    (rest,) = [each for each in opened.connections if not each.transport.aborted]
    assert rest.transport.producerState == 'producing'
    opened.start()
    opened.connections[2].dataReceived(STATUS_LINE + b'Content-Length: 2000000\r\n\r\n')
    assert rest.transport.aborted
    assert opened.connections[2].transport.producerState == 'producing'


@pytest.mark.parametrize('size_bytes', [3_599_999, 3_600_000, 3_600_001])
def test_body_without_length_may_use_all_memory_that_is_free(opened, size_bytes):
    """Guards against a sound answer that is refused, or waits, although no other one lacks memory."""
    opened.start()
    (connection,) = opened.connections
    connection.dataReceived(STATUS_LINE + b'\r\n')
    for sent_bytes in range(0, size_bytes, 60_000):
        if not opened.outcomes:
            assert connection.transport.producerState == 'producing'
            connection.dataReceived(bytes(min(60_000, size_bytes - sent_bytes)))
    connection.connectionLost(failure.Failure(error.ConnectionDone()))
    (outcome,) = opened.outcomes
    assert isinstance(outcome, messages.Response) == (size_bytes <= opened.budget.message_max_bytes)


def test_announced_body_that_never_fits_is_malformed(opened):
    """Guards against reading a body that cannot be held."""
    opened.start()
    opened.connections[0].dataReceived(STATUS_LINE + b'Content-Length: 5000000\r\n\r\n')
    assert isinstance(opened.outcomes[0], errors.MalformedError)


def test_response_before_the_request_is_sent_ends_the_connection(opened):
    """Guards against the rest of a body that the server takes for the next request."""
    opened.stalled = True
    opened.start(request=messages.Request(b'POST', b'/', (), bytes(BODY_BYTES)))
    (connection,) = opened.connections
    assert len(connection.transport.value()) < BODY_BYTES
    connection.dataReceived(STATUS_LINE + b'Content-Length: 2\r\n\r\nhi')
    assert opened.outcomes[0].body == b'hi'
    assert connection.transport.aborted
    assert not opened.budget.held_bytes


@pytest.mark.parametrize('framing', [b'Content-Length: 99\r\n', b'', b'Content-Length: 0\r\n'])
def test_response_to_head_has_no_body(opened, framing):
    """Guards against a HEAD request that waits for a body until its timeout."""
    opened.start(request=messages.Request(b'HEAD', b'/', ()))
    opened.connections[0].dataReceived(STATUS_LINE + framing + b'\r\n')
    (response,) = opened.outcomes
    assert (response.status, response.body) == (200, b'')
    opened.start()
    opened.connections[-1].dataReceived(STATUS_LINE + b'Content-Length: 2\r\n\r\nhi')
    assert opened.outcomes[1].body == b'hi'
