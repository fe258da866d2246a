"""Fixtures of the membership tests: instance ``b``, which dials ``c`` and is dialled by ``a``."""

from collections import abc

import pytest

from rhubarbspar.components.membership import models
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state

MakeHeartbeat = abc.Callable[..., models.Heartbeat]


def _known(instance_id: str) -> models.KnownPeer:
    return models.KnownPeer(instance_id, f'{instance_id}-domain', '127.0.0.1:1', '127.0.0.1:2')


@pytest.fixture
def state() -> core_state.State:
    """Return the state of instance ``b`` without peers."""
    return core_state.State(models.MembershipState(_known('b'), 'b-1'))


@pytest.fixture
def make_heartbeat() -> MakeHeartbeat:
    """Return a factory of heartbeats to instance ``b``."""

    def factory(
        peer_id: str, sent_ms: float, incarnation: str = '1', **fields: object
    ) -> models.Heartbeat:
        values: dict[str, object] = {
            'echo_sent_ms': None,
            'echo_age_ms': None,
            'sender': _known(peer_id),
            'status': models.InstanceStatus.LIVE,
            'revision': 0,
            'confirmed_age_ms': None,
            'attested_age_ms': None,
        }
        return models.Heartbeat(sent_ms=sent_ms, incarnation=incarnation, **(values | fields))

    return factory


@pytest.fixture
def listed() -> events.InstancesListed:
    """Return a reading of the instance list with ``a``, ``b`` and ``c``."""
    return events.InstancesListed(
        tuple(
            events.ListedInstance(peer_id, f'{peer_id}-domain', '127.0.0.1:1', '127.0.0.1:2', False)
            for peer_id in 'abc'
        ),
    )
