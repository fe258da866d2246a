"""Counts of one instance and the set of the parts of all, without a network.

Load pattern: steady requests of several accounts over windows of 5 s.
"""

import random

import pytest

from rhubarbspar.gateway.usage import clock
from rhubarbspar.gateway.usage import counting
from rhubarbspar.gateway.usage import messages
from rhubarbspar.gateway.usage import models
from rhubarbspar.gateway.usage import parts
from rhubarbspar.gateway.usage import tokens


@pytest.fixture
def counter():
    """Return a counter that began in window 10."""
    return counting.Counter('front-1', 'a', 10)


def make_part(instance_id='front-1', incarnation='a', window_id=10, version=1, **fields):
    """Return a part with one account."""
    complete = fields.pop('is_complete', True)
    counts = (models.AccountCount('workshop', fields.pop('count', 5)),)
    return messages.PartCounts(instance_id, incarnation, window_id, version, complete, counts)


def test_closed_window_has_ended_and_running_requests(counter):
    """Guards against requests that are left out because they take longer than a window."""
    counter.record(counting.Run('workshop', 10))
    (part,) = counter.take_parts([counting.Run('workshop', 10)], 11, 11)
    assert (part.window_id, part.is_complete) == (10, True)
    assert part.counts == (models.AccountCount('workshop', 2),)


def test_request_that_ends_after_its_window_was_closed_is_not_counted_again(counter):
    """Guards against requests that are counted as running and again at their end."""
    counter.take_parts([counting.Run('workshop', 10)], 11, 11)
    counter.record(counting.Run('workshop', 10))
    assert counter.take_parts([], 11, 11) == []


def test_running_request_that_turns_out_not_to_have_run_is_taken_back(counter):
    """Guards against refusals of full servers that are reported as runs."""
    (first,) = counter.take_parts([counting.Run('workshop', 10)], 10, 10)
    (second,) = counter.take_parts([], 10, 10)
    assert second.counts == ()
    assert second.version > first.version


def test_idle_instance_closes_its_windows(counter):
    """Guards against a holder that waits for instances without requests."""
    taken = counter.take_parts([], 12, 12)
    assert [(part.window_id, part.is_complete) for part in taken] == [(10, True), (11, True)]


def test_unchanged_counts_are_not_passed_on(counter):
    """Guards against messages at each interval from instances without requests."""
    counter.record(counting.Run('workshop', 10))
    assert len(counter.take_parts([], 10, 10)) == 1
    assert counter.take_parts([], 10, 10) == []


def test_order_and_repeats_of_parts_change_nothing():
    """Guards against counts that depend on the ways through the tree."""
    versions = [make_part(f'front-{n}', version=v, count=v) for n in range(5) for v in (1, 2, 3)]
    for seed in range(20):
        table = parts.PartTable()
        arrivals = versions * 2
        random.Random(seed).shuffle(arrivals)
        for part in arrivals:
            table.add(part, 'relay')
        assert table.sum_window(10).counts == (models.AccountCount('workshop', 15),)


def test_incarnations_of_an_instance_are_counted_beside_each_other():
    """Guards against a restarted instance whose former requests are forgotten."""
    table = parts.PartTable()
    table.add(make_part(incarnation='a', version=9), '')
    table.add(make_part(incarnation='b', version=1), '')
    assert table.sum_window(10).total == 10


def test_late_part_of_a_reported_window_is_dropped():
    """Guards against memory that grows with parts of old windows."""
    table = parts.PartTable()
    table.add(make_part(window_id=10), '')
    table.forget_before(11)
    assert not table.add(make_part(window_id=10, version=2), '')
    assert not table.kept


def test_window_is_incomplete_until_each_expected_instance_has_closed_it():
    """Guards against reports without the parts that are on their way."""
    table = parts.PartTable()
    expected = [parts.Incarnation('front-1', 'a'), parts.Incarnation('front-2', 'a')]
    table.add(make_part(), '')
    table.add(make_part('front-2', is_complete=False), '')
    assert table.missing(10, expected) == (expected[1],)
    table.add(make_part('front-2', version=2), '')
    assert table.missing(10, expected) == ()


def test_instance_that_began_later_is_not_waited_for():
    """Guards against reports that wait for instances which did not run in the window."""
    table = parts.PartTable()
    table.add(make_part('front-2', window_id=11), '')
    assert table.missing(10, [parts.Incarnation('front-2', 'a')]) == ()


@pytest.mark.parametrize('jump_ms', [-7000, 3000, 600_000])
def test_short_jump_of_the_time_of_day_does_not_change_true_time(jump_ms):
    """Guards against requests that are counted in windows seconds away."""
    time = clock.TrueTime()
    for now_ms in range(0, 60_000, 50):
        is_jumped = 20_000 <= now_ms < 45_000
        time.read(now_ms, 1e12 + now_ms + (jump_ms if is_jumped else 0))
        assert time.unix_ms(now_ms) == 1e12 + now_ms


def test_lasting_correction_of_the_time_of_day_is_followed():
    """Guards against windows that stay wrong after the clock was wrong at the start."""
    time = clock.TrueTime()
    time.read(0, 1e12 - 5000)
    for now_ms in range(50, 130_000, 50):
        time.read(now_ms, 1e12 + now_ms)
    assert time.unix_ms(130_000) == 1e12 + 130_000


def test_instance_that_starts_during_a_jump_adopts_the_time_of_its_peers():
    """Guards against an instance that counts in other windows than the rest for minutes."""
    time = clock.TrueTime()
    time.read(0, 1e12 + 4000)
    time.compare(1000, 1e12 + 980, 90_000)
    assert abs(time.unix_ms(1000) - (1e12 + 1000)) < 100
    time.compare(20_000, 1e12, 190_000)
    assert abs(time.unix_ms(20_000) - (1e12 + 20_000)) < 100


def test_tokens_rise_and_differ_between_instances():
    """Guards against two holders with one token after a restore of the store."""
    first = tokens.next_token(0, 1.8e12, 'front-1', 'a')
    second = tokens.next_token(first, 1.8e12 - 5000, 'front-2', 'a')
    third = tokens.next_token(first, 1.8e12 - 5000, 'front-3', 'a')
    assert first < second < 2**53
    assert first < third != second
