"""Detection of requests that crash backend servers."""

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest


def crash(gateway, server_id):
    """Record a broken connection of a request, and that its server is unreachable afterwards."""
    gateway.state.crashes.record_broken_attempt(
        '/stock/1.workshop', f'{server_id}.1000', gateway.now_ms
    )
    found = gateway.state.crashes.confirm_crash(f'{server_id}.1000', gateway.now_ms, gateway.now_ms)
    return [crash.fingerprint for crash in found]


def test_request_is_refused_after_it_has_crashed_two_servers(gateway):
    """Guards against a request that crashes one server after the other; poison message."""
    crash(gateway, 'stock-1')
    assert conftest.single_effect(gateway.request(), effects.StartAttempt)
    crash(gateway, 'stock-2')
    refused = conftest.single_effect(gateway.request(), effects.Refuse)
    assert refused.reason == package_const.REASON_CRASHES_SERVERS
    assert conftest.single_effect(gateway.request('/stock/2'), effects.StartAttempt)


def test_crashes_reported_by_peers_count(gateway):
    """Guards against a request that is only refused after crashes at every single instance."""
    for server_id in ('stock-1', 'stock-2'):
        seen = messages.CrashSeen('/stock/1.workshop', f'{server_id}.1000')
        gateway.reduce(core_events.MessageReceived('front-2', seen))
    assert conftest.single_effect(gateway.request(), effects.Refuse)


def test_broken_connection_of_a_reachable_server_is_no_crash(gateway):
    """Guards against refusing requests because of responses that were lost in the network."""
    for _ in range(4):
        started = conftest.single_effect(gateway.request(), effects.StartAttempt)
        outputs = gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
        second = conftest.single_effect(outputs, effects.StartAttempt)
        gateway.reduce(conftest.ended(second, events.AttemptResult.ANSWERED, status=200))
    assert conftest.single_effect(gateway.request(), effects.StartAttempt)


@pytest.mark.parametrize('delay_ms', [0, 400])
def test_crash_is_confirmed_by_an_unreachable_server_and_reported(gateway, delay_ms):
    """Guards against crashes that only the instance that detects them knows of."""
    gateway.declare('servers/stock-2', None)
    member = models.Member('front-2', 'b', 'almaty-b', 'almaty', '10.0.0.2:80', '10.0.0.2:81')
    gateway.declare('members/front-2', member)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
    gateway.now_ms += delay_ms
    other = conftest.single_effect(gateway.request('/stock/10'), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(other, events.AttemptResult.UNREACHABLE))
    broadcast = conftest.single_effect(outputs, core_effects.Multicast)
    assert broadcast.message.fingerprint == '/stock/1.workshop'
    assert broadcast.peer_ids == ('front-2',)


def test_request_at_lost_links_is_not_refused_as_one_that_crashes_servers(gateway):
    """Guards against requests refused everywhere because one instance has lost its links.

    Its connections are reset and its servers become unreachable, as if they had crashed.
    """
    crashed = [crash(gateway, server_id) for server_id in ('stock-1', 'stock-2')]
    assert crashed == [['/stock/1.workshop']] * 2
    assert conftest.single_effect(gateway.request(), effects.Refuse)
    gateway.now_ms += 1000
    member = models.Member('front-2', 'b', 'almaty-b', 'almaty', '', '')
    gateway.declare('members/front-2', member)
    loads = (messages.ServerLoad('stock-1', 1, 100),)
    heartbeat = messages.Heartbeat('b', 0, True, False, loads=loads)
    gateway.reduce(core_events.MessageReceived('front-2', heartbeat))
    assert conftest.single_effect(gateway.request(), effects.StartAttempt)


def test_request_that_was_admitted_before_is_not_sent_again(gateway):
    """Guards against retries of a request that has been found to crash servers meanwhile."""
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    for server_id in ('stock-8', 'stock-9'):
        seen = messages.CrashSeen('/stock/1.workshop', f'{server_id}.1000')
        gateway.reduce(core_events.MessageReceived('front-2', seen))
    outputs = gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
    assert not [output for output in outputs if isinstance(output, effects.StartAttempt)]
    assert conftest.single_effect(outputs, effects.Refuse)


@pytest.mark.parametrize(('delay_ms', 'is_crash'), [(4000, True), (20_000, False)])
def test_registration_of_the_next_process_confirms_a_crash(gateway, delay_ms, is_crash):
    """Guards against crashes that no check sees, as behind lost links of this instance.

    A process that ends much later has not crashed under the request.
    """
    started = conftest.single_effect(gateway.request('/orders/1'), effects.StartAttempt)
    server_id = started.server.server_id
    gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
    gateway.reduce(events.ProbeEnded(server_id, opened=True))
    gateway.now_ms += delay_ms
    gateway.add_server(server_id, service_id='orders', started_unix_ms=2000)
    found = gateway.state.crashes.recent_crashes(gateway.now_ms)
    assert [crash.incarnation for crash in found] == [f'{server_id}.1000'] * is_crash


@pytest.mark.parametrize('is_replaced', [False, True])
def test_planned_end_of_a_server_confirms_no_crash(gateway, is_replaced):
    """Guards against requests refused because a server left after it had broken a connection."""
    started = conftest.single_effect(gateway.request('/orders/1'), effects.StartAttempt)
    server_id = started.server.server_id
    gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
    gateway.add_server(server_id, service_id='orders', draining=True, sequence=2)
    if is_replaced:
        gateway.add_server(server_id, service_id='orders', started_unix_ms=2000)
    else:
        gateway.declare(f'servers/{server_id}', None)
    assert not gateway.state.crashes.recent_crashes(gateway.now_ms)
