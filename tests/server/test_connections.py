"""Tests of the connection pool for backend servers over real sockets."""

from rhubarbspar import const as package_const
from rhubarbspar.core import models
from rhubarbspar.server import const

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'


def _finished(side, count):
    return lambda: len(side.finished) >= count


async def _exchange(loop, side, attempt_id, number, answer=WHOLE):
    """Start an attempt and answer it on the connection with this number."""
    side.start(attempt_id)
    raw = await side.received(number)
    await loop.until(lambda: raw.received.endswith(b'\r\n\r\n'))
    raw.received = b''
    raw.send(answer)
    await loop.until(_finished(side, len(side.finished) + 1))
    return raw


def test_response_without_request_closes_the_connection(loop, backend_side):
    """Guards against surplus bytes that are read as the response to the next request."""

    async def surplus():
        raw = await _exchange(loop, backend_side, 'a1', 0)
        raw.send(WHOLE)
        await loop.until(lambda: raw.closed)
        await _exchange(loop, backend_side, 'a2', 1)

    loop.run(surplus())
    assert [event.attempt_id for event in backend_side.finished] == ['a1', 'a2']


def test_connection_closed_by_the_server_is_not_reused(loop, backend_side):
    """Guards against an unknown outcome because a closed connection is reused."""

    async def closed():
        raw = await _exchange(loop, backend_side, 'a1', 0)
        raw.transport.loseConnection()
        await loop.until(lambda: raw.closed)
        await loop.wait(0.02)
        await _exchange(loop, backend_side, 'a2', 1)

    loop.run(closed())
    whole = models.Answered(models.Response(200, (), b'whole'))
    assert [event.outcome for event in backend_side.finished] == [whole, whole]


def test_idle_connection_is_closed_after_a_while(loop, backend_side, monkeypatch):
    """Guards against idle connections that stay open as long as the process runs."""
    monkeypatch.setattr(const, 'BACKEND_IDLE_CONNECTION_S', 0.05)

    async def idle():
        raw = await _exchange(loop, backend_side, 'a1', 0)
        await loop.until(lambda: raw.closed)

    loop.run(idle())


def test_idle_connections_are_limited(loop, backend_side, monkeypatch):
    """Guards against a burst of requests that leaves too many idle connections."""
    monkeypatch.setattr(const, 'BACKEND_CONNECTIONS_MAX', 1)

    async def burst():
        backend_side.start('first')
        backend_side.start('second')
        connections = [await backend_side.received(), await backend_side.received(1)]
        for raw in connections:
            raw.send(WHOLE)
        await loop.until(_finished(backend_side, 2))
        await loop.until(lambda: any(raw.closed for raw in connections))
        await loop.wait(0.02)
        return sum(raw.closed for raw in connections)

    assert loop.run(burst()) == 1


def test_large_body_is_sent_and_received_whole(loop, backend_side):
    """Guards against a message that is cut off where the socket buffer was full."""
    body = bytes(range(256)) * (package_const.BODY_MAX_BYTES // 256)

    async def large():
        backend_side.start(method='POST', body=body)
        raw = await backend_side.received()
        await loop.until(lambda: raw.received.endswith(body))
        length = str(len(body)).encode()
        raw.send(b'HTTP/1.1 200 OK\r\nContent-Length: ' + length + b'\r\n\r\n' + body)
        return await backend_side.outcome()

    assert loop.run(large()).outcome == models.Answered(models.Response(200, (), body))
