"""Tests of concurrent operators, with lost responses and delayed transactions."""

import dataclasses
import json
import pathlib
import queue
import threading
import typing
from collections import abc

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.operators import store
from tests.operators import conftest

_NO_FAULT = ''
_HANDOFF_TIMEOUT_S = 30
_FAULTS = ('', '', 'down', 'lost', 'late')

Configuration = models.Configuration


@dataclasses.dataclass(frozen=True)
class Command:
    """A command line and a predicate that detects its effect in a configuration."""

    arguments: tuple[str, ...]
    took_effect: abc.Callable[[Configuration], bool]


@dataclasses.dataclass(frozen=True)
class Step:
    """Serve the next store call of one operator.

    ``deliver_late`` runs the oldest delayed transaction first, if there is one.
    """

    operator: int
    fault: str
    deliver_late: bool


class ScheduledStore:
    """Queues each call of an operator, so that the test decides when it is served."""

    def __init__(self) -> None:
        self.calls: queue.Queue[abc.Callable[[], typing.Any] | None] = queue.Queue()
        self.answers: queue.Queue[abc.Callable[[], typing.Any]] = queue.Queue()
        self.change_ids: set[str] = set()
        self.target = conftest.FakeStore()

    def get(self, key: str) -> typing.Any:
        return self._call(lambda: self.target.get(key))

    def list_prefix(self, prefix: str) -> typing.Any:
        return self._call(lambda: self.target.list_prefix(prefix))

    def grant_lease(self, ttl_s: int) -> typing.Any:
        return self._call(lambda: self.target.grant_lease(ttl_s))

    def transact(self, transaction: store.Transaction) -> typing.Any:
        self.change_ids.add(change_id(transaction))
        return self._call(lambda: self.target.transact(transaction))

    def _call(self, call: abc.Callable[[], typing.Any]) -> typing.Any:
        self.calls.put(call)
        return self.answers.get(timeout=_HANDOFF_TIMEOUT_S)()


class ConcurrentCommand:
    """Runs a command in a thread that blocks at each store call until it is served."""

    def __init__(self, target: conftest.FakeStore, command: Command) -> None:
        self.exit_code = -1
        self.store = ScheduledStore()
        self.store.target = target
        self._command = command
        self._operator = conftest.Operator(self.store)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self.pending = self._next_store_call()

    def serve(self) -> None:
        """Serve the pending call, then wait for the next call or the end of the command."""
        assert self.pending is not None
        try:
            answer = self.pending()
        except Exception as error:
            self.store.answers.put(_raising(error))
        else:
            self.store.answers.put(lambda: answer)
        self.pending = self._next_store_call()

    def _next_store_call(self) -> abc.Callable[[], typing.Any] | None:
        return self.store.calls.get(timeout=_HANDOFF_TIMEOUT_S)

    def _run(self) -> None:
        try:
            self.exit_code = self._operator.run(*self._command.arguments)
        finally:
            self.store.calls.put(None)


def change_id(transaction: store.Transaction) -> str:
    """Return the change id in the key of a transaction's change record."""
    (put,) = [put for put in transaction.puts if put.key.startswith('changes/')]
    return put.key.removeprefix('changes/')


def _raising(error: Exception) -> abc.Callable[[], typing.Any]:
    def throw() -> typing.Any:
        raise error

    return throw


def _run_interleaved(
    target: conftest.FakeStore,
    commands: list[Command],
    steps: list[Step],
) -> list[ConcurrentCommand]:
    runners = [ConcurrentCommand(target, command) for command in commands]
    remaining = iter(steps)
    while any(runner.pending for runner in runners):
        step = next(remaining, Step(0, _NO_FAULT, deliver_late=True))
        if step.deliver_late and target.delayed:
            target.execute(target.delayed.pop(0))
        waiting = [runner for runner in runners if runner.pending]
        runner = waiting[step.operator % len(waiting)]
        target.faults = [step.fault]
        runner.serve()
        target.faults = []
    for transaction in target.delayed:
        target.execute(transaction)
    return runners


def _count_keys(configuration: Configuration, account_id: str) -> int:
    keys = configuration.access_keys.values()
    return sum(key.account_id == account_id for key in keys)


def _move_targets(configuration: Configuration) -> set[str]:
    return {move.target for move in configuration.moves.values()}


