"""Requests that crash backend servers."""

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from tests.gateway import conftest


def crash(gateway, server_id):
    """Let a server break a request's connection and be unreachable after it."""
    gateway.state.crashes.suspect('/stock/1.workshop', f'{server_id}.1000', gateway.now_ms)
    return gateway.state.crashes.confirm(f'{server_id}.1000', gateway.now_ms)


def test_request_is_refused_after_it_has_crashed_two_servers(gateway):
    """Guards against a request that takes down one server after the other; poison message."""
    crash(gateway, 'stock-1')
    assert conftest.only(gateway.request(), effects.StartAttempt)
    crash(gateway, 'stock-2')
    refused = conftest.only(gateway.request(), effects.Refuse)
    assert refused.reason == package_const.REASON_CRASHES_SERVERS
    assert conftest.only(gateway.request('/stock/2'), effects.StartAttempt)


def test_crashes_that_peers_saw_count(gateway):
    """Guards against a crash at every instance before the first one refuses."""
    for server_id in ('stock-1', 'stock-2'):
        seen = messages.CrashSeen('/stock/1.workshop', f'{server_id}.1000')
        gateway.reduce(core_events.MessageReceived('front-2', seen))
    assert conftest.only(gateway.request(), effects.Refuse)


def test_lost_answer_of_a_living_server_is_no_crash(gateway):
    """Guards against refusing requests because of answers that were lost on the way."""
    for _ in range(4):
        started = conftest.only(gateway.request(), effects.StartAttempt)
        outputs = gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
        second = conftest.only(outputs, effects.StartAttempt)
        gateway.reduce(conftest.ended(second, events.AttemptResult.ANSWERED, status=200))
    assert conftest.only(gateway.request(), effects.StartAttempt)


@pytest.mark.parametrize('delay_ms', [0, 400])
def test_unreachable_server_confirms_a_crash_and_peers_are_told(gateway, delay_ms):
    """Guards against evidence that stays at one instance."""
    gateway.declare('servers/stock-2', None)
    started = conftest.only(gateway.request(), effects.StartAttempt)
    gateway.reduce(conftest.ended(started, events.AttemptResult.BROKEN))
    gateway.now_ms += delay_ms
    other = conftest.only(gateway.request('/stock/10'), effects.StartAttempt)
    outputs = gateway.reduce(conftest.ended(other, events.AttemptResult.UNREACHABLE))
    told = conftest.only(outputs, core_effects.Broadcast)
    assert told.message.fingerprint == '/stock/1.workshop'
