"""Ranks of requests at a service: urgencies, starvation, and max-min shares of accounts.

Pattern of the load: at a short service, one account sends several times what the others send.
"""

import pytest

from rhubarbspar.gateway.scheduling import models
from rhubarbspar.gateway.scheduling import service_use

FIRST, LESS_URGENT, OVER_SHARE = models.Rank
WORK_MS = 500.0


@pytest.fixture
def use():
    """Return the use of a service that nothing has used yet."""
    return service_use.ServiceUse()


def flood(use, sent_every):
    """Let one account ask for ten times as much as four others; every nth request is sent."""
    for number in range(70):
        account_id = f'small-{number % 5}' if number % 5 == 0 or number > 50 else 'large'
        use.record_request(0, account_id, WORK_MS, number * 50)
        use.record_result(0, number * 50, is_sent=number % sent_every == 0)
    return 70 * 50


def test_account_far_above_its_share_of_a_short_service_makes_way(use):
    """Guards against an account at several times its usual load that takes from the others."""
    use.mark_short(0)
    now_ms = flood(use, 2)
    assert use.rank(0, 'large', now_ms) == OVER_SHARE
    assert use.rank(0, 'small-1', now_ms) == FIRST
    assert use.rank(0, 'unknown', now_ms) == FIRST


def test_no_account_makes_way_without_a_shortage(use):
    """Guards against waits, state and cost while there is room for all."""
    now_ms = flood(use, 2)
    assert use.rank(0, 'large', now_ms) == FIRST
    assert not (use.demands or use.tallies)


def test_account_gets_what_the_others_leave(use):
    """Guards against restraining a large account although all of the demand is served."""
    use.mark_short(0)
    assert use.rank(0, 'large', flood(use, 1)) == FIRST


@pytest.mark.parametrize('accounts', [1, 4])
def test_accounts_that_ask_for_the_same_do_not_make_way(use, accounts):
    """Guards against a service at which everyone waits and nobody gains."""
    use.mark_short(0)
    for number in range(60):
        use.record_request(0, f'account-{number % accounts}', WORK_MS, number * 50)
        use.record_result(0, number * 50, is_sent=number % 4 == 0)
    assert use.rank(0, 'account-0', 3000) == FIRST


def test_account_with_few_requests_is_not_above_its_share(use):
    """Guards against an account that yields to a few requests that came together by chance."""
    use.mark_short(0)
    for number in range(5):
        use.record_request(0, 'pair', WORK_MS, number)
    for number in range(20):
        use.record_result(0, number, is_sent=not number)
    assert use.rank(0, 'pair', 100) == FIRST


def test_requests_without_an_account_are_not_one_account(use):
    """Guards against public routes whose callers are all taken for one."""
    use.mark_short(0)
    for number in range(50):
        use.record_request(0, '', WORK_MS, number * 50)
        use.record_result(0, number * 50, is_sent=number % 2 == 0)
    assert use.rank(0, '', 2500) == FIRST


def test_shortage_ends(use):
    """Guards against an account that yields to the rest of the day."""
    use.mark_short(0)
    now_ms = flood(use, 2) + service_use.SHORT_MS
    assert use.rank(0, 'large', now_ms) == FIRST
    use.record_request(0, 'large', WORK_MS, now_ms)
    assert not use.demands


def test_less_urgent_kind_makes_way_while_a_more_urgent_one_uses_the_service(use):
    """Guards against waits for a kind of request that uses the service no longer."""
    use.record_request(1, 'a', WORK_MS, 0)
    use.record_request(2, 'a', WORK_MS, 0)
    assert use.rank(1, 'a', 0) == FIRST
    assert use.rank(2, 'a', service_use.PRESENT_MS) == LESS_URGENT
    assert use.rank(2, 'a', service_use.PRESENT_MS + 1) == FIRST


def test_kind_that_is_hardly_sent_is_starved(use):
    """Guards against a kind that is served less than a quarter as often as all requests."""
    use.record_request(1, 'a', WORK_MS, 0)
    use.record_request(2, 'a', WORK_MS, 0)
    for number in range(20):
        use.record_result(1, number, is_sent=True)
        use.record_result(2, number, is_sent=number % 2 == 0)
    assert not use.is_starved(2, 20)
    for number in range(20):
        use.record_result(2, 20 + number, is_sent=False)
    assert use.is_starved(2, 40)
