"""Tests of the client block map."""

import ipaddress

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.helpers import block_map

ADDRESSES = strategies.integers(0, 2**32 - 1)


@hypothesis.given(strategies.sets(ADDRESSES, max_size=20), strategies.lists(ADDRESSES, max_size=20))
def test_lookup_equals_a_linear_search(bounds, addresses):
    """Guards against an address at the edge of a block that is mapped to the adjacent block."""
    sorted_bounds = sorted(bounds)
    ranges = [
        (first, last, number)
        for number, (first, last) in enumerate(
            zip(sorted_bounds[::2], sorted_bounds[1::2], strict=False)
        )
    ]
    client_blocks = block_map.BlockMap.build(ranges)
    for address in [*addresses, *sorted_bounds]:
        found = [number for first, last, number in ranges if first <= address <= last]
        assert client_blocks.lookup_integer(address) == (found[0] if found else block_map.NO_BLOCK)
        assert client_blocks.lookup(
            str(ipaddress.IPv4Address(address))
        ) == client_blocks.lookup_integer(address)


@pytest.mark.parametrize('ranges', [[(5, 9, 0), (9, 12, 1)], [(9, 12, 0), (1, 2, 1)], [(5, 4, 0)]])
def test_overlapping_or_unsorted_blocks_are_refused(ranges):
    """Guards against a map that returns the number of a wrong block."""
    with pytest.raises(ValueError, match='overlaps'):
        block_map.BlockMap.build(ranges)


@pytest.mark.parametrize('address', ['', 'host', '::1', '300.1.1.1'])
def test_malformed_address_has_no_block(address):
    """Guards against an exception for an address that is not IPv4."""
    assert block_map.BlockMap().lookup(address) == block_map.NO_BLOCK
