"""Which instances callers are to use."""

import pytest

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import directory
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models


def add_peer(gateway, instance_id, failure_domain, **fields):
    """Register an instance and let it be heard."""
    region = failure_domain.rpartition('-')[0]
    member = models.Member(instance_id, 'a', failure_domain, region, f'{instance_id}:80', '')
    gateway.declare(f'members/{instance_id}', member)
    members = {'store_revision': 1, 'store_reachable': True, 'leaving': False, **fields}
    gateway.reduce(core_events.MessageReceived(instance_id, messages.Heartbeat('a', **members)))


@pytest.fixture
def fleet(gateway):
    """Return a gateway with three peers."""
    add_peer(gateway, 'p1', 'almaty-b')
    add_peer(gateway, 'p2', 'almaty-b')
    add_peer(gateway, 'p3', 'astana-a')
    return gateway


def named(gateway, failure_domain):
    """Return the instances that callers of a failure domain get."""
    region = failure_domain.rpartition('-')[0]
    found = directory.find_instances(gateway.state, failure_domain, region, gateway.now_ms)
    return [address.partition(':')[0] for address in found.caller_addresses]


def test_own_failure_domain_comes_first_if_it_has_two(fleet):
    """Guards against bytes between failure domains, and callers with a single address."""
    assert named(fleet, 'almaty-b') == ['p1', 'p2']
    assert named(fleet, 'almaty-a') == ['10.0.0.1', 'p1', 'p2']


def test_region_with_one_instance_gets_it(fleet):
    """Guards against callers that are sent to another region."""
    assert named(fleet, 'astana-a') == ['p3']


def test_region_without_instances_gets_all(fleet):
    """Guards against callers without any instance while others live."""
    assert len(named(fleet, 'aktobe-a')) == 4


def test_silent_instance_is_not_named(fleet):
    """Guards against the address of an instance that was killed."""
    fleet.advance(2000)
    add_peer(fleet, 'p2', 'almaty-b')
    assert named(fleet, 'almaty-b') == ['10.0.0.1', 'p2']


def test_leaving_instance_is_not_named(fleet):
    """Guards against new callers of an instance that stops."""
    add_peer(fleet, 'p1', 'almaty-b', leaving=True)
    assert 'p1' not in named(fleet, 'almaty-b')
