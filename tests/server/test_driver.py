"""Tests of the effect driver between the reducer and I/O."""

import pytest

from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.server import driver
from rhubarbspar.server import metrics

REFUSED = models.Refused('full', models.ExecutionStatus.NOT_RUN)


class FakeCallerService:
    """Records the requests that were answered; fails for the request ``faulty``."""

    def __init__(self):
        """Start with no request answered."""
        self.answered = []

    def respond(self, request_id, outcome):
        """Record the request, or fail if it is ``faulty``."""
        if request_id == 'faulty':
            raise ValueError('closed')
        self.answered.append(request_id)


@pytest.fixture
def callers():
    """Return a fake of the caller service."""
    return FakeCallerService()


@pytest.fixture
def effect_driver(callers):
    """Return a driver whose only I/O component is the fake caller service."""
    own = membership_models.KnownPeer('i1', 'almaty-1', '', '')
    state = core_state.State(membership=membership_models.MembershipState(own, 'inc1'))
    made = driver.Driver(state, lambda: 0.0, metrics.Metrics('i1'), lambda: None, lambda: None)
    made.connect(callers, None, None, None)
    return made


def test_failed_effect_does_not_stop_later_events(effect_driver, callers, monkeypatch):
    """Guards against a driver that handles no further event after one effect raised."""
    outputs = [effects.Respond('faulty', REFUSED), effects.Respond('whole', REFUSED)]
    monkeypatch.setattr(reducer, 'reduce', lambda *_: outputs)
    effect_driver.deliver(events.Tick())
    effect_driver.deliver(events.Tick())
    assert callers.answered == ['whole', 'whole']


def test_failed_reducer_does_not_stop_later_events(effect_driver, callers, monkeypatch):
    """Guards against a driver that handles no further event after the reducer raised."""

    def fail(*_):
        raise KeyError('missing')

    monkeypatch.setattr(reducer, 'reduce', fail)
    effect_driver.deliver(events.Tick())
    monkeypatch.setattr(reducer, 'reduce', lambda *_: [effects.Respond('whole', REFUSED)])
    effect_driver.deliver(events.Tick())
    assert callers.answered == ['whole']


def test_counter_of_a_component_is_created_on_first_use():
    """Guards against an exception for a counter that was not created at the start."""
    counters = metrics.Metrics('i1')
    counters.count(effects.Count('claims', 'lost'))
    body, _ = counters.render('text/plain')
    assert b'rhubarbspar_claims_total{instance="i1",reason="lost"} 1' in body


def test_events_from_within_effects_keep_their_order(effect_driver, callers, monkeypatch):
    """Guards against an event that is handled between the effects of an earlier one."""
    handled = []

    def respond(request_id, _):
        callers.answered.append(request_id)
        if request_id == 'first':
            effect_driver.deliver(events.RequestCancelled('second'))
            effect_driver.deliver(events.RequestCancelled('third'))

    def reduce(_state, event, _now_ms):
        name = event.request_id
        handled.append(name)
        return [effects.Respond(name, REFUSED), effects.Respond(f'{name} end', REFUSED)]

    monkeypatch.setattr(callers, 'respond', respond)
    monkeypatch.setattr(reducer, 'reduce', reduce)
    effect_driver.deliver(events.RequestCancelled('first'))
    assert handled == ['first', 'second', 'third']
    assert callers.answered[:3] == ['first', 'first end', 'second']
