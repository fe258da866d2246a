"""What results teach about servers and routes."""

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import outcomes
from tests.gateway import conftest


def test_time_at_a_server_with_a_queue_says_nothing_about_the_work(gateway):
    """Guards against work that is taken for long everywhere because one region has queues."""
    usual = outcomes.work_time(gateway.state, conftest.READS).mean_ms
    for waiting in (2, 0):
        # Old reports say nothing of the load any more.
        gateway.now_ms += 10_000
        started = conftest.only(gateway.request(), effects.StartAttempt)
        gateway.now_ms += 900
        load = events.LoadReport(3, waiting, 3)
        answered = events.AttemptResult.ANSWERED
        gateway.reduce(conftest.ended(started, answered, status=200, load=load))
        learnt = outcomes.work_time(gateway.state, conftest.READS).mean_ms
        assert (learnt == usual) == bool(waiting)
