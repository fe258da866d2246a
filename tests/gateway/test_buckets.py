"""The bucket of one account at one instance."""

from rhubarbspar.gateway import buckets

RATE_PER_S = 10.0
SHARE_MIN = 0.1


def started(now_ms=0.0, **fields):
    """Return a bucket whose account has asked once."""
    bucket = buckets.Bucket(rate_per_s=RATE_PER_S, burst=RATE_PER_S, **fields)
    bucket.start(now_ms)
    bucket.demand.note(now_ms)
    bucket.fill(now_ms, SHARE_MIN)
    return bucket


def test_bucket_before_the_first_request_neither_fills_nor_owes():
    """Guards against debts of an instance that nobody has asked for the account."""
    bucket = buckets.Bucket(others_per_s=5)
    bucket.correct(100)
    bucket.fill(1000, SHARE_MIN)
    assert (bucket.tokens, bucket.fleet_tokens, bucket.assumed_s) == (0, 0, 0)


def test_excess_of_a_peer_is_shared_by_demand():
    """Guards against a debt that each instance pays in full."""
    bucket = started(others_per_s=0.5)
    before = bucket.tokens
    bucket.correct(4)
    assert bucket.tokens == before - 4 * 0.5


def test_fleet_tokens_admit_what_the_own_share_does_not():
    """Guards against refusals of callers that send several requests to one of many instances."""
    bucket = started(others_per_s=4)
    admitted = 0
    while bucket.take():
        admitted += 1
    assert bucket.tokens < 0
    assert 3 <= admitted <= RATE_PER_S * buckets.FLEET_BURST_USED


def test_instance_that_sees_the_account_over_its_rate_starts_without_fleet_tokens():
    """Guards against an overdraft at each instance that an overloading account reaches."""
    bucket = started(others_per_s=3 * RATE_PER_S)
    assert bucket.fleet_tokens <= 0
    assert bucket.take()
    assert not bucket.take()


def test_silent_demand_closes_the_fleet_tokens_and_grows_with_the_own_demand():
    """Guards against sides of a cut fleet that use the same tokens."""
    bucket = started(others_per_s=4)
    bucket.silence(2)
    assert bucket.take()
    assert not bucket.take()
    for _ in range(9):
        bucket.demand.note(0)
    bucket.fill(0, SHARE_MIN)
    bucket.fill(100, SHARE_MIN)
    # Nearly ten times the demand here means as much there: less than half of it is admitted in 0.1 s.
    assert 0 < bucket.assumed_s < 0.05
