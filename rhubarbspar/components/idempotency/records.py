"""Records of idempotency keys: expiry, kept responses and duplicates that wait for an outcome."""

from rhubarbspar.components.idempotency import const
from rhubarbspar.components.idempotency import models
from rhubarbspar.core import models as core_models


def add(idempotency: models.IdempotencyState, record_id: bytes, record: models.Record) -> None:
    """Add the record of a key; ``expire`` removes it after the key's prefix has expired."""
    idempotency.records[record_id] = record
    idempotency.expiries.setdefault(_interval(record), set()).add(record_id)


def forget(idempotency: models.IdempotencyState, record_id: bytes) -> None:
    """Remove the record of a key whose request certainly did not run, or that has expired."""
    record = idempotency.records.pop(record_id)
    drop_response(idempotency, record_id, record)
    interval = _interval(record)
    record_ids = idempotency.expiries.get(interval, set())
    record_ids.discard(record_id)
    if not record_ids:
        idempotency.expiries.pop(interval, None)


def expire(idempotency: models.IdempotencyState, now_ms: float) -> None:
    """Remove the records of expired prefixes, except those whose request still runs."""
    current_interval = int(now_ms // const.EXPIRY_INTERVAL_MS)
    expired_intervals = [
        interval for interval in idempotency.expiries if interval + 2 <= current_interval
    ]
    for interval in expired_intervals:
        for record_id in tuple(idempotency.expiries[interval]):
            if not idempotency.records[record_id].running_request_id:
                forget(idempotency, record_id)


def keep_response(
    idempotency: models.IdempotencyState, record_id: bytes, response: core_models.Response
) -> None:
    """Keep a response for replay unless it is too large; evict the oldest over the total limit."""
    size_bytes = response_size_bytes(response)
    if size_bytes > const.RESPONSE_MAX_BYTES:
        return
    idempotency.records[record_id].response = response
    idempotency.response_bytes[record_id] = size_bytes
    idempotency.responses_total_bytes += size_bytes
    while idempotency.responses_total_bytes > const.RESPONSES_MAX_BYTES:
        oldest_id = next(iter(idempotency.response_bytes))
        drop_response(idempotency, oldest_id, idempotency.records[oldest_id])


def drop_response(
    idempotency: models.IdempotencyState, record_id: bytes, record: models.Record
) -> None:
    """Drop a kept response; the record of its key stays."""
    record.response = None
    idempotency.responses_total_bytes -= idempotency.response_bytes.pop(record_id, 0)


def add_waiting(idempotency: models.IdempotencyState, record_id: bytes, request_id: str) -> None:
    """Make a duplicate wait for the outcome of the running request."""
    record = idempotency.records[record_id]
    record.waiting_request_ids = (*record.waiting_request_ids, request_id)
    idempotency.waiting_record_ids[request_id] = record_id


def remove_waiting(idempotency: models.IdempotencyState, request_id: str) -> None:
    """Remove a duplicate that waits, because its caller has disconnected."""
    record_id = idempotency.waiting_record_ids.pop(request_id, None)
    if record_id is None:
        return
    record = idempotency.records[record_id]
    record.waiting_request_ids = tuple(
        waiting_id for waiting_id in record.waiting_request_ids if waiting_id != request_id
    )


def take_waiting(idempotency: models.IdempotencyState, record: models.Record) -> tuple[str, ...]:
    """Remove and return all duplicates that wait for a record's outcome."""
    request_ids = record.waiting_request_ids
    record.waiting_request_ids = ()
    for request_id in request_ids:
        idempotency.waiting_record_ids.pop(request_id)
    return request_ids


def response_size_bytes(response: core_models.Response) -> int:
    """Return the size of a response's body and headers, with an overhead per header."""
    headers_bytes = sum(
        len(name.encode()) + len(text.encode()) + const.HEADER_OVERHEAD_BYTES
        for name, text in response.headers
    )
    return headers_bytes + len(response.body)


def _interval(record: models.Record) -> int:
    """Return the number of the expiry interval in which a record expires."""
    return int(record.expires_ms // const.EXPIRY_INTERVAL_MS)
