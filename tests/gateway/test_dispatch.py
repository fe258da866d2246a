"""The way of a request."""

import dataclasses

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from tests.gateway import conftest

ANSWERED = events.AttemptResult.ANSWERED
BROKEN = events.AttemptResult.BROKEN
NOT_RUN = events.AttemptResult.NOT_RUN
UNREACHABLE = events.AttemptResult.UNREACHABLE


def test_request_is_sent_and_its_response_relayed(gateway):
    """Guards against a path that serves nobody."""
    started = conftest.only(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    relayed = conftest.only(outputs, effects.RelayResponse)
    assert (relayed.request_number, relayed.attempt_number) == (
        started.request_number,
        started.attempt_number,
    )
    assert not gateway.state.pending


def test_no_configuration_is_answered_as_not_run():
    """Guards against a 404 from an instance that knows nothing yet."""
    refused = conftest.only(conftest.Gateway().request(), effects.Refuse)
    assert refused.status == const.STATUS_UNAVAILABLE
    assert refused.retry_after_ms


def test_unknown_path_and_unknown_key_are_refused(gateway):
    """Guards against requests that no route or account allows."""
    assert conftest.only(gateway.request('/other/'), effects.Refuse).status == 404
    unknown = gateway.request(access_key='stranger')
    assert conftest.only(unknown, effects.Refuse).status == 401


def test_longest_prefix_selects_the_route(gateway):
    """Guards against a shorter prefix of the same host."""
    longer = dataclasses.replace(
        conftest.READS, route_id='long', path_prefix='/stock/x/', targets=conftest.ORDERS.targets
    )
    gateway.configure(conftest.READS, longer, conftest.ORDERS, version=2)
    started = conftest.only(gateway.request('/stock/x/1'), effects.StartAttempt)
    assert started.server.service_id == 'orders'


def test_failed_read_is_repeated_on_another_server(gateway):
    """Guards against a failure that a second server would have served."""
    first = conftest.only(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(first, BROKEN))
    second = conftest.only(outputs, effects.StartAttempt)
    assert second.server.server_id != first.server.server_id


def test_broken_order_is_not_repeated(gateway):
    """Guards against an order that runs twice."""
    first = conftest.only(gateway.request('/orders/1', method='POST'), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(first, BROKEN))
    assert conftest.only(outputs, effects.Refuse).status == const.STATUS_BAD_GATEWAY


@pytest.mark.parametrize('result', [NOT_RUN, UNREACHABLE])
def test_order_that_has_not_run_is_sent_elsewhere(gateway, result):
    """Guards against refusing an order although another server has room."""
    first = conftest.only(gateway.request('/orders/1', method='POST'), effects.StartAttempt)
    second = conftest.only(
        gateway.reduce(conftest.ended(first, result, status=503)), effects.StartAttempt
    )
    assert second.server.server_id != first.server.server_id


def test_not_run_is_only_said_if_nothing_ran(gateway):
    """Guards against a false promise after a first attempt that may have run."""
    first = conftest.only(gateway.request(), effects.StartAttempt)
    second = conftest.only(gateway.reduce(conftest.ended(first, BROKEN)), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(second, NOT_RUN, status=503))
    assert conftest.only(outputs, effects.Refuse).status == const.STATUS_BAD_GATEWAY


def test_full_servers_are_answered_with_a_time_to_return(gateway):
    """Guards against a refusal that holds the request or names no time."""
    first = conftest.only(gateway.request('/orders/1', method='POST'), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(first, NOT_RUN, status=503))
    second = conftest.only(outputs, effects.StartAttempt)
    refused = conftest.only(
        gateway.reduce(conftest.ended(second, NOT_RUN, status=503)), effects.Refuse
    )
    assert refused.status == const.STATUS_UNAVAILABLE
    assert refused.retry_after_ms


def test_repeats_stop_at_the_budget(gateway):
    """Guards against retries that multiply an overload; the pattern is a retry budget."""
    repeats = 0
    for _ in range(200):
        first = conftest.only(gateway.request(), effects.StartAttempt)
        outputs = gateway.reduce(conftest.ended(first, BROKEN))
        repeated = [found for found in outputs if isinstance(found, effects.StartAttempt)]
        repeats += len(repeated)
        for attempt in repeated:
            gateway.reduce(conftest.ended(attempt, ANSWERED, status=200))
    assert 0 < repeats <= 0.2 * 200 + 56


def test_caller_that_leaves_ends_the_work(gateway):
    """Guards against work for nobody."""
    started = conftest.only(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(events.RequestAbandoned(started.request_number))
    assert conftest.only(outputs, effects.CancelAttempt).attempt_number == started.attempt_number
    assert gateway.state.servers.views[started.server.server_id].running == 0


def test_route_timeout_ends_a_request(gateway):
    """Guards against a request that is held past its route's time."""
    started = conftest.only(gateway.request(deadline_ms=None), effects.StartAttempt)
    gateway.state.servers.views[started.server.server_id].last_answer_ms = gateway.now_ms + 1
    assert not [out for out in gateway.advance(990) if isinstance(out, effects.Refuse)]
    refused = conftest.only(gateway.advance(100), effects.Refuse)
    assert refused.status == const.STATUS_GATEWAY_TIMEOUT


def test_server_gets_the_time_that_is_left(gateway):
    """Guards against a server that works longer than the caller waits."""
    started = conftest.only(gateway.request(deadline_ms=700), effects.StartAttempt)
    assert started.time_left_ms == 700
    gateway.now_ms += 100
    second = conftest.only(gateway.reduce(conftest.ended(started, BROKEN)), effects.StartAttempt)
    assert second.time_left_ms == 600


def test_silent_server_is_left(gateway):
    """Guards against reads that wait for a connection that has gone silent."""
    started = conftest.only(gateway.request(), effects.StartAttempt)
    outputs = gateway.advance(950)
    second = conftest.only(outputs, effects.StartAttempt)
    assert second.server.server_id != started.server.server_id
    assert conftest.only(outputs, effects.CancelAttempt).attempt_number == started.attempt_number


def test_order_waits_at_a_silent_server(gateway):
    """Guards against an order that is cut off while its server works on it."""
    gateway.request('/orders/1', method='POST')
    outputs = gateway.advance(950)
    assert not [out for out in outputs if isinstance(out, effects.CancelAttempt)]


def test_homes_confine_a_request(gateway):
    """Guards against a request that leaves its home regions."""
    account = dataclasses.replace(conftest.ACCOUNT, home_regions=frozenset({'astana'}))
    configuration = models.make_configuration(
        2, [conftest.READS], [models.Service('stock', 3000, 7)], [account]
    )
    gateway.declare('config', configuration)
    refused = conftest.only(gateway.request(), effects.Refuse)
    assert refused.reason == package_const.REASON_NO_SERVER
    gateway.add_server('stock-9', failure_domain='astana-a')
    started = conftest.only(gateway.request(), effects.StartAttempt)
    assert started.server.server_id == 'stock-9'


def test_split_follows_the_weights(gateway):
    """Guards against a part of a split that gets another share than its weight's."""
    targets = (models.RouteTarget('stock', 3), models.RouteTarget('orders', 1))
    gateway.configure(dataclasses.replace(conftest.READS, targets=targets), version=2)
    services = []
    for _ in range(100):
        started = conftest.only(gateway.request(), effects.StartAttempt)
        services.append(started.server.service_id)
        gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    assert services.count('stock') == 75


def test_each_refusal_names_its_inputs(gateway):
    """Guards against a failed request that the logs do not explain."""
    logged = conftest.only(gateway.request(access_key='stranger'), core_effects.Log)
    fields = dict(logged.fields)
    assert fields['reason'] == package_const.REASON_KEY_UNKNOWN
    assert fields['configuration'] == 1
    assert fields['request'] == 'id-1'
