"""Transfer of all idempotency records to a successor at a planned stop.

The sender stops running requests with its keys before it makes the first part. The successor runs
them only after all parts have arrived, and only in the incarnation that the parts name. If a
message is lost, requests with these keys may run nowhere; they never run at two instances.
"""

from collections import abc

from rhubarbspar.components.idempotency import const
from rhubarbspar.components.idempotency import keys
from rhubarbspar.components.idempotency import models
from rhubarbspar.components.idempotency import records
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def own_incarnation_name(state: core_state.State) -> str:
    """Return ``instance_id/incarnation`` of this process."""
    return keys.incarnation_name(state.membership.own.instance_id, state.membership.incarnation)


def start(state: core_state.State, successor_id: str, now_ms: float) -> list[effects.Effect]:
    """Freeze the records and send all of them; later calls resend them to the first successor."""
    idempotency = state.idempotency
    if idempotency.handover is None:
        successor = state.membership.peers.get(successor_id)
        if successor is None or not successor.incarnation:
            return []
        parts = _make_parts(state, successor.incarnation, now_ms)
        idempotency.handover = models.OutgoingHandover(successor_id, parts, now_ms)
    return resend(idempotency.handover, now_ms)


def resend(handover: models.OutgoingHandover, now_ms: float) -> list[effects.Effect]:
    """Send all parts, unless the successor has confirmed them."""
    if handover.accepted:
        return []
    handover.sent_ms = now_ms
    return [effects.SendMessage(handover.successor_id, part) for part in handover.parts]


def mark_accepted(
    state: core_state.State, peer_id: str, message: models.RecordsAccepted
) -> list[effects.Effect]:
    """Mark the handover as accepted when its successor confirms all parts."""
    handover = state.idempotency.handover
    if handover is None or handover.successor_id != peer_id:
        return []
    if message.incarnation_name != own_incarnation_name(state) or handover.accepted:
        return []
    handover.accepted = True
    handover.parts = ()
    return [effects.Log('records_handed_over', (('successor', peer_id),))]


def receive_part(
    state: core_state.State,
    peer_id: str,
    part: models.RecordsHandover,
    now_ms: float,
) -> list[effects.Effect]:
    """Collect one part; adopt the records and confirm them once all parts have arrived.

    Records that would exceed ``RECORDS_MAX`` are refused as a whole.
    """
    idempotency = state.idempotency
    confirmation = effects.SendMessage(peer_id, models.RecordsAccepted(part.incarnation_name))
    if idempotency.handover is not None or not _is_acceptable(state, peer_id, part):
        return []
    if part.incarnation_name in idempotency.adoptions:
        return [confirmation]
    parts = idempotency.incoming.setdefault(part.incarnation_name, {})
    parts[part.part_number] = part
    if len(parts) < part.part_count:
        return []
    idempotency.incoming.pop(part.incarnation_name)
    record_count = sum(len(received.records) for received in parts.values())
    if len(idempotency.records) + record_count > const.RECORDS_MAX:
        return [effects.Log('records_handover_refused', (('records', record_count),))]
    _adopt(idempotency, parts, now_ms)
    refresh_announced(idempotency, now_ms)
    return [
        effects.Log(
            'records_adopted', (('former', part.incarnation_name), ('records', record_count))
        ),
        confirmation,
    ]


def refresh_announced(idempotency: models.IdempotencyState, now_ms: float) -> None:
    """Stop announcing adopted incarnations in heartbeats once all their prefixes have expired."""
    idempotency.announced = tuple(
        name
        for name, adoption in sorted(idempotency.adoptions.items())
        if adoption.announced_until_ms > now_ms
    )


def discard_incoming(state: core_state.State, peer_id: str) -> None:
    """Drop the parts received from a peer whose connection ended; it sends all of them again."""
    incoming = state.idempotency.incoming
    dropped_names = [name for name in incoming if name.rpartition('/')[0] == peer_id]
    for incarnation_name in dropped_names:
        incoming.pop(incarnation_name)


