"""Records of moves in the store: serialization, periodic reads and compare-and-swap writes."""

import dataclasses
import json

import cattrs
from cattrs.preconf import json as cattrs_json

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import errors
from rhubarbspar.components.rollout import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state

_CONVERTER = cattrs_json.make_converter()


def parse(text: bytes) -> models.MoveRecord:
    """Parse a record from JSON.

    Raises
    ------
    errors.MoveRecordError
        If the record is malformed or its share is not between 0 and 1.
    """
    try:
        record = _CONVERTER.structure(json.loads(text), models.MoveRecord)
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        raise errors.MoveRecordError('the move record is malformed') from error
    if not 0 <= record.share <= 1:
        raise errors.MoveRecordError('the share of the move record is not between 0 and 1')
    return record


def serialize(record: models.MoveRecord) -> bytes:
    """Return a record as JSON."""
    return json.dumps(_CONVERTER.unstructure(record), sort_keys=True).encode()


def are_fresh(state: core_state.State, now_ms: float) -> bool:
    """Tell whether the known records are recent enough to act on.

    They also count as recent while a witness attests that the store is down, because no record can
    change then. An instance that reaches neither the store nor a witness may have missed a verdict.
    """
    if now_ms - state.rollout.read_sent_ms <= const.RECORDS_FRESH_MS:
        return True
    return configuration_reducer.store_known_down(state, now_ms)


def read_if_due(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Return a read of all records if one is due.

    After a write with an unknown outcome, a read is due at once.
    """
    rollout = state.rollout
    elapsed_ms = now_ms - rollout.read_started_ms
    if rollout.read_pending and elapsed_ms < const.READ_TIMEOUT_MS:
        return []
    due_at_once = (
        rollout.read_requested and rollout.read_started_ms <= rollout.write_outcome_unknown_ms
    )
    if elapsed_ms < const.READ_INTERVAL_MS and not due_at_once:
        return []
    rollout.read_started_ms = now_ms
    rollout.read_pending = True
    return [effects.StoreGet(const.TAG_READ, package_const.STORE_PREFIX_MOVES, prefix=True)]


def apply_read_result(state: core_state.State, event: events.StoreAnswered, now_ms: float) -> None:
    """Replace the known records by those of a read, unless its answer is older than the last."""
    rollout = state.rollout
    rollout.read_pending = False
    if event.outcome is not events.StoreOutcome.SUCCEEDED:
        return
    if event.revision < rollout.store_revision:
        return
    if now_ms - rollout.read_sent_ms > const.RECORDS_FRESH_MS:
        _restart_intervals(rollout, now_ms)
    rollout.store_revision = event.revision
    rollout.read_sent_ms = event.sent_ms
    if rollout.read_requested and event.sent_ms >= rollout.write_outcome_unknown_ms:
        rollout.read_requested = False
    stored_ids = {_move_id(record) for record in event.records}
    for move_id in rollout.records.keys() - stored_ids:
        rollout.records.pop(move_id)
    for record in event.records:
        cache_record(rollout, record, now_ms)


def cache_record(rollout: models.RolloutState, stored: events.StoreRecord, now_ms: float) -> None:
    """Cache a stored record unless a newer one is known, and add the verdict that it holds."""
    move_id = _move_id(stored)
    cached = rollout.records.get(move_id)
    if cached is not None and cached.revision >= stored.revision:
        return
    try:
        record = parse(stored.value)
    except errors.MoveRecordError:
        rollout.records[move_id] = models.CachedRecord(None, stored.revision, now_ms)
        return
    rollout.records[move_id] = models.CachedRecord(record, stored.revision, now_ms)
    if record.reason in const.VERDICT_REASONS and record.version:
        key = models.VersionKey(record.service_id, record.version)
        verdict = models.Verdict(record.service_id, record.version, '', record.reason)
        rollout.verdicts.setdefault(key, verdict)


def write_record(rollout: models.RolloutState, record: models.MoveRecord) -> list[effects.Effect]:
    """Return the write of a record, which fails if the record has changed since it was read."""
    cached = rollout.records.get(record.move_id)
    key = package_const.STORE_PREFIX_MOVES + record.move_id
    rollout.writes[record.move_id] = record
    return [
        effects.StoreTransaction(
            tag=const.TAG_WRITE_PREFIX + record.move_id,
            compares=(effects.StoreCompare(key, cached.revision if cached else 0),),
            puts=(effects.StorePut(key, serialize(record)),),
        ),
    ]


def apply_write_result(
    state: core_state.State, event: events.StoreAnswered, now_ms: float
) -> list[effects.Effect]:
    """Cache a written record, or require a read before the next write if the write failed."""
    rollout = state.rollout
    move_id = event.tag.removeprefix(const.TAG_WRITE_PREFIX)
    record = rollout.writes.pop(move_id, None)
    if record is None or event.outcome is not events.StoreOutcome.SUCCEEDED:
        rollout.read_requested = True
        rollout.write_outcome_unknown_ms = now_ms
        return []
    rollout.store_revision = max(rollout.store_revision, event.revision)
    key = package_const.STORE_PREFIX_MOVES + move_id
    cache_record(rollout, events.StoreRecord(key, serialize(record), event.revision), now_ms)
    fields = (('move', move_id), ('state', record.state), ('share', record.share))
    return [effects.Log('move_changed', (*fields, ('reason', record.reason)))]


def _restart_intervals(rollout: models.RolloutState, now_ms: float) -> None:
    """Count the time since the last change of every record from now, after an outage."""
    for move_id, cached in rollout.records.items():
        rollout.records[move_id] = dataclasses.replace(cached, first_seen_ms=now_ms)


def _move_id(record: events.StoreRecord) -> str:
    return record.key.removeprefix(package_const.STORE_PREFIX_MOVES)
