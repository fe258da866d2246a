"""Dispatch of requests."""

import dataclasses

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
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
    """Guards against a plain request that gets no response."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    relayed = conftest.single_effect(outputs, effects.RelayResponse)
    assert (relayed.request_number, relayed.attempt_number) == (
        started.request_number,
        started.attempt_number,
    )
    assert not gateway.state.pending


def test_request_without_a_configuration_is_refused_with_a_retry_time():
    """Guards against a 404 from an instance that has not loaded its configuration yet."""
    refused = conftest.single_effect(conftest.Gateway().request(), effects.Refuse)
    assert refused.status == const.STATUS_UNAVAILABLE
    assert refused.retry_after_ms


def test_unknown_path_and_unknown_key_are_refused(gateway):
    """Guards against serving requests without a route or without a valid access key."""
    assert conftest.single_effect(gateway.request('/other/'), effects.Refuse).status == 404
    unknown = gateway.request(access_key='stranger')
    assert conftest.single_effect(unknown, effects.Refuse).status == 401


def test_longest_prefix_selects_the_route(gateway):
    """Guards against the choice of a route with a shorter prefix."""
    longer = dataclasses.replace(
        conftest.READS, route_id='long', path_prefix='/stock/x/', targets=conftest.ORDERS.targets
    )
    gateway.configure(conftest.READS, longer, conftest.ORDERS, version=2)
    started = conftest.single_effect(gateway.request('/stock/x/1'), effects.StartAttempt)
    assert started.server.service_id == 'orders'


def test_failed_idempotent_request_is_retried_at_another_server(gateway):
    """Guards against refusing a request that another server would have served."""
    first = conftest.single_effect(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(first, BROKEN))
    second = conftest.single_effect(outputs, effects.StartAttempt)
    assert second.server.server_id != first.server.server_id


def test_broken_non_idempotent_request_is_not_retried(gateway):
    """Guards against an order that runs twice."""
    first = conftest.single_effect(
        gateway.request('/orders/1', method='POST'), effects.StartAttempt
    )
    outputs = gateway.reduce(conftest.ended(first, BROKEN))
    assert conftest.single_effect(outputs, effects.Refuse).status == const.STATUS_BAD_GATEWAY


@pytest.mark.parametrize('result', [NOT_RUN, UNREACHABLE])
def test_non_idempotent_request_that_has_not_run_is_retried(gateway, result):
    """Guards against refusing an order although another server has a free slot."""
    first = conftest.single_effect(
        gateway.request('/orders/1', method='POST'), effects.StartAttempt
    )
    second = conftest.single_effect(
        gateway.reduce(conftest.ended(first, result, status=503)), effects.StartAttempt
    )
    assert second.server.server_id != first.server.server_id


def test_request_without_a_connection_of_this_instance_is_refused_at_once(gateway):
    """Guards against servers that are avoided, and requests that wait, for a lack of descriptors."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(started, events.AttemptResult.NOT_SENT))
    refused = conftest.single_effect(outputs, effects.Refuse)
    assert (refused.status, refused.reason) == (503, const.REASON_NO_CONNECTION)
    assert refused.retry_after_ms
    view = gateway.state.servers.views[started.server.server_id]
    assert not (view.ejected_until_ms > 0 or gateway.state.links.failed_ids)


def test_request_that_may_have_run_is_not_reported_as_not_run(gateway):
    """Guards against a 503, which says that nothing ran, after an attempt that may have run."""
    first = conftest.single_effect(gateway.request(), effects.StartAttempt)
    second = conftest.single_effect(
        gateway.reduce(conftest.ended(first, BROKEN)), effects.StartAttempt
    )
    outputs = gateway.reduce(conftest.ended(second, NOT_RUN, status=503))
    assert conftest.single_effect(outputs, effects.Refuse).status == const.STATUS_BAD_GATEWAY


def test_request_is_refused_with_a_retry_time_if_all_servers_are_full(gateway):
    """Guards against a request that waits for a slot, and a refusal without a retry time."""
    first = conftest.single_effect(
        gateway.request('/orders/1', method='POST'), effects.StartAttempt
    )
    outputs = gateway.reduce(conftest.ended(first, NOT_RUN, status=503))
    second = conftest.single_effect(outputs, effects.StartAttempt)
    refused = conftest.single_effect(
        gateway.reduce(conftest.ended(second, NOT_RUN, status=503)), effects.Refuse
    )
    assert refused.status == const.STATUS_UNAVAILABLE
    assert refused.retry_after_ms


def test_retry_budget_is_divided_among_silent_instances_too(gateway):
    """Guards against cut-off instances that each use the allowance of the whole fleet."""
    for number in range(2, 9):
        member = models.Member(f'front-{number}', 'b', 'almaty-b', 'almaty', '', '')
        gateway.declare(f'members/front-{number}', member)
    gateway.advance(20_000)
    retries = 0
    for _ in range(20):
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        not_run = conftest.ended(started, events.AttemptResult.NOT_RUN, status=503)
        outputs = gateway.reduce(not_run)
        for output in outputs:
            if isinstance(output, effects.StartAttempt):
                retries += 1
                gateway.reduce(conftest.ended(output, events.AttemptResult.ANSWERED, status=200))
    assert retries <= 56 / 8 + 0.2 * 20


