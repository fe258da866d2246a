"""Order of the requests that wait for capacity."""

import pytest

from rhubarbspar.gateway.scheduling import fair_queue
from rhubarbspar.gateway.scheduling import models


def make_waiting(number, account_id='a', urgency=1, due_ms=5000.0, cost_ms=100.0):
    """Return a waiting request."""
    return models.WaitingRequest(
        number, urgency, account_id, cost_ms, 0, due_ms, due_ms - cost_ms, 0
    )


def drain(queue, count=None):
    """Send the waiting requests in order; return their numbers."""
    numbers = []
    while queue and len(numbers) != count:
        numbers.append(queue.head().request_number)
        queue.remove(numbers[-1], is_sent=True)
    return numbers


@pytest.fixture
def queue():
    """Return an empty queue."""
    return fair_queue.FairQueue()


def test_more_urgent_requests_go_first(queue):
    """Guards against a less urgent request that is sent while a more urgent one waits."""
    for number, urgency in enumerate((2, 0, 1)):
        queue.push(make_waiting(number, urgency=urgency))
    assert drain(queue) == [1, 2, 0]


def test_requests_of_an_account_go_by_deadline(queue):
    """Guards against a request that misses its deadline behind one with more time."""
    for number, due_ms in enumerate((3000, 1000, 2000)):
        queue.push(make_waiting(number, due_ms=due_ms))
    assert drain(queue) == [1, 2, 0]


def test_accounts_share_by_processing_time_however_many_requests_they_have(queue):
    """Guards against an account that gets more of a short service because it sends more."""
    for number in range(30):
        queue.push(make_waiting(number, 'large', cost_ms=100))
    for number in range(100, 104):
        queue.push(make_waiting(number, 'small', cost_ms=100))
    for number in range(200, 202):
        queue.push(make_waiting(number, 'long', cost_ms=200))
    sent = drain(queue, 10)
    assert [number for number in sent if number < 100] == list(range(4))
    assert {number for number in sent if number >= 100} == {100, 101, 102, 103, 200, 201}


def test_account_that_was_idle_gets_no_credit_for_that_time(queue):
    """Guards against an account that starves the others when it returns after a while."""
    for number in range(20):
        queue.push(make_waiting(number, 'steady'))
    drain(queue, 10)
    for number in range(100, 110):
        queue.push(make_waiting(number, 'returning'))
    sent = drain(queue, 6)
    assert sum(number < 100 for number in sent) == 3


def test_account_stays_charged_while_it_has_nothing_waiting(queue):
    """Guards against an account that gets ahead by sending its requests one by one."""
    queue.push(make_waiting(1, 'a'))
    queue.push(make_waiting(2, 'b'))
    queue.push(make_waiting(3, 'b'))
    assert drain(queue, 1) == [1]
    queue.push(make_waiting(4, 'a'))
    assert drain(queue, 1) == [2]


def test_removed_requests_are_forgotten(queue):
    """Guards against a queue that grows by requests whose callers have left."""
    for number in range(3):
        queue.push(make_waiting(number))
    assert queue.remove(1).request_number == 1
    assert queue.remove(1) is None
    assert len(queue) == 2
    assert drain(queue) == [0, 2]
    assert queue.head() is None


def test_requests_that_must_go_now_are_known(queue):
    """Guards against a request that waits until it cannot be in time any more."""
    queue.push(make_waiting(1, due_ms=1000, cost_ms=200))
    queue.push(make_waiting(2, due_ms=2000, cost_ms=200))
    assert [waiting.request_number for waiting in queue.due(800)] == [1]


def test_count_ahead_is_that_of_the_fair_order(queue):
    """Guards against refusing a small account for the long queue of a large one."""
    for number in range(20):
        queue.push(make_waiting(number, 'large'))
    queue.push(make_waiting(100, 'urgent', urgency=0))
    assert queue.count_ahead(1, 'small') == 1 + 1
    assert queue.count_ahead(1, 'large') == 1 + 20
    assert queue.count_ahead(0, 'large') == 1


def test_first_to_give_up_is_the_longest_account_of_the_least_urgent(queue):
    """Guards against refusing an account within its share when the queue is full."""
    queue.push(make_waiting(1, 'urgent', urgency=0))
    for number in (2, 3):
        queue.push(make_waiting(number, 'large', due_ms=1000 * number))
    queue.push(make_waiting(4, 'small', due_ms=9000))
    assert queue.last().request_number == 3
