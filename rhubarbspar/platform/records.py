"""Codec of the store records that operators, backend servers and instances write."""

import dataclasses
import ipaddress
import json
import re
import reprlib
import typing

from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.helpers import durations
from rhubarbspar.platform import const
from rhubarbspar.platform import errors

Document: typing.TypeAlias = dict[str, typing.Any]
Record: typing.TypeAlias = (
    models.Configuration
    | models.BackendServer
    | models.RolloutRequest
    | models.RolloutStatus
    | models.Evacuation
    | models.Member
)

_CONFIGURATION_VERSION: typing.Final = re.compile(r'r(\d+)')
_DECODE_ERRORS: typing.Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
_SERVER_STATES: typing.Final = frozenset(('ready', 'draining'))
_DEFAULT_ATTEMPTS_MAX: typing.Final = 1
_PORT_MAX: typing.Final = 65_535
# Names are copied into log lines, messages and headers of requests.
_NAME_LENGTH_MAX: typing.Final = 200
# Numbers beyond 64 bits cannot be sent to peers, and break arithmetic with floats.
_INTEGER_MAX: typing.Final = 9_223_372_036_854_775_807
_SLOTS_MAX: typing.Final = 1_000_000
# Longer descriptions of an error repeat most of the record.
_ERROR_LENGTH_MAX: typing.Final = 200


def decode(key: str, content: bytes, revision: int) -> Record | None:
    """Decode a record by the type that its key names; return ``None`` for any other key.

    Raises
    ------
    errors.RecordError
        If the record is malformed.
    """
    decoder = _find_decoder(key)
    if decoder is None:
        return None
    try:
        return decoder(key, _parse_object(content), revision)
    except _DECODE_ERRORS as error:
        described = f'{type(error).__name__}: {error}'[:_ERROR_LENGTH_MAX]
        raise errors.RecordError(f'{key}: {described}') from error


def encode_status(status: models.RolloutStatus) -> bytes:
    """Encode the phase of a rollout and its target version."""
    return json.dumps({'state': status.phase, 'targetVersion': status.version}).encode()


def encode_member(member: models.Member) -> bytes:
    """Encode an instance's registration."""
    return json.dumps(dataclasses.asdict(member)).encode()


def rollout_status_key(service_id: str) -> str:
    """Return the key of a service's rollout status."""
    return const.PREFIX_ROLLOUT_STATUS + service_id


def member_key(instance_id: str) -> str:
    """Return the key of an instance's registration."""
    return const.PREFIX_MEMBER + instance_id


def without_duties(read: tuple[events.RecordRead, ...]) -> tuple[events.RecordRead, ...]:
    """Return the records without those of the duties, which only their holders need.

    They change about every second and are not passed on in the fleet.
    """
    if not any(record.key.startswith(const.PREFIX_USAGE) for record in read):
        return read
    return tuple(record for record in read if not record.key.startswith(const.PREFIX_USAGE))


def _find_decoder(key: str) -> typing.Callable[[str, Document, int], Record] | None:
    if key == const.KEY_CONFIGURATION:
        return _decode_configuration
    for prefix, decoder in _DECODERS:
        if key.startswith(prefix):
            return decoder
    return None


def _parse_object(content: bytes) -> Document:
    document = json.loads(content, parse_constant=_reject_constant)
    if not isinstance(document, dict):
        raise TypeError('record is not a JSON object')
    return document


def _reject_constant(name: str) -> typing.NoReturn:
    """Reject ``NaN`` and infinities, which are not JSON."""
    raise ValueError(f'{name} is not JSON')


def _decode_server(key: str, document: Document, _revision: int) -> models.BackendServer:
    host, _, port = _require_name(document['address']).rpartition(':')
    if _require_name(document['state']) not in _SERVER_STATES:
        raise ValueError('state is unknown')
    if not port.isdecimal() or not 0 < int(port) <= _PORT_MAX:
        raise ValueError('address has no port')
    return models.BackendServer(
        server_id=_require_token(key.removeprefix(const.PREFIX_SERVER)),
        service_id=_require_name(document['service']),
        host=str(ipaddress.IPv4Address(host)),
        port=int(port),
        failure_domain=_require_name(document['zone']),
        version=_require_name(document['version']),
        slots=max(1, _require_integer(document['slots'], _SLOTS_MAX)),
        draining=document['state'] == 'draining',
        cold_ms=durations.parse_ms(document.get('coldRemaining', '0ms')),
        started_unix_ms=_require_integer(document.get('born', 0)),
        sequence=_require_integer(document['seqNo']),
    )


def _decode_rollout_order(key: str, document: Document, revision: int) -> models.RolloutRequest:
    return models.RolloutRequest(
        service_id=key.removeprefix(const.PREFIX_ROLLOUT),
        version=_require_string(document['targetVersion']),
        duration_ms=durations.parse_ms(document['duration']),
        revision=revision,
    )


def _decode_rollout_status(key: str, document: Document, revision: int) -> models.RolloutStatus:
    return models.RolloutStatus(
        service_id=key.removeprefix(const.PREFIX_ROLLOUT_STATUS),
        version=_require_string(document['targetVersion']),
        phase=_require_string(document['state']),
        revision=revision,
    )


