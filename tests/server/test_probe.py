"""Tests of the load probe over real sockets."""

import pytest

from rhubarbspar.core import events
from rhubarbspar.server import probe

GOOD = b'{"busy_slots": 2, "draining": true, "healthy": true}'


async def _probe(loop, side, bodies, clock):
    reports = []
    prober = probe.LoadProber(loop.reactor, reports.append, clock)
    for number, body in enumerate(bodies):
        prober.probe('s1', side.address)
        raw = await side.received(number)
        if body is None:
            clock.advance(1.1)
        else:
            length = str(len(body)).encode()
            raw.send(b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ' + length)
            raw.send(b'\r\n\r\n' + body)
        await loop.until(lambda: len(reports) > number)
    return reports


@pytest.mark.parametrize(
    'body',
    [
        None,
        b'',
        b'{',
        b'[]',
        b'{"busy_slots": 1}',
        b'{"busy_slots": "1", "draining": "no", "healthy": "no"}',
        b'{"busy_slots": -1, "draining": false, "healthy": true}',
        b'{"busy_slots": 1e999, "draining": false, "healthy": true}',
        b'[' * 100_000,
        GOOD + b' ' * 100_000,
    ],
)
def test_unreadable_report_is_unhealthy_and_does_not_end_a_drain(loop, backend_side, clock, body):
    """Guards against new work for a draining server whose load endpoint fails later."""
    reports = loop.run(_probe(loop, backend_side, (GOOD, body), clock))
    assert reports[0] == events.LoadReported('s1', 2, True, True)
    assert reports[1] == events.LoadReported('s1', 2, True, False)


def test_probe_needs_no_thread(loop, backend_side, clock):
    """Guards against a name resolver, whose thread keeps the process from exiting."""
    loop.run(_probe(loop, backend_side, (GOOD,), clock))
    assert loop.reactor.threadpool is None


def test_closed_idle_connection_is_no_failed_probe(loop, backend_side, clock):
    """Guards against a server that counts as unhealthy because it closed an idle connection."""

    async def probe_twice():
        reports = []
        prober = probe.LoadProber(loop.reactor, reports.append, clock)
        length = str(len(GOOD)).encode()
        prober.probe('s1', backend_side.address)
        raw = await backend_side.received()
        raw.send(b'HTTP/1.1 200 OK\r\nContent-Length: ' + length + b'\r\n\r\n' + GOOD)
        await loop.until(lambda: reports)
        # The second probe uses the connection that the server is closing.
        prober.probe('s1', backend_side.address)
        raw.transport.abortConnection()
        other = await backend_side.received(1)
        other.send(b'HTTP/1.1 200 OK\r\nContent-Length: ' + length + b'\r\n\r\n' + GOOD)
        await loop.until(lambda: len(reports) > 1)
        return reports

    assert loop.run(probe_twice()) == [events.LoadReported('s1', 2, True, True)] * 2
