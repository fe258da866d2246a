"""Codec of the etcd v3 JSON gateway protocol: builds requests and parses answers.

Source: the etcd documentation, "gRPC gateway" and "etcd API reference" (version 3.5). Bytes are
base64, 64-bit integers are decimal strings, members with zero values are omitted.
"""

import base64
import binascii
import json

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.storage import const
from rhubarbspar.storage import errors
from rhubarbspar.storage import http

_MAX_BYTE = 0xFF


def range_request(key: str, *, prefix: bool) -> http.JsonObject:
    """Build the request that reads a key or all keys with a prefix."""
    document: http.JsonObject = {const.ATTR_KEY: encode(key.encode())}
    if prefix:
        document['range_end'] = encode(prefix_end(key.encode()))
    return document


def transaction_request(transaction: effects.StoreTransaction) -> http.JsonObject:
    """Build a transaction request that, on a conflict, returns the records of the compared keys."""
    puts = [{'request_put': _encode_put(put)} for put in transaction.puts]
    deletes = [
        {'request_delete_range': range_request(key, prefix=False)} for key in transaction.deletes
    ]
    return {
        'compare': [_encode_compare(compare) for compare in transaction.compares],
        'success': [*puts, *deletes],
        'failure': [
            {'request_range': range_request(compare.key, prefix=False)}
            for compare in transaction.compares
        ],
    }


def watch_request(watch: effects.StoreWatch) -> http.JsonObject:
    """Build the request that starts a watch with progress notifications."""
    return {
        'create_request': {
            **range_request(watch.key, prefix=watch.prefix),
            'start_revision': str(watch.start_revision),
            'progress_notify': True,
        },
    }


def range_records(answer: object, key: str, *, prefix: bool) -> tuple[events.StoreRecord, ...]:
    """Return the records of a range answer; an absent single key gives a record of revision 0."""
    raw_records = member(answer, 'kvs', [])
    if not isinstance(raw_records, list):
        raise errors.AnswerError('kvs is not a list')
    records = tuple(record(raw_record) for raw_record in raw_records)
    if prefix:
        return records
    if not records:
        return (events.StoreRecord(key, b'', 0),)
    if len(records) > 1 or records[0].key != key:
        raise errors.AnswerError('answer is for another key')
    return records


def conflict_records(
    answer: object,
    transaction: effects.StoreTransaction,
) -> tuple[events.StoreRecord, ...]:
    """Return the current records of the keys that a conflicted transaction compared."""
    responses = member(answer, 'responses', [])
    if not isinstance(responses, list) or len(responses) != len(transaction.compares):
        raise errors.AnswerError('responses do not match the compares')
    records: list[events.StoreRecord] = []
    for response, compare in zip(responses, transaction.compares, strict=True):
        range_answer = member(response, 'response_range')
        records.extend(range_records(range_answer, compare.key, prefix=False))
    return tuple(records)


def succeeded(answer: object) -> bool:
    """Return whether all compares of a transaction held."""
    flag = member(answer, 'succeeded', False)
    if not isinstance(flag, bool):
        raise errors.AnswerError('succeeded is not a boolean')
    return flag


def watch_result(line: bytes) -> http.JsonObject:
    """Parse one line of a watch and return its result object.

    Raises
    ------
    errors.AnswerError
        If the line is malformed or the store has cancelled the watch.
    """
    try:
        document = json.loads(line)
    except ValueError as error:
        raise errors.AnswerError('watch line is not JSON') from error
    result = member(document, const.ATTR_RESULT)
    if not isinstance(result, dict):
        raise errors.AnswerError('watch result is not an object')
    if result.get('canceled'):
        raise errors.AnswerError('store cancelled the watch')
    return result


def watch_records(result: http.JsonObject) -> tuple[tuple[events.StoreRecord, ...], int]:
    """Return the changed records of a watch result and the newest revision among them.

    A deleted key gives a record of revision 0. The revision in the header is not used: it may be
    ahead of the events while the watch is catching up.
    """
    changes = member(result, 'events', [])
    if not isinstance(changes, list):
        raise errors.AnswerError('events is not a list')
    records: list[events.StoreRecord] = []
    newest_revision = 0
    for change in changes:
        changed = record(member(change, 'kv'))
        newest_revision = max(newest_revision, changed.revision)
        if member(change, 'type', 'PUT') == 'DELETE':
            changed = events.StoreRecord(changed.key, b'', 0)
        records.append(changed)
    return tuple(records), newest_revision


def revision(answer: object) -> int:
    """Return the store revision in the header of an answer."""
    return integer(member(member(answer, const.ATTR_HEADER), 'revision'))


def record(raw_record: object) -> events.StoreRecord:
    """Decode one key-value record of an answer."""
    return events.StoreRecord(
        key=_decode_key(member(raw_record, const.ATTR_KEY)),
        value=decode(member(raw_record, 'value', '')),
        revision=integer(member(raw_record, 'mod_revision')),
    )


_NO_DEFAULT = object()


def member(document: object, name: str, default: object = _NO_DEFAULT) -> object:
    """Return a member of a JSON object, or its default if it is absent.

    Raises
    ------
    errors.AnswerError
        If the document is not an object, or the member is absent and has no default.
    """
    if not isinstance(document, dict):
        raise errors.AnswerError(f'{name}: expected inside an object')
    found: object = document.get(name, default)
    if found is _NO_DEFAULT:
        raise errors.AnswerError(f'{name}: missing')
    return found


def integer(raw: object) -> int:
    """Parse a 64-bit integer, which the gateway writes as a decimal string."""
    if isinstance(raw, bool) or not isinstance(raw, int | str):
        raise errors.AnswerError('expected an integer')
    try:
        return int(raw)
    except ValueError as error:
        raise errors.AnswerError('expected an integer') from error


def encode(raw: bytes) -> str:
    """Encode bytes as base64."""
    return base64.b64encode(raw).decode()


def decode(raw: object) -> bytes:
    """Decode a base64 string; raise ``AnswerError`` if it is malformed."""
    if not isinstance(raw, str):
        raise errors.AnswerError('expected base64')
    try:
        return base64.b64decode(raw, validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.AnswerError('expected base64') from error


def prefix_end(prefix: bytes) -> bytes:
    """Return the end (exclusive) of the range of all keys with a prefix; a zero byte is no end."""
    stem = prefix.rstrip(bytes([_MAX_BYTE]))
    if not stem:
        return b'\x00'
    return stem[:-1] + bytes([stem[-1] + 1])


def _decode_key(raw: object) -> str:
    try:
        return decode(raw).decode()
    except UnicodeDecodeError as error:
        raise errors.AnswerError('key is not UTF-8') from error


def _encode_compare(compare: effects.StoreCompare) -> http.JsonObject:
    return {
        const.ATTR_KEY: encode(compare.key.encode()),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.revision),
    }


def _encode_put(put: effects.StorePut) -> http.JsonObject:
    document: http.JsonObject = {
        const.ATTR_KEY: encode(put.key.encode()),
        'value': encode(put.value),
    }
    if put.lease_id is not None:
        document['lease'] = put.lease_id
    return document
