"""Settings of a gateway, read from a JSON file with comments."""

import dataclasses
import json
import os
import pathlib
import types
import typing
from collections import abc

import voluptuous

from rhubarbspar.helpers import settings_file
from rhubarbspar.helpers import validators
from rhubarbspar.platform import bounds as platform_bounds
from rhubarbspar.platform import usage

CONF_BOUNDS: typing.Final = 'bounds'
CONF_CALLER_ADDRESS: typing.Final = 'caller_address'
CONF_DIRECTORY_ADDRESS: typing.Final = 'directory_address'
CONF_FAILURE_DOMAIN: typing.Final = 'failure_domain'
CONF_FORWARD_ADDRESS: typing.Final = 'forward_address'
CONF_INSTANCE_ID: typing.Final = 'instance_id'
CONF_LOG_LEVEL: typing.Final = 'log_level'
CONF_METRICS_ADDRESS: typing.Final = 'metrics_address'
CONF_PEER_ADDRESS: typing.Final = 'peer_address'
CONF_PLATFORM_BOUNDS: typing.Final = 'platform_bounds'
CONF_READINESS_ADDRESS: typing.Final = 'readiness_address'
CONF_REGION: typing.Final = 'region'
CONF_REGIONS: typing.Final = 'regions'
CONF_SCHEDULING: typing.Final = 'scheduling'
CONF_STORE_ADDRESS: typing.Final = 'store_address'
CONF_USAGE_API: typing.Final = 'usage_api'

# JSON of the API, as the platform describes it.
ENV_USAGE_API: typing.Final = 'GATEWAY_USAGE_API'

DEFAULT_LOG_LEVEL: typing.Final = 'INFO'
LOG_LEVELS: typing.Final = ('CRITICAL', 'DEBUG', 'ERROR', 'INFO', 'WARNING')


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the operators set for the whole fleet.

    The defaults are the strictest bounds that keep a gateway working: a short stop, no retries and
    no more requests of a new version than its rollout needs.

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
    store_content_bytes
        Size of the largest content of a record in the store; larger answers of it are not read.
    report_window, usage_late
        Length of the windows whose usage is reported, and how long after its end the report of one
        is due, milliseconds.
    lease_time
        Time in which the holder of a duty must not change twice, milliseconds.
    """

    stop_grace: float = 6000
    retry_ratio: float = 0.1
    retry_allowance: float = 0
    retry_window: float = 10_000
    exposure_ratio: float = 0.05
    exposure_allowance: float = 20
    store_content_bytes: float = 1_048_576
    report_window: float = 5000
    usage_late: float = 10_000
    lease_time: float = 3000


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
    scheduling
        Whether less urgent requests wait, or are refused first, at a service that is short of
        capacity.
    usage_api
        Where the usage of client accounts is reported; ``None`` if it is not.
    defaulted_bounds
        Names of the bounds that the file does not give.
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
    bounds: Bounds = Bounds()
    scheduling: bool = False
    usage_api: usage.Api | None = None
    defaulted_bounds: tuple[str, ...] = ()
    log_level: str = DEFAULT_LOG_LEVEL

    @property
    def has_forward_port(self) -> bool:
        """Return whether the platform leaves a port of its own for forwards."""
        return self.forward_address != self.peer_address

    @property
    def shares_metrics_port(self) -> bool:
        """Return whether another address has the port of the metrics, which is fixed."""
        return self.metrics_address in {
            self.caller_address,
            self.directory_address,
            self.forward_address,
            self.peer_address,
            self.readiness_address,
        }


def load(path: str | pathlib.Path, environment: abc.Mapping[str, str] = os.environ) -> Settings:
    """Read a settings file.

    Parameters
    ----------
    environment
        Names the API of the usage reports in ``ENV_USAGE_API``, unless the file does: the template
        of the file has only places that every deployment fills.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read.
    errors.InvalidFileError
        With file, line and key of every fault.
    """
    loaded = settings_file.load(path, _SCHEMA, _NO_SECRETS, Settings)
    raw = environment.get(ENV_USAGE_API, '')
    if loaded.usage_api is not None or not raw:
        return loaded
    try:
        api = _structure_api(raw)
    except (ValueError, voluptuous.Invalid):
        # Callers are served without the reports; the start logs the name.
        names = (*loaded.defaulted_bounds, CONF_USAGE_API)
        return dataclasses.replace(loaded, defaulted_bounds=names)
    return dataclasses.replace(loaded, usage_api=api)


def _structure_api(raw: str) -> usage.Api | None:
    members = usage.decode_api(json.loads(raw))
    return None if members is None else usage.Api(**members)


def _merge_bounds(members: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Merge both lists of bounds into one; name those that neither of them gives."""
    merged: dict[str, float] = {}
    for given in members.pop(CONF_PLATFORM_BOUNDS, ()):
        merged.update(given)
    merged.update(members.get(CONF_BOUNDS, {}))
    # Bounds of the usage reports concern only deployments that have them.
    ignored = () if members.get(CONF_USAGE_API) else _USAGE_BOUNDS
    defaulted = tuple(name for name in _BOUND_NAMES if name not in merged and name not in ignored)
    return {**members, CONF_BOUNDS: merged, 'defaulted_bounds': defaulted}


_NO_SECRETS: typing.Final[types.MappingProxyType[str, int]] = types.MappingProxyType({})
_BOUND_NAMES: typing.Final = tuple(field.name for field in dataclasses.fields(Bounds))
_USAGE_BOUNDS: typing.Final = frozenset(('lease_time', 'report_window', 'usage_late'))
_DURATIONS: typing.Final = frozenset(('retry_window', 'stop_grace', *_USAGE_BOUNDS))
_BOUNDS: typing.Final = voluptuous.Schema(
    {
        voluptuous.Optional(name): validators.duration_ms
        if name in _DURATIONS
        else validators.non_negative
        for name in _BOUND_NAMES
    }
)
_MEMBERS: typing.Final = voluptuous.Schema(
    {
        voluptuous.Optional(CONF_BOUNDS): _BOUNDS,
        voluptuous.Required(CONF_CALLER_ADDRESS): validators.address,
        voluptuous.Required(CONF_DIRECTORY_ADDRESS): validators.address,
        voluptuous.Required(CONF_FAILURE_DOMAIN): validators.identifier,
        voluptuous.Required(CONF_FORWARD_ADDRESS): validators.address,
        voluptuous.Required(CONF_INSTANCE_ID): validators.identifier,
        voluptuous.Optional(CONF_LOG_LEVEL): voluptuous.In(LOG_LEVELS),
        voluptuous.Required(CONF_METRICS_ADDRESS): validators.address,
        voluptuous.Required(CONF_PEER_ADDRESS): validators.address,
        voluptuous.Optional(CONF_PLATFORM_BOUNDS): [platform_bounds.decode],
        voluptuous.Required(CONF_READINESS_ADDRESS): validators.address,
        voluptuous.Required(CONF_REGION): validators.identifier,
        voluptuous.Required(CONF_REGIONS): {validators.identifier: validators.identifier},
        voluptuous.Optional(CONF_SCHEDULING): bool,
        voluptuous.Required(CONF_STORE_ADDRESS): validators.address,
        voluptuous.Optional(CONF_USAGE_API): usage.decode_api,
    }
)
_SCHEMA: typing.Final = voluptuous.Schema(voluptuous.All(_MEMBERS, _merge_bounds))
