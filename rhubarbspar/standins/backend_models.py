"""Settings and records of backend servers."""

import collections
import dataclasses
import typing

from rhubarbspar.standins import errors


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """How one backend server behaves.

    Attributes
    ----------
    server_id
        Name in reports.
    port
        Port to listen on, 0 for any.
    version
        Version of the service that it runs.
    slots
        Requests that it runs at a time; it sheds any further one.
    service_time_ms, jitter_share
        Duration of a request when warm, and the share by which it varies evenly in both directions.
    cold_factor, warm_up_ms
        A cold server takes this many times as long; the factor falls evenly to 1 in the time
        ``warm_up_ms`` after its first request.
    crash_ms
        Time for which a crashed server is gone.
    load_lag_ms
        Age of the load that it reports.
    reported_busy_slots
        Load that it reports instead of its own.
    healthy
        Health that it reports.
    draining
        It reports that it drains; it goes on serving what it receives.
    response_bytes
        Size of the payload unless the query has ``size_bytes``.
    """

    server_id: str
    port: int = 0
    version: str = 'v1'
    slots: int = 3
    service_time_ms: float = 20.0
    jitter_share: float = 0.0
    cold_factor: float = 1.0
    warm_up_ms: float = 0.0
    crash_ms: float = 2000.0
    load_lag_ms: float = 0.0
    reported_busy_slots: int | None = None
    healthy: bool = True
    draining: bool = False
    response_bytes: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class VersionFault:
    """A version that fails or slows down a share of its requests on one path.

    Attributes
    ----------
    version
        The bad version.
    path
        Prefix of the paths it is bad on.
    share
        Share of the requests concerned.
    failing
        They are answered with status 500.
    slow_ms
        Time by which they take longer.
    min_busy_slots
        It is only bad while the server has at least this many busy slots.
    """

    version: str
    path: str = '/'
    share: float = 1.0
    failing: bool = False
    slow_ms: float = 0.0
    min_busy_slots: int = 0


@dataclasses.dataclass(slots=True)
class ServerReport:
    """What one backend server has seen.

    Attributes
    ----------
    work_after_drain_ms
        Start of the latest request, counted from the beginning of the drain.
    idle_after_drain_ms
        End of the latest request, counted likewise.
    """

    executed: int = 0
    answered: int = 0
    failed: int = 0
    shed: int = 0
    cancelled: int = 0
    timed_out: int = 0
    crashes: int = 0
    max_busy_slots: int = 0
    work_after_drain_ms: float | None = None
    idle_after_drain_ms: float | None = None


class Journal:
    """All requests that the servers of one process have executed."""

    def __init__(self) -> None:
        """Start empty."""
        self.authorization_requests = 0
        self.untagged_requests = 0
        self._executed: dict[str, collections.Counter[str]] = {}

    def record(self, method: str, token: str) -> None:
        """Record the start of a request; one without token cannot be told from others."""
        if not token:
            self.untagged_requests += 1
            return
        self._executed.setdefault(method, collections.Counter())[token] += 1

    def executions(self, token: str) -> int:
        """Return how often a request was started."""
        return sum(counter[token] for counter in self._executed.values())

    def run_twice(self) -> dict[str, list[str]]:
        """Return the tokens of requests that were started more than once, by method."""
        return {
            method: sorted(token for token, count in counter.items() if count > 1)
            for method, counter in self._executed.items()
        }


def change_settings(document: typing.Any, previous: ServerSettings | None) -> ServerSettings:
    """Read settings; members that the document omits keep their state.

    Raises
    ------
    errors.ControlError
        If the document is malformed.
    """
    known = {} if previous is None else dataclasses.asdict(previous)
    try:
        return ServerSettings(**{**known, **document})
    except TypeError as error:
        raise errors.ControlError(f'settings: {error}') from error


def parse_version_fault(document: typing.Any) -> VersionFault:
    """Read the fault of a version; ``ControlError`` if it is malformed."""
    try:
        return VersionFault(**document)
    except TypeError as error:
        raise errors.ControlError(f'fault of a version: {error}') from error
