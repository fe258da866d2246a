"""Tests of the admission of requests: refusals, repeats and relayed requests."""

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.components.idempotency import reducer as idempotency_reducer
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models

OK = models.Answered(models.Response(200, (), b'whole'))
KEY = {'access_key_digest': 'a' * 64}
ORDER = {'method': 'POST', 'target': '/orders', **KEY}


def started(outputs):
    """Return the effects that start attempts at backend servers."""
    return [effect for effect in outputs if isinstance(effect, effects.StartAttempt)]


def outcomes(outputs):
    """Return the outcomes in the responses to callers."""
    return [effect.outcome for effect in outputs if isinstance(effect, effects.Respond)]


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'service_id': 'nothing'}, package_const.REASON_UNKNOWN_SERVICE),
        ({'method': 'DELETE'}, package_const.REASON_METHOD_NOT_ALLOWED),
        ({'target': '/'}, package_const.REASON_KEY_MISSING),
        ({'target': '/openly'}, package_const.REASON_KEY_MISSING),
        ({'target': '/', 'access_key_digest': 'c' * 64}, package_const.REASON_KEY_UNKNOWN),
        (ORDER, package_const.REASON_IDEMPOTENCY_KEY_REQUIRED),
        (
            {**ORDER, 'idempotency_key': 'made-up.1'},
            package_const.REASON_IDEMPOTENCY_KEY_INVALID,
        ),
    ],
)
def test_bad_request_is_refused_as_not_run(instance, changes, reason):
    """Guards against an invalid request that runs, or whose refusal is not explained or counted."""
    outputs = instance.receive(**changes)
    assert outcomes(outputs) == [models.Refused(reason, models.ExecutionStatus.NOT_RUN)]
    assert effects.Count(package_const.METRIC_REFUSALS, reason) in outputs
    assert not started(outputs)
    assert not instance.state.admission.pending


def test_stale_access_keys_stop_only_routes_that_need_them(instance):
    """Guards against a revoked access key that is accepted in a partitioned failure domain."""
    instance.now_ms += 4_001
    (outcome,) = outcomes(instance.receive(1, target='/', **KEY))
    assert outcome == models.Refused(
        package_const.REASON_KEYS_STALE, models.ExecutionStatus.NOT_RUN
    )
    assert started(instance.receive(2))


def test_repeat_waits_for_the_first_and_gets_its_answer(instance):
    """Guards against a repeated request that runs twice or gets no answer."""
    prefix = idempotency_reducer.key_prefix(instance.state, instance.now_ms)
    order = {**ORDER, 'idempotency_key': f'{prefix}.1'}
    (attempt,) = started(instance.receive(1, **order))
    assert not started(instance.receive(2, **order))
    outputs = instance.handle(events.AttemptFinished(attempt.attempt_id, OK, 5.0))
    assert outcomes(outputs) == [OK, OK]
    assert outcomes(instance.receive(3, **order)) == [OK]


def test_relayed_repeat_gets_the_answer_of_the_first(instance):
    """Guards against a request that runs twice because its repeat arrived at another instance."""
    prefix = idempotency_reducer.key_prefix(instance.state, instance.now_ms)
    order = {**ORDER, 'idempotency_key': f'{prefix}.1'}
    (attempt,) = started(instance.receive(1, **order))
    relayed = routing_models.ForwardRequest(
        forward_id='f1',
        account_id='joiner',
        service_id='commissions',
        version='',
        path_prefix='/orders',
        method='POST',
        target='/orders',
        headers=(),
        body=b'',
        access_key_digest='a' * 64,
        idempotency_key=f'{prefix}.1',
        remaining_ms=1_000.0,
        idempotent=False,
        relayed=True,
    )
    assert not started(instance.handle(events.MessageReceived('i2', relayed)))
    outputs = instance.handle(events.AttemptFinished(attempt.attempt_id, OK, 5.0))
    (sent,) = [effect for effect in outputs if isinstance(effect, effects.SendMessage)]
    assert (sent.peer_id, sent.message.forward_id, sent.message.body) == ('i2', 'f1', b'whole')


def test_disconnected_caller_does_not_end_a_recorded_request(instance):
    """Guards against a request whose outcome is lost because its caller disconnected."""
    prefix = idempotency_reducer.key_prefix(instance.state, instance.now_ms)
    order = {**ORDER, 'idempotency_key': f'{prefix}.1'}
    (attempt,) = started(instance.receive(1, **order))
    assert not instance.handle(events.RequestCancelled('r1'))
    instance.handle(events.AttemptFinished(attempt.attempt_id, OK, 5.0))
    assert outcomes(instance.receive(2, **order)) == [OK]
