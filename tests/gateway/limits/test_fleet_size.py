"""Number of instances among which the limits of the fleet are divided."""

import pytest

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.limits import budget
from rhubarbspar.gateway.limits import fleet_size
from rhubarbspar.gateway.limits import quotas
from tests.gateway import conftest

INSTANCES = 69
ALLOWANCE = 56
LIMITS = budget.BudgetLimits(0.2, ALLOWANCE, 10_000)
REQUESTS = 10
# Requests permitted as retries: the ratio of those of each instance, and the allowance.
RETRIES_MAX = 0.2 * INSTANCES * REQUESTS + ALLOWANCE


def make_instance(number, known_count, *, settled):
    """Return an instance with two servers that knows some of the fleet."""
    gateway = conftest.Gateway()
    gateway.state.budget = budget.RetryBudget(LIMITS)
    gateway.state.fleet.own_member = models.Member(
        f'front-{number}', 'i', 'almaty-a', 'almaty', '', ''
    )
    gateway.state.fleet.sizes = fleet_size.SizeHistory()
    gateway.configure(conftest.READS)
    for server_id in ('stock-1', 'stock-2'):
        gateway.add_server(server_id)
    for other in range(known_count):
        if other != number:
            member = models.Member(f'front-{other}', 'i', 'almaty-a', 'almaty', '', '')
            gateway.declare(f'members/front-{other}', member)
    gateway.advance(250)
    if settled:
        gateway.advance(LIMITS.window_ms)
    return gateway


def count_retries(gateway, requests):
    """Send requests that no server runs; return how often they were sent again."""
    retries = 0
    for _ in range(requests):
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        while started is not None:
            not_run = conftest.ended(started, events.AttemptResult.NOT_RUN, status=503)
            outputs = gateway.reduce(not_run)
            again = [output for output in outputs if isinstance(output, effects.StartAttempt)]
            started = again[0] if again else None
            retries += len(again)
        for view in gateway.state.servers.views.values():
            view.turned_away_until_ms = 0
    return retries


@pytest.mark.parametrize(('known_count', 'settled'), [(1, False), (INSTANCES, True)])
def test_retries_of_a_large_fleet_keep_to_the_budget(known_count, settled):
    """Guards against instances that each use the allowance of the whole fleet.

    They have just started and know no other, or know all.
    """
    instances = [make_instance(number, known_count, settled=settled) for number in range(INSTANCES)]
    retries = sum(count_retries(instance, REQUESTS) for instance in instances)
    assert retries <= RETRIES_MAX
    assert retries


def test_restarted_instances_do_not_spend_their_allowance_again():
    """Guards against a fleet whose processes restart in turn and each begin a new allowance."""
    spent = 0
    for start_ms in (0, 3000, 6000):
        for number in range(8):
            restarted = budget.RetryBudget(LIMITS)
            known_for_ms = LIMITS.window_ms if start_ms == 0 else 2900
            size = fleet_size.FleetSize(8, known_for_ms)
            while restarted.try_acquire('stock', f'front-{number}', size, start_ms + 2900):
                spent += 1
    assert 0 < spent <= ALLOWANCE


def test_some_instances_may_retry_in_a_quiet_service():
    """Guards against a large fleet in which nobody has a whole retry."""
    owner_ids = [f'front-{number}' for number in range(INSTANCES)]
    size = fleet_size.FleetSize(INSTANCES, LIMITS.window_ms)
    for window in range(20):
        now_ms = window * LIMITS.window_ms
        budgets = [budget.RetryBudget(LIMITS) for _ in owner_ids]
        permitted = sum(
            each.try_acquire('stock', owner_id, size, now_ms)
            for each, owner_id in zip(budgets, owner_ids, strict=True)
        )
        # Two windows may lie within one of the operators.
        assert 0 < permitted <= ALLOWANCE / 2


def test_lapsed_registrations_do_not_enlarge_the_shares(gateway):
    """Guards against an instance that takes the shares of others which serve while cut off."""
    for number in range(2, 9):
        member = models.Member(f'front-{number}', 'i', 'almaty-a', 'almaty', '', '')
        gateway.declare(f'members/front-{number}', member)
    gateway.advance(20_000)
    for number in range(2, 9):
        gateway.declare(f'members/front-{number}', None)
    gateway.advance(20_000)
    assert not gateway.state.fleet.peers
    assert gateway.state.fleet.size(gateway.now_ms).instances == 8
    later_ms = gateway.now_ms + 3 * fleet_size.SHRINK_MS
    gateway.state.fleet.size(later_ms - fleet_size.SHRINK_MS * 1.5)
    assert gateway.state.fleet.size(later_ms).instances == 1


def test_first_requests_after_a_start_find_the_shares_divided():
    """Guards against the moment between the first read of the store and the next check."""
    gateway = conftest.Gateway()
    gateway.state.fleet.sizes = fleet_size.SizeHistory()
    gateway.advance(100)
    records = []
    for number in range(2, 9):
        member = models.Member(f'front-{number}', 'i', 'almaty-a', 'almaty', '', '')
        gateway.records[b'%d' % number] = member
        records.append(events.RecordRead(f'members/front-{number}', number, b'%d' % number))
    gateway.reduce(events.StoreSnapshot(tuple(records), 9))
    assert gateway.state.quotas.division.start_share == quotas.START_EQUAL_PARTS / 8


@pytest.mark.parametrize('settled', [True, False])
def test_least_share_of_a_burst_is_divided_among_all_instances(settled):
    """Guards against a fleet that has just started and admits many times the burst."""
    gateway = make_instance(0, INSTANCES, settled=settled)
    division = gateway.state.quotas.division
    assert division.least_share * INSTANCES <= 1.5 + 1e-9
    assert (division.start_share is None) == settled
    if not settled:
        assert division.start_share * INSTANCES <= quotas.START_EQUAL_PARTS + 1e-9
