"""Tests of the wait for callers to disconnect."""

import pytest
from twisted.internet import task

from rhubarbspar.server import linger


@pytest.mark.parametrize(
    ('closes_s', 'called_s'),
    [(0, 0), (1, 1), (9.95, 10), (60, 12)],
)
def test_exit_waits_for_connections_but_not_forever(closes_s, called_s):
    """Guards against an exit that truncates a response, and against one that never comes."""
    clock = task.Clock()
    called = []
    linger.call_when_disconnected(
        clock,
        lambda: int(clock.seconds() < closes_s),
        lambda: called.append(clock.seconds()),
    )
    clock.pump([0.05] * 300)
    assert called == [pytest.approx(called_s, abs=0.11)]
