"""Attempts through peers while the links of an instance to the backend servers are lost."""

import dataclasses

import pytest

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.serving import forward_protocol
from rhubarbspar.gateway.serving import peer_forwards
from rhubarbspar.http1 import messages as http_messages
from tests.gateway import conftest

ANSWERED = events.AttemptResult.ANSWERED
BROKEN = events.AttemptResult.BROKEN
NOT_FORWARDED = events.AttemptResult.NOT_FORWARDED
UNREACHABLE = events.AttemptResult.UNREACHABLE
SERVER_IDS = ('stock-1', 'stock-2', 'orders-1', 'orders-2')
DOMAINS = {'front-2': 'almaty-b', 'front-3': 'astana-a'}


def hear(gateway, instance_id, *, server_ids=SERVER_IDS, **fields):
    """Receive a heartbeat of a peer that has just heard some servers."""
    loads = tuple(messages.ServerLoad(server_id, 0, 0) for server_id in server_ids)
    heartbeat = messages.Heartbeat(
        'b', 0, True, fields.pop('leaving', False), loads=loads, **fields
    )
    return gateway.reduce(core_events.MessageReceived(instance_id, heartbeat))


def fail_attempts(gateway, count=3):
    """Let direct attempts fail; return the last effects."""
    outputs = []
    for _ in range(count):
        outputs = gateway.request()
        while started := [out for out in outputs if isinstance(out, effects.StartAttempt)]:
            if started[0].forwarder is not None:
                return outputs
            outputs = gateway.reduce(conftest.ended(started[0], UNREACHABLE))
    return outputs


def end_probes(gateway, *, opened):
    """End all checks of the links with one result; return the effects."""
    outputs = []
    for server_id in tuple(gateway.state.links.probed_ids):
        outputs.extend(gateway.reduce(events.ProbeEnded(server_id, opened)))
    return outputs


@pytest.fixture
def fleet(gateway):
    """Return a gateway with two live peers that hear all servers."""
    for instance_id, domain in DOMAINS.items():
        region = conftest.REGIONS[domain]
        member = models.Member(instance_id, 'b', domain, region, '', '', f'{instance_id}:7')
        gateway.declare(f'members/{instance_id}', member)
        hear(gateway, instance_id)
    return gateway


@pytest.fixture
def stranded(fleet):
    """Return a gateway that has found its links to be lost."""
    fail_attempts(fleet)
    end_probes(fleet, opened=False)
    assert fleet.state.links.are_lost
    return fleet


def test_links_are_not_lost_while_a_check_succeeds(fleet):
    """Guards against attempts through peers because some servers have crashed."""
    outputs = fail_attempts(fleet)
    assert fleet.state.links.probed_ids
    end_probes(fleet, opened=True)
    assert fleet.state.links.are_up
    started = conftest.single_effect(fleet.request('/orders/1'), effects.StartAttempt)
    assert started.forwarder is None
    assert outputs


def test_failures_without_servers_that_peers_hear_start_no_check(gateway):
    """Guards against checks in an outage of all servers, which no peer could help with."""
    fail_attempts(gateway)
    assert gateway.state.links.are_up
    assert not gateway.state.links.probed_ids


def test_attempt_goes_through_the_peer_nearest_to_its_server(stranded):
    """Guards against detours, and against a peer that gets attempts it cannot pass on."""
    started = conftest.single_effect(stranded.request(), effects.StartAttempt)
    assert started.forwarder.instance_id == 'front-2'
    hear(stranded, 'front-2', links_lost=True)
    started = conftest.single_effect(stranded.request(), effects.StartAttempt)
    assert started.forwarder.instance_id == 'front-3'
    hear(stranded, 'front-3', leaving=True)
    started = conftest.single_effect(stranded.request(), effects.StartAttempt)
    assert started.forwarder is None


def test_content_stays_in_its_home_regions(stranded):
    """Guards against a request that passes through a region outside its home regions."""
    route = dataclasses.replace(conftest.READS, home_regions=frozenset({'almaty'}))
    stranded.configure(route, conftest.ORDERS, version=2)
    hear(stranded, 'front-2', links_lost=True)
    started = conftest.single_effect(stranded.request(), effects.StartAttempt)
    assert started.forwarder is None


