"""Codec of the store records that operators, backend servers and instances write."""

import dataclasses
import json
import re
import typing

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
        raise errors.RecordError(f'{key}: {error!r}') from error


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


def _find_decoder(key: str) -> typing.Callable[[str, Document, int], Record] | None:
    if key == const.KEY_CONFIGURATION:
        return _decode_configuration
    for prefix, decoder in _DECODERS:
        if key.startswith(prefix):
            return decoder
    return None


def _parse_object(content: bytes) -> Document:
    document = json.loads(content)
    if not isinstance(document, dict):
        raise TypeError('record is not a JSON object')
    return document


def _decode_server(key: str, document: Document, _revision: int) -> models.BackendServer:
    host, _, port = _require_string(document['address']).rpartition(':')
    if document['state'] not in _SERVER_STATES:
        raise ValueError('state is unknown')
    if not 0 < int(port) <= _PORT_MAX or not host:
        raise ValueError('address is not host:port')
    return models.BackendServer(
        server_id=key.removeprefix(const.PREFIX_SERVER),
        service_id=_require_string(document['service']),
        host=host,
        port=int(port),
        failure_domain=_require_string(document['zone']),
        version=_require_string(document['version']),
        slots=max(1, _require_integer(document['slots'])),
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
    names = [field.name for field in dataclasses.fields(models.Member)]
    found = {**defaults, **document}
    return models.Member(**{name: _require_string(found[name]) for name in names})


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
        raise TypeError(f'{raw!r} is not a string')
    return raw


def _require_integer(raw: object) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise TypeError(f'{raw!r} is not an integer')
    return raw


_DECODERS: typing.Final = (
    (const.PREFIX_SERVER, _decode_server),
    (const.PREFIX_ROLLOUT, _decode_rollout_order),
    (const.PREFIX_ROLLOUT_STATUS, _decode_rollout_status),
    (const.PREFIX_EVACUATION, _decode_evacuation),
    (const.PREFIX_MEMBER, _decode_member),
)