def _decode_evacuation(key: str, _document: Document, _revision: int) -> models.Evacuation:
    return models.Evacuation(key.removeprefix(const.PREFIX_EVACUATION))


def _decode_member(_key: str, document: Document, _revision: int) -> models.Member:
    defaults = {
        field.name: field.default
        for field in dataclasses.fields(models.Member)
        if field.default is not dataclasses.MISSING
    }
    names = [field.name for field in dataclasses.fields(models.Member) if field.type is str]
    found = {**defaults, **document}
    texts = {name: _require_name(found[name]) for name in names}
    return models.Member(**texts, link_mbit_per_s=_require_integer(found['link_mbit_per_s']))


def _decode_configuration(_key: str, document: Document, _revision: int) -> models.Configuration:
    version = _CONFIGURATION_VERSION.fullmatch(_require_string(document['version']))
    if version is None:
        raise ValueError('version is not r followed by digits')
    return models.make_configuration(
        int(version.group(1)),
        [_decode_route(row) for row in _table_rows(document.get('routes'))],
        [_decode_service(row) for row in _table_rows(document.get('services'))],
        [_decode_account(row) for row in _table_rows(document.get('tenants'))],
        _decode_limits(document.get('limits') or {}),
    )


def _table_rows(table: Document | None) -> list[Document]:
    """Return the rows of a table as maps by column name, without the columns that are null."""
    if table is None:
        return []
    columns = table['columns']
    return [
        {name: cell for name, cell in zip(columns, row, strict=False) if cell is not None}
        for row in table['rows']
    ]


def _decode_route(row: Document) -> models.Route:
    timeout_ms = durations.parse_ms(row['timeout'])
    return models.Route(
        route_id=row['name'],
        host=row['host'].lower(),
        path_prefix=row['pathPrefix'],
        idempotent=row['routeType'] == 'safe',
        timeout_ms=timeout_ms,
        latency_objective_ms=durations.parse_ms(row.get('targetLatency', row['timeout'])),
        priority=row.get('priority', 0),
        targets=_decode_targets(row),
        attempts_max=row.get('maxAttempts', _DEFAULT_ATTEMPTS_MAX),
        public=row.get('public', False),
        sticky=row.get('sticky', False),
        home_regions=frozenset(row.get('homeRegions', ())),
    )


def _decode_targets(row: Document) -> tuple[models.RouteTarget, ...]:
    split = row.get('trafficSplit')
    if split:
        return tuple(models.RouteTarget(part['service'], float(part['weight'])) for part in split)
    return (models.RouteTarget(row['service'], 1),)


def _decode_service(row: Document) -> models.Service:
    return models.Service(
        service_id=row['name'],
        cold_ms=durations.parse_ms(row.get('coldStart', '0ms')),
        cold_rate_per_s=float(row.get('coldPerS', 0)),
    )


def _decode_account(row: Document) -> models.ClientAccount:
    return models.ClientAccount(
        account_id=row['name'],
        keys=tuple(row.get('apiKeys', ())),
        priority=row.get('priority'),
        rate_per_s=float(row.get('ratePerS', 0)),
        burst=float(row.get('burst', 0)),
        home_regions=frozenset(row.get('homeRegions', ())),
    )


def _decode_limits(document: Document) -> models.CallerLimits:
    defaults = models.DEFAULT_CALLER_LIMITS
    return models.CallerLimits(
        header_max_bytes=document.get('maxHeaderBytes', defaults.header_max_bytes),
        body_max_bytes=document.get('maxBodyBytes', defaults.body_max_bytes),
        header_timeout_ms=_optional_ms(document, 'headerTimeout', defaults.header_timeout_ms),
        idle_timeout_ms=_optional_ms(document, 'idleTimeout', defaults.idle_timeout_ms),
    )


def _optional_ms(document: Document, name: str, default_ms: float) -> float:
    raw = document.get(name)
    return default_ms if raw is None else durations.parse_ms(raw)


def _require_string(raw: object) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{reprlib.repr(raw)} is not a string')
    return raw


def _require_name(raw: object) -> str:
    """Return a name; it can be encoded, logged on one line and copied into a header."""
    name = _require_string(raw)
    if not name.isprintable() or len(name) > _NAME_LENGTH_MAX:
        raise ValueError(f'{reprlib.repr(name)} is no printable name of ordinary length')
    return name


def _require_token(name: str) -> str:
    """Return a name that is sent in a header as a whole."""
    if not name or not name.isascii() or not name.isprintable() or ' ' in name:
        raise ValueError('the id is not printable ASCII without spaces')
    return name


def _require_integer(raw: object, maximum: int = _INTEGER_MAX) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise TypeError(f'{reprlib.repr(raw)} is not an integer')
    if abs(raw) > maximum:
        raise ValueError('the integer is too large')
    return raw


_DECODERS: typing.Final = (
    (const.PREFIX_SERVER, _decode_server),
    (const.PREFIX_ROLLOUT, _decode_rollout_order),
    (const.PREFIX_ROLLOUT_STATUS, _decode_rollout_status),
    (const.PREFIX_EVACUATION, _decode_evacuation),
    (const.PREFIX_MEMBER, _decode_member),
)
