"""Servers that say in their responses that they are leaving, or want no requests for some time."""

import pytest

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from tests.gateway import conftest

ANSWERED = events.AttemptResult.ANSWERED
NOT_RUN = events.AttemptResult.NOT_RUN
REQUESTS = 30


def send(gateway, **fields):
    """Send a request and end its attempt; return the id of the server."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    ended = {'status': 200, **fields}
    gateway.reduce(conftest.ended(started, ANSWERED, **ended))
    return started.server.server_id


def servers_used(gateway):
    """Return the ids of the servers that get some requests at once."""
    outputs = [gateway.request(f'/stock/{number}') for number in range(REQUESTS)]
    started = [conftest.single_effect(output, effects.StartAttempt) for output in outputs]
    for attempt in started:
        gateway.reduce(conftest.ended(attempt, ANSWERED, status=200))
    return {attempt.server.server_id for attempt in started}


def test_server_that_leaves_gets_no_more_requests(gateway):
    """Guards against requests to a server that says in its responses that it leaves.

    Its registration says that it is ready, before and after.
    """
    leaving_id = send(gateway, leaving=True)
    assert leaving_id not in servers_used(gateway)
    gateway.add_server(leaving_id, sequence=2)
    gateway.advance(10_000)
    assert leaving_id not in servers_used(gateway)


def test_next_process_of_a_server_that_left_gets_requests(gateway):
    """Guards against a server that is avoided for good because an earlier process has left."""
    leaving_id = send(gateway, leaving=True)
    gateway.add_server(leaving_id, started_unix_ms=2000)
    assert leaving_id in servers_used(gateway)


def test_retry_does_not_go_to_a_server_that_leaves(gateway):
    """Guards against retries to a server that has said meanwhile that it leaves."""
    first = conftest.single_effect(gateway.request(), effects.StartAttempt)
    (other_id,) = {'stock-1', 'stock-2'} - {first.server.server_id}
    gateway.state.servers.mark_leaving(gateway.state.servers.views[other_id])
    outputs = gateway.reduce(conftest.ended(first, NOT_RUN, status=503))
    assert not [output for output in outputs if isinstance(output, effects.StartAttempt)]


@pytest.mark.parametrize('result', [ANSWERED, NOT_RUN])
def test_server_that_turns_requests_away_gets_none_for_the_time_it_names(gateway, result):
    """Guards against requests that pile up at a server that has asked for a pause."""
    started = conftest.single_effect(gateway.request('/orders/1'), effects.StartAttempt)
    turned_away_id = started.server.server_id
    (other_id,) = {'orders-1', 'orders-2'} - {turned_away_id}
    gateway.declare(f'servers/{other_id}', None)
    gateway.reduce(conftest.ended(started, result, status=503, retry_after_ms=4000.0))
    gateway.advance(3900)
    refused = conftest.single_effect(gateway.request('/orders/2'), effects.Refuse)
    assert refused.status == 503
    assert refused.retry_after_ms == pytest.approx(100)
    gateway.advance(200)
    assert conftest.single_effect(gateway.request('/orders/3'), effects.StartAttempt)


def test_shorter_time_of_a_late_response_does_not_end_the_pause(gateway):
    """Guards against a pause that a response from before it cuts short."""
    view = gateway.state.servers.views['stock-1']
    gateway.declare('servers/stock-2', None)
    attempts = [
        conftest.single_effect(gateway.request(f'/stock/{number}'), effects.StartAttempt)
        for number in range(3)
    ]
    start_ms = gateway.now_ms
    for attempt, retry_after_ms in zip(attempts, (4000.0, 1000.0, None), strict=True):
        status = 503 if retry_after_ms else 200
        ended = conftest.ended(attempt, ANSWERED, status=status, retry_after_ms=retry_after_ms)
        gateway.reduce(ended)
    assert view.turned_away_until_ms == start_ms + 4000


@pytest.mark.parametrize('notice', [{'leaving': True}, {'retry_after_ms': 4000.0}])
def test_instance_that_passes_attempts_on_keeps_to_it_as_well(gateway, notice):
    """Guards against attempts of peers that reach a server which has told this instance to stop."""
    gateway.declare('servers/stock-2', None)
    for number in (1, 2):
        forwarded = models.ForwardedAttempt(number, f'id-{number}', 'stock-1', 1000)
        outputs = gateway.reduce(events.ForwardReceived(forwarded))
        if number == 1:
            started = conftest.single_effect(outputs, effects.StartForward)
            gateway.reduce(events.AttemptEnded(started.attempt_number, ANSWERED, 503, **notice))
            assert isinstance(gateway.request()[0], effects.Refuse)
    assert not [output for output in outputs if isinstance(output, effects.StartForward)]
    assert conftest.single_effect(outputs, effects.AnswerForward)
