"""Relay of operators' records ahead of other changes of the store.

Pattern: priority message beside an ordered log. The log follows and contains the records again, so
that only it decides up to which revision an instance knows all changes.
"""

import typing
from collections import abc

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import multicast
from rhubarbspar.gateway.store import record_kinds
from rhubarbspar.gateway.store import store_batches
from rhubarbspar.gateway.store import store_records

# Other changes of this size take 22 ms on a link of 6 Mbit/s; operators' records wait for no more.
OTHERS_MAX_BYTES: typing.Final = 16_384
# Contents of the records in one message, which has to fit into a frame.
MESSAGE_MAX_BYTES: typing.Final = 524_288


def send_ahead(
    state: gateway_state.State,
    records: abc.Collection[events.RecordRead],
    receiver_ids: abc.Iterable[str],
) -> list[core_effects.Effect]:
    """Return the effects that send operators' records ahead of changes that are about to be sent.

    Only the peers get them whose changes would delay them, or that still wait for earlier ones.
    """
    urgent = [record for record in records if record_kinds.is_operator_record(record.key)]
    if not urgent:
        return []
    others_bytes = _content_bytes(records) - _content_bytes(urgent)
    ahead_ids = tuple(
        peer_id
        for peer_id in receiver_ids
        if _knows_message(state, peer_id)
        and (others_bytes > OTHERS_MAX_BYTES or state.fleet.peers[peer_id].has_changes_on_the_way)
    )
    if not ahead_ids:
        return []
    return [core_effects.Multicast(ahead_ids, message) for message in make_messages(urgent)]


def make_messages(records: abc.Iterable[events.RecordRead]) -> list[messages.OperatorChanges]:
    """Return the messages that carry operators' records."""
    return [
        messages.OperatorChanges(
            tuple(
                messages.RelayedRecord(record.key, record.revision, record.content)
                for record in part.records
            )
        )
        for part in store_batches.split_snapshot(records, MESSAGE_MAX_BYTES)
    ]


def receive(
    state: gateway_state.State,
    peer_id: str,
    received: messages.OperatorChanges,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Apply operators' records that came ahead, and pass them on along the tree."""
    replica = state.replica
    if not replica.revision:
        # Without the other records this instance could serve no request.
        return []
    newer = tuple(
        events.RecordRead(record.key, record.revision, record.content)
        for record in received.records
        if _is_news(state, record)
    )
    changed = replica.apply_changes(newer, replica.revision, now_ms)
    if not changed:
        return []
    log_fields = (
        ('peer', peer_id),
        ('revision', max(record.revision for record in changed)),
        ('known_revision', replica.revision),
        ('records', len(changed)),
    )
    outputs: list[core_effects.Effect] = [core_effects.Log('operator_records_ahead', log_fields)]
    for message in make_messages(changed):
        outputs.extend(multicast.spread(state, message, peer_id))
    return [*outputs, *store_records.apply_records(state, changed, now_ms)]


def _is_news(state: gateway_state.State, record: messages.RelayedRecord) -> bool:
    """Return whether a record is newer than what this instance knows of its key.

    One that it does not know may have been deleted up to the known revision.
    """
    if not record_kinds.is_operator_record(record.key):
        return False
    known = state.replica.records.get(record.key)
    known_revision = state.replica.revision if known is None else known.revision
    return record.revision > known_revision


def _knows_message(state: gateway_state.State, peer_id: str) -> bool:
    """Return whether the release of a peer knows messages with operators' records."""
    return state.fleet.peers[peer_id].operator_revision != messages.UNKNOWN_REVISION


def _content_bytes(records: abc.Iterable[events.RecordRead]) -> int:
    return sum(len(record.content or b'') for record in records)
