"""Documents of the etcd v3 JSON gateway protocol.

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

_LAST_BYTE = 0xFF


def range_request(key: str, *, prefix: bool) -> http.JsonObject:
    """Return the request to read a key or all keys with a prefix."""
    document: http.JsonObject = {const.ATTR_KEY: encode(key.encode())}
    if prefix:
        document['range_end'] = encode(prefix_end(key.encode()))
    return document


def transaction_request(transaction: effects.StoreTransaction) -> http.JsonObject:
    """Return the request of a transaction; on a conflict it reads the compared keys."""
    puts = [{'request_put': _put(put)} for put in transaction.puts]
    deletes = [
        {'request_delete_range': range_request(key, prefix=False)} for key in transaction.deletes
    ]
    return {
        'compare': [_compare(compare) for compare in transaction.compares],
        'success': [*puts, *deletes],
        'failure': [
            {'request_range': range_request(compare.key, prefix=False)}
            for compare in transaction.compares
        ],
    }


def watch_request(watch: effects.StoreWatch) -> http.JsonObject:
    """Return the request to start a watch."""
    return {
        'create_request': {
            **range_request(watch.key, prefix=watch.prefix),
            'start_revision': str(watch.start_revision),
            'progress_notify': True,
        },
    }


def range_records(answer: object, key: str, *, prefix: bool) -> tuple[events.StoreRecord, ...]:
    """Return the records of a read; a single key that is absent has revision 0."""
    listed = member(answer, 'kvs', [])
    if not isinstance(listed, list):
        raise errors.AnswerError('kvs is not a list')
    records = tuple(record(item) for item in listed)
    if prefix:
        return records
    if not records:
        return (events.StoreRecord(key, b'', 0),)
    if len(records) > 1 or records[0].key != key:
        raise errors.AnswerError('answer is about another key')
    return records


def conflict_records(
    answer: object,
    transaction: effects.StoreTransaction,
) -> tuple[events.StoreRecord, ...]:
    """Return the present records of a conflicted transaction's compared keys."""
    responses = member(answer, 'responses', [])
    if not isinstance(responses, list) or len(responses) != len(transaction.compares):
        raise errors.AnswerError('responses do not match the comparisons')
    records: list[events.StoreRecord] = []
    for response, compare in zip(responses, transaction.compares, strict=True):
        answered = member(response, 'response_range')
        records.extend(range_records(answered, compare.key, prefix=False))
    return tuple(records)


def succeeded(answer: object) -> bool:
    """Return whether a transaction's comparisons held."""
    flag = member(answer, 'succeeded', False)
    if not isinstance(flag, bool):
        raise errors.AnswerError('succeeded is not a boolean')
    return flag


def watch_result(line: bytes) -> http.JsonObject:
    """Return the result of one line of a watch.

    Raises
    ------
    errors.AnswerError
        If the line is malformed or the store has ended the watch.
    """
    try:
        document = json.loads(line)
    except ValueError as error:
        raise errors.AnswerError('line of the watch is not JSON') from error
    result = member(document, const.ATTR_RESULT)
    if not isinstance(result, dict):
        raise errors.AnswerError('result of the watch is not an object')
    if result.get('canceled'):
        raise errors.AnswerError('the store ended the watch')
    return result


def watch_records(result: http.JsonObject) -> tuple[tuple[events.StoreRecord, ...], int]:
    """Return the changed records of a watch and the newest revision among them.

    The revision in the header may be ahead of the events of a watch that is catching up, so it is
    not used.
    """
    listed = member(result, 'events', [])
    if not isinstance(listed, list):
        raise errors.AnswerError('events is not a list')
    records: list[events.StoreRecord] = []
    newest = 0
    for change in listed:
        changed = record(member(change, 'kv'))
        newest = max(newest, changed.revision)
        if member(change, 'type', 'PUT') == 'DELETE':
            changed = events.StoreRecord(changed.key, b'', 0)
        records.append(changed)
    return tuple(records), newest


def revision(answer: object) -> int:
    """Return the store revision of an answer."""
    return integer(member(member(answer, const.ATTR_HEADER), 'revision'))


def record(item: object) -> events.StoreRecord:
    """Return one record of an answer."""
    return events.StoreRecord(
        key=_text(member(item, const.ATTR_KEY)),
        value=decode(member(item, 'value', '')),
        revision=integer(member(item, 'mod_revision')),
    )


_REQUIRED = object()


def member(document: object, name: str, default: object = _REQUIRED) -> object:
    """Return a member of a JSON object.

    Raises
    ------
    errors.AnswerError
        If the document is no object or lacks a member without default.
    """
    if not isinstance(document, dict):
        raise errors.AnswerError(f'{name}: expected within an object')
    found: object = document.get(name, default)
    if found is _REQUIRED:
        raise errors.AnswerError(f'{name}: missing')
    return found


def integer(raw: object) -> int:
    """Read a 64-bit integer, which may be written as a string."""
    if isinstance(raw, bool) or not isinstance(raw, int | str):
        raise errors.AnswerError('expected an integer')
    try:
        return int(raw)
    except ValueError as error:
        raise errors.AnswerError('expected an integer') from error


def encode(raw: bytes) -> str:
    """Write bytes as base64."""
    return base64.b64encode(raw).decode()


def decode(raw: object) -> bytes:
    """Read base64."""
    if not isinstance(raw, str):
        raise errors.AnswerError('expected base64')
    try:
        return base64.b64decode(raw, validate=True)
    except (binascii.Error, ValueError) as error:
        raise errors.AnswerError('expected base64') from error


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with a prefix; a zero byte means no end."""
    stem = prefix.rstrip(bytes([_LAST_BYTE]))
    if not stem:
        return b'\x00'
    return stem[:-1] + bytes([stem[-1] + 1])


def _text(raw: object) -> str:
    try:
        return decode(raw).decode()
    except UnicodeDecodeError as error:
        raise errors.AnswerError('key is not UTF-8') from error


def _compare(compare: effects.StoreCompare) -> http.JsonObject:
    return {
        const.ATTR_KEY: encode(compare.key.encode()),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(compare.revision),
    }


def _put(put: effects.StorePut) -> http.JsonObject:
    document: http.JsonObject = {
        const.ATTR_KEY: encode(put.key.encode()),
        'value': encode(put.value),
    }
    if put.lease_id is not None:
        document['lease'] = put.lease_id
    return document
