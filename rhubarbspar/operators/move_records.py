"""Records of the progress of moves, which the instances store under ``moves/<id>``."""

import dataclasses
import enum
import json
import typing

from rhubarbspar import const
from rhubarbspar.core import events
from rhubarbspar.operators import errors
from rhubarbspar.operators import store


class MoveState(enum.StrEnum):
    """State of a move as the instances record it; taken back means rolled back."""

    DONE = 'done'
    TAKEN_BACK = 'taken_back'
    UNDER_WAY = 'under_way'


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRecord:
    """Stored progress of one move; ``share`` is the candidate's share of the requests."""

    move_id: str
    state: MoveState
    share: float
    reason: str
    changed_unix_s: float


def store_key(move_id: str) -> str:
    """Return the key of a move's record."""
    return f'{const.STORE_PREFIX_MOVES}{move_id}'


def parse(record: events.StoreRecord) -> MoveRecord:
    """Parse a stored record; unknown members are ignored.

    Raises
    ------
    errors.StoreProtocolError
        If the record is malformed.
    """
    try:
        return _build_record(json.loads(record.value))
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreProtocolError(f'record {record.key} is malformed') from error


def is_done(operator_store: store.Store, move_id: str) -> bool:
    """Return whether the stored record of a move has the state ``done``."""
    record = operator_store.get(store_key(move_id))
    return record.revision > 0 and parse(record).state == MoveState.DONE


def _build_record(raw: dict[str, typing.Any]) -> MoveRecord:
    return MoveRecord(
        move_id=str(raw['move_id']),
        state=MoveState(raw['state']),
        share=float(raw['share']),
        reason=str(raw['reason']),
        changed_unix_s=float(raw['changed_unix_s']),
    )
