"""Tests of the HTTP endpoints for callers over real sockets."""

import json

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.server import const

OK = models.Answered(models.Response(200, (('X-One', '1'),), b'whole'))
GET = b'GET /s/x HTTP/1.1\r\nHost: h\r\n'


def _problem(received):
    head, _, body = received.partition(b'\r\n\r\n')
    assert b'application/problem+json' in head
    assert b'server:' not in head.lower()
    assert b'Traceback' not in body
    return int(head.split()[1]), json.loads(body)


@pytest.mark.parametrize(
    ('sent', 'status', 'reason'),
    [
        (GET + b'X: ' + b'a' * 17_000, 431, 'headers_too_large'),
        (GET + b'X: ' + b'a' * 9000 + b'\r\nY: ' + b'a' * 9000 + b'\r\n\r\n', 431, None),
        (b'POST /s/x HTTP/1.1\r\nContent-Length: 1048577\r\n\r\nabc', 413, 'body_too_large'),
        (GET + b'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', 400, 'bad_request'),
        (GET + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab', 400, 'bad_request'),
        (GET + b'Content-Length: ' + b'9' * 5000 + b'\r\n\r\n', 400, 'bad_request'),
        (b'nonsense\r\n\r\n', 400, 'bad_request'),
        (b'GET /s/\xff HTTP/1.1\r\n\r\n', 400, 'bad_request'),
        (GET + b'no colon\r\nX: 1\r\n\r\n', 400, 'bad_request'),
    ],
)
def test_malformed_framing_is_answered_counted_and_closed(loop, entry, sent, status, reason):
    """Guards against a malformed request that is passed on, left unanswered or not counted."""
    found, problem = _problem(loop.run(entry.exchange(sent)))
    assert found == status == problem['status']
    assert problem['run'] == 'not_run'
    assert entry.refusal_reasons() == [reason or 'headers_too_large']
    assert not entry.events


def test_chunked_body_over_the_limit_is_refused_once(loop, entry):
    """Guards against unbounded memory use and a second response to the rest of the body."""
    chunk = b'40000\r\n' + b'a' * 0x40000 + b'\r\n'
    sent = GET + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * 8
    received = loop.run(entry.exchange(sent))
    assert _problem(received)[0] == 413
    assert received.count(b'HTTP/1.1') == 1
    assert entry.refusal_reasons() == ['body_too_large']


@pytest.mark.parametrize('text', [b'abc', b'-1', b'1.5', b'9' * 5000, b'\xb2'])
def test_malformed_timeout_is_refused(loop, entry, text):
    """Guards against a request that stays open forever because its timeout is malformed."""
    sent = GET + b'Connection: close\r\nRequest-Timeout-Ms: ' + text + b'\r\n\r\n'
    assert _problem(loop.run(entry.exchange(sent)))[1]['reason'] == 'bad_request'
    assert entry.refusal_reasons() == ['bad_request']


def test_target_with_fragment_is_refused(loop, entry):
    """Guards against a target whose fragment the HTTP client for backend servers drops."""
    sent = b'GET /s/x#y HTTP/1.1\r\nConnection: close\r\n\r\n'
    assert _problem(loop.run(entry.exchange(sent)))[0] == 400


def test_slow_sender_is_refused_after_ten_seconds_in_total(loop, entry, clock):
    """Guards against callers that keep a connection open by sending single bytes slowly."""

    async def send_slowly():
        raw = await entry.connect()
        raw.send(b'G')
        await loop.wait(0.05)
        for byte in (b'E', b'T', b' ', b'/'):
            clock.advance(2.6)
            raw.send(byte)
            await loop.wait(0.02)
        await loop.until(lambda: raw.closed)
        return raw.received

    status, problem = _problem(loop.run(send_slowly()))
    assert (status, problem['reason']) == (408, 'request_timeout')
    assert entry.refusal_reasons() == ['request_timeout']


def test_connection_over_the_limit_is_refused(loop, entry, monkeypatch):
    """Guards against more connections than the instance has file descriptors."""
    monkeypatch.setattr(const, 'CONNECTIONS_MAX', 1)

    async def connect_twice():
        first = await entry.connect()
        await loop.until(lambda: entry.service.open_connections)
        second = await entry.connect()
        await loop.until(lambda: second.closed)
        assert not first.closed
        first.transport.abortConnection()
        await loop.until(lambda: not entry.service.open_connections)
        return second.received

    assert _problem(loop.run(connect_twice()))[0] == 503
    assert entry.refusal_reasons() == ['too_many_connections']


def test_hop_by_hop_headers_and_access_key_are_not_passed_on(loop, entry):
    """Guards against an access key or hop-by-hop header that reaches a backend server."""
    fields = b'Connection: x-named, Keep-Alive\r\nX-Named: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n'
    sent = GET + fields + b'Authorization: Bearer secret\r\nX-Kept: 2\r\n\r\n'

    async def send():
        raw = await entry.connect()
        raw.send(sent)
        found = await entry.requests(1)
        raw.transport.abortConnection()
        return found[0]

    request = loop.run(send())
    assert {name.lower() for name, _ in request.headers} == {'x-kept'}
    assert request.access_key_digest
    assert 'secret' not in repr(request)


def test_pipelined_requests_are_answered_in_order(loop, entry):
    """Guards against responses that are swapped or interleaved on one connection."""

    async def send():
        raw = await entry.connect()
        raw.send((GET + b'\r\n') * 3)
        for number in range(3):
            found = await entry.requests(number + 1)
            assert len(found) == number + 1
            response = models.Response(200, (), f'body {number}'.encode())
            entry.service.respond(found[number].request_id, models.Answered(response))
        await loop.until(lambda: b'body 2' in raw.received)
        raw.transport.abortConnection()
        return raw.received

    bodies = [part.partition(b'\r\n\r\n')[2] for part in loop.run(send()).split(b'HTTP/1.1')[1:]]
    assert bodies == [b'body 0', b'body 1', b'body 2']


def test_disconnected_caller_cancels_its_request(loop, entry):
    """Guards against work for a disconnected caller, and against a late response to it."""

    async def send():
        raw = await entry.connect()
        raw.send(GET + b'\r\n')
        found = await entry.requests(1)
        raw.transport.abortConnection()
        await loop.until(lambda: len(entry.events) > 1)
        return found[0].request_id

    request_id = loop.run(send())
    assert entry.events[1:] == [events.RequestCancelled(request_id)]
    entry.service.respond(request_id, OK)
    assert not entry.service.open_requests


async def _ask(loop, entry, sent, outcome):
    raw = await entry.connect()
    raw.send(sent)
    found = await entry.requests(1)
    entry.service.respond(found[0].request_id, outcome)
    await loop.until(lambda: b'\r\n\r\n' in raw.received)
    await loop.wait(0.02)
    was_closed = raw.closed
    raw.transport.abortConnection()
    return raw.received, was_closed


def test_response_to_head_has_neither_body_nor_wrong_length(loop, entry):
    """Guards against a body after HEAD, which the caller would read as the next response."""
    sent = b'HEAD /s/x HTTP/1.1\r\n\r\n'
    received, _ = loop.run(_ask(loop, entry, sent, models.Answered(models.Response(200, (), b''))))
    head, _, body = received.partition(b'\r\n\r\n')
    assert not body
    assert b'content-length' not in head.lower()
    assert b'transfer-encoding' not in head.lower()


def test_connection_closes_while_the_instance_stops(loop, entry):
    """Guards against callers that keep using an instance that is about to exit."""
    entry.service.stopping = True
    received, was_closed = loop.run(_ask(loop, entry, GET + b'\r\n', OK))
    assert b'Connection: close' in received
    assert received.endswith(b'whole')
    assert was_closed


STATUSES = {
    'backend_failed': 502,
    'bad_request': 400,
    'crashes_servers': 422,
    'deadline_exceeded': 504,
    'full': 503,
    'idempotency_key_expired': 409,
    'idempotency_key_invalid': 400,
    'idempotency_key_required': 400,
    'idempotency_key_reused': 422,
    'instance_stopping': 503,
    'key_missing': 401,
    'key_unknown': 401,
    'keys_stale': 503,
    'method_not_allowed': 405,
    'no_configuration': 503,
    'no_server': 503,
    'not_owner': 503,
    'outcome_unknown': 409,
    'rate_limited': 429,
    'response_too_large': 502,
    'unknown_route': 404,
    'unknown_service': 404,
}


@pytest.mark.parametrize(('reason', 'status'), STATUSES.items())
def test_refusal_has_the_documented_status(loop, entry, reason, status):
    """Guards against a status code that differs from docs/interface.md."""
    refused = models.Refused(reason, models.ExecutionStatus.UNKNOWN, 1200.0)
    received, _ = loop.run(_ask(loop, entry, GET + b'\r\n', refused))
    found, problem = _problem(received)
    assert (found, problem['reason'], problem['run']) == (status, reason, 'unknown')
    assert b'Request-Run: unknown' in received
    assert b'Retry-After: 2' in received
    assert (b'WWW-Authenticate: Bearer' in received) == (status == 401)


def test_every_reason_has_a_documented_status():
    """Guards against a new reason of refusal that has no documented status code."""
    names = [name for name in vars(package_const) if name.startswith('REASON_')]
    reasons = {getattr(package_const, name) for name in names}
    own = {'body_too_large', 'headers_too_large', 'request_timeout', 'too_many_connections'}
    assert reasons == set(STATUSES) | own


def test_line_break_in_a_header_value_adds_no_header(loop, entry):
    """Guards against a backend server that injects headers or a second response."""
    broken = models.Response(200, (('X-One', '1\r\nX-Two: 2\r\n\r\nHTTP/1.1 200 OK'),), b'whole')

    async def exchange():
        raw = await entry.connect()
        raw.send(GET + b'Connection: close\r\n\r\n')
        (request,) = await entry.requests(1)
        entry.service.respond(request.request_id, models.Answered(broken))
        await loop.until(lambda: raw.closed)
        return raw.received

    head, _, body = loop.run(exchange()).partition(b'\r\n\r\n')
    assert body == b'whole'
    assert [line.partition(b':')[0] for line in head.split(b'\r\n')[1:]] == [
        b'X-One',
        b'Connection',
        b'Content-Length',
    ]


def test_large_response_reaches_a_slow_caller_whole(loop, entry):
    """Guards against a response that is cut off where the socket buffer was full."""
    body = bytes(range(256)) * (package_const.BODY_MAX_BYTES // 256)

    async def exchange():
        raw = await entry.connect()
        raw.send(GET + b'\r\n')
        (request,) = await entry.requests(1)
        raw.transport.pauseProducing()
        entry.service.respond(request.request_id, models.Answered(models.Response(200, (), body)))
        await loop.wait(0.05)
        raw.transport.resumeProducing()
        await loop.until(lambda: raw.received.endswith(body))
        raw.send(GET + b'\r\n')
        _, second = await entry.requests(2)
        entry.service.respond(second.request_id, OK)
        await loop.until(lambda: raw.received.endswith(b'whole'))
        return raw.received

    received = loop.run(exchange())
    assert received.count(b'HTTP/1.1 200 OK\r\n') == 2
    assert received.partition(b'\r\n\r\n')[2].startswith(body + b'HTTP/1.1 200 OK\r\n')
