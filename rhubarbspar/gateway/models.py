"""Data classes for the records of the store and the requests of callers."""

import dataclasses
import types
import typing
from collections import abc

_NO_REGIONS: typing.Final[frozenset[str]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service and its weight in the distribution of a route's requests."""

    service_id: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests for a host and path prefix are served.

    Attributes
    ----------
    idempotent
        Whether a request may run more than once without harm.
    timeout_ms
        Longest time from the arrival of a request to its final response.
    latency_objective_ms
        Target response time; responses within it are worth most to the caller.
    priority
        Rank of the route; 0 is the highest.
    attempts_max
        Attempts of one request that may have run. Attempts that did not run are not counted;
        ``retries.SENDS_MAX`` limits all attempts.
    public
        Whether requests need no access key.
    sticky
        Whether a backend server answers faster if it has recently handled the same object.
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
    """A service, and how its backend servers are treated while they are cold.

    Attributes
    ----------
    cold_ms
        Time that a backend server stays cold after the evacuation of its failure domain.
    cold_rate_per_s
        Requests a second that a cold backend server accepts; 0 means no limit.
    """

    service_id: str
    cold_ms: float
    cold_rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account and its access keys; a rate of 0 means no limit.

    Attributes
    ----------
    home_regions
        The only regions that may serve the account; empty for all.
    """

    account_id: str
    keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float
    home_regions: frozenset[str] = _NO_REGIONS


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Upper bounds on the size and duration of callers' requests."""

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
    """A version of the operators' configuration, indexed for look-up.

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
    """Return a configuration, with routes indexed by host and accounts by access key."""
    declared_accounts = tuple(accounts)
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    sorted_routes = {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in routes_by_host.items()
    }
    return Configuration(
        version,
        types.MappingProxyType(sorted_routes),
        types.MappingProxyType({service.service_id: service for service in services}),
        types.MappingProxyType(
            {key: account for account in declared_accounts for key in account.keys}
        ),
        bool(declared_accounts),
        limits,
    )


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it registers itself.

    Attributes
    ----------
    cold_ms
        Time that the server stays cold, counted from the registration.
    started_unix_ms
        Start of the process; a later one is another incarnation.
    sequence
        Number of the registration within the incarnation.
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

    @property
    def incarnation(self) -> str:
        """Return the id of the server together with the start time of its process."""
        return f'{self.server_id}.{self.started_unix_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRequest:
    """An operator's request to roll out a version of a service within a time.

    Attributes
    ----------
    revision
        Store revision of the request's record.
    """

    service_id: str
    version: str
    duration_ms: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The recorded progress of a rollout; ``revision`` is that of the record in the store."""

    service_id: str
    version: str
    phase: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's instruction to send no requests to the backend servers of a failure domain."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance of the fleet, as it registers itself.

    Attributes
    ----------
    forward_address
        Where it accepts attempts of peers that have lost their links to the backend servers;
        empty if it accepts none.
    link_mbit_per_s
        Rate of its network link, megabits a second; 0 if it is unknown.
    """

    instance_id: str
    incarnation: str
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str
    forward_address: str = ''
    link_mbit_per_s: int = 0

    @property
    def link_class(self) -> int:
        """Return the order of magnitude of the link; the rate doubles from one to the next."""
        return self.link_mbit_per_s.bit_length()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedAttempt:
    """An attempt that a peer asks this instance to pass on.

    Attributes
    ----------
    forward_number
        Number unique within the process.
    attempt_id
        The caller's identifier of its attempt.
    server_id
        Backend server that the peer has chosen.
    time_left_ms
        Time until the deadline of the request.
    """

    forward_number: int
    attempt_id: str
    server_id: str
    time_left_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes
    ----------
    request_number
        Number unique within the process.
    attempt_id
        The caller's identifier of this attempt.
    host, path
        Select the route; without port and query.
    access_key
        Access key that the caller sends, if any.
    object_key
        Requests with the same value concern the same object.
    caller_timeout_ms
        Time that the caller waits, counted from the arrival of the request.
    fingerprint
        Digest of method, target and body.
    body_bytes
        Size of the body.
    """

    request_number: int
    attempt_id: str
    method: str
    host: str
    path: str
    access_key: str | None
    object_key: str | None
    caller_timeout_ms: float | None
    fingerprint: str
    body_bytes: int = 0
