"""Settings of one instance."""

import dataclasses
import pathlib
import types
import typing

import voluptuous

from rhubarbspar.helpers import settings_file
from rhubarbspar.helpers import validators

CONF_ADMIN_ADDRESS: typing.Final = 'admin_address'
CONF_CALLER_ADDRESS: typing.Final = 'caller_address'
CONF_FAILURE_DOMAIN: typing.Final = 'failure_domain'
CONF_FLEET_KEY: typing.Final = 'fleet_key'
CONF_INSTANCE_ID: typing.Final = 'instance_id'
CONF_INSTANCE_LIST_URL: typing.Final = 'instance_list_url'
CONF_LOG_LEVEL: typing.Final = 'log_level'
CONF_LOOKUP_TTL_MS: typing.Final = 'lookup_ttl_ms'
CONF_METRICS_PATH: typing.Final = 'metrics_path'
CONF_OPERATOR_KEY: typing.Final = 'operator_key'
CONF_PEER_ADDRESS: typing.Final = 'peer_address'
CONF_SEED_PEERS: typing.Final = 'seed_peers'
CONF_STORE_URL: typing.Final = 'store_url'

DEFAULT_LOG_LEVEL: typing.Final = 'INFO'
DEFAULT_LOOKUP_TTL_MS: typing.Final = 2000
DEFAULT_METRICS_PATH: typing.Final = '/metrics'

LOG_LEVELS: typing.Final = ('CRITICAL', 'DEBUG', 'ERROR', 'INFO', 'WARNING')
# RFC 7518 requires a key of at least 256 bits for HS256.
FLEET_KEY_MIN_CHARS: typing.Final = 32
OPERATOR_KEY_MIN_CHARS: typing.Final = 16
# A leaving instance keeps serving for the time to live of its look-ups, at most 2 s, plus 1 s.
# Look-ups cached for longer would send callers to a stopped instance.
LOOKUP_TTL_MAX_MS: typing.Final = 2000
LOOKUP_TTL_MIN_MS: typing.Final = 100


@dataclasses.dataclass(frozen=True, slots=True)
class SeedPeer:
    """A peer to dial before the instance list is known."""

    instance_id: str
    failure_domain: str
    peer_address: str
    caller_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one instance; the secrets are left out of ``repr``.

    Attributes
    ----------
    caller_address, peer_address, admin_address
        ``host:port`` with an IP address and a port other than 0.
    metrics_path
        Path of the metrics on the admin address.
    seed_peers
        Peers to dial before the instance list is known.
    """

    instance_id: str
    failure_domain: str
    caller_address: str
    peer_address: str
    admin_address: str
    store_url: str
    instance_list_url: str
    fleet_key: str = dataclasses.field(repr=False)
    operator_key: str = dataclasses.field(repr=False)
    metrics_path: str = DEFAULT_METRICS_PATH
    seed_peers: tuple[SeedPeer, ...] = ()
    lookup_ttl_ms: int = DEFAULT_LOOKUP_TTL_MS
    log_level: str = DEFAULT_LOG_LEVEL


def load(path: str | pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read.
    errors.InvalidFileError
        If the file is invalid; names file, line and key of every error.
    """
    return settings_file.load(path, _SCHEMA, _SECRET_MIN_CHARS, Settings)


def _refuse_shared_address(members: dict[str, typing.Any]) -> dict[str, typing.Any]:
    seen: set[str] = set()
    for key in (CONF_ADMIN_ADDRESS, CONF_CALLER_ADDRESS, CONF_PEER_ADDRESS):
        if members[key] in seen:
            raise voluptuous.Invalid('address is used by another listener', path=[key])
        seen.add(members[key])
    return members


def _metrics_path(raw: object) -> str:
    if not isinstance(raw, str) or not raw.startswith('/') or raw.startswith('/v1/'):
        raise voluptuous.Invalid('expected a path that starts with / and not with /v1/')
    return raw


_SECRET_MIN_CHARS: typing.Final = types.MappingProxyType(
    {CONF_FLEET_KEY: FLEET_KEY_MIN_CHARS, CONF_OPERATOR_KEY: OPERATOR_KEY_MIN_CHARS},
)
_FIELDS: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(CONF_ADMIN_ADDRESS): validators.address,
        voluptuous.Required(CONF_CALLER_ADDRESS): validators.address,
        voluptuous.Required(CONF_FAILURE_DOMAIN): validators.identifier,
        voluptuous.Required(CONF_INSTANCE_ID): validators.identifier,
        voluptuous.Required(CONF_INSTANCE_LIST_URL): validators.http_url,
        voluptuous.Required(CONF_PEER_ADDRESS): validators.address,
        voluptuous.Required(CONF_STORE_URL): validators.http_url,
        voluptuous.Optional(CONF_FLEET_KEY): validators.text,
        voluptuous.Optional(f'{CONF_FLEET_KEY}_file'): validators.text,
        voluptuous.Optional(CONF_LOG_LEVEL): voluptuous.In(LOG_LEVELS),
        voluptuous.Optional(CONF_LOOKUP_TTL_MS): validators.whole_number(
            LOOKUP_TTL_MIN_MS,
            LOOKUP_TTL_MAX_MS,
        ),
        voluptuous.Optional(CONF_METRICS_PATH): _metrics_path,
        voluptuous.Optional(CONF_OPERATOR_KEY): validators.text,
        voluptuous.Optional(f'{CONF_OPERATOR_KEY}_file'): validators.text,
        voluptuous.Optional(CONF_SEED_PEERS): [
            {
                voluptuous.Required(CONF_CALLER_ADDRESS): validators.address,
                voluptuous.Required(CONF_FAILURE_DOMAIN): validators.identifier,
                voluptuous.Required(CONF_INSTANCE_ID): validators.identifier,
                voluptuous.Required(CONF_PEER_ADDRESS): validators.address,
            },
        ],
    },
)
_SCHEMA: typing.Final = voluptuous.Schema(voluptuous.All(_FIELDS, _refuse_shared_address))
