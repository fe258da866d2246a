"""``moves``: print the progress of moves."""

import argparse
import dataclasses
import datetime
import types
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import models
from rhubarbspar.core import events
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import move_records
from rhubarbspar.operators import snapshots
from rhubarbspar.operators.commands import arguments
from rhubarbspar.operators.commands import environment as environments

_Entry = typing.TypeVar('_Entry')

_POLL_INTERVAL_S: typing.Final = 1.0
_STATE_LABELS: typing.Final = types.MappingProxyType(
    {
        move_records.MoveState.DONE: 'done',
        move_records.MoveState.TAKEN_BACK: 'taken back',
        move_records.MoveState.UNDER_WAY: 'under way',
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Status:
    """Configured moves and stored progress records, both keyed by move id."""

    moves: dict[str, models.Move]
    records: dict[str, events.StoreRecord]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    actions = parser.add_subparsers(dest='action', required=True, metavar='ACTION')
    status_parser = actions.add_parser('status', help='print the state of each move and its reason')
    arguments.add_settings(status_parser)
    status_parser.add_argument('move', nargs='?', metavar='MOVE', help='only this move')
    status_parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until every move is done or taken back; exit code 1 if one was taken back',
    )


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Print one line for each move, and with ``--wait`` each line that changes."""
    status = _read(environment, parsed.move)
    lines = _format_lines(status)
    environment.write_lines(lines)
    while parsed.wait and not _is_finished(status):
        environment.pause(_POLL_INTERVAL_S)
        status = _refresh(environment, parsed.move, status)
        previous = lines
        lines = _format_lines(status)
        environment.write_lines([line for line in lines if line not in previous])
    return _exit_code(status) if parsed.wait else const.EXIT_DONE


def _read(environment: environments.Environment, move_id: str | None) -> _Status:
    configuration = snapshots.read(environment.store).require_configuration()
    prefix = package_const.STORE_PREFIX_MOVES
    records = environment.store.list_prefix(prefix)
    status = _Status(
        moves=_filter_by_id(configuration.moves, move_id),
        records=_filter_by_id(
            {record.key.removeprefix(prefix): record for record in records}, move_id
        ),
    )
    if move_id is not None and not status.moves and not status.records:
        raise errors.InputError(f'unknown move {move_id}')
    return status


def _refresh(
    environment: environments.Environment,
    move_id: str | None,
    status: _Status,
) -> _Status:
    """Return the current status, or the previous one while the store is unavailable."""
    try:
        return _read(environment, move_id)
    except errors.StoreUnavailableError:
        return status


def _filter_by_id(
    entries_by_id: abc.Mapping[str, _Entry],
    move_id: str | None,
) -> dict[str, _Entry]:
    return {name: entry for name, entry in entries_by_id.items() if move_id in {None, name}}


def _format_lines(status: _Status) -> list[str]:
    lines: list[str] = []
    for name in sorted(status.moves.keys() | status.records.keys()):
        subject = _describe_move(status.moves.get(name))
        progress = _describe_progress(status.records.get(name))
        lines.append(f'{name}: {subject}: {progress}')
    return lines


def _describe_move(move: models.Move | None) -> str:
    if move is None:
        return 'no longer configured'
    deadline = _format_time(move.deadline_unix_s)
    if move.kind == models.MoveKind.DRAIN:
        return f'drain of {move.target} by {deadline}'
    return f'{move.service_id} from {move.old_version} to {move.target} by {deadline}'


def _describe_progress(record: events.StoreRecord | None) -> str:
    if record is None:
        return 'not begun'
    try:
        move = move_records.parse(record)
    except errors.StoreProtocolError as error:
        return str(error)
    state = _STATE_LABELS[move.state]
    changed = _format_time(move.changed_unix_s)
    reason = move.reason or 'no reason given'
    return f'{state}, share {move.share:.2f}, since {changed}, {reason}'


def _is_finished(status: _Status) -> bool:
    states = {_state(status.records.get(name)) for name in status.moves}
    return not states & {None, move_records.MoveState.UNDER_WAY}


def _exit_code(status: _Status) -> int:
    waited = status.moves or status.records
    if move_records.MoveState.TAKEN_BACK in {_state(status.records.get(name)) for name in waited}:
        return const.EXIT_FAILED
    return const.EXIT_DONE


def _state(record: events.StoreRecord | None) -> move_records.MoveState | None:
    return None if record is None else move_records.parse(record).state


def _format_time(unix_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.isoformat(timespec='seconds')
