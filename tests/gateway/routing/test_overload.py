"""Early refusal of requests while a server is overloaded."""

from rhubarbspar.gateway.routing import overload

LATE = overload.ExpectedTimes(500, 300, 600)
ON_TIME = overload.ExpectedTimes(200, 300, 600)


def test_burst_is_queued():
    """Guards against refusing requests that a short queue would serve; controlled delay."""
    detector = overload.StandingQueueDetector()
    assert not detector.should_refuse(LATE, 0)
    assert not detector.should_refuse(LATE, overload.STANDING_MS - 1)


def test_late_requests_are_refused_behind_a_standing_queue():
    """Guards against a queue in which every request is answered late."""
    detector = overload.StandingQueueDetector()
    detector.should_refuse(LATE, 0)
    assert detector.should_refuse(LATE, overload.STANDING_MS)
    assert not detector.should_refuse(ON_TIME, overload.STANDING_MS + 10)
    assert not detector.should_refuse(LATE, overload.STANDING_MS + 20)


def test_slow_processing_without_a_queue_is_not_refused():
    """Guards against a service that never gets warm because its slow first requests are refused."""
    detector = overload.StandingQueueDetector()
    slow = overload.ExpectedTimes(0, 900, 600)
    assert not any(detector.should_refuse(slow, now_ms) for now_ms in range(0, 5000, 100))


def test_congestion_price_rises_with_the_load_and_is_bounded():
    """Guards against a price that exceeds the cost of any queue."""
    assert overload.congestion_price(0.5) == 0
    assert 0 < overload.congestion_price(1) < overload.congestion_price(1.5)
    assert overload.congestion_price(50) == overload.PRICE_MAX
