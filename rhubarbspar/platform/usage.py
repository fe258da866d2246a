"""Codec of the usage reports: settings, records of the store and the call to the platform."""

import dataclasses
import json
import typing
from collections import abc

import voluptuous

from rhubarbspar.gateway import events
from rhubarbspar.gateway.usage import models
from rhubarbspar.helpers import validators
from rhubarbspar.http1 import messages
from rhubarbspar.platform import const
from rhubarbspar.platform import errors

PATH: typing.Final = b'/usage'
_DUTY_NAME: typing.Final = 'usage_report'
_DEFAULT_CALLS_PER_S: typing.Final = 50.0
_CALLS_PER_S_MIN: typing.Final = 0.1
_DECODE_ERRORS: typing.Final = (
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Window ids have at most this many digits, so that the keys sort like the windows.
_WINDOW_DIGITS: typing.Final = 12
_NAME_LENGTH_MAX: typing.Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Api:
    """Where and how often duties call the platform."""

    address: str
    calls_per_s: float


_API: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('address'): validators.address,
        voluptuous.Optional('dutyPerS'): voluptuous.Any(None, validators.non_negative),
        voluptuous.Optional('duties'): voluptuous.Any(None, list, dict),
    },
    extra=voluptuous.REMOVE_EXTRA,
)


def decode_api(raw: typing.Any) -> dict[str, typing.Any] | None:
    """Return the members of ``Api``; ``None`` if the deployment has no duty to report.

    Raises
    ------
    voluptuous.Invalid
        If a known member is malformed.
    """
    if not isinstance(raw, dict) or _DUTY_NAME not in (raw.get('duties') or ()):
        return None
    known = _API(raw)
    calls_per_s = known.get('dutyPerS') or _DEFAULT_CALLS_PER_S
    return {'address': known['address'], 'calls_per_s': max(_CALLS_PER_S_MIN, calls_per_s)}


def window_key(window_id: int) -> str:
    """Return the key of the counts of a window."""
    return const.PREFIX_USAGE_WINDOW + str(window_id).zfill(_WINDOW_DIGITS)


def encode_duty(record: models.DutyRecord) -> bytes:
    """Encode the record of the duty."""
    document = dataclasses.asdict(record)
    document.pop('revision')
    return json.dumps(document).encode()


def decode_duty(content: bytes, revision: int) -> models.DutyRecord:
    """Decode the record of the duty.

    Raises
    ------
    errors.RecordError
        If the record is malformed.
    """
    try:
        return _build_duty(json.loads(content), revision)
    except _DECODE_ERRORS as error:
        raise errors.RecordError(f'{const.KEY_USAGE_DUTY}: {error}') from error


def encode_window(window: models.WindowCounts) -> bytes:
    """Encode the counts of a window."""
    return json.dumps(_counts_document(window)).encode()


def decode_windows(
    records: abc.Iterable[events.RecordRead],
) -> tuple[models.WindowCounts, ...]:
    """Decode the counts of all windows.

    Raises
    ------
    errors.RecordError
        If a record is malformed.
    """
    return tuple(
        _decode_window(record.key, record.content)
        for record in records
        if record.content is not None
    )


def encode_report(
    window: models.WindowCounts, holder_id: str, token: int, host: bytes
) -> messages.Request:
    """Encode the call that reports a window."""
    document = {'windowId': window.window_id, 'counts': _counts_document(window)}
    headers = (
        (b'host', host),
        (b'content-type', b'application/json'),
        (b'x-rhubarbspar-duty-holder', holder_id.encode()),
        (b'x-rhubarbspar-fencing-token', b'%d' % token),
    )
    return messages.Request(b'POST', PATH, headers, json.dumps(document).encode())


def _build_duty(document: typing.Any, revision: int) -> models.DutyRecord:
    return models.DutyRecord(
        _require_name(document['holder_id']),
        _require_name(document['incarnation']),
        _require_count(document['token']),
        _require_count(document['next_window']),
        _require_count(document['sequence']),
        _require_count(document['lease_ends_unix_ms']),
        _require_count(document['era']),
        revision,
    )


def _decode_window(key: str, content: bytes) -> models.WindowCounts:
    try:
        return _build_window(key, json.loads(content))
    except _DECODE_ERRORS as error:
        raise errors.RecordError(f'{key}: {error}') from error


def _build_window(key: str, document: typing.Any) -> models.WindowCounts:
    window_id = int(key.removeprefix(const.PREFIX_USAGE_WINDOW))
    counts = tuple(
        models.AccountCount(_require_name(account_id), _require_count(count))
        for account_id, count in document.items()
    )
    return models.WindowCounts(window_id, counts)


def _counts_document(window: models.WindowCounts) -> dict[str, int]:
    return {each.account_id: each.count for each in window.counts}


def _require_name(raw: typing.Any) -> str:
    if not isinstance(raw, str) or len(raw) > _NAME_LENGTH_MAX:
        raise TypeError('a name is not a string of ordinary length')
    return raw


def _require_count(raw: typing.Any) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or raw < 0:
        raise TypeError('a number is not an integer of at least 0')
    return raw
