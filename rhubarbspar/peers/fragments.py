"""Fragments of long frames, between which other frames can be sent.

A fragment starts with a byte that says whether others follow. No whole frame starts with one of these
bytes: it is a CBOR array or zlib data.
"""

import typing

from rhubarbspar.peers import const
from rhubarbspar.peers import errors

# Sending a fragment takes 22 ms on a link of 6 Mbit/s.
FRAGMENT_MAX_BYTES: typing.Final = 16_384
_MORE: typing.Final = b'\x00'
_LAST: typing.Final = b'\x01'


def split(frame: bytes) -> list[bytes]:
    """Return the fragments of a frame, or the frame itself if it is short."""
    if len(frame) <= FRAGMENT_MAX_BYTES:
        return [frame]
    starts = range(0, len(frame), FRAGMENT_MAX_BYTES)
    chunks = [frame[start : start + FRAGMENT_MAX_BYTES] for start in starts]
    return [*(_MORE + chunk for chunk in chunks[:-1]), _LAST + chunks[-1]]


class Assembler:
    """Puts the fragments from one peer together."""

    def __init__(self) -> None:
        """Start without fragments."""
        self._received = bytearray()

    def add(self, received: bytes) -> bytes | None:
        """Return a whole frame; ``None`` while fragments are missing.

        Raises
        ------
        errors.FrameTooLargeError
            If the fragments are larger together than a frame may be.
        """
        marker = received[:1]
        if marker not in {_MORE, _LAST}:
            return received
        chunk = received[1:]
        if len(self._received) + len(chunk) > const.FRAME_MAX_BYTES:
            self._received.clear()
            raise errors.FrameTooLargeError('the fragments are larger than a frame may be')
        self._received += chunk
        if marker == _MORE:
            return None
        frame = bytes(self._received)
        self._received.clear()
        return frame
