"""Compact map from blocks of IPv4 addresses to 16-bit numbers.

Two sorted arrays hold the 4-byte start and the 2-byte number of each block, because 1.2 million
Python objects would not fit into the memory limit of an instance.
"""

import array
import bisect
import ipaddress
from collections import abc

NO_BLOCK = 0xFFFF
_ADDRESS_MAX = 0xFFFFFFFF


class BlockMap:
    """Immutable map from IPv4 addresses to block numbers; ``NO_BLOCK`` outside of all blocks."""

    def __init__(self) -> None:
        """Create an empty map."""
        self._starts = array.array('I', [0])
        self._numbers = array.array('H', [NO_BLOCK])

    @classmethod
    def build(cls, ranges: abc.Iterable[tuple[int, int, int]]) -> 'BlockMap':
        """Build a map from disjoint ranges.

        Parameters
        ----------
        ranges
            First address, last address and number of each block, sorted by first address.

        Raises
        ------
        ValueError
            If the ranges overlap or are not sorted.
        """
        block_map = cls()
        previous_last = -1
        for first, last, number in ranges:
            if first <= previous_last or last < first:
                raise ValueError(f'block at {ipaddress.ip_address(first)} overlaps or is unsorted')
            block_map._append(first, last, number)
            previous_last = last
        return block_map

    def lookup(self, address: str) -> int:
        """Return the number of the block that contains an address, or ``NO_BLOCK``."""
        try:
            integer = int(ipaddress.IPv4Address(address))
        except ipaddress.AddressValueError:
            return NO_BLOCK
        return self.lookup_integer(integer)

    def lookup_integer(self, address: int) -> int:
        """Return the number of the block that contains an integer address, or ``NO_BLOCK``."""
        return self._numbers[bisect.bisect_right(self._starts, address) - 1]

    @property
    def size_bytes(self) -> int:
        """Return the memory that the arrays use."""
        starts = len(self._starts) * self._starts.itemsize
        return starts + len(self._numbers) * self._numbers.itemsize

    def _append(self, first: int, last: int, number: int) -> None:
        if self._starts[-1] == first:
            self._numbers[-1] = number
        elif self._numbers[-1] != number:
            self._starts.append(first)
            self._numbers.append(number)
        if last < _ADDRESS_MAX:
            self._starts.append(last + 1)
            self._numbers.append(NO_BLOCK)
