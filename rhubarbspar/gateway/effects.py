"""Effects of the gateway; like those of the core, outputs that the daemon carries out."""

import dataclasses

from rhubarbspar.core import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt(effects.Effect):
    """Send a request to a backend server.

    Attributes
    ----------
    attempt_number
        Number unique within the process.
    account_id
        The client account that is passed to the server, if any.
    time_left_ms
        Time until the deadline, after which the server stops working on the request.
    forwarder
        The peer that passes the request on to the server; ``None`` to send it directly.
    """

    request_number: int
    attempt_number: int
    server: models.BackendServer
    account_id: str | None
    time_left_ms: float
    connect_timeout_ms: float
    forwarder: models.Member | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartForward(effects.Effect):
    """Send the attempt of a peer to a backend server, unchanged."""

    forward_number: int
    attempt_number: int
    server: models.BackendServer
    connect_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerForward(effects.Effect):
    """Return the response of an attempt to the peer, or its result if there is no response."""

    forward_number: int
    result: events.AttemptResult
    attempt_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeServer(effects.Effect):
    """Open a connection to a backend server and close it; ``ProbeEnded`` follows."""

    server: models.BackendServer
    timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(effects.Effect):
    """Close the connection of an attempt; no ``AttemptEnded`` follows."""

    attempt_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResponse(effects.Effect):
    """Send the response of an attempt to the caller, without hop-by-hop headers."""

    request_number: int
    attempt_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(effects.Effect):
    """Answer a request with an error response of this instance.

    Attributes
    ----------
    retry_after_ms
        Time after which the caller may retry, or ``None`` if the response names none.
    """

    request_number: int
    status: int
    reason: str
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetServer(effects.Effect):
    """Close the pooled connections of a backend server."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStatus(effects.Effect):
    """Write the progress of a rollout if its record still has the revision of ``status``."""

    status: models.RolloutStatus


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore(effects.Effect):
    """Start or stop watching the store; without a watch, peers relay its changes."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPrefix(effects.Effect):
    """Read the records below a prefix from the store; ``PrefixRead`` follows unless that fails."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefreshStore(effects.Effect):
    """Close the connections to the store, so that its records are read again soon."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(effects.Effect):
    """Delete the registration of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleCallers(effects.Effect):
    """Close the connections of callers that have no pending request."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopListening(effects.Effect):
    """Accept no more connections of callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exit(effects.Effect):
    """End the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observe(effects.Effect):
    """Add a duration to the histogram of a service."""

    metric: str
    service_id: str
    elapsed_ms: float
