"""Transfer of all records to a successor at a planned stop.

The sender runs no key from the moment it makes the first part. The successor runs the keys only after
all parts have arrived, and only in the incarnation to which the sender offered them. A loss at any point
therefore leaves keys that nobody runs; it never leaves two instances that run the same key.
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
    """Freeze the records and send them; a second call sends them to the same successor again."""
    own = state.idempotency
    if own.handover is None:
        successor = state.membership.peers.get(successor_id)
        if successor is None or not successor.incarnation:
            return []
        parts = _make_parts(state, successor.incarnation, now_ms)
        own.handover = models.OutgoingHandover(successor_id, parts, now_ms)
    return resend(own.handover, now_ms)


def resend(handover: models.OutgoingHandover, now_ms: float) -> list[effects.Effect]:
    """Send all parts, unless the successor has them."""
    if handover.accepted:
        return []
    handover.sent_ms = now_ms
    return [effects.SendMessage(handover.successor_id, part) for part in handover.parts]


def mark_accepted(
    state: core_state.State, peer_id: str, message: models.RecordsAccepted
) -> list[effects.Effect]:
    """Note that the successor has taken over."""
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
    """Collect one part; take over and confirm once all have arrived."""
    own = state.idempotency
    confirmation = effects.SendMessage(peer_id, models.RecordsAccepted(part.incarnation_name))
    if own.handover is not None or not _is_acceptable(state, peer_id, part):
        return []
    if part.incarnation_name in own.adoptions:
        return [confirmation]
    parts = own.incoming.setdefault(part.incarnation_name, {})
    parts[part.part_number] = part
    if len(parts) < part.part_count:
        return []
    own.incoming.pop(part.incarnation_name)
    record_count = sum(len(received.records) for received in parts.values())
    if len(own.records) + record_count > const.RECORDS_MAX:
        return [effects.Log('records_handover_refused', (('records', record_count),))]
    _adopt(own, parts, now_ms)
    refresh_announced(own, now_ms)
    return [
        effects.Log(
            'records_adopted', (('former', part.incarnation_name), ('records', record_count))
        ),
        confirmation,
    ]


def refresh_announced(own: models.IdempotencyState, now_ms: float) -> None:
    """Leave out of heartbeats the former incarnations whose prefixes have all expired."""
    own.announced = tuple(
        name
        for name, adoption in sorted(own.adoptions.items())
        if adoption.announced_until_ms > now_ms
    )


def discard_incoming(state: core_state.State, peer_id: str) -> None:
    """Drop incomplete parts of a sender whose connection ended; it sends all of them again."""
    incoming = state.idempotency.incoming
    dropped = [name for name in incoming if name.rpartition('/')[0] == peer_id]
    for incarnation_name in dropped:
        incoming.pop(incarnation_name)


def _is_acceptable(state: core_state.State, peer_id: str, part: models.RecordsHandover) -> bool:
    if part.incarnation_name.rpartition('/')[0] != peer_id:
        return False
    if part.successor_incarnation != state.membership.incarnation:
        return False
    if part.part_count > const.HANDOVER_PARTS_MAX:
        return False
    return 0 <= part.part_number < part.part_count


def _adopt(
    own: models.IdempotencyState, parts: dict[int, models.RecordsHandover], now_ms: float
) -> None:
    for handed in parts[0].incarnations:
        adoption = models.Adoption(handed.clock_ms - now_ms, now_ms + const.PREFIX_LIFETIME_MS)
        own.adoptions.setdefault(handed.incarnation_name, adoption)
    for number in sorted(parts):
        for record in parts[number].records:
            _adopt_record(own, record, now_ms)


def _adopt_record(
    own: models.IdempotencyState, handed: models.TransferredRecord, now_ms: float
) -> None:
    if handed.record_id in own.records:
        return
    record = models.Record(handed.request_digest, now_ms + handed.remaining_ms)
    records.add(own, handed.record_id, record)
    if handed.response is not None:
        records.keep_response(own, handed.record_id, handed.response)


def _make_parts(
    state: core_state.State, successor_incarnation: str, now_ms: float
) -> tuple[models.RecordsHandover, ...]:
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
    adopted = (
        models.TransferredIncarnation(name, now_ms + adoption.clock_offset_ms)
        for name, adoption in state.idempotency.adoptions.items()
        if adoption.announced_until_ms > now_ms
    )
    return (models.TransferredIncarnation(own_incarnation_name(state), now_ms), *adopted)


def _transferred_records(
    own: models.IdempotencyState, now_ms: float
) -> abc.Iterator[models.TransferredRecord]:
    # Records with a response come first, oldest first, so that the successor evicts in the same order.
    without_response = (
        record_id for record_id in own.records if record_id not in own.response_bytes
    )
    for record_id in (*own.response_bytes, *without_response):
        record = own.records[record_id]
        yield models.TransferredRecord(
            record_id=record_id,
            request_digest=record.request_digest,
            remaining_ms=record.expires_ms - now_ms,
            response=record.response,
        )


def _split_into_batches(
    handed: abc.Iterator[models.TransferredRecord], incarnation_count: int
) -> abc.Iterator[list[models.TransferredRecord]]:
    overhead_bytes = const.HANDOVER_OVERHEAD_BYTES + incarnation_count * const.RECORD_OVERHEAD_BYTES
    batch: list[models.TransferredRecord] = []
    batch_bytes = overhead_bytes
    for record in handed:
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
