"""What an operator asks about a request, and the explanation."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A request that an operator describes.

    Attributes
    ----------
    account_id
        Client account whose access key the request would carry; empty for none.
    object_key
        Object that the request concerns; empty for none.
    body_bytes
        Size of the body.
    """

    method: str
    host: str
    path: str
    account_id: str = ''
    object_key: str = ''
    body_bytes: int = 0


class Exclusion(enum.Enum):
    """Why a server may not get the request now."""

    NONE = 'none'
    LEAVING = 'leaving'
    EVACUATED = 'failure domain evacuated'
    OUTSIDE_HOME_REGIONS = 'outside the home regions'
    TURNED_AWAY = 'wants no requests for now'
    PACED = 'at its rate limit'
    EJECTED = 'ejected after failures'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server of the service, with the inputs of the choice.

    Attributes
    ----------
    load
        Estimated number of running and waiting requests.
    load_age_ms
        Age of the last load report; ``None`` without one.
    expected_ms
        Expected time until the response.
    cost_ms
        What the choice compares.
    """

    server_id: str
    failure_domain: str
    version: str
    slots: int
    load: float
    load_age_ms: int | None
    expected_ms: float
    cost_ms: float
    exclusion: Exclusion


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal that the caller would get."""

    status: int
    reason: str
    retry_after_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would be sent now, and why.

    Attributes
    ----------
    instance_id
        The instance that was asked.
    configuration_version
        Version of the configuration in force; ``None`` before the first one.
    store_revision, store_age_ms
        Revision of the store up to which all changes are known, and the time since the store, or a
        peer that reaches it, last answered; ``None`` if neither ever has.
    route_id, service_id, priority
        Route of the request, the service that it is sent to, and its urgency; 0 is the most urgent.
        The account's priority precedes the route's.
    server_id
        The chosen server; empty if there is none.
    waits
        Whether the request would wait in the instance for capacity.
    refusal
        The response of the instance if the request is not sent.
    candidates
        The servers of the service, the cheapest first.
    """

    instance_id: str
    configuration_version: int | None
    store_revision: int
    store_age_ms: int | None
    route_id: str
    service_id: str
    priority: int | None
    server_id: str
    waits: bool
    refusal: Refusal | None
    candidates: tuple[Candidate, ...]
