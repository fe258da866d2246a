"""Bounded changes of the regions in which requests run."""

from rhubarbspar.gateway import traffic_shifts


def feed(shares, regions, start_ms, count=400):
    """Send 40 requests a second to the regions in turn; return the time after them."""
    now_ms = start_ms
    for number in range(count):
        now_ms += 25
        shares.note(regions[number % len(regions)], now_ms)
    return now_ms


def test_steady_shares_cost_nothing():
    """Guards against a limit that works without a shift; rate-limited traffic shift."""
    shares = traffic_shifts.RegionShares()
    feed(shares, ['near', 'near', 'far'], 0)
    assert shares.cost('near') == 0
    assert shares.cost('far') == 0


def test_sudden_shift_becomes_costly_and_then_normal():
    """Guards against a region that takes over another's requests within two seconds."""
    shares = traffic_shifts.RegionShares()
    now_ms = feed(shares, ['near'], 0)
    now_ms = feed(shares, ['far'], now_ms, count=40)
    assert shares.cost('far') > 1
    assert shares.cost('near') == 0
    feed(shares, ['far'], now_ms, count=800)
    assert shares.cost('far') == 0


def test_few_requests_say_nothing():
    """Guards against a limit that a handful of requests trigger."""
    shares = traffic_shifts.RegionShares()
    shares.note('far', 0)
    assert shares.cost('far') == 0


def test_first_requests_follow_the_slots_of_the_regions():
    """Guards against a small region that fills up at the start and then sheds half of its requests."""
    shares = traffic_shifts.RegionShares()
    shares.seed({'small': 2, 'middle': 4, 'large': 6}, 'small', 0)
    assert shares.longer.share('small') == 0.5
    assert shares.longer.share('large') == 0.5
    feed(shares, ['small'], 0, count=20)
    assert shares.cost('small') > 1


def test_requests_that_may_not_run_here_are_divided_by_slots():
    """Guards against one region that gets all requests of routes whose homes are elsewhere."""
    shares = traffic_shifts.expected_shares({'middle': 4, 'large': 4}, 'small')
    assert shares == {'middle': 0.5, 'large': 0.5}
    assert traffic_shifts.expected_shares({}, 'small') == {}
