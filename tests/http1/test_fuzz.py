"""Property-based tests of the HTTP/1.1 server with arbitrary bytes and chunk boundaries."""

import hypothesis
from hypothesis import strategies

from tests.http1 import conftest

REQUESTS = (
    b'GET /a HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n\r\n'
    b'POST /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody'
    b'POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
)
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)


@SETTINGS
@hypothesis.given(strategies.lists(strategies.integers(1, len(REQUESTS) - 1), max_size=8))
def test_chunk_boundaries_do_not_change_the_requests(split_points):
    """Guards against a request that depends on how the network splits it into chunks."""
    served = conftest.ServedConnection()
    boundaries = [0, *sorted(split_points), len(REQUESTS)]
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        served.receive(REQUESTS[start:end])
    seen = [(exchange.request.target, exchange.request.body) for exchange in served.exchanges]
    assert seen == [(b'/a', b''), (b'/b', b'body'), (b'/c', b'abc')]


@SETTINGS
@hypothesis.given(strategies.lists(strategies.binary(max_size=80), max_size=6))
def test_arbitrary_bytes_are_refused_or_left_pending(chunks):
    """Guards against bytes that raise, or that close the connection without a response."""
    served = conftest.ServedConnection()
    for chunk in chunks:
        served.receive(chunk)
    served.now_ms = 100_000
    served.site.close_expired()
    assert not served.transport.write_closed or not served.sent or b'HTTP/1.1 4' in served.sent
