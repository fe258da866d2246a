"""Tests of the answers to lookups."""

import dataclasses

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events


def lookup(instance, service_id='commissions', address='192.0.2.1', digest=None):
    """Look up the instances of a service and return the answer."""
    (answer,) = instance.handle(events.LookupReceived('l1', service_id, address, digest))
    assert isinstance(answer, effects.AnswerLookup)
    return answer


def instance_ids(answer):
    """Return the ids of the instances in an answer, in order."""
    return [entry.instance_id for entry in answer.instances]


def test_own_region_comes_first_for_unknown_addresses(instance):
    """Guards against callers that are sent to another region although theirs has live instances."""
    answer = lookup(instance)
    assert set(instance_ids(answer)[:2]) == {'i1', 'i2'}
    assert instance_ids(answer)[2] == 'i3'
    assert answer.idempotency_key_prefix


def test_client_block_decides_the_region(instance):
    """Guards against lookups that ignore the client block map."""
    current = instance.state.configuration.current
    block = configuration_models.ClientBlock('192.0.2.0/24', 'astana')
    changed = dataclasses.replace(current, revision=2, client_blocks=(block,))
    instance.state.configuration.current = changed
    assert instance_ids(lookup(instance))[0] == 'i3'
    assert instance_ids(lookup(instance, address='198.51.100.1'))[2] == 'i3'


def test_block_map_is_compiled_again_only_for_changed_blocks(instance):
    """Guards against slow lookups after every revision, because the map is compiled again."""
    lookup(instance)
    compiled_map = instance.state.steering.blocks
    current = instance.state.configuration.current
    instance.state.configuration.current = dataclasses.replace(current, revision=2)
    lookup(instance)
    assert instance.state.steering.blocks is compiled_map


def test_home_of_the_account_comes_first_in_its_region(instance, monkeypatch):
    """Guards against a round trip for tokens that a better order of the instances avoids."""
    for home_id in ('i1', 'i2'):
        monkeypatch.setattr(limits_reducer, 'home_instance_id', lambda *_, home=home_id: home)
        assert instance_ids(lookup(instance, digest='a' * 64))[0] == home_id


def test_leaving_and_silent_instances_are_left_out(instance):
    """Guards against callers that are sent to an instance that is stopping or not live."""
    peers = instance.state.membership.peers
    peers['i2'].status = membership_models.InstanceStatus.LEAVING
    peers['i3'].last_heartbeat_ms = instance.now_ms - 1_500
    assert instance_ids(lookup(instance)) == ['i1']


def test_stopping_instance_answers_with_others_and_without_key_prefix(instance):
    """Guards against idempotency keys that are bound to an instance about to stop."""
    instance.handle(events.StopRequested())
    answer = lookup(instance)
    assert set(instance_ids(answer)) == {'i2', 'i3'}
    assert answer.idempotency_key_prefix is None


@pytest.mark.parametrize(
    ('service_id', 'known', 'reason'),
    [
        ('nothing', True, package_const.REASON_UNKNOWN_SERVICE),
        ('commissions', False, package_const.REASON_NO_CONFIGURATION),
    ],
)
def test_lookup_without_an_answer_has_a_reason(instance, service_id, known, reason):
    """Guards against refused lookups that callers cannot tell from an outage."""
    if not known:
        instance.state.configuration.current = None
    assert lookup(instance, service_id).refused_reason == reason
