"""Bodies of messages in memory.

A large body is kept in the blocks in which it arrived: growing one buffer, or joining the blocks,
would hold a second copy of it for a moment.
"""

import typing

# A body up to this size is one string of bytes.
JOINED_MAX_BYTES: typing.Final = 65_536
# Blocks of one size fit where others were freed, so that the process does not grow by the gaps. The
# free part of the last block is never more than the read-ahead that is reserved for the body.
_BLOCK_BYTES: typing.Final = 65_536


class BlockBuffer:
    """A body in blocks; the first one grows, the others have a fixed size."""

    def __init__(self) -> None:
        """Create an empty body."""
        self._first = bytearray()
        self._blocks: list[bytearray] = []
        self._free_bytes = 0

    def __len__(self) -> int:
        """Return the size in bytes."""
        return len(self._first) + len(self._blocks) * _BLOCK_BYTES - self._free_bytes

    def append(self, part: bytes) -> None:
        """Add a part at the end."""
        if len(self._first) + len(part) <= JOINED_MAX_BYTES and not self._blocks:
            self._first += part
            return
        rest = memoryview(part)
        while rest:
            if not self._free_bytes:
                self._blocks.append(bytearray(_BLOCK_BYTES))
                self._free_bytes = _BLOCK_BYTES
            added = rest[: self._free_bytes]
            start = _BLOCK_BYTES - self._free_bytes
            self._blocks[-1][start : start + len(added)] = added  # noqa: WPS362 (copies in place)
            self._free_bytes -= len(added)
            rest = rest[len(added) :]

    def views(self) -> list[memoryview]:
        """Return the content in order."""
        views = [memoryview(block) for block in (self._first, *self._blocks)]
        if self._free_bytes:
            views[-1] = views[-1][: -self._free_bytes]
        return views

    def finish(self) -> 'Body':
        """Return the complete body."""
        return join(self) if len(self) <= JOINED_MAX_BYTES else self


Body: typing.TypeAlias = bytes | BlockBuffer


def views_of(body: Body) -> list[memoryview]:
    """Return the content of a body in blocks."""
    return body.views() if isinstance(body, BlockBuffer) else [memoryview(body)]


def join(body: Body) -> bytes:
    """Return the content of a body as one string of bytes."""
    return b''.join(views_of(body)) if isinstance(body, BlockBuffer) else body
