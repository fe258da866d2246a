"""Rate limits of client accounts over all instances."""

import pytest

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.limits import quotas

RATE_PER_S = 100.0
ACCOUNT = models.ClientAccount('large', ('key',), None, RATE_PER_S, RATE_PER_S)


class Fleet:
    """Instances that send each other heartbeats, every 500 ms unless a test says otherwise."""

    def __init__(self, size):
        """Create the instances."""
        self.instances = [quotas.Quotas() for _ in range(size)]
        self.admitted_ms = []

    def run(
        self, duration_ms, demand_per_s, isolated=(), start_ms=0, account=ACCOUNT, report_ms=500
    ):
        """Send requests evenly to all instances; no heartbeat passes to or from ``isolated``."""
        count = len(self.instances)
        gap_ms = 1000 / demand_per_s
        next_report_ms = start_ms
        for number in range(int(duration_ms / gap_ms)):
            now_ms = start_ms + number * gap_ms
            while next_report_ms <= now_ms:
                self.exchange_heartbeats(next_report_ms, isolated)
                next_report_ms += report_ms
            if self.instances[number % count].admit(account, now_ms) is None:
                self.admitted_ms.append(now_ms)

    def exchange_heartbeats(self, now_ms, isolated):
        """Deliver the heartbeats between all instances that are not isolated."""
        for instance in self.instances:
            instance.expire_peers(now_ms)
        reports = [instance.report_changes(now_ms) for instance in self.instances]
        for sender, report in enumerate(reports):
            heartbeat = messages.Heartbeat(f'i{sender}', 1, True, False, accounts=report)
            for receiver, instance in enumerate(self.instances):
                if sender != receiver and not {sender, receiver} & set(isolated):
                    instance.apply_heartbeat(str(sender), heartbeat, now_ms)

    def most_in_window(self, window_ms=5000):
        """Return the maximum number of admitted requests in a sliding window."""
        times = self.admitted_ms
        return max(sum(first <= at < first + window_ms for at in times) for first in times)


def test_account_over_its_rate_is_limited_to_it():
    """Guards against an account that gets its full rate at every instance."""
    fleet = Fleet(8)
    fleet.run(15_000, 7 * RATE_PER_S)
    assert fleet.most_in_window() <= (5 * RATE_PER_S + RATE_PER_S) * 1.1 + 20
    assert len(fleet.admitted_ms) >= 0.9 * 15 * RATE_PER_S


def test_isolated_instances_keep_their_share_of_the_rate():
    """Guards against more admissions than the rate while some instances are isolated."""
    fleet = Fleet(8)
    fleet.run(5000, 4 * RATE_PER_S)
    fleet.run(5000, 4 * RATE_PER_S, isolated=(0, 1), start_ms=5000)
    assert fleet.most_in_window() <= (5 * RATE_PER_S + RATE_PER_S) * 1.1 + 20


@pytest.mark.parametrize('isolated', [(0,), (0, 1, 2)])
def test_demand_that_grows_during_a_partition_is_limited_to_the_rate(isolated):
    """Guards against sides of a partitioned fleet that underestimate the demand of the other side.

    Each side only knows the demand of the other one from before the partition.
    """
    fleet = Fleet(10)
    fleet.run(5000, 0.6 * RATE_PER_S)
    fleet.run(3000, 0.6 * RATE_PER_S, isolated=isolated, start_ms=5000)
    fleet.run(6000, 5 * RATE_PER_S, isolated=isolated, start_ms=8000)
    assert fleet.most_in_window() <= (5 * RATE_PER_S + RATE_PER_S) * 1.1 + 20


def test_account_within_its_rate_is_not_refused():
    """Guards against refusals of an account at 0.8 of its rate."""
    fleet = Fleet(8)
    fleet.run(10_000, 0.8 * RATE_PER_S)
    assert len(fleet.admitted_ms) >= 0.99 * 8 * RATE_PER_S


def test_account_without_a_rate_is_not_limited():
    """Guards against a limit for accounts whose configured rate is 0."""
    unlimited = models.ClientAccount('free', ('key',), None, 0, 0)
    assert all(quotas.Quotas().admit(unlimited, 0) is None for _ in range(1000))


