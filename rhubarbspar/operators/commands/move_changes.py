"""Start and withdraw moves."""

import dataclasses
import typing
import uuid
from collections import abc

from rhubarbspar.components.configuration import models
from rhubarbspar.core import effects
from rhubarbspar.operators import changes
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import move_records
from rhubarbspar.operators import snapshots
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import writing

# A move's record changes with each step, at least 2 s apart, so that one retry is rare.
_GUARD_ATTEMPTS: typing.Final = 5
_NAME_CHARS: typing.Final = 40
_SUFFIX_CHARS: typing.Final = 8

Choose: typing.TypeAlias = abc.Callable[[models.Configuration], models.Move]


def new_id(name: str) -> str:
    """Return a move id that was never used, since a stored verdict is final."""
    shortened = name[:_NAME_CHARS]
    suffix = uuid.uuid4().hex[:_SUFFIX_CHARS]
    return f'{shortened}-{suffix}'


def start(
    environment: environments.Environment,
    base: snapshots.Snapshot,
    move: models.Move,
    command: str,
) -> None:
    """Add a move to the configuration."""
    configuration = base.require_configuration()
    moves = {**configuration.moves, move.move_id: move}
    environment.write_line(f'starting move {move.move_id}')
    changed = dataclasses.replace(configuration, moves=moves)
    writing.write(environment, changes.Change(base, changed, command))


def withdraw(environment: environments.Environment, choose: Choose, command: str) -> None:
    """Remove a move from the configuration, unless its record changes at the same time.

    Parameters
    ----------
    environment
        Outside world.
    choose
        Selects the move; raises ``errors.InputError`` if there is none.
    command
        Name of the command.

    Raises
    ------
    errors.InputError
        If a move to a version is done: all requests would return to the old version at once.
    """
    for attempt in range(1, _GUARD_ATTEMPTS + 1):
        try:
            return _withdraw_once(environment, choose, command)
        except errors.GuardError:
            if attempt == _GUARD_ATTEMPTS:
                raise


def _withdraw_once(
    environment: environments.Environment,
    choose: Choose,
    command: str,
) -> None:
    base = snapshots.read(environment.store)
    configuration = base.require_configuration()
    move = choose(configuration)
    record = environment.store.get(move_records.store_key(move.move_id))
    if move.kind == models.MoveKind.VERSION and record.revision:
        if move_records.parse(record).state == move_records.MoveState.DONE:
            raise errors.InputError(
                f'move {move.move_id} is done; start a move back to version {move.old_version}',
            )
    environment.write_line(f'withdrawing move {move.move_id}')
    moves = {name: kept for name, kept in configuration.moves.items() if name != move.move_id}
    mark = effects.StorePut(f'{const.STORE_PREFIX_WITHDRAWN_MOVES}{move.move_id}', b'{}')
    writing.write(
        environment,
        changes.Change(
            base=base,
            configuration=dataclasses.replace(configuration, moves=moves),
            command=command,
            puts=(mark,),
            guards=(effects.StoreCompare(record.key, record.revision),),
        ),
    )
