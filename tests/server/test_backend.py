"""Tests of attempts at backend servers over real sockets."""

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import models

HEAD = b'HTTP/1.1 200 OK\r\n'
WHOLE = HEAD + b'Content-Length: 5\r\n\r\nwhole'


async def _answer(side, answer, *, closes=False):
    side.start()
    raw = await side.received()
    raw.send(answer)
    if closes:
        raw.transport.loseConnection()
    return await side.outcome()


def test_complete_response_is_delivered_without_hop_by_hop_headers(loop, backend_side):
    """Guards against hop-by-hop headers that are passed on to the caller."""
    headers = b'Connection: X-Named, keep-alive\r\nX-Named: 1\r\nKeep-Alive: 5\r\nX-Kept: 2\r\n'
    sent = HEAD + headers + b'Content-Length: 5\r\n\r\nwhole'
    outcome = loop.run(_answer(backend_side, sent)).outcome
    assert outcome == models.Answered(models.Response(200, (('X-Kept', '2'),), b'whole'))


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        HEAD + b'Content-Length: 9\r\n\r\nshort',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        b'nonsense\r\n\r\n',
    ],
)
def test_incomplete_response_is_an_unknown_outcome(loop, backend_side, answer):
    """Guards against a truncated or malformed response that is passed on as complete."""
    finished = loop.run(_answer(backend_side, answer, closes=True))
    assert finished.outcome == models.Refused('backend_failed', models.ExecutionStatus.UNKNOWN)
    assert finished.connection_lost


def test_response_without_length_is_refused_but_is_no_crash(loop, backend_side):
    """Guards against a truncated response: the end of the connection may be a crash as well.

    It is no sign of a crash either, so the request must not count as one that crashes servers.
    """
    finished = loop.run(_answer(backend_side, HEAD + b'\r\nwhole', closes=True))
    assert finished.outcome == models.Refused('backend_failed', models.ExecutionStatus.UNKNOWN)
    assert not finished.connection_lost


@pytest.mark.parametrize('framing', [b'Content-Length: 1048577\r\n', b''])
def test_response_over_the_limit_is_refused(loop, backend_side, framing):
    """Guards against unbounded memory use by a large response."""
    body = b'a' * (package_const.BODY_MAX_BYTES + 1)
    finished = loop.run(_answer(backend_side, HEAD + framing + b'\r\n' + body))
    assert finished.outcome == models.Refused('response_too_large', models.ExecutionStatus.UNKNOWN)
    loop.run(loop.until(lambda: backend_side.connections[0].closed))


def test_refused_connection_is_not_run(loop, backend_side):
    """Guards against an unknown outcome, after which a non-idempotent request is not retried."""

    async def refuse():
        await backend_side.port.stopListening()
        backend_side.start(method='POST')
        return await backend_side.outcome()

    finished = loop.run(refuse())
    assert finished.outcome == models.Refused('backend_failed', models.ExecutionStatus.NOT_RUN)
    assert not finished.connection_lost


def test_request_that_cannot_be_sent_is_not_run(loop, backend_side):
    """Guards against a slot that stays busy because a malformed request was never sent."""
    backend_side.start(target='/\xff')
    finished = loop.run(backend_side.outcome())
    assert finished.outcome == models.Refused('backend_failed', models.ExecutionStatus.NOT_RUN)


@pytest.mark.parametrize('early', [b'', HEAD + b'Content-Length: 5\r\n\r\nwh'])
def test_connection_of_a_cancelled_attempt_is_not_reused(loop, backend_side, early):
    """Guards against a late response that is matched to the next request."""

    async def cancel():
        backend_side.start('first')
        raw = await backend_side.received()
        raw.send(early)
        await loop.wait(0.02)
        backend_side.client.cancel('first')
        await loop.until(lambda: raw.closed)
        backend_side.start('second')
        other = await backend_side.received(1)
        other.send(WHOLE)
        return await backend_side.outcome()

    assert loop.run(cancel()).attempt_id == 'second'


def test_concurrent_attempts_have_their_own_connections(loop, backend_side):
    """Guards against responses that are mixed up on a shared connection."""

    async def start():
        backend_side.start('first')
        backend_side.start('second')
        first = await backend_side.received()
        second = await backend_side.received(1)
        second.send(HEAD + b'Content-Length: 1\r\n\r\n2')
        first.send(HEAD + b'Content-Length: 1\r\n\r\n1')
        await loop.until(lambda: len(backend_side.finished) == 2)

    loop.run(start())
    assert all(raw.received.count(b'GET') == 1 for raw in backend_side.connections)
    assert len(backend_side.connections) == 2


def test_idle_connection_is_reused_for_safe_methods_only(loop, backend_side):
    """Guards against a connection per request, and against POST on a connection being closed."""

    async def start():
        for number, method in enumerate(('GET', 'GET', 'POST')):
            backend_side.start(f'a{number}', method)
            await loop.until(lambda: _total(backend_side) > number)
            backend_side.connections[-1].send(WHOLE)
            await loop.until(lambda: len(backend_side.finished) > number)

    loop.run(start())
    assert [_count(raw) for raw in backend_side.connections] == [2, 1]


def _count(raw):
    return raw.received.count(b'/x HTTP/1.1')


def _total(side):
    return sum(_count(raw) for raw in side.connections)


def test_request_carries_the_remaining_time_as_its_only_timeout(loop, backend_side):
    """Guards against backend servers that work on requests past their deadline."""

    async def start():
        headers = (('Request-Timeout-Ms', '9999'), ('X-Kept', '1'))
        backend_side.start(method='POST', headers=headers, body=b'abc')
        raw = await backend_side.received()
        await loop.until(lambda: raw.received.endswith(b'abc'))
        return raw.received

    received = loop.run(start()).lower()
    assert received.count(b'request-timeout-ms: 1500\r\n') == 1
    assert received.count(b'request-timeout-ms') == 1
    assert received.count(b'content-length: 3\r\n') == 1
    assert b'x-kept: 1\r\n' in received


def test_cancellation_closes_a_stalled_connection(loop, backend_side):
    """Guards against a connection that is not read and never closed after a cancellation."""

    async def stall():
        backend_side.start()
        raw = await backend_side.received()
        raw.transport.pauseProducing()
        backend_side.client.cancel('a1')
        await loop.wait(0.02)
        raw.transport.resumeProducing()
        await loop.until(lambda: raw.closed)

    loop.run(stall())
    assert not backend_side.finished