def _commands(answers_path: str) -> list[Command]:
    deadline = ('--deadline', conftest.DEADLINE)
    return [
        Command(
            ('apply', answers_path, '--revision', '1'),
            lambda configuration: 'cooper' in configuration.client_accounts,
        ),
        Command(
            ('drain', '--server', 'c-1', *deadline),
            lambda configuration: 'c-1' in _move_targets(configuration),
        ),
        Command(
            ('drain', '--server', 'c-3', '--withdraw'),
            lambda configuration: 'c-3' not in _move_targets(configuration),
        ),
        Command(
            ('keys', 'grant', 'workshop'),
            lambda configuration: _count_keys(configuration, 'workshop') == 1,
        ),
        Command(
            ('keys', 'withdraw', conftest.KEY_DIGEST),
            lambda configuration: _count_keys(configuration, 'joiner') == 0,
        ),
        Command(
            ('versions', 'start', 'commissions', 'v2', *deadline),
            lambda configuration: 'v2' in _move_targets(configuration),
        ),
    ]


@pytest.fixture(scope='module')
def commands(tmp_path_factory: pytest.TempPathFactory) -> list[Command]:
    """Return commands that change different parts of the configuration."""
    answers = conftest.make_answers()
    answers['client_accounts']['cooper'] = {'rate_per_s': 5, 'burst_requests': 5}
    folder: pathlib.Path = tmp_path_factory.mktemp('answers')
    return _commands(conftest.write_answers(folder, answers))


_STEPS = strategies.lists(
    strategies.builds(
        Step,
        operator=strategies.integers(0, 1),
        fault=strategies.sampled_from(_FAULTS),
        deliver_late=strategies.booleans(),
    ),
    min_size=16,
    max_size=60,
)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    chosen=strategies.lists(strategies.integers(0, 5), min_size=1, max_size=2, unique=True),
    steps=_STEPS,
)
def test_each_accepted_change_is_written_once_and_never_lost(
    commands: list[Command],
    chosen: list[int],
    steps: list[Step],
) -> None:
    """Guards against lost updates and duplicate writes.

    Two commands run concurrently, while responses are lost and transactions arrive late.
    """
    target = conftest.FakeStore()
    target.put('config', document.render(conftest.make_configuration(conftest.make_answers())))
    selected = [commands[index] for index in chosen]
    runners = _run_interleaved(target, selected, steps)
    written = [change_id(transaction) for transaction in target.written]
    final = target.configuration()
    for runner, command in zip(runners, selected, strict=True):
        writes = sum(name in runner.store.change_ids for name in written)
        assert writes <= 1
        assert command.took_effect(final) == (writes == 1)
        if runner.exit_code != 1:
            assert writes == {0: 1, 3: 0}[runner.exit_code]
    bases = [
        json.loads(_change_record(transaction))['base_revision'] for transaction in target.written
    ]
    assert bases == list(range(1, len(bases) + 1))


def _change_record(transaction: store.Transaction) -> bytes:
    (put,) = [put for put in transaction.puts if put.key.startswith('changes/')]
    return put.value


@pytest.mark.parametrize(('fault', 'pauses'), [('lost', 1), ('late', 1), ('late', 3)])
def test_own_write_is_recognized_after_lost_response(
    operator: conftest.Operator,
    fault: str,
    pauses: int,
) -> None:
    """Guards against a duplicate write, and a command that reports its own write as a conflict."""
    operator.store.faults = ['', '', fault, '', 'down']

    def deliver() -> None:
        if len(operator.pauses) == pauses and operator.store.delayed:
            operator.store.execute(operator.store.delayed.pop())
        elif operator.store.delayed:
            operator.store.faults = ['', 'down']

    operator.on_pause = deliver
    assert operator.run('keys', 'grant', 'workshop') == 0
    assert operator.lines[1] == 'accepted as revision 2'
    assert len(operator.store.written) == 1


def test_own_write_is_recognized_despite_newer_revision(operator: conftest.Operator) -> None:
    """Guards against a written change reported as a conflict because another one followed."""
    other = conftest.Operator(operator.store)
    operator.store.faults = ['', '', 'lost']
    operator.on_pause = lambda: _run_other(other)
    assert operator.run('keys', 'grant', 'workshop') == 0
    assert operator.lines[1] == 'accepted as revision 2'
    assert _count_keys(operator.store.configuration(), 'workshop') == 2


def _run_other(other: conftest.Operator) -> None:
    assert other.run('keys', 'grant', 'workshop') == 0


def test_conflict_shows_what_the_other_operator_changed(
    operator: conftest.Operator,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a conflict error that does not show the other change."""
    other = conftest.Operator(operator.store)
    operator.store.faults = ['', 'down']
    operator.on_pause = lambda: _run_other(other)
    assert operator.run('drain', '--server', 'c-1', '--deadline', conftest.DEADLINE) == 3
    shown = capsys.readouterr().err
    assert 'revision 2 differs from revision 1 by:\n+ access_keys.' in shown
    assert len(operator.store.written) == 1
