"""Look-ups of the instances that callers should use."""

import pytest

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.serving import directory


def add_peer(gateway, instance_id, failure_domain, **fields):
    """Register an instance and receive a heartbeat from it."""
    region = failure_domain.rpartition('-')[0]
    member = models.Member(instance_id, 'a', failure_domain, region, f'{instance_id}:80', '')
    gateway.declare(f'members/{instance_id}', member)
    heartbeat_fields = {'store_revision': 1, 'store_reachable': True, 'leaving': False, **fields}
    gateway.reduce(
        core_events.MessageReceived(instance_id, messages.Heartbeat('a', **heartbeat_fields))
    )


@pytest.fixture
def fleet(gateway):
    """Return a gateway with three peers."""
    add_peer(gateway, 'p1', 'almaty-b')
    add_peer(gateway, 'p2', 'almaty-b')
    add_peer(gateway, 'p3', 'astana-a')
    return gateway


def looked_up(gateway, failure_domain):
    """Return the instances in the answer to a look-up from a failure domain."""
    region = failure_domain.rpartition('-')[0]
    answer = directory.find_instances(gateway.state, failure_domain, region, gateway.now_ms)
    return [address.partition(':')[0] for address in answer.caller_addresses]


def test_failure_domain_with_two_instances_gets_only_these(fleet):
    """Guards against needless traffic between failure domains.

    A failure domain with one instance gets the whole region, so that callers know another one.
    """
    assert looked_up(fleet, 'almaty-b') == ['p1', 'p2']
    assert looked_up(fleet, 'almaty-a') == ['10.0.0.1', 'p1', 'p2']


def test_only_instance_of_the_region_is_returned(fleet):
    """Guards against callers that are sent to another region although their own has an instance."""
    assert looked_up(fleet, 'astana-a') == ['p3']


def test_region_without_instances_gets_all_instances(fleet):
    """Guards against an empty answer while instances of other regions are live."""
    assert len(looked_up(fleet, 'aktobe-a')) == 4


def test_instance_without_recent_heartbeat_is_left_out(fleet):
    """Guards against the address of an instance that was killed, and is still registered."""
    fleet.advance(2000)
    add_peer(fleet, 'p2', 'almaty-b')
    assert looked_up(fleet, 'almaty-b') == ['10.0.0.1', 'p2']


def test_leaving_instance_is_left_out(fleet):
    """Guards against new callers of an instance that stops."""
    add_peer(fleet, 'p1', 'almaty-b', leaving=True)
    assert 'p1' not in looked_up(fleet, 'almaty-b')
