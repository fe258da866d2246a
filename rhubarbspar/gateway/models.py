"""What operators and backend servers declare."""

import dataclasses
import types
import typing
from collections import abc

_NO_REGIONS: typing.Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that gets a part of a route's requests."""

    service_id: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests below a path prefix are handled.

    Attributes
    ----------
    idempotent
        Whether a request may run more than once.
    timeout_ms
        Longest time from the arrival of a request to its final response.
    latency_objective_ms
        Responses within this time are worth most to the caller.
    priority
        Rank, 0 is the highest.
    attempts_max
        Backend servers to which one request may be sent.
    public
        Whether requests need no access key.
    sticky
        Whether a backend server answers faster if it has handled the same object recently.
    home_regions
        The only regions that may serve the route; empty for all.
    """

    route_id: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: float
    latency_objective_ms: float
    priority: int
    targets: tuple[RouteTarget, ...]
    attempts_max: int
    public: bool = False
    sticky: bool = False
    home_regions: frozenset[str] = _NO_REGIONS


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; a cold backend server tolerates only ``cold_rate_per_s`` requests."""

    service_id: str
    cold_ms: float
    cold_rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; a rate of 0 means no limit."""

    account_id: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    home_regions: frozenset[str] = _NO_REGIONS


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


DEFAULT_HEADER_MAX_BYTES: typing.Final = 16_384
DEFAULT_BODY_MAX_BYTES: typing.Final = 1_048_576
DEFAULT_HEADER_TIMEOUT_MS: typing.Final = 3000
DEFAULT_IDLE_TIMEOUT_MS: typing.Final = 15_000
DEFAULT_CALLER_LIMITS: typing.Final = CallerLimits(
    DEFAULT_HEADER_MAX_BYTES,
    DEFAULT_BODY_MAX_BYTES,
    DEFAULT_HEADER_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    routes_by_host
        The routes of each host, longest path prefix first.
    """

    version: int
    routes_by_host: abc.Mapping[str, tuple[Route, ...]]
    services: abc.Mapping[str, Service]
    accounts_by_key: abc.Mapping[str, ClientAccount]
    has_accounts: bool
    limits: CallerLimits = DEFAULT_CALLER_LIMITS


def make_configuration(
    version: int,
    routes: abc.Iterable[Route],
    services: abc.Iterable[Service],
    accounts: abc.Iterable[ClientAccount],
    limits: CallerLimits = DEFAULT_CALLER_LIMITS,
) -> Configuration:
    """Return a configuration with its indexes."""
    declared = tuple(accounts)
    by_host: dict[str, list[Route]] = {}
    for declared_route in routes:
        by_host.setdefault(declared_route.host, []).append(declared_route)
    ordered = {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in by_host.items()
    }
    return Configuration(
        version,
        types.MappingProxyType(ordered),
        types.MappingProxyType({service.service_id: service for service in services}),
        types.MappingProxyType({key: account for account in declared for key in account.keys}),
        bool(declared),
        limits,
    )


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """What a backend server says of itself.

    Attributes
    ----------
    born_unix_ms
        Start of the process; a later one is another incarnation.
    sequence
        Number of the statement within the incarnation.
    cold_ms
        Time that the server stays cold, counted from the statement.
    """

    server_id: str
    service_id: str
    host: str
    port: int
    failure_domain: str
    version: str
    slots: int
    draining: bool
    cold_ms: float
    started_unix_ms: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version within a time."""

    service_id: str
    version: str
    duration_ms: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The recorded progress of a rollout."""

    service_id: str
    version: str
    phase: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's order to send nothing to the backend servers of a failure domain."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance of the fleet, as it registers itself."""

    instance_id: str
    incarnation: str
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes
    ----------
    number
        Unique within the process.
    attempt_id
        The caller's identifier of this attempt.
    host, path
        What selects the route; without port and query.
    access_key
        The key that the caller presents.
    object_key
        Requests with the same value concern the same object.
    deadline_ms
        Time that the caller waits, counted from the arrival.
    fingerprint
        Digest of method, target and body.
    """

    request_number: int
    attempt_id: str
    method: str
    host: str
    path: str
    access_key: str | None
    object_key: str | None
    deadline_ms: float | None
    fingerprint: str
