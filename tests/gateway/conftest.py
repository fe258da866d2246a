"""Fixtures of the gateway tests: a small deployment with store records that need no decoding."""

import dataclasses
import typing

import pytest

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import reducer
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import budget
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.routing import selection

REGIONS = {'almaty-a': 'almaty', 'almaty-b': 'almaty', 'astana-a': 'astana'}
READS = models.Route(
    'reads', 'shop.example', '/stock/', True, 1000, 250, 2, (models.RouteTarget('stock', 1),), 2
)
ORDERS = models.Route(
    'orders', 'shop.example', '/orders/', False, 1200, 300, 1, (models.RouteTarget('orders', 1),), 2
)
ACCOUNT = models.ClientAccount('workshop', ('key-1',), None, 0, 0)


# An instance of the tests has been running for this long, unless the test says otherwise.
RUNNING_MS = 60_000


class Gateway:
    """The state and reducer of a gateway, with a clock that the test advances."""

    def __init__(self) -> None:
        """Create an instance without any records, which has been running for a while."""
        self.now_ms = 1_000_000.0
        self.revision = 0
        self.records: dict[bytes, gateway_state.Record] = {}
        own = models.Member('front-1', 'a', 'almaty-a', 'almaty', '10.0.0.1:80', '10.0.0.1:81')
        self.state = gateway_state.State(
            decode=self._decode,
            bounds=gateway_state.Bounds(6000),
            fleet=fleet.Fleet(own),
            budget=budget.RetryBudget(budget.BudgetLimits(0.2, 56, 10_000)),
            network=selection.NetworkTopology('almaty-a', 'almaty', REGIONS),
        )
        self.state.fleet.sizes.note_read(self.now_ms - RUNNING_MS)
        self._last_number = 0

    def reduce(self, event: core_events.Event) -> list[core_effects.Effect]:
        """Reduce an event at the present time."""
        return reducer.reduce(self.state, event, self.now_ms)

    def advance(self, duration_ms: float) -> list[core_effects.Effect]:
        """Advance the clock in steps of 50 ms with a tick each; return all effects."""
        outputs = []
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms = min(until_ms, self.now_ms + 50)
            outputs.extend(self.reduce(events.ClockTicked()))
        return outputs

    def declare(self, key: str, record: gateway_state.Record | None) -> list[core_effects.Effect]:
        """Write a record to a key of the store; ``None`` deletes the key."""
        self.revision += 1
        content = None
        if record is not None:
            content = str(self.revision).encode()
            self.records[content] = record
        change = events.RecordRead(key, self.revision, content)
        return self.reduce(events.StoreChanged((change,), self.revision))

    def configure(self, *routes: models.Route, **fields: typing.Any) -> None:
        """Write a configuration with a service for each target of the routes."""
        service_ids = {target.service_id for route in routes for target in route.targets}
        services = [models.Service(name, 3000, 7) for name in service_ids]
        accounts = fields.pop('accounts', [ACCOUNT])
        version = fields.pop('version', 1)
        self.declare('config', models.make_configuration(version, routes, services, accounts))

    def add_server(self, server_id: str, **fields: typing.Any) -> None:
        """Register a backend server."""
        self.declare(f'servers/{server_id}', make_server(server_id, **fields))

    def request(self, path: str = '/stock/1', **fields: typing.Any) -> list[core_effects.Effect]:
        """Receive a request; ``fields`` replace the defaults."""
        self._last_number += 1
        defaults = {
            'request_number': self._last_number,
            'attempt_id': f'id-{self._last_number}',
            'method': 'GET',
            'host': 'shop.example',
            'path': path,
            'access_key': 'key-1',
            'object_key': None,
            'caller_timeout_ms': 5000.0,
            'fingerprint': path,
        }
        return self.reduce(events.RequestReceived(models.Request(**{**defaults, **fields})))

    def _decode(self, key: str, content: bytes, revision: int) -> gateway_state.Record | None:
        record = self.records.get(content)
        match record:
            case models.RolloutRequest() | models.RolloutStatus():
                return dataclasses.replace(record, revision=revision)
        return record


def make_server(server_id: str, **fields: typing.Any) -> models.BackendServer:
    """Return the declaration of a backend server; ``fields`` replace the defaults."""
    defaults: dict[str, typing.Any] = {
        'service_id': 'stock',
        'host': '10.1.0.1',
        'port': 8000,
        'failure_domain': 'almaty-a',
        'version': 'v1',
        'slots': 3,
        'draining': False,
        'cold_ms': 0,
        'started_unix_ms': 1000,
        'sequence': 1,
    }
    return models.BackendServer(server_id=server_id, **{**defaults, **fields})


EffectT = typing.TypeVar('EffectT')


def single_effect(outputs: list[core_effects.Effect], kind: type[EffectT]) -> EffectT:
    """Return the effect of a class; fail unless there is exactly one."""
    (match,) = [effect for effect in outputs if isinstance(effect, kind)]
    return match


def refusals(outputs: list[core_effects.Effect]) -> list[effects.Refuse]:
    """Return the refusals among effects."""
    return [effect for effect in outputs if isinstance(effect, effects.Refuse)]


def ended(
    started: effects.StartAttempt, result: events.AttemptResult, **fields: typing.Any
) -> events.AttemptEnded:
    """Return the event that ends a started attempt."""
    return events.AttemptEnded(started.attempt_number, result, **fields)


@pytest.fixture
def gateway() -> Gateway:
    """Return a gateway with an idempotent and a non-idempotent route, and two servers of each."""
    created = Gateway()
    created.configure(READS, ORDERS)
    for service_id in ('stock', 'orders'):
        created.add_server(f'{service_id}-1', service_id=service_id)
        created.add_server(f'{service_id}-2', service_id=service_id, failure_domain='almaty-b')
    return created
