"""Tests of how the core reducer dispatches events to the components."""

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.components.limits import models as limits_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state

NOW_MS = 1_000.0
REQUEST = models.Request('r1', 'stockbook', 'GET', '/', (), b'', None, None, NOW_MS + 1)
REFUSED = models.Refused(package_const.REASON_FULL, models.ExecutionStatus.NOT_RUN)
EVENTS = (
    events.AttemptFinished('a1', REFUSED, 1.0),
    events.LoadReported('s1', 0, False, True),
    events.RequestReceived(REQUEST),
    limits_models.AdmissionDecided('r1', True, 0),
    routing_models.ForwardAnswersReady(),
    routing_models.LocalRunEnded(
        routing_models.RoutedRequest(REQUEST, '', '/', True, 'v1'), REFUSED
    ),
    routing_models.RequestFinished('r1', REFUSED),
)


def test_every_event_in_handlers_has_an_example():
    """Guards against an event type in ``HANDLERS`` that the next test does not cover."""
    assert {type(event) for event in EVENTS} == set(reducer.HANDLERS)


@pytest.mark.parametrize('event', EVENTS, ids=lambda event: type(event).__name__)
def test_components_left_out_of_handlers_ignore_the_event(event):
    """Guards against a component that handles an event which ``HANDLERS`` does not pass to it.

    The event is applied to every component that is not listed for it; none may change the state or
    return an effect.
    """
    own = membership_models.KnownPeer('i1', 'almaty-1', 'i1:1', 'i1:2')
    state = core_state.State(membership_models.MembershipState(own, 'inc1'))
    # The configuration component notes the time of every event to detect pauses of the process.
    # Ticks are frequent enough for that, so the time is set here and stays out of the comparison.
    state.configuration.calls.last_event_ms = NOW_MS
    before = repr(state)
    for component in set(reducer.COMPONENTS).difference(reducer.HANDLERS[type(event)]):
        assert not component.reduce(state, event, NOW_MS)
    assert repr(state) == before
