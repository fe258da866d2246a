"""Tests of the budget of what connections hold in memory."""

import hypothesis
import pytest
from hypothesis import strategies

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


class Message:
    """A message whose size is announced, or grows as it arrives."""

    def __init__(self, budget):
        """Hold nothing yet."""
        self.share = memory.Share(budget)
        self.is_waiting = False
        self.is_given_up = False

    def reserve(self, size_bytes):
        """Grow, or wait until that is possible."""
        self.is_waiting = not self.share.reserve(size_bytes, self._resume) and not self.is_given_up

    def grow(self, size_bytes):
        """Grow by a part of a body without a length."""
        self.share.mark_open_ended(self._give_up)
        self.reserve(self.share.size_bytes + size_bytes)

    def end(self):
        """Release what is held."""
        self.is_waiting = False
        self.share.release()

    def _resume(self):
        self.is_waiting = False

    def _give_up(self):
        self.is_given_up = True
        self.end()


STEPS = strategies.tuples(
    strategies.sampled_from(('announced', 'growing', 'end')),
    strategies.integers(0, 5),
    strategies.integers(1, 9_000_000),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.lists(STEPS, max_size=40))
def test_waiting_messages_are_served_in_the_end(steps):
    """Guards against messages that hold memory and wait for each other."""
    budget = memory.MemoryBudget(LIMIT_BYTES)
    slots = {}
    for kind, slot, size_bytes in steps:
        message = slots.setdefault(slot, Message(budget))
        if message.is_waiting:
            continue
        if kind == 'growing' and message.share.size_bytes + size_bytes < budget.message_max_bytes:
            message.grow(size_bytes)
        elif kind == 'announced' and not message.share.size_bytes:
            message.reserve(size_bytes)
        elif kind == 'end' or message.is_given_up:
            slots.pop(slot).end()
        assert budget.held_bytes <= LIMIT_BYTES
        assert budget.held_bytes == sum(each.share.size_bytes for each in slots.values())
    for _ in tuple(slots):
        served = [slot for slot, message in slots.items() if not message.is_waiting]
        assert served or not slots
        for slot in served:
            slots.pop(slot).end()
    assert not (slots or budget.held_bytes or budget.is_short)


@pytest.mark.parametrize(
    ('growing_kb', 'held_kb', 'wanted_kb', 'is_given_up'),
    [
        (8900, 0, 100, False),
        (8500, 0, 300, False),
        (8900, 0, 300, True),
        (4300, 4600, 300, False),
        (4400, 4500, 300, True),
        (2900, 6000, 5000, False),
        (3100, 5800, 5000, True),
    ],
)
def test_message_of_unknown_size_is_given_up_beyond_its_part_only(
    budget, growing_kb, held_kb, wanted_kb, is_given_up
):
    """Guards against large messages without a length that starve others, or are lost needlessly."""
    growing, held, wanted = Message(budget), Message(budget), Message(budget)
    growing.grow(growing_kb * 1000)
    held.reserve(held_kb * 1000)
    wanted.reserve(wanted_kb * 1000)
    assert growing.is_given_up == is_given_up
    assert not (growing.is_waiting or held.is_waiting or held.is_given_up)


@pytest.mark.parametrize('sizes', [(6_000_000, 6_000_000), (9_000_000, 4_000_000)])
def test_messages_of_known_size_are_never_given_up(budget, sizes):
    """Guards against an answer that is lost because another one is large as well."""
    first, second = Message(budget), Message(budget)
    first.reserve(sizes[0])
    second.reserve(sizes[1])
    assert second.is_waiting
    first.end()
    assert (second.is_waiting, budget.held_bytes) == (False, sizes[1])
