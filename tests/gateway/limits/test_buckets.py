"""Token bucket of one account at one instance."""

from rhubarbspar.gateway.limits import buckets

RATE_PER_S = 10.0
DIVISION = buckets.Division(0.1)


def started(now_ms=0.0, **fields):
    """Return a bucket after the first request of its account."""
    bucket = buckets.Bucket(rate_per_s=RATE_PER_S, burst=RATE_PER_S, **fields)
    bucket.start(now_ms, DIVISION)
    bucket.demand.record(now_ms)
    bucket.refill(now_ms, DIVISION)
    return bucket


def test_bucket_is_neither_refilled_nor_charged_before_the_first_request():
    """Guards against negative tokens at an instance that got no request of the account yet."""
    bucket = buckets.Bucket(peer_demand_per_s=5)
    bucket.deduct_excess(100)
    bucket.refill(1000, DIVISION)
    assert (bucket.tokens, bucket.fleet_tokens, bucket.assumed_s) == (0, 0, 0)


def test_excess_of_a_peer_is_shared_by_demand():
    """Guards against an excess that every instance deducts in full instead of its share."""
    bucket = started(peer_demand_per_s=0.5)
    before = bucket.tokens
    bucket.deduct_excess(4)
    assert bucket.tokens == before - 4 * 0.5


def test_fleet_tokens_admit_requests_beyond_the_local_tokens():
    """Guards against refusals of callers that send a few requests at once to one of many instances.

    The local share of the burst may be less than these requests although the account is within its
    limits.
    """
    bucket = started(peer_demand_per_s=4)
    admitted = 0
    while bucket.try_acquire():
        admitted += 1
    assert bucket.tokens < 0
    assert 3 <= admitted <= RATE_PER_S * buckets.FLEET_BURST_SHARE


def test_instance_that_sees_the_account_over_its_rate_starts_without_fleet_tokens():
    """Guards against a burst at every further instance that an account over its rate reaches."""
    bucket = started(peer_demand_per_s=3 * RATE_PER_S)
    assert bucket.fleet_tokens <= 0
    assert bucket.try_acquire()
    assert not bucket.try_acquire()


def test_silent_demand_blocks_the_fleet_tokens_and_grows_with_the_local_demand():
    """Guards against both sides of a partitioned fleet that hand out the same tokens."""
    bucket = started(peer_demand_per_s=4)
    bucket.mark_silent(2)
    assert bucket.try_acquire()
    assert not bucket.try_acquire()
    for _ in range(9):
        bucket.demand.record(0)
    bucket.refill(0, DIVISION)
    bucket.refill(100, DIVISION)
    # The silent demand is assumed to grow nearly tenfold as well, and less than half of it to be
    # admitted in 0.1 s.
    assert 0 < bucket.assumed_s < 0.05
