"""Schema and typed model of the questionnaire file ``answers.jsonc``."""

import dataclasses
import datetime
import ipaddress
import math
import pathlib
import re
import typing
from collections import abc

import voluptuous

from rhubarbspar.components.configuration import models
from rhubarbspar.helpers import jsonc
from rhubarbspar.helpers import schema
from rhubarbspar.helpers import validators
from rhubarbspar.operators import const

METHODS: typing.Final = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
SLOTS_MAX: typing.Final = 10_000
TIMEOUT_MAX_MS: typing.Final = 600_000
# The home instance of an account holds nine tenths of its burst tokens. With a burst of 1 it would
# never have a whole token for a request.
BURST_MIN: typing.Final = 2
BURST_MAX: typing.Final = 10_000_000
RATE_MAX_PER_S: typing.Final = 10_000_000.0
LINK_MAX_MBIT_PER_S: typing.Final = 100_000_000.0
_DIGEST_PATTERN: typing.Final = re.compile('[0-9a-f]{64}')


@dataclasses.dataclass(frozen=True, slots=True)
class RouteAnswer:
    """A route of a service: the requests that it matches and how they are handled."""

    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    open_to_all: bool
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServerAnswer:
    """A backend server; an empty ``version`` means the version of its service."""

    server_id: str
    address: str
    slots: int
    version: str = ''
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service; ``backend_servers`` is keyed by failure domain."""

    version: str
    routes: tuple[RouteAnswer, ...]
    backend_servers: abc.Mapping[str, tuple[BackendServerAnswer, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkAnswer:
    """The capacity of the link between two regions, equal in both directions."""

    between: tuple[str, ...]
    rate_mbit_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccountAnswer:
    """The rate limit and burst of a client account, summed over all instances."""

    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccessKeyAnswer:
    """An access key, identified by its SHA-256 digest, and its client account."""

    key_digest: str
    account_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClientBlockAnswer:
    """A block of IPv4 client addresses and the region nearest to it."""

    network: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveAnswer:
    """A planned traffic shift; without ``deadline``, the migration deadline applies.

    A move of kind ``version`` sets ``service_id``, ``old_version`` and ``new_version``. One of kind
    ``drain`` sets exactly one of ``server_id``, ``failure_domain`` and ``instance_id``.
    """

    kind: str
    deadline: datetime.datetime | None = None
    cap_share: float = const.DEFAULT_CAP_SHARE
    service_id: str = ''
    old_version: str = ''
    new_version: str = ''
    server_id: str = ''
    failure_domain: str = ''
    instance_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """A completed questionnaire."""

    deployment: str
    store_failure_domain: str
    migration_deadline: datetime.datetime
    regions: abc.Mapping[str, tuple[str, ...]]
    services: abc.Mapping[str, ServiceAnswer]
    client_accounts: abc.Mapping[str, ClientAccountAnswer]
    links: tuple[LinkAnswer, ...] = ()
    access_keys: tuple[AccessKeyAnswer, ...] = ()
    client_blocks: tuple[ClientBlockAnswer, ...] = ()
    moves: abc.Mapping[str, MoveAnswer] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Questionnaire:
    """Answers with the document that they were read from, for error positions."""

    document: jsonc.Document
    answers: Answers


def load(path: str | pathlib.Path) -> Questionnaire:
    """Read an answers file and validate it against the schema.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read.
    errors.InvalidFileError
        If answers are invalid; names file, line and key of each.
    """
    return read(jsonc.load(path))


def read(document: jsonc.Document) -> Questionnaire:
    """Validate a document against the schema; raises ``errors.InvalidFileError``."""
    members = schema.validate(document, _SCHEMA)
    return Questionnaire(document, schema.structure(members, Answers))


def instant(raw: typing.Any) -> datetime.datetime:
    """Validate and parse an ISO 8601 time with a UTC offset."""
    try:
        parsed = datetime.datetime.fromisoformat(validators.text(raw))
    except ValueError:
        raise voluptuous.Invalid('expected a time such as 2027-03-31T18:00:00+05:00') from None
    if parsed.tzinfo is None:
        raise voluptuous.Invalid('expected a time with its offset from UTC')
    return parsed


def share(raw: typing.Any) -> float:
    """Validate a share in (0, 1]."""
    if not 0 < validators.number(raw) <= 1:
        raise voluptuous.Invalid('expected a share above 0 and at most 1')
    return float(raw)


def key_digest(raw: typing.Any) -> str:
    """Validate a SHA-256 digest in lower-case hexadecimal."""
    if not isinstance(raw, str) or not _DIGEST_PATTERN.fullmatch(raw):
        raise voluptuous.Invalid('expected 64 lower-case hexadecimal digits (SHA-256)')
    return raw


def _positive_number(maximum: float) -> typing.Any:
    def check(raw: typing.Any) -> float:  # noqa: WPS430 - voluptuous takes a function of one argument
        parsed = validators.number(raw)
        if not math.isfinite(parsed) or not 0 < parsed <= maximum:
            raise voluptuous.Invalid(f'expected a number above 0 and at most {maximum:.0f}')
        return parsed

    return check


def _service_id(raw: typing.Any) -> str:
    if raw == 'v1':
        raise voluptuous.Invalid('the path /v1/ is used by look-ups')
    return validators.identifier(raw)


def _path_prefix(raw: typing.Any) -> str:
    if not isinstance(raw, str) or not re.fullmatch(r'/[!-~]*', raw) or re.search('[?#]', raw):
        raise voluptuous.Invalid('expected a path that starts with / without query or fragment')
    return raw


def _network(raw: typing.Any) -> str:
    try:
        return str(ipaddress.IPv4Network(validators.text(raw)))
    except ValueError:
        raise voluptuous.Invalid('expected an IPv4 network such as 203.0.113.0/24') from None


_ROUTE_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('idempotent'): bool,
        voluptuous.Required('methods'): voluptuous.All(
            [voluptuous.In(METHODS)],
            voluptuous.Length(min=1),
            voluptuous.Unique(),
        ),
        voluptuous.Required('open_to_all'): bool,
        voluptuous.Required('path_prefix'): _path_prefix,
        voluptuous.Required('timeout_ms'): validators.whole_number(1, TIMEOUT_MAX_MS),
    },
)
_BACKEND_SERVER_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('address'): validators.address,
        voluptuous.Required('server_id'): validators.identifier,
        voluptuous.Required('slots'): validators.whole_number(1, SLOTS_MAX),
        voluptuous.Optional('leaving'): bool,
        voluptuous.Optional('version'): validators.identifier,
    },
)
_SERVICE_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('backend_servers'): {validators.identifier: [_BACKEND_SERVER_SCHEMA]},
        voluptuous.Required('routes'): voluptuous.All([_ROUTE_SCHEMA], voluptuous.Length(min=1)),
        voluptuous.Required('version'): validators.identifier,
    },
)
_MOVE_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('kind'): voluptuous.In([str(kind) for kind in models.MoveKind]),
        voluptuous.Optional('cap_share'): share,
        voluptuous.Optional('deadline'): instant,
        voluptuous.Optional('failure_domain'): validators.identifier,
        voluptuous.Optional('instance_id'): validators.identifier,
        voluptuous.Optional('new_version'): validators.identifier,
        voluptuous.Optional('old_version'): validators.identifier,
        voluptuous.Optional('server_id'): validators.identifier,
        voluptuous.Optional('service_id'): validators.identifier,
    },
)
_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('client_accounts'): {
            validators.identifier: {
                voluptuous.Required('burst_requests'): validators.whole_number(
                    BURST_MIN, BURST_MAX
                ),
                voluptuous.Required('rate_per_s'): _positive_number(RATE_MAX_PER_S),
            },
        },
        voluptuous.Required('deployment'): validators.identifier,
        voluptuous.Required('migration_deadline'): instant,
        voluptuous.Required('regions'): {
            validators.identifier: voluptuous.All(
                [validators.identifier], voluptuous.Length(min=1)
            ),
        },
        voluptuous.Required('services'): {_service_id: _SERVICE_SCHEMA},
        voluptuous.Required('store_failure_domain'): validators.identifier,
        voluptuous.Optional('access_keys'): [
            {
                voluptuous.Required('account_id'): validators.identifier,
                voluptuous.Required('key_digest'): key_digest,
            },
        ],
        voluptuous.Optional('client_blocks'): [
            {
                voluptuous.Required('network'): _network,
                voluptuous.Required('region'): validators.identifier,
            },
        ],
        voluptuous.Optional('links'): [
            {
                voluptuous.Required('between'): voluptuous.All(
                    [validators.identifier],
                    voluptuous.Length(min=2, max=2),
                    voluptuous.Unique(),
                ),
                voluptuous.Required('rate_mbit_per_s'): _positive_number(LINK_MAX_MBIT_PER_S),
            },
        ],
        voluptuous.Optional('moves'): {validators.identifier: _MOVE_SCHEMA},
    },
)
