"""Rate and burst of client accounts over all instances."""

import pytest

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import quotas

RATE_PER_S = 100.0
ACCOUNT = models.ClientAccount('large', ('key',), None, RATE_PER_S, RATE_PER_S)


class Fleet:
    """Instances that report to each other every 500 ms."""

    def __init__(self, size):
        """Create the instances."""
        self.members = [quotas.Quotas() for _ in range(size)]
        self.admitted_ms = []

    def run(self, duration_ms, demand_per_s, cut=(), start_ms=0, account=ACCOUNT, report_ms=500):
        """Send requests evenly to all instances; those of ``cut`` neither hear nor are heard."""
        count = len(self.members)
        gap_ms = 1000 / demand_per_s
        next_report_ms = start_ms
        for number in range(int(duration_ms / gap_ms)):
            now_ms = start_ms + number * gap_ms
            while next_report_ms <= now_ms:
                self.exchange(next_report_ms, cut)
                next_report_ms += report_ms
            if self.members[number % count].admit(account, now_ms) is None:
                self.admitted_ms.append(now_ms)

    def exchange(self, now_ms, cut):
        """Let every instance hear every other, and notice who is silent."""
        for member in self.members:
            member.expire_peers(now_ms)
        reports = [member.report_changes(now_ms) for member in self.members]
        for sender, report in enumerate(reports):
            beat = messages.Heartbeat(f'i{sender}', 1, True, False, accounts=report)
            for receiver, member in enumerate(self.members):
                if sender != receiver and not {sender, receiver} & set(cut):
                    member.apply_heartbeat(str(sender), beat, now_ms)

    def most_in_window(self, window_ms=5000):
        """Return the most admissions in a sliding window."""
        times = self.admitted_ms
        return max(sum(first <= at < first + window_ms for at in times) for first in times)


def test_account_at_several_times_its_rate_is_held_to_it():
    """Guards against an account that gets its rate from every instance; replicated token bucket."""
    fleet = Fleet(8)
    fleet.run(15_000, 7 * RATE_PER_S)
    assert fleet.most_in_window() <= (5 * RATE_PER_S + RATE_PER_S) * 1.1 + 20
    assert len(fleet.admitted_ms) >= 0.9 * 15 * RATE_PER_S


def test_cut_off_instances_go_on_with_their_recent_share():
    """Guards against doubled admissions while some instances cannot hear the others."""
    fleet = Fleet(8)
    fleet.run(5000, 4 * RATE_PER_S)
    fleet.run(5000, 4 * RATE_PER_S, cut=(0, 1), start_ms=5000)
    assert fleet.most_in_window() <= (5 * RATE_PER_S + RATE_PER_S) * 1.1 + 20


@pytest.mark.parametrize('cut', [(0,), (0, 1, 2)])
def test_demand_that_grows_while_instances_are_cut_off_is_held_to_the_rate(cut):
    """Guards against sides of a cut fleet that each take the other's demand for small."""
    fleet = Fleet(10)
    fleet.run(5000, 0.6 * RATE_PER_S)
    fleet.run(3000, 0.6 * RATE_PER_S, cut=cut, start_ms=5000)
    fleet.run(6000, 5 * RATE_PER_S, cut=cut, start_ms=8000)
    assert fleet.most_in_window() <= (5 * RATE_PER_S + RATE_PER_S) * 1.1 + 20


def test_account_within_its_rate_is_not_refused():
    """Guards against wrongful refusals at 0.8 of the rate."""
    fleet = Fleet(8)
    fleet.run(10_000, 0.8 * RATE_PER_S)
    assert len(fleet.admitted_ms) >= 0.99 * 8 * RATE_PER_S


def test_account_without_a_rate_is_not_limited():
    """Guards against a limit that nobody set."""
    unlimited = models.ClientAccount('free', ('key',), None, 0, 0)
    assert all(quotas.Quotas().admit(unlimited, 0) is None for _ in range(1000))


