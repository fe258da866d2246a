"""Requests behind queues that lead past their deadline.

Pattern of the load: a region with few servers must serve all requests of some accounts, so that its
servers stay full for the whole day. The work takes longer than the latency objective.
"""

import dataclasses

import pytest

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from tests.gateway import conftest

LONG_READS = dataclasses.replace(conftest.READS, latency_objective_ms=1000, timeout_ms=1500)
QUEUE = events.LoadReport(3, 1, 3)


def send_behind_queue(gateway):
    """Send a request to a server that reports a queue; return the effects."""
    view = gateway.state.servers.views['stock-1']
    view.record_load_report(QUEUE, gateway.now_ms)
    return gateway.request()


@pytest.fixture
def full_server(gateway):
    """Return a gateway with one server of the service, and a route of long requests."""
    gateway.declare('servers/stock-2', None)
    gateway.configure(LONG_READS, conftest.ORDERS, version=2)
    return gateway


def test_request_that_cannot_be_in_time_is_refused_at_once(full_server):
    """Guards against servers that work on requests whose callers have given up.

    The caller learns at once that nothing ran, and when to come back.
    """
    assert conftest.single_effect(send_behind_queue(full_server), effects.StartAttempt)
    assert conftest.single_effect(full_server.advance(1500), effects.Refuse).status == 504
    outputs = send_behind_queue(full_server)
    refused = conftest.single_effect(outputs, effects.Refuse)
    assert refused.status == 503
    assert refused.retry_after_ms
    assert not [output for output in outputs if isinstance(output, effects.StartAttempt)]


def test_request_is_sent_while_no_deadline_is_missed(full_server):
    """Guards against refusals because of load reports whose queue is already gone."""
    assert conftest.single_effect(send_behind_queue(full_server), effects.StartAttempt)
    assert conftest.single_effect(send_behind_queue(full_server), effects.StartAttempt)
