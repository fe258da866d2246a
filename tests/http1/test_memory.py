"""Tests of the budget of what connections hold in memory."""

import pytest

from rhubarbspar.http1 import memory

LIMIT_BYTES = 10_000_000
LARGE_BYTES = 6_000_000


@pytest.fixture
def budget():
    """Return an empty budget."""
    return memory.MemoryBudget(LIMIT_BYTES)


def test_sum_of_all_shares_is_bounded(budget):
    """Guards against limits of each message that no sum bounds."""
    resumed = []
    first, second = memory.Share(budget), memory.Share(budget)
    assert first.reserve(LARGE_BYTES, lambda: resumed.append(1))
    assert not second.reserve(LARGE_BYTES, lambda: resumed.append(2))
    assert budget.held_bytes == LARGE_BYTES
    first.release()
    assert (resumed, budget.held_bytes) == ([2], LARGE_BYTES)


def test_small_message_fits_beside_large_ones(budget):
    """Guards against ordinary requests that wait for large bodies."""
    large = memory.Share(budget)
    assert large.reserve(int(budget.message_max_bytes), pytest.fail)
    assert memory.Share(budget).reserve(memory.SMALL_MAX_BYTES, pytest.fail)
    assert not memory.Share(budget).reserve(memory.SMALL_MAX_BYTES + 1, pytest.fail)


def test_share_that_grows_large_counts_as_large(budget):
    """Guards against bodies of unknown length that take the part that is left to small ones."""
    growing = memory.Share(budget)
    size_bytes = 0
    while growing.reserve(size_bytes + 65_536, lambda: None):
        size_bytes += 65_536
    assert growing.size_bytes <= budget.message_max_bytes
    assert memory.Share(budget).reserve(memory.SMALL_MAX_BYTES, pytest.fail)


def test_part_waits_for_nothing_else_and_counts_in_the_whole(budget):
    """Guards against reads of the store that wait for callers, or that no sum counts."""
    resumed = []
    memory.Share(budget).hold(LIMIT_BYTES)
    part = budget.part(LARGE_BYTES)
    first = memory.Share(part)
    assert first.reserve(LARGE_BYTES, pytest.fail)
    assert not memory.Share(part).reserve(LARGE_BYTES, lambda: resumed.append(1))
    assert budget.held_bytes == LIMIT_BYTES + LARGE_BYTES
    assert not memory.Share(budget).reserve(1, pytest.fail)
    first.release()
    assert resumed


def test_whole_serves_those_who_wait_when_a_part_is_released(budget):
    """Guards against callers that wait on after the store has been read."""
    resumed = []
    read = memory.Share(budget.part(LARGE_BYTES))
    read.reserve(LARGE_BYTES, pytest.fail)
    assert not memory.Share(budget).reserve(LARGE_BYTES, lambda: resumed.append(1))
    read.release()
    assert resumed


def test_released_share_waits_no_more(budget):
    """Guards against a closed connection that is resumed."""
    first, second = memory.Share(budget), memory.Share(budget)
    first.reserve(LARGE_BYTES, pytest.fail)
    second.reserve(LARGE_BYTES, pytest.fail)
    assert budget.is_short
    second.release()
    assert not budget.is_short
    first.release()
    assert not budget.held_bytes


def test_bytes_in_memory_count_even_beyond_the_limit(budget):
    """Guards against bytes that are held but not counted because they did not fit."""
    arrived = memory.Share(budget)
    arrived.hold(LIMIT_BYTES + 1)
    assert budget.held_bytes == LIMIT_BYTES + 1
    assert not memory.Share(budget).reserve(1, lambda: None)