def test_unchanged_use_is_reported_once():
    """Guards against heartbeats that grow with the number of accounts instead of their requests."""
    member = quotas.Quotas()
    member.admit(ACCOUNT, 1000)
    first = member.report_changes(1000)
    assert [use.admitted for use in first] == [1]
    assert not member.report_changes(1000)
    (ended,) = member.report_changes(20_000)
    assert ended.demand_per_s == 0
    assert not member.report_changes(40_000)
    assert member.report(40_000) == (ended,)


def test_silent_peer_no_longer_counts_after_its_callers_have_moved():
    """Guards against a part of the rate that stays reserved for a lost instance."""
    member = quotas.Quotas()
    member.admit(ACCOUNT, 0)
    use = messages.AccountUsage(ACCOUNT.account_id, 500, 3 * RATE_PER_S)
    member.apply_heartbeat('1', messages.Heartbeat('i1', 1, True, False, accounts=(use,)), 0)
    assert member.accounts[ACCOUNT.account_id].others_per_s == 3 * RATE_PER_S
    member.expire_peers(quotas.REPORT_KEPT_MS + 1)
    assert member.accounts[ACCOUNT.account_id].others_per_s == 0


def test_restarted_peer_replaces_its_former_demand():
    """Guards against demand that is counted for both lives of a peer."""
    member = quotas.Quotas()
    use = messages.AccountUsage(ACCOUNT.account_id, 500, 30)
    for incarnation in ('i1', 'i2'):
        beat = messages.Heartbeat(incarnation, 1, True, False, accounts=(use,))
        member.apply_heartbeat('1', beat, 0)
    assert member.accounts[ACCOUNT.account_id].others_per_s == 30


def test_requests_sent_together_are_admitted_in_a_large_fleet():
    """Guards against refusals of a small account whose callers send several requests at once."""
    small = models.ClientAccount('small', ('key',), None, 10, 10)
    members = [quotas.Quotas() for _ in range(69)]
    refused = 0
    for second in range(20):
        now_ms = second * 1000.0
        reports = [member.report_changes(now_ms) for member in members]
        for sender, report in enumerate(reports):
            beat = messages.Heartbeat(f'i{sender}', 1, True, False, accounts=report)
            for receiver, member in enumerate(members):
                if sender != receiver:
                    member.apply_heartbeat(str(sender), beat, now_ms)
        for burst in range(2):
            member = members[(second * 2 + burst) * 7 % len(members)]
            for _ in range(3):
                refused += member.admit(small, now_ms + 500 * burst) is not None
    assert refused == 0


def test_small_account_at_several_times_its_rate_is_held_to_it_in_a_large_fleet():
    """Guards against a local burst that adds up over many instances."""
    small = models.ClientAccount('small', ('key',), None, 10, 10)
    fleet = Fleet(69)
    fleet.run(15_000, 83, account=small, report_ms=1000)
    assert fleet.most_in_window() <= (5 * 10 + 10) * 1.1 + 20


def test_peers_that_are_heard_again_leave_no_silent_demand():
    """Guards against a fleet that is taken for cut because of rounding."""
    member = quotas.Quotas()
    member.admit(ACCOUNT, 0)
    demands = {'1': 0.3, '2': 0.6, '3': 0.7}
    for now_ms in (0, 5000):
        for peer_id, demand_per_s in demands.items():
            use = messages.AccountUsage(ACCOUNT.account_id, 0, demand_per_s)
            beat = messages.Heartbeat('i1', 1, True, False, accounts=(use,))
            member.apply_heartbeat(peer_id, beat, now_ms)
        silent_per_s = member.accounts[ACCOUNT.account_id].silent_per_s
        assert silent_per_s == 0
        member.expire_peers(now_ms + quotas.SILENT_MS + 1)
        assert member.accounts[ACCOUNT.account_id].silent_per_s > 1
