"""Whether a request that yields is sent, waits, or is refused."""

import dataclasses
import math

import pytest

from rhubarbspar.gateway import const
from rhubarbspar.gateway.scheduling import decisions
from rhubarbspar.gateway.scheduling import models

LESS_URGENT = models.Rank.LESS_URGENT
DUE_MS = 10_000
FREE = models.Candidate(load=2, slots=3, report_age_ms=100, wait_ms=0, processing_ms=2000)
FULL = dataclasses.replace(FREE, load=3, wait_ms=600)
LATEST_MS = decisions.latest_ms(FULL.processing_ms, DUE_MS)


def test_less_urgent_request_takes_a_free_slot():
    """Guards against slots that stay idle while requests wait."""
    assert decisions.decide(FREE, LESS_URGENT, DUE_MS, 0) == models.Send()


def test_less_urgent_request_leaves_the_queue_of_servers_to_others():
    """Guards against long work in front of urgent requests."""
    assert decisions.decide(FULL, LESS_URGENT, DUE_MS, 0) == models.Wait(LATEST_MS)


def test_first_request_does_not_wait():
    """Guards against a wait of the most urgent requests."""
    assert decisions.decide(FULL, models.Rank.FIRST, DUE_MS, 0) == models.Send()


@pytest.mark.parametrize('age_ms', [decisions.REPORT_AGE_MAX_MS + 1, math.inf])
def test_request_is_sent_if_the_load_is_unknown(age_ms):
    """Guards against an instance without reports that serves nobody."""
    unknown = dataclasses.replace(FULL, report_age_ms=age_ms)
    assert decisions.decide(unknown, LESS_URGENT, DUE_MS, 0) == models.Send()


def test_request_joins_a_short_queue_at_its_last_time():
    """Guards against starvation of less urgent requests."""
    sent = decisions.decide(FULL, LESS_URGENT, DUE_MS, LATEST_MS, is_starved=True)
    assert sent == models.Send()


def test_request_that_is_not_starved_joins_no_queue():
    """Guards against late audits that make uploads late, though enough audits are served."""
    assert isinstance(decisions.decide(FULL, LESS_URGENT, DUE_MS, LATEST_MS), models.Refuse)


def test_kept_slot_is_left_free_until_the_last_time():
    """Guards against urgent requests that always find all slots taken by long work."""
    kept = dataclasses.replace(FREE, kept_slots=1)
    assert decisions.decide(kept, LESS_URGENT, DUE_MS, 0) == models.Wait(LATEST_MS)
    assert decisions.decide(kept, LESS_URGENT, DUE_MS, LATEST_MS) == models.Send()


def test_part_of_the_servers_keeps_a_slot():
    """Guards against slots that are kept at all servers or at none."""
    kept = [decisions.kept_slots(f'server-{number}', 3) for number in range(100)]
    assert set(kept) == {0, 1}
    assert 25 <= sum(kept) <= 55
    assert decisions.kept_slots('server-1', 1) == 0


def test_request_that_cannot_be_in_time_is_refused():
    """Guards against servers that work on requests whose callers have given up."""
    late = dataclasses.replace(FULL, wait_ms=5000)
    decision = decisions.decide(late, LESS_URGENT, DUE_MS, LATEST_MS, is_starved=True)
    assert decision.reason == const.REASON_LESS_URGENT
    assert 0 < decision.retry_after_ms <= (DUE_MS - LATEST_MS) / 3


def test_request_at_its_last_time_does_not_join_a_long_queue():
    """Guards against queues of less urgent requests at servers, which make urgent ones late."""
    long_queue = dataclasses.replace(FULL, load=6)
    decision = decisions.decide(long_queue, LESS_URGENT, DUE_MS, LATEST_MS, is_starved=True)
    assert isinstance(decision, models.Refuse)


def test_retry_time_is_one_that_callers_honour():
    """Guards against a time to retry beyond a third of the remaining time, which callers ignore."""
    assert decisions.retry_after_ms(5000, 3000, 0) == 1000
    assert decisions.retry_after_ms(200, 3000, 0) == 200
