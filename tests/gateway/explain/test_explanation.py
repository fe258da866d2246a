"""Explanation where a request would be sent."""

import dataclasses

import pytest

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import models as gateway_models
from rhubarbspar.gateway.explain import errors
from rhubarbspar.gateway.explain import explanation
from rhubarbspar.gateway.explain import models
from tests.gateway import conftest

QUERY = models.Query('GET', 'shop.example', '/stock/1', 'workshop')


def explain(gateway, query=QUERY):
    """Return the explanation at the present time."""
    return explanation.explain(gateway.state, query, gateway.now_ms)


def test_named_server_is_the_one_that_gets_the_request(gateway):
    """Guards against an explanation that differs from what happens to a request."""
    explained = explain(gateway)
    started = conftest.single_effect(gateway.request('/stock/1'), effects.StartAttempt)
    assert explained.server_id == started.server.server_id
    usable = [each for each in explained.candidates if each.exclusion == models.Exclusion.NONE]
    assert explained.server_id in [candidate.server_id for candidate in usable]
    assert [each.cost_ms for each in usable] == sorted(each.cost_ms for each in usable)
    assert (explained.route_id, explained.service_id) == ('reads', 'stock')


def test_state_stays_as_it_is(gateway):
    """Guards against a question that takes tokens of an account or counts as load."""
    gateway.request('/stock/1')
    before = repr(dataclasses.replace(gateway.state, groups=None, decode=None))
    explain(gateway)
    assert repr(dataclasses.replace(gateway.state, groups=None, decode=None)) == before


def test_refusal_is_the_one_that_the_caller_gets(gateway):
    """Guards against an explanation that names a server for a request that is refused."""
    explained = explain(gateway, dataclasses.replace(QUERY, path='/other/'))
    assert explained.refusal is not None
    assert (explained.refusal.status, explained.server_id) == (404, '')
    no_key = explain(gateway, dataclasses.replace(QUERY, account_id=''))
    assert no_key.refusal is not None
    assert no_key.refusal.status == 401


def test_excluded_servers_name_the_reason(gateway):
    """Guards against candidates that look usable although they are not."""
    chosen = explain(gateway).server_id
    gateway.state.servers.views[chosen].eject(gateway.now_ms)
    explained = explain(gateway)
    reasons = {candidate.server_id: candidate.exclusion for candidate in explained.candidates}
    assert reasons[chosen] == models.Exclusion.EJECTED
    assert explained.server_id != chosen


def test_unknown_account_is_an_error(gateway):
    """Guards against an explanation for a request without a key in place of the named account."""
    with pytest.raises(errors.UnknownAccountError, match='stranger'):
        explain(gateway, dataclasses.replace(QUERY, account_id='stranger'))


def test_access_keys_are_not_part_of_the_explanation(gateway):
    """Guards against printing an access key."""
    configuration = gateway.state.declared.configuration
    assert isinstance(configuration, gateway_models.Configuration)
    described = repr(explain(gateway))
    assert not any(key in described for key in configuration.accounts_by_key)


def test_instance_without_a_configuration_says_so():
    """Guards against an error of an instance that has just started."""
    explained = explain(conftest.Gateway(), dataclasses.replace(QUERY, account_id=''))
    assert explained.configuration_version is None
    assert explained.refusal is not None
    assert explained.refusal.status == 503
    assert not any(isinstance(part, core_effects.Effect) for part in explained.candidates)
