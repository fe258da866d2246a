"""``moves``: show the progress of moves."""

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
_STATES: typing.Final = types.MappingProxyType(
    {
        move_records.MoveState.DONE: 'done',
        move_records.MoveState.TAKEN_BACK: 'taken back',
        move_records.MoveState.UNDER_WAY: 'under way',
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """Configured moves and stored records by move id."""

    moves: dict[str, models.Move]
    records: dict[str, events.StoreRecord]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    actions = parser.add_subparsers(dest='action', required=True, metavar='ACTION')
    status = actions.add_parser('status', help='print where each move is, and why')
    arguments.add_settings(status)
    status.add_argument('move', nargs='?', metavar='MOVE', help='only this move')
    status.add_argument(
        '--wait',
        action='store_true',
        help='wait until every move is done or taken back; exit code 1 if one was taken back',
    )


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Print one line for each move."""
    view = _read(environment, parsed.move)
    lines = _lines(view)
    environment.write_lines(lines)
    while parsed.wait and not _is_settled(view):
        environment.pause(_POLL_INTERVAL_S)
        view = _read_again(environment, parsed.move, view)
        previous = lines
        lines = _lines(view)
        environment.write_lines([line for line in lines if line not in previous])
    return _exit_code(view) if parsed.wait else const.EXIT_DONE


def _read(environment: environments.Environment, move_id: str | None) -> _View:
    configuration = snapshots.read(environment.store).require_configuration()
    prefix = package_const.STORE_PREFIX_MOVES
    records = environment.store.list_prefix(prefix)
    view = _View(
        moves=_select(configuration.moves, move_id),
        records=_select({record.key.removeprefix(prefix): record for record in records}, move_id),
    )
    if move_id is not None and not view.moves and not view.records:
        raise errors.InputError(f'unknown move {move_id}')
    return view


def _read_again(
    environment: environments.Environment,
    move_id: str | None,
    view: _View,
) -> _View:
    """Return the present view, or the former one while the store is unavailable."""
    try:
        return _read(environment, move_id)
    except errors.StoreUnavailableError:
        return view


def _select(
    named: abc.Mapping[str, _Entry],
    move_id: str | None,
) -> dict[str, _Entry]:
    return {name: entry for name, entry in named.items() if move_id in {None, name}}


def _lines(view: _View) -> list[str]:
    lines: list[str] = []
    for name in sorted(view.moves.keys() | view.records.keys()):
        subject = _subject(view.moves.get(name))
        progress = _progress(view.records.get(name))
        lines.append(f'{name}: {subject}: {progress}')
    return lines


def _subject(move: models.Move | None) -> str:
    if move is None:
        return 'no longer configured'
    deadline = _time(move.deadline_unix_s)
    if move.kind == models.MoveKind.DRAIN:
        return f'drain of {move.target} by {deadline}'
    return f'{move.service_id} from {move.old_version} to {move.target} by {deadline}'


def _progress(record: events.StoreRecord | None) -> str:
    if record is None:
        return 'not begun'
    try:
        move = move_records.parse(record)
    except errors.StoreProtocolError as error:
        return str(error)
    state = _STATES[move.state]
    changed = _time(move.changed_unix_s)
    reason = move.reason or 'no reason given'
    return f'{state}, share {move.share:.2f}, since {changed}, {reason}'


def _is_settled(view: _View) -> bool:
    states = {_state(view.records.get(name)) for name in view.moves}
    return not states & {None, move_records.MoveState.UNDER_WAY}


def _exit_code(view: _View) -> int:
    waited = view.moves or view.records
    if move_records.MoveState.TAKEN_BACK in {_state(view.records.get(name)) for name in waited}:
        return const.EXIT_FAILED
    return const.EXIT_DONE


def _state(record: events.StoreRecord | None) -> move_records.MoveState | None:
    return None if record is None else move_records.parse(record).state


def _time(unix_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.isoformat(timespec='seconds')
