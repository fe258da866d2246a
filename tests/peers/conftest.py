"""Fixtures for connections between instances."""

import asyncio
import inspect
from collections import abc

import pytest

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.peers import registry
from rhubarbspar.peers import transport

FLEET_KEY = b'test fleet key of thirty-two byte'
WAIT_S = 5


class Node:
    """Transport that records its delivered events and reported effects."""

    def __init__(
        self,
        instance_id: str,
        fleet_key: bytes,
        message_types: registry.MessageTypes | None = None,
    ) -> None:
        self.settings = transport.TransportSettings(instance_id, '1', '127.0.0.1', 0, fleet_key)
        self.events: list[events.Event] = []
        self.reported: list[effects.Effect] = []
        self.changed = asyncio.Event()
        self.transport = transport.PeerTransport(
            self.settings, self._deliver, self._report, message_types
        )

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self.transport.port}'

    def dial(self, peer: 'Node') -> None:
        self.transport.apply(effects.DialPeer(peer.settings.instance_id, peer.address))

    def count(self, reason: str) -> int:
        return sum(effect.reason == reason for effect in self.reported if _is_count(effect))

    async def until(self, condition: abc.Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def _deliver(self, event: events.Event) -> None:
        self.events.append(event)
        self.changed.set()

    def _report(self, effect: effects.Effect) -> None:
        self.reported.append(effect)
        self.changed.set()


def _is_count(effect: effects.Effect) -> bool:
    return isinstance(effect, effects.Count)


@pytest.fixture
def make_node() -> abc.Callable[..., Node]:
    """Return a factory of nodes whose transport is not started yet."""

    def factory(
        instance_id: str,
        fleet_key: bytes = FLEET_KEY,
        message_types: registry.MessageTypes | None = None,
    ) -> Node:
        return Node(instance_id, fleet_key, message_types)

    return factory


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run each coroutine test on a new event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    asyncio.run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True