def test_retries_are_limited_by_the_budget(gateway):
    """Guards against retries that amplify an overload; retry budget."""
    retries = 0
    for _ in range(200):
        first = conftest.single_effect(gateway.request(), effects.StartAttempt)
        outputs = gateway.reduce(conftest.ended(first, BROKEN))
        retried = [found for found in outputs if isinstance(found, effects.StartAttempt)]
        retries += len(retried)
        for attempt in retried:
            gateway.reduce(conftest.ended(attempt, ANSWERED, status=200))
    assert 0 < retries <= 0.2 * 200 + 56


def test_attempt_is_cancelled_when_the_caller_disconnects(gateway):
    """Guards against servers that process requests whose caller is gone."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    outputs = gateway.reduce(events.RequestAbandoned(started.request_number))
    assert (
        conftest.single_effect(outputs, effects.CancelAttempt).attempt_number
        == started.attempt_number
    )
    assert gateway.state.servers.views[started.server.server_id].running == 0


def test_route_timeout_ends_a_request(gateway):
    """Guards against a request that stays open after the timeout of its route."""
    started = conftest.single_effect(gateway.request(caller_timeout_ms=None), effects.StartAttempt)
    gateway.state.servers.views[started.server.server_id].last_answer_ms = gateway.now_ms + 1
    assert not [out for out in gateway.advance(990) if isinstance(out, effects.Refuse)]
    refused = conftest.single_effect(gateway.advance(100), effects.Refuse)
    assert refused.status == const.STATUS_GATEWAY_TIMEOUT


def test_server_gets_the_remaining_time(gateway):
    """Guards against a server that processes a request for longer than the caller waits."""
    started = conftest.single_effect(gateway.request(caller_timeout_ms=700), effects.StartAttempt)
    assert started.time_left_ms == 700
    gateway.now_ms += 100
    second = conftest.single_effect(
        gateway.reduce(conftest.ended(started, BROKEN)), effects.StartAttempt
    )
    assert second.time_left_ms == 600


def test_idempotent_request_is_retried_if_its_server_is_unresponsive(gateway):
    """Guards against requests that wait for an unresponsive connection until their deadline.

    The unresponsive server is left alone once another one has answered.
    """
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    outputs = gateway.advance(950)
    second = conftest.single_effect(outputs, effects.StartAttempt)
    assert second.server.server_id != started.server.server_id
    outputs = gateway.reduce(conftest.ended(second, ANSWERED, status=200))
    assert conftest.single_effect(outputs, effects.RelayResponse)
    assert (
        conftest.single_effect(outputs, effects.CancelAttempt).attempt_number
        == started.attempt_number
    )
    assert not (gateway.state.pending or gateway.state.attempts)


def test_non_idempotent_request_waits_for_an_unresponsive_server(gateway):
    """Guards against cancelling an order while its server processes it."""
    gateway.request('/orders/1', method='POST')
    outputs = gateway.advance(950)
    assert not [out for out in outputs if isinstance(out, effects.CancelAttempt)]


def test_request_is_only_sent_to_its_home_regions(gateway):
    """Guards against a request that is served outside the home regions of its account."""
    account = dataclasses.replace(conftest.ACCOUNT, home_regions=frozenset({'astana'}))
    configuration = models.make_configuration(
        2, [conftest.READS], [models.Service('stock', 3000, 7)], [account]
    )
    gateway.declare('config', configuration)
    refused = conftest.single_effect(gateway.request(), effects.Refuse)
    assert refused.reason == package_const.REASON_NO_SERVER
    gateway.add_server('stock-9', failure_domain='astana-a')
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    assert started.server.server_id == 'stock-9'


def test_traffic_split_follows_the_weights(gateway):
    """Guards against a target service whose share of the requests differs from its weight."""
    targets = (models.RouteTarget('stock', 3), models.RouteTarget('orders', 1))
    gateway.configure(dataclasses.replace(conftest.READS, targets=targets), version=2)
    services = []
    for _ in range(100):
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        services.append(started.server.service_id)
        gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    assert services.count('stock') == 75


def test_log_line_of_a_refusal_names_its_inputs(gateway):
    """Guards against a refused request whose log line does not explain the reason."""
    logged = conftest.single_effect(gateway.request(access_key='stranger'), core_effects.Log)
    fields = dict(logged.fields)
    assert fields['reason'] == package_const.REASON_KEY_UNKNOWN
    assert fields['configuration'] == 1
    assert fields['request'] == 'id-1'


@pytest.mark.parametrize('trouble', ['gone', 'ejected', 'stop'])
def test_silent_attempt_goes_on_while_no_other_server_can_get_the_request(gateway, trouble):
    """Guards against giving up a request that a server works on for a retry that cannot be had."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    (other_id,) = {'stock-1', 'stock-2'} - {started.server.server_id}
    match trouble:
        case 'gone':
            gateway.declare(f'servers/{other_id}', None)
        case 'ejected':
            for _ in range(4):
                gateway.state.servers.views[other_id].ejected_until_ms = gateway.now_ms
                gateway.state.servers.views[other_id].eject(gateway.now_ms)
        case 'stop':
            gateway.reduce(core_events.StopRequested())
            ends_in_ms = gateway.state.stop_ends_ms - gateway.now_ms
            gateway.state.lifecycle.stop_requested_ms -= ends_in_ms - 1050
    outputs = gateway.advance(900)
    assert not [output for output in outputs if isinstance(output, effects.CancelAttempt)]
    outputs = gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    assert conftest.single_effect(outputs, effects.RelayResponse)


