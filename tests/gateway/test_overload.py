"""Refusing requests while a service is overloaded."""

from rhubarbspar.gateway import overload

LATE = overload.Expected(500, 300, 600)
TIMELY = overload.Expected(200, 300, 600)


def test_burst_is_queued():
    """Guards against refusing what a short queue would serve; controlled delay."""
    state = overload.Overload()
    assert not state.refuses(LATE, 0)
    assert not state.refuses(LATE, overload.STANDING_MS - 1)


def test_standing_queue_refuses_what_would_be_late():
    """Guards against serving everybody late."""
    state = overload.Overload()
    state.refuses(LATE, 0)
    assert state.refuses(LATE, overload.STANDING_MS)
    assert not state.refuses(TIMELY, overload.STANDING_MS + 10)
    assert not state.refuses(LATE, overload.STANDING_MS + 20)


def test_slow_work_without_a_queue_is_not_refused():
    """Guards against a service that never warms up because its first requests are slow."""
    state = overload.Overload()
    slow = overload.Expected(0, 900, 600)
    assert not any(state.refuses(slow, now_ms) for now_ms in range(0, 5000, 100))


def test_pressure_rises_with_the_load_and_is_bounded():
    """Guards against a price that outweighs every queue."""
    assert overload.pressure(0.5) == 0
    assert 0 < overload.pressure(1) < overload.pressure(1.5)
    assert overload.pressure(50) == overload.PRESSURE_MAX
