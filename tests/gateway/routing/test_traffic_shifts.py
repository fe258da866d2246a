"""Limits on how fast requests shift from one region to another."""

from rhubarbspar.gateway.routing import traffic_shifts


def send(shares, regions, start_ms, count=400):
    """Record 40 requests per second in the regions in turn; return the time of the last one."""
    now_ms = start_ms
    for number in range(count):
        now_ms += 25
        shares.record(regions[number % len(regions)], now_ms)
    return now_ms


def test_steady_shares_cost_nothing():
    """Guards against a cost without a traffic shift."""
    shares = traffic_shifts.RegionShares()
    send(shares, ['near', 'near', 'far'], 0)
    assert shares.shift_cost('near') == 0
    assert shares.shift_cost('far') == 0


def test_cost_of_a_sudden_shift_ends_after_a_while():
    """Guards against a region that takes over the requests of another one within two seconds."""
    shares = traffic_shifts.RegionShares()
    now_ms = send(shares, ['near'], 0)
    now_ms = send(shares, ['far'], now_ms, count=40)
    assert shares.shift_cost('far') > 1
    assert shares.shift_cost('near') == 0
    send(shares, ['far'], now_ms, count=800)
    assert shares.shift_cost('far') == 0


def test_few_requests_cost_nothing():
    """Guards against a cost that is caused by a handful of requests."""
    shares = traffic_shifts.RegionShares()
    shares.record('far', 0)
    assert shares.shift_cost('far') == 0


def test_first_requests_follow_the_slots_of_the_regions():
    """Guards against a small region that fills up at the start and then sheds half its requests."""
    shares = traffic_shifts.RegionShares()
    shares.seed({'small': 2, 'middle': 4, 'large': 6}, 'small', 0)
    assert shares.long_term.share('small') == 0.5
    assert shares.long_term.share('large') == 0.5
    send(shares, ['small'], 0, count=20)
    assert shares.shift_cost('small') > 1


def test_requests_without_servers_in_the_own_region_are_divided_by_slots():
    """Guards against one region that gets all requests that may not run in the own region."""
    shares = traffic_shifts.expected_shares({'middle': 4, 'large': 4}, 'small')
    assert shares == {'middle': 0.5, 'large': 0.5}
    assert traffic_shifts.expected_shares({}, 'small') == {}