def test_lost_links_are_not_held_against_the_servers(stranded):
    """Guards against servers that stay ejected because of the links of one instance."""
    now_ms = stranded.now_ms
    for view in stranded.state.servers.views.values():
        assert view.ejected_until_ms <= now_ms
        assert view.decayed_failure_rate(now_ms) == 0


def test_order_that_a_peer_did_not_pass_on_goes_through_another_one(stranded):
    """Guards against refused orders because one peer has failed, and a blameless server ejected."""
    first = conftest.single_effect(stranded.request('/orders/1'), effects.StartAttempt)
    outputs = stranded.reduce(conftest.ended(first, NOT_FORWARDED))
    second = conftest.single_effect(outputs, effects.StartAttempt)
    assert second.forwarder not in (None, first.forwarder)
    view = stranded.state.servers.views[first.server.server_id]
    assert view.ejected_until_ms <= stranded.now_ms


def test_order_that_a_peer_may_have_passed_on_is_not_repeated(stranded):
    """Guards against an order that runs twice because the connection to a peer has failed."""
    first = conftest.single_effect(stranded.request('/orders/1'), effects.StartAttempt)
    outputs = stranded.reduce(conftest.ended(first, BROKEN))
    assert conftest.single_effect(outputs, effects.Refuse).status == 502


def test_links_are_used_again_once_a_connection_opens(stranded):
    """Guards against detours that go on after the partition has ended."""
    probes = [out for out in stranded.advance(600) if isinstance(out, effects.ProbeServer)]
    assert len(probes) == 1
    outputs = stranded.reduce(events.ProbeEnded(probes[0].server.server_id, True))
    (log,) = [out for out in outputs if isinstance(out, core_effects.Log)]
    assert log.name == 'server_links_restored'
    hear(stranded, 'front-2')
    started = conftest.single_effect(stranded.request(), effects.StartAttempt)
    assert started.forwarder is None


def test_peers_are_told_of_lost_links(fleet):
    """Guards against an instance without links that is asked to pass attempts on."""
    fail_attempts(fleet)
    for peer in fleet.state.fleet.peers.values():
        peer.connected = True
    outputs = end_probes(fleet, opened=False)
    multicast = conftest.single_effect(outputs, core_effects.Multicast)
    assert multicast.message.links_lost


def forward(gateway, server_id='stock-1', number=1):
    """Receive an attempt of a peer."""
    forwarded = models.ForwardedAttempt(number, 'id-1', server_id, 1000)
    return gateway.reduce(events.ForwardReceived(forwarded))


def test_attempt_of_a_peer_is_passed_on_and_counts_for_the_peer_only(gateway):
    """Guards against a request that counts twice for its account or the retry budget."""
    started = conftest.single_effect(forward(gateway), effects.StartForward)
    assert started.server.server_id == 'stock-1'
    assert not gateway.state.pending
    assert not gateway.state.quotas.report(gateway.now_ms)
    outputs = gateway.reduce(conftest.ended(started, ANSWERED, status=200))
    answer = conftest.single_effect(outputs, effects.AnswerForward)
    assert (answer.forward_number, answer.attempt_number) == (1, started.attempt_number)
    assert not gateway.state.forwards


def test_attempt_without_a_connection_is_returned_as_not_passed_on(gateway):
    """Guards against a peer that takes a lack of descriptors here for a run of its request."""
    started = conftest.single_effect(forward(gateway), effects.StartForward)
    outputs = gateway.reduce(conftest.ended(started, events.AttemptResult.NOT_SENT))
    assert conftest.single_effect(outputs, effects.AnswerForward).result == NOT_FORWARDED


def test_attempt_is_passed_on_at_most_once(stranded):
    """Guards against attempts that go in circles between instances without links."""
    answer = conftest.single_effect(forward(stranded), effects.AnswerForward)
    assert answer.result == NOT_FORWARDED


def test_stopping_instance_passes_nothing_on(gateway):
    """Guards against attempts of peers that the end of the process cuts."""
    gateway.reduce(core_events.StopRequested())
    assert conftest.single_effect(forward(gateway), effects.AnswerForward).result == NOT_FORWARDED


def test_planned_stop_waits_for_the_attempts_of_peers(gateway):
    """Guards against a planned stop that cuts an attempt of a peer."""
    forward(gateway)
    gateway.reduce(core_events.StopRequested())
    assert not [out for out in gateway.advance(900) if isinstance(out, effects.Exit)]
    assert gateway.state.forwards


