"""Add moves to the configuration and withdraw them."""

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

# Instances update the record of a move at each step. Steps are at least 2 s apart, so even a single
# retry is rare.
_MAX_WITHDRAW_ATTEMPTS: typing.Final = 5
_NAME_MAX_CHARS: typing.Final = 40
_SUFFIX_CHARS: typing.Final = 8

MoveSelector: typing.TypeAlias = abc.Callable[[models.Configuration], models.Move]


def generate_id(name: str) -> str:
    """Return a unique move id.

    Ids are never reused, because the stored record of a finished move is final.
    """
    shortened = name[:_NAME_MAX_CHARS]
    suffix = uuid.uuid4().hex[:_SUFFIX_CHARS]
    return f'{shortened}-{suffix}'


def start(
    environment: environments.Environment,
    base: snapshots.Snapshot,
    move: models.Move,
    command: str,
) -> None:
    """Write a configuration with the move added."""
    configuration = base.require_configuration()
    moves = {**configuration.moves, move.move_id: move}
    environment.write_line(f'starting move {move.move_id}')
    changed = dataclasses.replace(configuration, moves=moves)
    writing.write(environment, changes.Change(base, changed, command))


def withdraw(environment: environments.Environment, select: MoveSelector, command: str) -> None:
    """Write a configuration without the move.

    The write fails if the record of the move changes at the same time. It is then retried with the
    current configuration and record.

    Parameters
    ----------
    environment
        External dependencies of the command.
    select
        Selects the move from a configuration; raises ``errors.InputError`` if there is none.
    command
        Name of the command, kept in the change record.

    Raises
    ------
    errors.InputError
        If a version move is done. Withdrawing it would return all requests to the old version at
        once.
    errors.GuardError
        If the record of the move changed in every attempt.
    """
    for attempt in range(1, _MAX_WITHDRAW_ATTEMPTS + 1):
        try:
            return _withdraw_once(environment, select, command)
        except errors.GuardError:
            if attempt == _MAX_WITHDRAW_ATTEMPTS:
                raise


def _withdraw_once(
    environment: environments.Environment,
    select: MoveSelector,
    command: str,
) -> None:
    base = snapshots.read(environment.store)
    configuration = base.require_configuration()
    move = select(configuration)
    record = environment.store.get(move_records.store_key(move.move_id))
    if move.kind == models.MoveKind.VERSION and record.revision:
        if move_records.parse(record).state == move_records.MoveState.DONE:
            raise errors.InputError(
                f'move {move.move_id} is done; start a move back to version {move.old_version}',
            )
    environment.write_line(f'withdrawing move {move.move_id}')
    moves = {name: kept for name, kept in configuration.moves.items() if name != move.move_id}
    withdrawal_record = effects.StorePut(
        f'{const.STORE_PREFIX_WITHDRAWN_MOVES}{move.move_id}', b'{}'
    )
    writing.write(
        environment,
        changes.Change(
            base=base,
            configuration=dataclasses.replace(configuration, moves=moves),
            command=command,
            puts=(withdrawal_record,),
            guards=(effects.StoreCompare(record.key, record.revision),),
        ),
    )