def _is_acceptable(state: core_state.State, peer_id: str, part: models.RecordsHandover) -> bool:
    """Return whether a part comes from its sender, is for this incarnation and is well-formed."""
    if part.incarnation_name.rpartition('/')[0] != peer_id:
        return False
    if part.successor_incarnation != state.membership.incarnation:
        return False
    if part.part_count > const.HANDOVER_PARTS_MAX:
        return False
    return 0 <= part.part_number < part.part_count


def _adopt(
    idempotency: models.IdempotencyState, parts: dict[int, models.RecordsHandover], now_ms: float
) -> None:
    """Add the incarnations and records of a complete handover to this instance's."""
    for incarnation in parts[0].incarnations:
        adoption = models.Adoption(incarnation.clock_ms - now_ms, now_ms + const.PREFIX_LIFETIME_MS)
        idempotency.adoptions.setdefault(incarnation.incarnation_name, adoption)
    for number in sorted(parts):
        for record in parts[number].records:
            _adopt_record(idempotency, record, now_ms)


def _adopt_record(
    idempotency: models.IdempotencyState, transferred: models.TransferredRecord, now_ms: float
) -> None:
    if transferred.record_id in idempotency.records:
        return
    record = models.Record(transferred.request_digest, now_ms + transferred.remaining_ms)
    records.add(idempotency, transferred.record_id, record)
    if transferred.response is not None:
        records.keep_response(idempotency, transferred.record_id, transferred.response)


def _make_parts(
    state: core_state.State, successor_incarnation: str, now_ms: float
) -> tuple[models.RecordsHandover, ...]:
    """Return all records as messages for one incarnation of the successor, at least one message."""
    incarnations = _transferred_incarnations(state, now_ms)
    batches = list(
        _split_into_batches(_transferred_records(state.idempotency, now_ms), len(incarnations))
    )
    return tuple(
        models.RecordsHandover(
            incarnation_name=own_incarnation_name(state),
            successor_incarnation=successor_incarnation,
            part_number=number,
            part_count=len(batches),
            incarnations=incarnations,
            records=tuple(batch),
        )
        for number, batch in enumerate(batches)
    )


def _transferred_incarnations(
    state: core_state.State, now_ms: float
) -> tuple[models.TransferredIncarnation, ...]:
    """Return this incarnation and the adopted ones whose prefixes may still be valid."""
    adopted = (
        models.TransferredIncarnation(name, now_ms + adoption.clock_offset_ms)
        for name, adoption in state.idempotency.adoptions.items()
        if adoption.announced_until_ms > now_ms
    )
    return (models.TransferredIncarnation(own_incarnation_name(state), now_ms), *adopted)


def _transferred_records(
    idempotency: models.IdempotencyState, now_ms: float
) -> abc.Iterator[models.TransferredRecord]:
    # Records with a response come first, from the oldest response to the newest, so that the
    # successor evicts responses in the same order.
    without_response = (
        record_id
        for record_id in idempotency.records
        if record_id not in idempotency.response_bytes
    )
    for record_id in (*idempotency.response_bytes, *without_response):
        record = idempotency.records[record_id]
        yield models.TransferredRecord(
            record_id=record_id,
            request_digest=record.request_digest,
            remaining_ms=record.expires_ms - now_ms,
            response=record.response,
        )


def _split_into_batches(
    transferred: abc.Iterator[models.TransferredRecord], incarnation_count: int
) -> abc.Iterator[list[models.TransferredRecord]]:
    """Split records into batches that fit into one message each; the last one may be empty."""
    overhead_bytes = const.HANDOVER_OVERHEAD_BYTES + incarnation_count * const.RECORD_OVERHEAD_BYTES
    batch: list[models.TransferredRecord] = []
    batch_bytes = overhead_bytes
    for record in transferred:
        size_bytes = const.RECORD_OVERHEAD_BYTES
        if record.response is not None:
            size_bytes += records.response_size_bytes(record.response)
        if batch and batch_bytes + size_bytes > const.HANDOVER_MESSAGE_MAX_BYTES:
            yield batch
            batch = []
            batch_bytes = overhead_bytes
        batch.append(record)
        batch_bytes += size_bytes
    yield batch
