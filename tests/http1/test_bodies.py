"""Tests of the bodies that are kept in blocks."""

import random

import pytest

from rhubarbspar.http1 import bodies


@pytest.mark.parametrize('part_bytes', [1, 1000, 65_536, 300_000])
@pytest.mark.parametrize('size_bytes', [0, 1, 65_536, 65_537, 600_000])
def test_body_comes_out_as_it_went_in(part_bytes, size_bytes):
    """Guards against bytes that are lost or changed where two blocks meet."""
    content = random.Random(size_bytes).randbytes(size_bytes)  # noqa: S311
    buffer = bodies.BlockBuffer()
    for start in range(0, size_bytes, part_bytes):
        buffer.append(content[start : start + part_bytes])
    assert len(buffer) == size_bytes
    assert b''.join(bodies.views_of(buffer)) == content
    assert bodies.join(buffer.finish()) == content