def test_attempt_of_a_peer_at_a_draining_server_is_returned(gateway):
    """Guards against new work for a leaving server through a peer with an old configuration."""
    gateway.add_server('stock-1', draining=True, sequence=2)
    answer = conftest.single_effect(forward(gateway), effects.AnswerForward)
    assert answer.result == events.AttemptResult.WRONG_INSTANCE


@pytest.mark.parametrize('is_abandoned', [True, False])
def test_attempt_of_a_peer_is_cancelled(gateway, is_abandoned):
    """Guards against servers at work for a caller that is gone, or past the deadline."""
    started = conftest.single_effect(forward(gateway), effects.StartForward)
    if is_abandoned:
        outputs = gateway.reduce(events.ForwardAbandoned(1))
    else:
        outputs = gateway.advance(1100)
        assert conftest.single_effect(outputs, effects.AnswerForward).result == BROKEN
    cancelled = conftest.single_effect(outputs, effects.CancelAttempt)
    assert cancelled.attempt_number == started.attempt_number


def test_request_reaches_the_server_as_it_was_sent():
    """Guards against internal headers at backend servers, and callers who name a server."""
    sent = http_messages.Request(
        b'GET', b'/1', ((b'a', b'1'), (forward_protocol.HEADER_SERVER, b'x'))
    )
    envelope = forward_protocol.Envelope('stock-1', 900.7, b'token')
    wrapped = forward_protocol.wrap(sent, envelope)
    decoded = forward_protocol.decode_envelope(wrapped)
    assert decoded == forward_protocol.Envelope('stock-1', 900, b'token')
    assert forward_protocol.unwrap(wrapped).headers == ((b'a', b'1'),)


def test_server_cannot_name_the_result_of_an_attempt():
    """Guards against a faulty server whose response says that nothing was sent to it."""
    header = (forward_protocol.HEADER_RESULT, b'not_forwarded')
    response = http_messages.Response(200, (header,), b'ok')
    assert forward_protocol.decode_result(forward_protocol.encode_response(response)) is None
    unknown = http_messages.Response(502, ((forward_protocol.HEADER_RESULT, b'other'),))
    assert forward_protocol.decode_result(unknown) == BROKEN


def test_only_instances_of_the_fleet_may_forward():
    """Guards against a stranger who reaches the servers without an access key."""
    token = forward_protocol.make_token(b'secret', 'front-1')
    assert forward_protocol.is_valid_token(token, b'secret', 'front-1')
    for key, instance_id in ((b'other', 'front-1'), (b'secret', 'front-2'), (b'', 'front-1')):
        assert not forward_protocol.is_valid_token(token, key, instance_id)
    empty = forward_protocol.make_token(b'', 'front-1')
    assert not forward_protocol.is_valid_token(empty, b'', 'front-1')


@pytest.mark.parametrize('key', [b'secret', b'other', b''])
def test_sender_is_known_by_its_head(key):
    """Guards against bodies of strangers that are read before the key of the fleet is shown."""
    forwards = peer_forwards.PeerForwards(pytest.fail, 'front-1')
    forwards.fleet_key = b'secret'
    token = forward_protocol.make_token(key, 'front-1')
    head = forward_protocol.wrap(
        http_messages.Request(b'POST', b'/1', ()),
        forward_protocol.Envelope('stock-1', 900, token),
    )
    refusal = forwards.screen(head)
    assert (refusal is None) == (key == b'secret')
    assert forwards.screen(http_messages.Request(b'POST', b'/1', ()))


def test_connections_that_break_with_the_links_say_nothing_of_a_version(stranded):
    """Guards against a good version that is rolled back because one instance lost its links."""
    stranded.add_server('new-1', version='v2', slots=99)
    stranded.declare('rollout/stock', models.RolloutRequest('stock', 'v2', 14_000, 0))
    stranded.advance(500)
    started = [conftest.single_effect(stranded.request(), effects.StartAttempt) for _ in range(40)]
    for attempt in started:
        stranded.reduce(conftest.ended(attempt, BROKEN))
    results = stranded.state.rollouts.report_with((), with_former=False)
    assert {use.version for use in results} == {'v1', 'v2'}
    assert not any(use.bad for use in results)
