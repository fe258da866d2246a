"""Fixtures shared by the component tests: one instance with two live peers."""

import dataclasses
from collections import abc

import pytest

from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.limits import models as limits_models
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state

START_MS = 100_000.0
DEADLINE_MS = 2_000.0


@dataclasses.dataclass
class Instance:
    """Instance under test with a simulated clock.

    ``sent`` collects all effects that it has returned.
    """

    state: core_state.State
    now_ms: float = START_MS
    sent: list[effects.Effect] = dataclasses.field(default_factory=list)

    def handle(self, event: events.Event) -> list[effects.Effect]:
        """Apply an event and return its effects."""
        outputs = reducer.reduce(self.state, event, self.now_ms)
        self.sent += outputs
        return outputs

    def tick(self, elapsed_ms: float) -> list[effects.Effect]:
        """Advance the clock and apply a tick, with a fresh configuration and live peers."""
        self.now_ms += elapsed_ms
        configuration = self.state.configuration
        configuration.confirmed_ms = max(configuration.confirmed_ms, self.now_ms)
        for peer in self.state.membership.peers.values():
            peer.last_heartbeat_ms = self.now_ms
            peer.sent.acknowledged_ms = self.now_ms
        return self.handle(events.Tick())

    def request(self, number: int = 1, **changes: object) -> models.Request:
        """Return a request to a route that needs no access key, with some fields changed."""
        fields: dict[str, object] = {
            'request_id': f'r{number}',
            'service_id': 'commissions',
            'method': 'GET',
            'target': '/open/stock',
            'headers': (),
            'body': b'',
            'access_key_digest': None,
            'idempotency_key': None,
            'deadline_ms': self.now_ms + DEADLINE_MS,
        }
        return models.Request(**{**fields, **changes})  # type: ignore[arg-type]

    def receive(self, number: int = 1, **changes: object) -> list[effects.Effect]:
        """Apply the arrival of a request and return its effects."""
        return self.handle(events.RequestReceived(self.request(number, **changes)))


@pytest.fixture
def instance_factory(
    configuration: configuration_models.Configuration,
    monkeypatch: pytest.MonkeyPatch,
) -> abc.Callable[[], Instance]:
    """Return a function that creates instances which own both servers of their failure domain."""

    def usable_slots(_: core_state.State, server_id: str, now_ms: float) -> int:
        return 3 if server_id.startswith('commissions-almaty-1') else 0

    def owned_server_ids(state: core_state.State, now_ms: float) -> list[str]:
        services = state.configuration.current.services.values()
        server_ids = [server.server_id for each in services for server in each.backend_servers]
        return sorted(name for name in server_ids if usable_slots(state, name, now_ms))

    monkeypatch.setattr(claims_reducer, 'is_accepting', lambda *_: True)
    monkeypatch.setattr(claims_reducer, 'owned_server_ids', owned_server_ids)
    monkeypatch.setattr(claims_reducer, 'usable_slots', usable_slots)
    # Tokens and link budgets have their own tests. Here every request is granted both.
    granted = (limits_models.Admission.GRANTED, [])
    monkeypatch.setattr(limits_reducer, 'admit', lambda *_: granted)
    monkeypatch.setattr(limits_reducer, 'take_link_bits', lambda *_: True)
    return lambda: _create(configuration)


@pytest.fixture
def instance(instance_factory: abc.Callable[[], Instance]) -> Instance:
    """Return an instance with one live peer in each other failure domain."""
    return instance_factory()


def _create(configuration: configuration_models.Configuration) -> Instance:
    own = membership_models.KnownPeer('i1', 'almaty-1', '127.0.0.1:1', '127.0.0.1:2')
    state = core_state.State(membership=membership_models.MembershipState(own, 'inc1'))
    state.configuration.current = configuration
    state.configuration.confirmed_ms = START_MS
    for peer_id, domain in (('i2', 'almaty-2'), ('i3', 'astana-1')):
        known = membership_models.KnownPeer(peer_id, domain, '127.0.0.1:3', '127.0.0.1:4')
        peer = membership_models.Peer(known, 'inc1', connected=True, last_heartbeat_ms=START_MS)
        for number in (1, 2):
            server_id = f'commissions-{domain}-{number}'
            peer.owned_servers[server_id] = membership_models.OwnedServer(server_id, 3, 0)
        state.membership.peers[peer_id] = peer
    for number in (1, 2):
        state.routing.servers[f'commissions-almaty-1-{number}'] = routing_models.OwnedServerState()
    return Instance(state)
