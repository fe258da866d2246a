"""Settings of a gateway, read from a JSON file with comments."""

import dataclasses
import pathlib
import types
import typing

import voluptuous

from rhubarbspar.helpers import durations
from rhubarbspar.helpers import settings_file
from rhubarbspar.helpers import validators

CONF_BOUNDS: typing.Final = 'bounds'
CONF_CALLER_ADDRESS: typing.Final = 'caller_address'
CONF_DIRECTORY_ADDRESS: typing.Final = 'directory_address'
CONF_FAILURE_DOMAIN: typing.Final = 'failure_domain'
CONF_FORWARD_ADDRESS: typing.Final = 'forward_address'
CONF_INSTANCE_ID: typing.Final = 'instance_id'
CONF_LOG_LEVEL: typing.Final = 'log_level'
CONF_METRICS_ADDRESS: typing.Final = 'metrics_address'
CONF_PEER_ADDRESS: typing.Final = 'peer_address'
CONF_READINESS_ADDRESS: typing.Final = 'readiness_address'
CONF_REGION: typing.Final = 'region'
CONF_REGIONS: typing.Final = 'regions'
CONF_STORE_ADDRESS: typing.Final = 'store_address'

DEFAULT_LOG_LEVEL: typing.Final = 'INFO'
LOG_LEVELS: typing.Final = ('CRITICAL', 'DEBUG', 'ERROR', 'INFO', 'WARNING')


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the operators set for the whole fleet.

    Attributes
    ----------
    stop_grace
        Time from the request to stop until the process is killed, milliseconds.
    retry_ratio, retry_allowance, retry_window
        Retry budget of each service over all instances: in a window (milliseconds), at most
        ``retry_ratio`` times its requests plus ``retry_allowance`` may be retries.
    exposure_ratio, exposure_allowance
        A bad version may get ``exposure_ratio`` times the requests of its service plus
        ``exposure_allowance`` in the time of its rollout.
    """

    stop_grace: float
    retry_ratio: float
    retry_allowance: float
    retry_window: float
    exposure_ratio: float
    exposure_allowance: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway.

    Attributes
    ----------
    caller_address, directory_address, forward_address, metrics_address, peer_address,
    readiness_address
        Where the gateway listens, ``host:port`` with an IP address.
    regions
        Region of each failure domain.
    store_address
        ``host:port`` of the platform's key-value store.
    """

    instance_id: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    caller_address: str
    directory_address: str
    forward_address: str
    metrics_address: str
    peer_address: str
    readiness_address: str
    store_address: str
    bounds: Bounds
    log_level: str = DEFAULT_LOG_LEVEL


def load(path: str | pathlib.Path) -> Settings:
    """Read a settings file.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read.
    errors.InvalidFileError
        With file, line and key of every fault.
    """
    return settings_file.load(path, _SCHEMA, _NO_SECRETS, Settings)


def _duration_ms(raw: object) -> float:
    try:
        return durations.parse_ms(raw)
    except ValueError as error:
        raise voluptuous.Invalid('expected a time such as 1500ms or 2.5s') from error


_NO_SECRETS: typing.Final[types.MappingProxyType[str, int]] = types.MappingProxyType({})
_NUMBER: typing.Final = voluptuous.All(validators.number, voluptuous.Range(min=0))
_BOUNDS: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('stop_grace'): _duration_ms,
        voluptuous.Required('retry_ratio'): _NUMBER,
        voluptuous.Required('retry_allowance'): _NUMBER,
        voluptuous.Required('retry_window'): _duration_ms,
        voluptuous.Required('exposure_ratio'): _NUMBER,
        voluptuous.Required('exposure_allowance'): _NUMBER,
    }
)
_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(CONF_BOUNDS): _BOUNDS,
        voluptuous.Required(CONF_CALLER_ADDRESS): validators.address,
        voluptuous.Required(CONF_DIRECTORY_ADDRESS): validators.address,
        voluptuous.Required(CONF_FAILURE_DOMAIN): validators.identifier,
        voluptuous.Required(CONF_FORWARD_ADDRESS): validators.address,
        voluptuous.Required(CONF_INSTANCE_ID): validators.identifier,
        voluptuous.Optional(CONF_LOG_LEVEL): voluptuous.In(LOG_LEVELS),
        voluptuous.Required(CONF_METRICS_ADDRESS): validators.address,
        voluptuous.Required(CONF_PEER_ADDRESS): validators.address,
        voluptuous.Required(CONF_READINESS_ADDRESS): validators.address,
        voluptuous.Required(CONF_REGION): validators.identifier,
        voluptuous.Required(CONF_REGIONS): {validators.identifier: validators.identifier},
        voluptuous.Required(CONF_STORE_ADDRESS): validators.address,
    }
)
