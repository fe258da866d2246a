"""Tests of the commands with an in-memory store."""

import hashlib
import json
import pathlib
import re
import typing

import pytest

from rhubarbspar.helpers import jsonc
from rhubarbspar.operators import changes
from tests.operators import conftest

_DEADLINE = ('--deadline', conftest.DEADLINE)


def _record(state: str, move_id: str = 'leave', reason: str = 'on time') -> bytes:
    record = {
        'move_id': move_id,
        'state': state,
        'share': 0.25,
        'reason': reason,
        'changed_unix_s': conftest.NOW_UNIX_S,
    }
    return json.dumps(record).encode()


def test_plan_shows_and_apply_writes(
    operator: conftest.Operator,
    answers: dict[str, typing.Any],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a plan that differs from the write, and writes without a change."""
    answers['client_accounts']['joiner']['rate_per_s'] = 60
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('plan', path) == 0
    assert operator.lines[:2] == [
        'changes to revision 1:',
        '~ client_accounts.joiner.rate_per_s: 50 -> 60',
    ]
    assert operator.run('apply', path, '--revision', '1') == 0
    assert operator.store.configuration().client_accounts['joiner'].rate_per_s == 60
    assert operator.run('apply', path, '--revision', '1') == 0
    assert operator.lines == ['revision 2 has these answers already']
    assert len(operator.store.written) == 1


def test_first_configuration_is_written(
    answers: dict[str, typing.Any], tmp_path: pathlib.Path
) -> None:
    """Guards against ``apply`` failing when the store has no configuration yet."""
    operator = conftest.Operator(conftest.FakeStore())
    assert operator.run('keys', 'list') == 2
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('apply', path, '--revision', '0') == 0
    assert operator.store.configuration().revision == 1


def test_apply_after_another_operator_is_a_conflict(
    operator: conftest.Operator,
    answers: dict[str, typing.Any],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against overwriting a change that another operator wrote after the plan."""
    assert operator.run('keys', 'grant', 'workshop') == 0
    answers['client_accounts']['joiner']['rate_per_s'] = 60
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('apply', path, '--revision', '1') == 3
    shown = capsys.readouterr().err
    assert 'store has revision 2, the plan is for 1; nothing was written' in shown
    assert '~ client_accounts.joiner.rate_per_s: 50 -> 60' in shown
    assert operator.store.revision == 2


def test_older_answers_keep_changes_of_commands(
    operator: conftest.Operator,
    answers: dict[str, typing.Any],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against applying an older file that restores or drops keys and drains.

    Commands changed them after the file was written.
    """
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('keys', 'withdraw', conftest.KEY_DIGEST[:8]) == 0
    assert operator.run('drain', '--server', 'c-3', '--withdraw') == 0
    assert operator.run('keys', 'grant', 'workshop') == 0
    assert operator.run('drain', '--failure-domain', 'almaty-2', *_DEADLINE) == 0
    kept = operator.store.configuration()
    assert operator.run('apply', path, '--revision', '5') == 0
    assert operator.lines == [
        f'left out: access key {conftest.KEY_DIGEST} was withdrawn',
        'left out: move leave was withdrawn',
        'revision 5 has these answers already',
    ]
    assert conftest.KEY_DIGEST not in kept.access_keys
    assert [key.account_id for key in kept.access_keys.values()] == ['workshop']
    assert [move.target for move in kept.moves.values()] == ['almaty-2']


def test_key_is_shown_once_and_only_its_digest_is_stored(operator: conftest.Operator) -> None:
    """Guards against an access key that can be read from the store or from ``keys list``."""
    assert operator.run('keys', 'grant', 'workshop') == 0
    key = operator.lines[-1].removeprefix('access key (not shown again): ')
    digest = hashlib.sha256(key.encode()).hexdigest()
    assert operator.store.configuration().access_keys[digest].account_id == 'workshop'
    assert all(key.encode() not in record.value for record in operator.store.records.values())
    assert operator.run('keys', 'list', '--account', 'workshop') == 0
    assert operator.lines == [f'{digest} workshop']


def test_withdrawal_is_pushed_and_failures_are_reported(operator: conftest.Operator) -> None:
    """Guards against a withdrawal that is not pushed, or fails if one instance does."""
    operator.fleet.failing = {'astana-1-a'}
    assert operator.run('keys', 'withdraw', conftest.KEY_DIGEST) == 0
    assert operator.lines[-2:] == [
        'not pushed to instance astana-1-a: timed out',
        'pushed revision 2 to 1 of 2 instances',
    ]
    stored = operator.store.records['config'].value
    assert operator.fleet.pushed == {'almaty-1-a': (stored, 2)}
    operator.fleet.failing = set()
    assert operator.run('keys', 'withdraw', conftest.KEY_DIGEST) == 0
    assert operator.lines[-1] == 'pushed revision 2 to 2 of 2 instances'
    operator.fleet.listed = None
    assert operator.run('keys', 'withdraw', conftest.KEY_DIGEST) == 0
    assert operator.lines[-1].startswith('not pushed, instances follow the store')
    assert len(operator.store.written) == 1


@pytest.mark.parametrize(
    'arguments',
    [
        ('apply', 'absent.jsonc', '--revision', '1'),
        ('check', 'absent.jsonc'),
        ('drain', '--failure-domain', 'mars-1', *_DEADLINE),
        ('drain', '--instance', 'mars-1-a', *_DEADLINE),
        ('drain', '--server', 'c-1'),
        ('drain', '--server', 'c-1', '--deadline', '2026-01-01T00:00:00Z'),
        ('drain', '--server', 'c-1', '--withdraw'),
        ('drain', '--server', 'c-3', *_DEADLINE),
        ('instance', '--settings', 'absent.jsonc'),
        ('keys', 'grant', 'nobody'),
        ('keys', 'list', '--account', 'nobody'),
        ('keys', 'withdraw', 'b' * 64),
        ('keys', 'withdraw', 'aaaa'),
        ('moves', 'status', 'nothing'),
        ('versions', 'start', 'bakery', 'v2', *_DEADLINE),
        ('versions', 'start', 'commissions', 'v1', *_DEADLINE),
        ('versions', 'start', 'commissions', 'v9', *_DEADLINE),
        ('versions', 'withdraw', 'commissions', 'v2'),
    ],
)
def test_bad_input_writes_nothing(
    operator: conftest.Operator,
    arguments: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an invalid argument that causes a write or a traceback."""
    assert operator.run(*arguments) == 2
    shown = capsys.readouterr().err
    assert re.fullmatch(r'rhubarbspar: .+\n', shown)
    assert operator.store.revision == 1


def test_version_changes_only_after_completed_move(
    operator: conftest.Operator,
    answers: dict[str, typing.Any],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against answers that change a version in one step, without a completed move."""
    service = answers['services']['commissions']
    service['version'] = 'v2'
    service['backend_servers']['astana-1'][0]['version'] = 'v1'
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('plan', path) == 2
    assert 'c-1 changes from version v1 to v2' in capsys.readouterr().err
    service['backend_servers']['almaty-1'][0]['version'] = 'v1'
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('plan', path) == 2
    assert 'no move to it is done' in capsys.readouterr().err
    assert operator.run('versions', 'start', 'commissions', 'v2', *_DEADLINE) == 0
    move_id = operator.lines[0].removeprefix('starting move ')
    assert operator.run('versions', 'start', 'commissions', 'v2', *_DEADLINE) == 2
    operator.store.put(f'moves/{move_id}', _record('done', move_id))
    assert operator.run('versions', 'withdraw', 'commissions', 'v2') == 2
    assert operator.run('apply', path, '--revision', '2') == 0
    applied = operator.store.configuration()
    assert applied.services['commissions'].version == 'v2'
    assert move_id not in applied.moves


def test_completed_move_is_not_withdrawn(operator: conftest.Operator) -> None:
    """Guards against withdrawing a move that is completed between the read and the write.

    All requests would return to the old version in one step.
    """
    assert operator.run('versions', 'start', 'commissions', 'v2', *_DEADLINE) == 0
    move_id = operator.lines[0].removeprefix('starting move ')
    execute = operator.store.execute

    def complete_first(transaction: typing.Any) -> typing.Any:
        operator.store.execute = execute
        operator.store.put(f'moves/{move_id}', _record('done', move_id))
        return execute(transaction)

    operator.store.execute = complete_first
    assert operator.run('versions', 'withdraw', 'commissions', 'v2') == 2
    assert move_id in operator.store.configuration().moves


def test_moves_status_prints_state_and_reason(operator: conftest.Operator) -> None:
    """Guards against a status that hides a completed move, a rollback or its reason."""
    assert operator.run('moves', 'status') == 0
    subject = 'leave: drain of c-3 by 2027-12-31T19:00:00+00:00'
    assert operator.lines == [f'{subject}: not begun']
    operator.store.put('moves/leave', _record('taken_back', reason='errors on /'))
    operator.store.put('moves/old', b'?')
    since = 'share 0.25, since 2027-01-15T08:00:00+00:00'
    assert operator.run('moves', 'status') == 0
    assert operator.lines == [
        f'{subject}: taken back, {since}, errors on /',
        'old: no longer configured: record moves/old is malformed',
    ]
    assert operator.run('moves', 'status', 'leave', '--wait') == 1
    operator.store.put('moves/leave', _record('done'))
    assert operator.run('moves', 'status', '--wait') == 0
    assert operator.lines[0] == f'{subject}: done, {since}, on time'


def test_wait_continues_during_store_outage(operator: conftest.Operator) -> None:
    """Guards against ``--wait`` returning before the move has ended."""
    operator.store.put('moves/leave', _record('under_way'))

    def end_move() -> None:
        if len(operator.pauses) == 1:
            operator.store.faults = ['down']
        if len(operator.pauses) == 3:
            operator.store.put('moves/leave', _record('taken_back'))

    operator.on_pause = end_move
    assert operator.run('moves', 'status', 'leave', '--wait') == 1
    assert [': under way' in line for line in operator.lines] == [True, False]
    assert len(operator.pauses) == 3


def test_store_outage_is_reported_in_one_line(
    operator: conftest.Operator,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a traceback, and an outage that is reported as an unknown outcome."""
    operator.store.faults = ['', *['down'] * 100]
    assert operator.run('keys', 'grant', 'workshop') == 1
    assert capsys.readouterr().err == 'rhubarbspar: store is unreachable\n'
    assert len(operator.pauses) == changes.MAX_ATTEMPTS - 1


def test_lost_response_and_outage_leave_outcome_unknown(
    operator: conftest.Operator,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against reporting that nothing was written, and printing a key that may not exist."""
    operator.store.faults = ['', '', 'lost', *['down'] * 100]
    assert operator.run('keys', 'grant', 'workshop') == 1
    assert 'may be written now or later' in capsys.readouterr().err
    assert len(operator.lines) == 1
    assert len(operator.store.written) == 1


def test_too_large_configuration_is_rejected(
    operator: conftest.Operator,
    answers: dict[str, typing.Any],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against sending a document that exceeds the size limit of the store."""
    answers['client_accounts'] |= {
        f'account-{number}': {'rate_per_s': 1, 'burst_requests': 2} for number in range(12_000)
    }
    path = conftest.write_answers(tmp_path, answers)
    assert operator.run('apply', path, '--revision', '1') == 2


def test_many_problems_need_one_parse(
    operator: conftest.Operator,
    answers: dict[str, typing.Any],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against parsing the whole file again for each problem, which takes too long."""
    answers['client_accounts'] |= {
        f'account-{number}': {'rate_per_s': 1, 'burst_requests': 1} for number in range(2_000)
    }
    path = conftest.write_answers(tmp_path, answers)
    compositions = jsonc._compose.cache_info().misses
    assert operator.run('check', path) == 2
    assert jsonc._compose.cache_info().misses == compositions + 1
