"""Updates of servers and routes by the results of attempts."""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway.routing import processing_times
from tests.gateway import conftest


def test_response_of_a_server_with_a_queue_does_not_change_the_processing_time(gateway):
    """Guards against a processing time that includes the queues of one region."""
    initial_ms = processing_times.of_route(gateway.state, conftest.READS).mean_ms
    for waiting in (2, 0):
        # After this time, the former load reports have no weight.
        gateway.now_ms += 10_000
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        gateway.now_ms += 900
        load = events.LoadReport(3, waiting, 3)
        answered = events.AttemptResult.ANSWERED
        gateway.reduce(conftest.ended(started, answered, status=200, load=load))
        learned_ms = processing_times.of_route(gateway.state, conftest.READS).mean_ms
        assert (learned_ms == initial_ms) == bool(waiting)


def test_change_of_a_rate_limit_is_logged_once(gateway):
    """Guards against an incident whose logs do not tell which instance knew of a server's limit."""
    logged = []
    for limit_per_s in (None, 4.8, 4.8, None):
        gateway.declare('servers/stock-2', None)
        gateway.now_ms += 1000
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        result = conftest.ended(
            started, events.AttemptResult.ANSWERED, status=200, limit_per_s=limit_per_s
        )
        outputs = gateway.reduce(result)
        logged.extend(
            output.fields
            for output in outputs
            if isinstance(output, core_effects.Log) and output.name == 'server_limit_changed'
        )
    assert [dict(fields)['limit_per_s'] for fields in logged] == [4.8, None]