# After this time without an answer, a server is silent.
SILENT_MS = 950


@pytest.fixture
def patient(gateway):
    """Return a gateway with a route that leaves time for a second attempt."""
    gateway.configure(dataclasses.replace(conftest.READS, timeout_ms=3000), version=2)
    return gateway


@pytest.fixture
def hedged(patient):
    """Return the gateway and both attempts of a request whose first server is silent."""
    started = conftest.single_effect(patient.request(), effects.StartAttempt)
    outputs = patient.advance(SILENT_MS)
    return patient, started, conftest.single_effect(outputs, effects.StartAttempt)


@pytest.mark.parametrize(
    ('result', 'status'),
    [
        (NOT_RUN, 503),
        (UNREACHABLE, 0),
        (BROKEN, 0),
        (events.AttemptResult.NOT_FORWARDED, 0),
        (events.AttemptResult.NOT_SENT, 0),
        (ANSWERED, 500),
    ],
)
def test_failed_second_attempt_ends_nothing(hedged, result, status):
    """Guards against giving up a request that a server works on because another one refused it."""
    gateway, started, second = hedged
    outputs = gateway.reduce(conftest.ended(second, result, status=status))
    final = (effects.Refuse, effects.CancelAttempt, effects.RelayResponse)
    assert not [output for output in outputs if isinstance(output, final)]
    outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    relayed = conftest.single_effect(outputs, effects.RelayResponse)
    assert relayed.attempt_number == started.attempt_number


def test_first_response_ends_the_other_attempt(hedged):
    """Guards against a server that works on a request which has its response."""
    gateway, started, second = hedged
    outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    cancelled = conftest.single_effect(outputs, effects.CancelAttempt)
    assert cancelled.attempt_number == second.attempt_number
    assert not [view for view in gateway.state.servers.views.values() if view.running]


def test_request_fails_when_both_attempts_have(hedged):
    """Guards against a request that waits for an attempt which has ended."""
    gateway, started, second = hedged
    assert not conftest.refusals(gateway.reduce(conftest.ended(started, BROKEN)))
    outputs = gateway.reduce(conftest.ended(second, BROKEN))
    assert conftest.single_effect(outputs, effects.Refuse).status == const.STATUS_BAD_GATEWAY


def test_no_more_servers_run_a_request_than_its_route_permits(patient):
    """Guards against a silent attempt that does not count among those that may have run."""
    patient.add_server('stock-3')
    conftest.single_effect(patient.request(), effects.StartAttempt)
    second = conftest.single_effect(patient.advance(SILENT_MS), effects.StartAttempt)
    outputs = patient.reduce(conftest.ended(second, BROKEN))
    outputs += patient.advance(250)
    assert not [output for output in outputs if isinstance(output, effects.StartAttempt)]


def test_another_server_is_tried_when_the_second_has_not_run_the_request(patient):
    """Guards against a request that waits for a silent server although a third one is free."""
    patient.add_server('stock-3')
    first = conftest.single_effect(patient.request(), effects.StartAttempt)
    second = conftest.single_effect(patient.advance(SILENT_MS), effects.StartAttempt)
    outputs = patient.reduce(conftest.ended(second, NOT_RUN, status=503)) + patient.advance(100)
    third = conftest.single_effect(outputs, effects.StartAttempt)
    tried = {attempt.server.server_id for attempt in (first, second, third)}
    assert len(tried) == 3


@pytest.mark.parametrize('ending', ['caller', 'deadline'])
def test_both_attempts_end_with_the_request(hedged, ending):
    """Guards against servers that process requests whose caller is gone."""
    gateway, started, second = hedged
    if ending == 'caller':
        outputs = gateway.reduce(events.RequestAbandoned(started.request_number))
    else:
        outputs = gateway.advance(2500)
    cancelled = [out.attempt_number for out in outputs if isinstance(out, effects.CancelAttempt)]
    assert sorted(cancelled) == [started.attempt_number, second.attempt_number]
    assert not (gateway.state.pending or gateway.state.attempts)
