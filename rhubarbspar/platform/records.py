"""Records of the store: what operators, backend servers and instances write there."""

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
    | models.RolloutOrder
    | models.RolloutStatus
    | models.Evacuation
    | models.Member
)

_VERSION: typing.Final = re.compile(r'r(\d+)')
_MALFORMED: typing.Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
_STATES: typing.Final = frozenset(('ready', 'draining'))
_ATTEMPTS_DEFAULT: typing.Final = 1
_PORT_MAX: typing.Final = 65_535


def decode(key: str, content: bytes, revision: int) -> Record | None:
    """Return what a record says, or ``None`` for a key of no interest.

    Raises
    ------
    errors.RecordError
        If the record cannot be read.
    """
    reader = _reader(key)
    if reader is None:
        return None
    try:
        return reader(key, _load(content), revision)
    except _MALFORMED as error:
        raise errors.RecordError(f'{key}: {error!r}') from error


def encode_status(status: models.RolloutStatus) -> bytes:
    """Return the record of a rollout's progress."""
    return json.dumps({'state': status.phase, 'targetVersion': status.version}).encode()


def encode_member(member: models.Member) -> bytes:
    """Return the record by which an instance registers itself."""
    return json.dumps(dataclasses.asdict(member)).encode()


def rollout_status_key(service_id: str) -> str:
    """Return the key of a rollout's progress."""
    return const.PREFIX_ROLLOUT_STATUS + service_id


def member_key(instance_id: str) -> str:
    """Return the key of an instance's registration."""
    return const.PREFIX_MEMBER + instance_id


def _reader(key: str) -> typing.Callable[[str, Document, int], Record] | None:
    if key == const.KEY_CONFIGURATION:
        return _configuration
    for prefix, reader in _READERS:
        if key.startswith(prefix):
            return reader
    return None


def _load(content: bytes) -> Document:
    document = json.loads(content)
    if not isinstance(document, dict):
        raise TypeError('the record is no object')
    return document


def _server(key: str, document: Document, _revision: int) -> models.BackendServer:
    host, _, port = _text(document['address']).rpartition(':')
    if document['state'] not in _STATES:
        raise ValueError('the state is unknown')
    if not 0 < int(port) <= _PORT_MAX or not host:
        raise ValueError('the address is invalid')
    return models.BackendServer(
        server_id=key.removeprefix(const.PREFIX_SERVER),
        service_id=_text(document['service']),
        host=host,
        port=int(port),
        failure_domain=_text(document['zone']),
        version=_text(document['version']),
        slots=max(1, _whole(document['slots'])),
        draining=document['state'] == 'draining',
        cold_ms=durations.parse_ms(document.get('coldRemaining', '0ms')),
        started_unix_ms=_whole(document.get('born', 0)),
        sequence=_whole(document['seqNo']),
    )


def _rollout(key: str, document: Document, revision: int) -> models.RolloutOrder:
    return models.RolloutOrder(
        service_id=key.removeprefix(const.PREFIX_ROLLOUT),
        version=_text(document['targetVersion']),
        duration_ms=durations.parse_ms(document['duration']),
        revision=revision,
    )


def _rollout_status(key: str, document: Document, revision: int) -> models.RolloutStatus:
    return models.RolloutStatus(
        service_id=key.removeprefix(const.PREFIX_ROLLOUT_STATUS),
        version=_text(document['targetVersion']),
        phase=_text(document['state']),
        revision=revision,
    )


def _evacuation(key: str, _document: Document, _revision: int) -> models.Evacuation:
    return models.Evacuation(key.removeprefix(const.PREFIX_EVACUATION))


def _member(_key: str, document: Document, _revision: int) -> models.Member:
    names = [field.name for field in dataclasses.fields(models.Member)]
    return models.Member(**{name: _text(document[name]) for name in names})


def _configuration(_key: str, document: Document, _revision: int) -> models.Configuration:
    version = _VERSION.fullmatch(_text(document['version']))
    if version is None:
        raise ValueError('the version is invalid')
    return models.make_configuration(
        int(version.group(1)),
        [_route(row) for row in _rows(document.get('routes'))],
        [_service(row) for row in _rows(document.get('services'))],
        [_account(row) for row in _rows(document.get('tenants'))],
        _limits(document.get('limits') or {}),
    )


def _rows(table: Document | None) -> list[Document]:
    """Return the rows of a table as maps; a null stands for an omitted field."""
    if table is None:
        return []
    columns = table['columns']
    return [
        {name: cell for name, cell in zip(columns, row, strict=False) if cell is not None}
        for row in table['rows']
    ]


def _route(row: Document) -> models.Route:
    timeout_ms = durations.parse_ms(row['timeout'])
    return models.Route(
        route_id=row['name'],
        host=row['host'].lower(),
        path_prefix=row['pathPrefix'],
        idempotent=row['routeType'] == 'safe',
        timeout_ms=timeout_ms,
        latency_objective_ms=durations.parse_ms(row.get('targetLatency', row['timeout'])),
        priority=row.get('priority', 0),
        targets=_targets(row),
        attempts_max=row.get('maxAttempts', _ATTEMPTS_DEFAULT),
        public=row.get('public', False),
        sticky=row.get('sticky', False),
        home_regions=frozenset(row.get('homeRegions', ())),
    )


def _targets(row: Document) -> tuple[models.RouteTarget, ...]:
    split = row.get('trafficSplit')
    if split:
        return tuple(models.RouteTarget(part['service'], float(part['weight'])) for part in split)
    return (models.RouteTarget(row['service'], 1),)


def _service(row: Document) -> models.Service:
    return models.Service(
        service_id=row['name'],
        cold_ms=durations.parse_ms(row.get('coldStart', '0ms')),
        cold_rate_per_s=float(row.get('coldPerS', 0)),
    )


def _account(row: Document) -> models.ClientAccount:
    return models.ClientAccount(
        account_id=row['name'],
        keys=tuple(row.get('apiKeys', ())),
        priority=row.get('priority'),
        rate_per_s=float(row.get('ratePerS', 0)),
        burst=float(row.get('burst', 0)),
        home_regions=frozenset(row.get('homeRegions', ())),
    )


def _limits(document: Document) -> models.CallerLimits:
    defaults = models.DEFAULT_CALLER_LIMITS
    return models.CallerLimits(
        header_max_bytes=document.get('maxHeaderBytes', defaults.header_max_bytes),
        body_max_bytes=document.get('maxBodyBytes', defaults.body_max_bytes),
        header_timeout_ms=_time(document, 'headerTimeout', defaults.header_timeout_ms),
        idle_timeout_ms=_time(document, 'idleTimeout', defaults.idle_timeout_ms),
    )


def _time(document: Document, name: str, default_ms: float) -> float:
    raw = document.get(name)
    return default_ms if raw is None else durations.parse_ms(raw)


def _text(raw: object) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is no text')
    return raw


def _whole(raw: object) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise TypeError(f'{raw!r} is no whole number')
    return raw


_READERS: typing.Final = (
    (const.PREFIX_SERVER, _server),
    (const.PREFIX_ROLLOUT, _rollout),
    (const.PREFIX_ROLLOUT_STATUS, _rollout_status),
    (const.PREFIX_EVACUATION, _evacuation),
    (const.PREFIX_MEMBER, _member),
)
