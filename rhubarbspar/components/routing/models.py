"""Messages, events and state of routing: slots, queues, attempts and forwards."""

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
    """The final outcome of a submitted or relayed request is known."""

    request_id: str
    outcome: models.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest(messages.Message):
    """Run a request at the receiver, which owns servers of the version.

    Attributes
    ----------
    remaining_ms
        Time to the deadline when the message was sent.
    relayed
        The receiver is named in the idempotency key and runs all steps from admission on; otherwise
        it only chooses one of its servers.
    avoid_server_id
        Backend server that already failed this request, or empty.
    may_wait
        Whether the receiver may queue the request; otherwise it refuses it without a free slot.
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
    """Outcome of a forwarded request: a response if ``status`` is set, otherwise a refusal."""

    forward_id: str
    status: int | None = None
    headers: models.Headers = ()
    body: bytes = b''
    reason: str = ''
    run: str = ''
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCancel(messages.Message):
    """The caller has disconnected, so the forwarded request can be cancelled."""

    forward_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport(messages.Message):
    """A backend server crashed while it ran a request with this fingerprint."""

    fingerprint: str
    server_id: str


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """A request with the account, route and version that admission chose for it.

    Attributes
    ----------
    origin_peer_id
        The peer that forwarded it, or empty for a request of this instance's callers.
    forward_id
        Id of the forward at that peer, or empty.
    avoid_server_id
        Backend server that already failed this request, or empty.
    may_have_run
        An earlier attempt ended with unknown outcome, so no refusal may say "not run".
    may_wait
        Whether its owner may queue it; otherwise it is refused without a free slot.
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
    """This instance ran or refused a request of its own callers as owner of the servers."""

    routed: RoutedRequest
    outcome: models.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswersReady(events.Event):
    """Answers to forwarded requests are ready to be sent to peers."""


@dataclasses.dataclass
class Attempt:
    """A request that runs at a backend server and occupies one of its slots."""

    routed: RoutedRequest
    server_id: str
    started_ms: float


@dataclasses.dataclass
class PendingForward:
    """A request that was forwarded to a peer and has no answer yet."""

    routed: RoutedRequest
    peer_id: str
    relayed: bool = False


@dataclasses.dataclass
class DelayedAnswer:
    """An answer to a peer that waits until the region link has bandwidth for it."""

    peer_id: str
    answer: ForwardAnswer
    deadline_ms: float


@dataclasses.dataclass
class OwnedServerState:
    """Occupied slots and health of a backend server that this instance owns.

    Attributes
    ----------
    failures
        Number of consecutive attempts without a complete response.
    eject_until_ms
        The server is ejected: it gets no requests before this time.
    draining, healthy
        From the server's last load report.
    slow_start_since_ms
        Start of the slow start after an ejection, in which the usable slots increase gradually.
    """

    busy_slots: int = 0
    draining: bool = False
    healthy: bool = True
    failures: int = 0
    eject_until_ms: float = NEVER_MS
    slow_start_since_ms: float = NEVER_MS


@dataclasses.dataclass
class Suspect:
    """Backend servers that crashed while they ran requests of one fingerprint.

    ``learned_ms`` is when the last crash became known here.
    """

    server_ids: set[str]
    expires_ms: float
    learned_ms: float = NEVER_MS


@dataclasses.dataclass
class VersionQueue:
    """Requests that wait for a slot, by client account in round-robin order."""

    by_account: dict[str, collections.deque[RoutedRequest]] = dataclasses.field(
        default_factory=dict
    )
    length: int = 0


@dataclasses.dataclass
class RecentForwards:
    """Number of forwards sent to a peer since its last heartbeat."""

    last_heartbeat_ms: float
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """A configured backend server and the id of its service."""

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
    """Owned servers, queues, attempts and forwards.

    Attributes
    ----------
    servers
        Owned backend servers by id.
    queues
        By service and version.
    tried_owners
        Instances that have failed to run a request of this instance, by request id.
    suspects
        By request fingerprint.
    recent_forwards
        By peer.
    last_id_number
        Number in the id of the last attempt or forward.
    mean_latencies_ms
        Exponentially weighted mean latency by route.
    """

    servers: dict[str, OwnedServerState] = dataclasses.field(default_factory=dict)
    queues: dict[str, VersionQueue] = dataclasses.field(default_factory=dict)
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    forwards: dict[str, PendingForward] = dataclasses.field(default_factory=dict)
    tried_owners: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    delayed_answers: list[DelayedAnswer] = dataclasses.field(default_factory=list)
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    recent_forwards: dict[str, RecentForwards] = dataclasses.field(default_factory=dict)
    index: ServerIndex = dataclasses.field(default_factory=ServerIndex)
    last_id_number: int = 0
    last_sync_ms: float = NEVER_MS
    mean_latencies_ms: dict[rollout_models.RouteKey, float] = dataclasses.field(
        default_factory=dict
    )
