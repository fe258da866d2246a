"""Rate limits on log lines, and log output to a reader that stalls or closes."""

import errno
import os

import pytest

from rhubarbspar.gateway import log_stream


def test_lines_beyond_the_rate_are_counted():
    """Guards against log volume that grows with the load, and lines dropped without a count."""
    limiter = log_stream.LineRateLimiter(10, 10)
    written = sum(limiter.take(0) for _ in range(25))
    assert written == 10
    assert limiter.take_dropped_count() == 15
    assert limiter.take_dropped_count() == 0
    assert sum(limiter.take(500) for _ in range(25)) == 5


def test_stalled_reader_does_not_block():
    """Guards against a gateway that blocks because its log is not read."""
    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer)
    for _ in range(2000):
        stream.write('x' * 999 + '\n')
    assert stream.dropped_count
    received = os.read(reader, 10_000_000)
    stream.flush()
    assert received.startswith(b'x' * 999)
    os.close(reader)
    os.close(writer)


def test_closed_reader_is_no_error():
    """Guards against a gateway that fails when the program that reads its log has ended."""
    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer)
    os.close(reader)
    stream.write('line\n')
    assert stream.dropped_count
    os.close(writer)


@pytest.mark.parametrize('number', [errno.EBADF, errno.EIO, errno.ENOSPC])
def test_failed_write_is_no_error(monkeypatch, number):
    """Guards against a gateway that fails because its log does."""

    def fail(_descriptor, _content):
        raise OSError(number, os.strerror(number))

    reader, writer = os.pipe()
    stream = log_stream.LogStream(writer)
    monkeypatch.setattr(os, 'write', fail)
    stream.write('line\n')
    assert stream.dropped_count == 1
    os.close(reader)
    os.close(writer)