def test_unchanged_account_is_reported_once():
    """Guards against heartbeats that grow with all accounts instead of the active ones."""
    instance = quotas.Quotas()
    instance.admit(ACCOUNT, 1000)
    first = instance.report_changes(1000)
    assert [use.admitted for use in first] == [1]
    assert not instance.report_changes(1000)
    (ended,) = instance.report_changes(20_000)
    assert ended.demand_per_s == 0
    assert not instance.report_changes(40_000)
    assert instance.report(40_000) == (ended,)


def test_demand_of_a_lost_peer_expires():
    """Guards against a share of the rate that stays reserved for a lost instance."""
    instance = quotas.Quotas()
    instance.admit(ACCOUNT, 0)
    use = messages.AccountUsage(ACCOUNT.account_id, 500, 3 * RATE_PER_S)
    instance.apply_heartbeat('1', messages.Heartbeat('i1', 1, True, False, accounts=(use,)), 0)
    assert instance.accounts[ACCOUNT.account_id].peer_demand_per_s == 3 * RATE_PER_S
    instance.expire_peers(quotas.PEER_KEPT_MS + 1)
    assert instance.accounts[ACCOUNT.account_id].peer_demand_per_s == 0


def test_restarted_peer_replaces_its_former_demand():
    """Guards against demand that is counted for two incarnations of a peer."""
    instance = quotas.Quotas()
    use = messages.AccountUsage(ACCOUNT.account_id, 500, 30)
    for incarnation in ('i1', 'i2'):
        heartbeat = messages.Heartbeat(incarnation, 1, True, False, accounts=(use,))
        instance.apply_heartbeat('1', heartbeat, 0)
    assert instance.accounts[ACCOUNT.account_id].peer_demand_per_s == 30


def test_small_bursts_are_admitted_in_a_large_fleet():
    """Guards against refusals of a small account whose callers send a few requests at once."""
    small = models.ClientAccount('small', ('key',), None, 10, 10)
    instances = [quotas.Quotas() for _ in range(69)]
    refused = 0
    for second in range(20):
        now_ms = second * 1000.0
        reports = [instance.report_changes(now_ms) for instance in instances]
        for sender, report in enumerate(reports):
            heartbeat = messages.Heartbeat(f'i{sender}', 1, True, False, accounts=report)
            for receiver, instance in enumerate(instances):
                if sender != receiver:
                    instance.apply_heartbeat(str(sender), heartbeat, now_ms)
        for burst in range(2):
            instance = instances[(second * 2 + burst) * 7 % len(instances)]
            for _ in range(3):
                refused += instance.admit(small, now_ms + 500 * burst) is not None
    assert refused == 0


def test_small_account_over_its_rate_is_limited_to_it_in_a_large_fleet():
    """Guards against local bursts that add up over many instances."""
    small = models.ClientAccount('small', ('key',), None, 10, 10)
    fleet = Fleet(69)
    fleet.run(15_000, 83, account=small, report_ms=1000)
    assert fleet.most_in_window() <= (5 * 10 + 10) * 1.1 + 20


def test_silent_demand_is_zero_after_all_peers_are_heard_again():
    """Guards against a fleet that counts as partitioned because of a rounding error."""
    instance = quotas.Quotas()
    instance.admit(ACCOUNT, 0)
    demands = {'1': 0.3, '2': 0.6, '3': 0.7}
    for now_ms in (0, 5000):
        for peer_id, demand_per_s in demands.items():
            use = messages.AccountUsage(ACCOUNT.account_id, 0, demand_per_s)
            heartbeat = messages.Heartbeat('i1', 1, True, False, accounts=(use,))
            instance.apply_heartbeat(peer_id, heartbeat, now_ms)
        silent_demand_per_s = instance.accounts[ACCOUNT.account_id].silent_demand_per_s
        assert silent_demand_per_s == 0
        instance.expire_peers(now_ms + quotas.SILENT_MS + 1)
        assert instance.accounts[ACCOUNT.account_id].silent_demand_per_s > 1
