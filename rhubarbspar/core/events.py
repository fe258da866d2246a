"""Events shared by several components.

An event is an input of the reducer: a message, the answer to a call, or the passing of time.
"""

import dataclasses
import enum

from rhubarbspar.core import messages
from rhubarbspar.core import models


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of all events, the inputs of the reducer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Periodic timer, every ``const.TICK_INTERVAL_MS``."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A connection to a peer completed the handshake."""

    peer_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDisconnected(Event):
    """The connection to a peer ended; messages in flight may be lost."""

    peer_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived(Event):
    """A message from a peer arrived."""

    peer_id: str
    message: messages.Message


class StoreOutcome(enum.StrEnum):
    """How a store call ended.

    After ``FAILED`` the result is unknown: a write may still have taken effect.
    """

    SUCCEEDED = 'succeeded'
    CONFLICTED = 'conflicted'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRecord:
    """A key and its value.

    ``revision`` is the store revision of the key's last change, or 0 if the key does not exist.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered(Event):
    """A store call ended.

    Attributes
    ----------
    tag
        Tag of the effect that started the call.
    outcome
        Result of the call.
    records
        Records read; after a conflicted transaction, the current records of the compared keys.
    revision
        Store revision of the answer, or 0 if the call failed.
    lease_id
        Lease that was granted or renewed, if any.
    sent_ms
        Monotonic time of this process when the call was sent.
    """

    tag: str
    outcome: StoreOutcome
    sent_ms: float
    records: tuple[StoreRecord, ...] = ()
    revision: int = 0
    lease_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged(Event):
    """A watch delivered changed records; a deleted key has revision 0."""

    tag: str
    records: tuple[StoreRecord, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list, which lags behind the real state."""

    instance_id: str
    failure_domain: str
    peer_address: str
    caller_address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed(Event):
    """The platform's instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReceived(Event):
    """A caller's request was read completely, body included."""

    request: models.Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCancelled(Event):
    """The caller closed its connection before it got the response."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFinished(Event):
    """An attempt to run a request on a backend server ended.

    Attributes
    ----------
    attempt_id
        Id from the ``StartAttempt`` effect.
    outcome
        ``Refused`` with ``NOT_RUN`` only if the connection could not be opened.
    latency_ms
        Time since the start of the attempt.
    connection_lost
        Whether the backend server closed the connection without a complete response.
    """

    attempt_id: str
    outcome: models.Outcome
    latency_ms: float
    connection_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """The load endpoint of a backend server answered a probe."""

    server_id: str
    busy_slots: int
    draining: bool
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LookupReceived(Event):
    """A caller asks which instances to use."""

    lookup_id: str
    service_id: str
    client_address: str
    access_key_digest: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """This instance was told to stop gracefully, by a signal or by a drain."""
