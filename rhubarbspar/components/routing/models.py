"""Work at backend servers: slots, queues, attempts and forwards."""

import collections
import dataclasses
import typing

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.rollout import models as rollout_models
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.core import models

NEVER_MS: typing.Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFinished(events.Event):
    """A submitted request has its outcome."""

    request_id: str
    outcome: models.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest(messages.Message):
    """Run a request at the addressee, which owns servers of the version.

    Attributes
    ----------
    remaining_ms
        Time to the deadline when this was sent.
    relayed
        The addressee is named in the idempotency key and runs the whole pipeline; otherwise it only
        chooses one of its servers.
    avoid_server_id
        Backend server that already failed this request, or empty.
    may_wait
        Whether the addressee may queue it; otherwise it refuses without a free slot.
    """

    forward_id: str
    account_id: str
    service_id: str
    version: str
    path_prefix: str
    method: str
    target: str
    headers: models.Headers
    body: bytes
    access_key_digest: str | None
    idempotency_key: str | None
    remaining_ms: float
    idempotent: bool
    relayed: bool = False
    avoid_server_id: str = ''
    may_wait: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswer(messages.Message):
    """The outcome of a forwarded request: a response if ``status`` is set, else a refusal."""

    forward_id: str
    status: int | None = None
    headers: models.Headers = ()
    body: bytes = b''
    reason: str = ''
    run: str = ''
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCancel(messages.Message):
    """The caller has gone; the forwarded request may be cancelled."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport(messages.Message):
    """A backend server died while it ran a request with this fingerprint."""

    fingerprint: str
    server_id: str


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """A request with what admission decided about it.

    Attributes
    ----------
    origin_peer_id
        The peer that forwarded it, or empty for a caller of this instance.
    forward_id
        Set if a peer forwarded it.
    avoid_server_id
        Backend server that already failed this request, or empty.
    may_have_run
        An earlier try ended without a known outcome, so that no refusal may say "not run".
    may_wait
        Whether the owner may queue it; otherwise it is refused without a free slot.
    """

    request: models.Request
    account_id: str
    path_prefix: str
    idempotent: bool
    version: str
    origin_peer_id: str = ''
    forward_id: str = ''
    avoid_server_id: str = ''
    may_have_run: bool = False
    may_wait: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LocalRunEnded(events.Event):
    """Work of this instance's own requests ended at a backend server of its own."""

    routed: RoutedRequest
    outcome: models.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswersReady(events.Event):
    """Answers to peers are ready to be sent."""


@dataclasses.dataclass
class Attempt:
    """One request at one backend server."""

    routed: RoutedRequest
    server_id: str
    started_ms: float


@dataclasses.dataclass
class PendingForward:
    """A request that another instance runs for this one."""

    routed: RoutedRequest
    peer_id: str
    relayed: bool = False


@dataclasses.dataclass
class DelayedAnswer:
    """An answer that waits for the budget of a region link."""

    peer_id: str
    answer: ForwardAnswer
    deadline_ms: float


@dataclasses.dataclass
class OwnedServerState:
    """Exact occupancy of a backend server that this instance owns.

    Attributes
    ----------
    failures
        Attempts in succession that got no complete response.
    eject_until_ms
        No new work before this time.
    draining, healthy
        The server's own last report.
    ramp_start_ms
        When the server came back cold; slots are opened gradually from then on.
    """

    busy_slots: int = 0
    draining: bool = False
    healthy: bool = True
    failures: int = 0
    eject_until_ms: float = NEVER_MS
    ramp_start_ms: float = NEVER_MS


@dataclasses.dataclass
class Suspect:
    """A request fingerprint that was running when backend servers died.

    ``learned_ms`` is when the last death became known here.
    """

    server_ids: set[str]
    until_ms: float
    learned_ms: float = NEVER_MS


@dataclasses.dataclass
class ServiceQueue:
    """Work that waits for a slot, by client account, in round-robin order."""

    by_account: dict[str, collections.deque[RoutedRequest]] = dataclasses.field(
        default_factory=dict
    )
    length: int = 0


@dataclasses.dataclass
class RecentForwards:
    """Forwards sent to a peer since its heartbeat of ``heard_ms``."""

    last_heartbeat_ms: float
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server and its service."""

    server: configuration_models.BackendServer
    service_id: str


@dataclasses.dataclass
class ServerIndex:
    """Backend servers of one configuration revision by id and by service and version."""

    revision: int = -1
    by_id: dict[str, ServerEntry] = dataclasses.field(default_factory=dict)
    by_version: dict[tuple[str, str], tuple[str, ...]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class RoutingState:
    """Servers, queues, attempts and forwards.

    ``tries`` holds the peers that have refused a request of this instance as not run,
    ``usual_latencies_ms`` the weighted mean latency of each route.
    """

    servers: dict[str, OwnedServerState] = dataclasses.field(default_factory=dict)
    queues: dict[str, ServiceQueue] = dataclasses.field(default_factory=dict)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    forwards: dict[str, PendingForward] = dataclasses.field(default_factory=dict)
    tries: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    delayed: list[DelayedAnswer] = dataclasses.field(default_factory=list)
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    recent: dict[str, RecentForwards] = dataclasses.field(default_factory=dict)
    index: ServerIndex = dataclasses.field(default_factory=ServerIndex)
    next_number: int = 0
    synced_ms: float = NEVER_MS
    usual_latencies_ms: dict[rollout_models.RouteKey, float] = dataclasses.field(
        default_factory=dict
    )
