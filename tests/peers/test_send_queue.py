"""Tests of the order in which frames leave, and of the fragments of long ones."""

import pytest

from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import fragments
from rhubarbspar.peers import send_queue

FRAME = bytes(range(100, 200)) * (const.FRAME_MAX_BYTES // 100 + 1)
FRAME = FRAME[: const.FRAME_MAX_BYTES]


def test_short_frame_overtakes_the_fragments_of_a_long_one():
    """Guards against heartbeats that wait behind a long change until their sender seems dead."""
    queue = send_queue.SendQueue()
    pieces = fragments.split(FRAME)
    for piece in pieces:
        queue.push(piece, is_bulk=True)
    assert queue.pop() == pieces[0]
    queue.push(b'heartbeat', is_bulk=False)
    assert queue.pop() == b'heartbeat'
    assert [queue.pop() for _ in range(len(queue))] == pieces[1:]


@pytest.mark.parametrize('size', [1, fragments.FRAGMENT_MAX_BYTES, len(FRAME)])
def test_fragments_make_up_the_frame(size):
    """Guards against changes that are lost or cut where they are put together."""
    assembler = fragments.Assembler()
    pieces = fragments.split(FRAME[:size])
    assert max(map(len, pieces)) <= fragments.FRAGMENT_MAX_BYTES + 1
    for _ in range(2):
        received = [assembler.add(piece) for piece in pieces]
        assert received == [*[None] * (len(pieces) - 1), FRAME[:size]]


def test_whole_frame_between_fragments_is_received_first():
    """Guards against an overtaking frame that is taken for a part of the one that it overtakes."""
    assembler = fragments.Assembler()
    first, *others = fragments.split(FRAME)
    assert assembler.add(first) is None
    assert assembler.add(b'\x83whole') == b'\x83whole'
    assert [assembler.add(piece) for piece in others][-1] == FRAME


def test_fragments_without_end_are_refused():
    """Guards against a peer that fills the memory with a frame that never ends."""
    assembler = fragments.Assembler()
    fragment = b'\x00' + bytes(fragments.FRAGMENT_MAX_BYTES)
    with pytest.raises(errors.FrameTooLargeError):
        for _ in range(const.FRAME_MAX_BYTES // fragments.FRAGMENT_MAX_BYTES + 2):
            assembler.add(fragment)
