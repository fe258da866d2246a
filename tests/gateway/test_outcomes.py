"""Updates of servers and routes by the results of attempts."""

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import outcomes
from tests.gateway import conftest


def test_response_of_a_server_with_a_queue_does_not_change_the_processing_time(gateway):
    """Guards against a processing time that includes the queues of one region."""
    initial_ms = outcomes.processing_time(gateway.state, conftest.READS).mean_ms
    for waiting in (2, 0):
        # After this time, the former load reports have no weight.
        gateway.now_ms += 10_000
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        gateway.now_ms += 900
        load = events.LoadReport(3, waiting, 3)
        answered = events.AttemptResult.ANSWERED
        gateway.reduce(conftest.ended(started, answered, status=200, load=load))
        learned_ms = outcomes.processing_time(gateway.state, conftest.READS).mean_ms
        assert (learned_ms == initial_ms) == bool(waiting)
