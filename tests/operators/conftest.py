"""Valid answers and in-memory fakes of the store and the instances."""

import dataclasses
import json
import pathlib
import typing
from collections import abc

import pytest

from rhubarbspar import cli
from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.core import events
from rhubarbspar.operators import errors
from rhubarbspar.operators import fleet
from rhubarbspar.operators import generate
from rhubarbspar.operators import questionnaire
from rhubarbspar.operators import store
from rhubarbspar.operators.commands import environment as environments

NOW_UNIX_S = 1_800_000_000.0
KEY_DIGEST = 'a' * 64
DEADLINE = '2028-01-01T00:00:00+05:00'


def make_server(server_id: str, port: int, **more: typing.Any) -> dict[str, typing.Any]:
    """Return the answers for one backend server."""
    return {'server_id': server_id, 'address': f'127.0.0.1:{port}', 'slots': 3, **more}


def make_answers() -> dict[str, typing.Any]:
    """Return small valid answers: two regions, one service, two client accounts."""
    return {
        'deployment': 'test',
        'migration_deadline': DEADLINE,
        'store_failure_domain': 'almaty-1',
        'regions': {'almaty': ['almaty-1', 'almaty-2'], 'astana': ['astana-1']},
        'links': [{'between': ['almaty', 'astana'], 'rate_mbit_per_s': 4000}],
        'services': {
            'commissions': {
                'version': 'v1',
                'routes': [
                    {
                        'path_prefix': '/',
                        'methods': ['GET'],
                        'idempotent': True,
                        'open_to_all': False,
                        'timeout_ms': 2000,
                    },
                ],
                'backend_servers': {
                    'almaty-1': [make_server('c-1', 9001), make_server('c-2', 9002, version='v2')],
                    'astana-1': [make_server('c-3', 9003)],
                },
            },
        },
        'client_accounts': {
            'joiner': {'rate_per_s': 50, 'burst_requests': 20},
            'workshop': {'rate_per_s': 100, 'burst_requests': 40},
        },
        'access_keys': [{'key_digest': KEY_DIGEST, 'account_id': 'joiner'}],
        'client_blocks': [{'network': '192.0.2.0/24', 'region': 'almaty'}],
        'moves': {'leave': {'kind': 'drain', 'server_id': 'c-3', 'cap_share': 0.5}},
    }


def write_answers(folder: pathlib.Path, answers: dict[str, typing.Any]) -> str:
    """Write answers to a file and return its path."""
    path = folder / 'answers.jsonc'
    path.write_text(json.dumps(answers, indent=1))
    return str(path)


def make_configuration(answers: dict[str, typing.Any]) -> models.Configuration:
    """Generate the configuration of answers."""
    completed = questionnaire.read(questionnaire.jsonc.parse(json.dumps(answers), 'answers'))
    return generate.generate(completed, NOW_UNIX_S)


class FakeStore:
    """An in-memory store with injected outages, lost responses and delayed transactions."""

    def __init__(self) -> None:
        self.records: dict[str, events.StoreRecord] = {}
        self.revision = 0
        self.faults: list[str] = []
        self.delayed: list[store.Transaction] = []
        self.written: list[store.Transaction] = []

    def put(self, key: str, text: bytes) -> None:
        """Write a record as if by another process, without comparisons."""
        self.revision += 1
        self.records[key] = events.StoreRecord(key, text, self.revision)

    def configuration(self) -> models.Configuration:
        """Return the stored configuration."""
        record = self.records['config']
        return document.parse(record.value, record.revision)

    def get(self, key: str) -> events.StoreRecord:
        return self._answer(lambda: self.records.get(key, events.StoreRecord(key, b'', 0)))

    def list_prefix(self, prefix: str) -> tuple[events.StoreRecord, ...]:
        keys = sorted(key for key in self.records if key.startswith(prefix))
        return self._answer(lambda: tuple(self.records[key] for key in keys))

    def transact(self, transaction: store.Transaction) -> store.TransactionResult:
        if self.faults and self.faults[0] == 'late':
            self.faults.pop(0)
            self.delayed.append(transaction)
            raise errors.StoreAnswerLostError('answer lost')
        return self._answer(lambda: self.execute(transaction))

    def grant_lease(self, ttl_s: int) -> str:
        return self._answer(lambda: '7')

    def execute(self, transaction: store.Transaction) -> store.TransactionResult:
        """Run a transaction without injecting a fault."""
        for compare in transaction.compares:
            record = self.records.get(compare.key)
            if compare.revision != (record.revision if record else 0):
                return store.TransactionResult(False, self.revision)
        self.revision += 1
        for put in transaction.puts:
            self.records[put.key] = events.StoreRecord(put.key, put.value, self.revision)
        self.written.append(transaction)
        return store.TransactionResult(True, self.revision)

    def _answer(self, operation: abc.Callable[[], typing.Any]) -> typing.Any:
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            raise errors.StoreUnavailableError('store is unreachable')
        answer = operation()
        if fault in {'late', 'lost'}:
            raise errors.StoreAnswerLostError('answer lost')
        return answer


class FakeFleet:
    """In-memory instances; a push to one in ``failing`` raises an error."""

    def __init__(self) -> None:
        self.listed: tuple[fleet.Instance, ...] | None = (
            fleet.Instance('almaty-1-a', '127.0.0.1:1'),
            fleet.Instance('astana-1-a', '127.0.0.1:2'),
        )
        self.failing: set[str] = set()
        self.pushed: dict[str, tuple[bytes, int]] = {}

    def instances(self) -> tuple[fleet.Instance, ...]:
        if self.listed is None:
            raise errors.InstanceListError('list of instances: timed out')
        return self.listed

    def push(self, instance: fleet.Instance, encoded: bytes, revision: int) -> None:
        if instance.instance_id in self.failing:
            raise errors.PushError('timed out')
        self.pushed[instance.instance_id] = (encoded, revision)


@dataclasses.dataclass
class Operator:
    """Runs commands and records their output lines and pauses."""

    store: typing.Any
    fleet: FakeFleet = dataclasses.field(default_factory=FakeFleet)
    lines: list[str] = dataclasses.field(default_factory=list)
    pauses: list[float] = dataclasses.field(default_factory=list)
    on_pause: abc.Callable[[], None] = lambda: None

    def run(self, *arguments: str) -> int:
        """Run one command and return its exit code."""
        self.lines.clear()
        return cli.main(arguments, lambda _path: self._environment())

    def _environment(self) -> environments.Environment:
        return environments.Environment(
            store=self.store,
            fleet=self.fleet,
            now_unix_s=lambda: NOW_UNIX_S,
            pause=self._pause,
            write_line=self.lines.append,
        )

    def _pause(self, duration_s: float) -> None:
        self.pauses.append(duration_s)
        self.on_pause()


@pytest.fixture
def answers() -> dict[str, typing.Any]:
    """Return valid answers that a test may modify."""
    return make_answers()


@pytest.fixture
def fake_store() -> FakeStore:
    """Return a store that holds the configuration of the valid answers at revision 1."""
    prepared = FakeStore()
    prepared.put('config', document.render(make_configuration(make_answers())))
    return prepared


@pytest.fixture
def operator(fake_store: FakeStore) -> Operator:
    """Return an operator that uses the fake store."""
    return Operator(fake_store)
