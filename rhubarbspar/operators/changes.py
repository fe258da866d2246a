"""Write a change of the configuration at most once.

The transaction requires that ``config`` still has the base revision and that the change record
``changes/<change_id>`` does not exist. A retried or delayed transaction therefore cannot write the
change a second time. After a lost response, the change record shows whether the write took effect.
"""

import dataclasses
import json
import typing
import uuid
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.operators import const
from rhubarbspar.operators import diff
from rhubarbspar.operators import errors
from rhubarbspar.operators import snapshots
from rhubarbspar.operators import store

MAX_ATTEMPTS: typing.Final = 8
RETRY_DELAY_S: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A new configuration and the conditions under which it is written.

    Attributes
    ----------
    base
        The configuration that the change replaces.
    configuration
        The configuration to write.
    command
        Name of the command, kept in the change record.
    puts
        Records to write in the same transaction.
    guards
        Other records whose revision must not have changed.
    change_id
        Random id in the key of the change record, which identifies the write after a lost response.
    """

    base: snapshots.Snapshot
    configuration: models.Configuration
    command: str
    puts: tuple[effects.StorePut, ...] = ()
    guards: tuple[effects.StoreCompare, ...] = ()
    change_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)


def submit(
    operator_store: store.Store,
    change: Change,
    pause: abc.Callable[[float], None],
) -> int:
    """Write a change, retrying while the store is unavailable, and return its revision.

    Parameters
    ----------
    operator_store
        Store that holds the configuration.
    change
        Change to write.
    pause
        Waits for a number of seconds between attempts.

    Raises
    ------
    errors.InputError
        If the document is too large for the store.
    errors.ConflictError
        If another change was written first; this one was not.
    errors.GuardError
        If a record in ``guards`` changed; nothing was written.
    errors.OutcomeUnknownError
        If a response was lost and the store could not be read afterwards.
    errors.StoreUnavailableError
        If the store was unavailable in every attempt; nothing was written.
    """
    encoded = document.render(change.configuration)
    if len(encoded) > const.STORE_VALUE_MAX_BYTES:
        raise errors.InputError(
            f'configuration has {len(encoded)} bytes, '
            f'the store takes {const.STORE_VALUE_MAX_BYTES}',
        )
    writer = _ChangeWriter(operator_store, change, encoded)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            pause(RETRY_DELAY_S)
        revision = writer.try_write()
        if revision:
            return revision
    raise writer.final_error()


class _ChangeWriter:
    """Attempts to write one change, with what is known about earlier attempts."""

    def __init__(self, operator_store: store.Store, change: Change, encoded: bytes) -> None:
        """Take the change and its encoded configuration document."""
        self._store = operator_store
        self._change = change
        self._encoded = encoded
        self._lease_id: str | None = None
        self._answer_lost = False
        self._last_error: errors.OperatorError = errors.StoreUnavailableError(
            'store was not called'
        )

    def try_write(self) -> int | None:
        """Try to write the change; return its revision, or ``None`` if a retry is needed."""
        try:
            return self._write_or_find()
        except errors.StoreUnavailableError as error:
            self._last_error = error
        except errors.StoreProtocolError as rejected:
            # A rejection says nothing about an earlier transaction whose response was lost.
            if not self._answer_lost:
                raise
            self._last_error = rejected
        return None

    def final_error(self) -> errors.OperatorError:
        """Return the error to raise after the last attempt.

        The outcome is unknown if the response to any transaction was lost.
        """
        if not self._answer_lost:
            return self._last_error
        change_id = self._change.change_id
        return errors.OutcomeUnknownError(
            f'{self._last_error}; change {change_id} may be written now or later: '
            'read the configuration again before the next change',
        )

    def _write_or_find(self) -> int | None:
        if self._answer_lost:
            revision = self._find_own_write()
            if revision:
                return revision
        outcome = self._transact()
        if outcome.succeeded:
            return outcome.revision
        # An earlier transaction whose response was lost may have taken effect since the last read.
        revision = self._find_own_write()
        if revision:
            return revision
        raise errors.GuardError('a record that the command depends on changed; run it again')

    def _transact(self) -> store.TransactionResult:
        if self._lease_id is None:
            self._lease_id = self._store.grant_lease(const.CHANGE_RECORD_TTL_S)
        transaction = self._transaction()
        try:
            return self._store.transact(transaction)
        except errors.StoreAnswerLostError:
            self._answer_lost = True
            raise

    def _find_own_write(self) -> int | None:
        """Return the revision of this change, or ``None`` if the configuration is unchanged.

        The configuration is read before the change record. Once its revision differs from the
        base, this change has either written its record or can no longer take effect.

        Raises
        ------
        errors.ConflictError
            If another change replaced the base configuration.
        """
        current = self._store.get(package_const.STORE_KEY_CONFIGURATION)
        if current.revision == self._change.base.revision:
            return None
        own = self._store.get(self._change_record_key())
        if own.revision:
            return own.revision
        raise errors.ConflictError(describe_conflict(self._change.base, current))

    def _transaction(self) -> store.Transaction:
        change = self._change
        config_key = package_const.STORE_KEY_CONFIGURATION
        return store.Transaction(
            compares=(
                effects.StoreCompare(config_key, change.base.revision),
                effects.StoreCompare(self._change_record_key(), 0),
                *change.guards,
            ),
            puts=(
                effects.StorePut(config_key, self._encoded),
                effects.StorePut(self._change_record_key(), self._change_record(), self._lease_id),
                *change.puts,
            ),
        )

    def _change_record_key(self) -> str:
        change_id = self._change.change_id
        return f'{const.STORE_PREFIX_CHANGES}{change_id}'

    def _change_record(self) -> bytes:
        record = {
            'change_id': self._change.change_id,
            'command': self._change.command,
            'base_revision': self._change.base.revision,
        }
        return json.dumps(record, sort_keys=True).encode()


def describe_conflict(base: snapshots.Snapshot, record: events.StoreRecord) -> str:
    """Return an error message with the newer revision and its difference from the base."""
    newer = record.revision
    lines = [f'revision {newer} came before this change; nothing was written']
    current = snapshots.from_record(record)
    if current.configuration is None:
        return '\n'.join([*lines, 'the store has no configuration any more'])
    base_revision = base.revision
    lines.append(f'revision {newer} differs from revision {base_revision} by:')
    lines.extend(diff.difference(base.configuration, current.configuration) or ['no entry'])
    return '\n'.join(lines)
