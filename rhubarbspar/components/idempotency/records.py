"""Records of keys: expiry, kept responses and the duplicates that wait."""

from rhubarbspar.components.idempotency import const
from rhubarbspar.components.idempotency import models
from rhubarbspar.core import models as core_models


def add(records: models.IdempotencyState, record_id: bytes, record: models.Record) -> None:
    """Record a key until its prefix expires."""
    records.records[record_id] = record
    records.expiries.setdefault(_interval(record), set()).add(record_id)


def forget(records: models.IdempotencyState, record_id: bytes) -> None:
    """Remove the record of a key that certainly did not run, or that has expired."""
    record = records.records.pop(record_id)
    drop_response(records, record_id, record)
    interval = _interval(record)
    record_ids = records.expiries.get(interval, set())
    record_ids.discard(record_id)
    if not record_ids:
        records.expiries.pop(interval, None)


def expire(records: models.IdempotencyState, now_ms: float) -> None:
    """Remove the records of expired prefixes, except of requests that still run."""
    present = int(now_ms // const.EXPIRY_INTERVAL_MS)
    expired = [interval for interval in records.expiries if interval + 2 <= present]
    for interval in expired:
        for record_id in tuple(records.expiries[interval]):
            if not records.records[record_id].running_request_id:
                forget(records, record_id)


def keep_response(
    records: models.IdempotencyState, record_id: bytes, response: core_models.Response
) -> None:
    """Keep a response for replay; evicts the oldest responses beyond the total size."""
    size_bytes = response_size_bytes(response)
    if size_bytes > const.RESPONSE_MAX_BYTES:
        return
    records.records[record_id].response = response
    records.response_bytes[record_id] = size_bytes
    records.responses_total_bytes += size_bytes
    while records.responses_total_bytes > const.RESPONSES_MAX_BYTES:
        oldest = next(iter(records.response_bytes))
        drop_response(records, oldest, records.records[oldest])


def drop_response(
    records: models.IdempotencyState, record_id: bytes, record: models.Record
) -> None:
    """Stop keeping a response; the record of its key stays."""
    record.response = None
    records.responses_total_bytes -= records.response_bytes.pop(record_id, 0)


def add_waiting(records: models.IdempotencyState, record_id: bytes, request_id: str) -> None:
    """Let a duplicate wait for the response."""
    record = records.records[record_id]
    record.waiting_request_ids = (*record.waiting_request_ids, request_id)
    records.waiting_record_ids[request_id] = record_id


def remove_waiting(records: models.IdempotencyState, request_id: str) -> None:
    """Forget a duplicate whose caller has gone."""
    record_id = records.waiting_record_ids.pop(request_id, None)
    if record_id is None:
        return
    record = records.records[record_id]
    record.waiting_request_ids = tuple(
        waiting for waiting in record.waiting_request_ids if waiting != request_id
    )


def take_waiting(records: models.IdempotencyState, record: models.Record) -> tuple[str, ...]:
    """Return the duplicates that wait, which then no longer wait."""
    request_ids = record.waiting_request_ids
    record.waiting_request_ids = ()
    for request_id in request_ids:
        records.waiting_record_ids.pop(request_id)
    return request_ids


def response_size_bytes(response: core_models.Response) -> int:
    """Return the size of a response with its headers."""
    headers_bytes = sum(
        len(name.encode()) + len(text.encode()) + const.HEADER_OVERHEAD_BYTES
        for name, text in response.headers
    )
    return headers_bytes + len(response.body)


def _interval(record: models.Record) -> int:
    return int(record.expires_ms // const.EXPIRY_INTERVAL_MS)
