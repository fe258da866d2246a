"""Outputs of the reducer, beside those of the core; the daemon carries them out."""

import dataclasses

from rhubarbspar.core import effects
from rhubarbspar.gateway import models


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt(effects.Effect):
    """Send a request to a backend server.

    Attributes
    ----------
    number
        The request.
    attempt
        Number of the attempt, unique within the process.
    time_left_ms
        The server stops working on the request after this time.
    """

    request_number: int
    attempt_number: int
    server: models.BackendServer
    account_id: str | None
    time_left_ms: float
    connect_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(effects.Effect):
    """Close the connection of an attempt; no event follows."""

    attempt_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResponse(effects.Effect):
    """Pass the response of an attempt to the caller unchanged."""

    request_number: int
    attempt_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(effects.Effect):
    """Answer a request with a status of this instance.

    Attributes
    ----------
    retry_after_ms
        When the caller may return, if it may.
    """

    request_number: int
    status: int
    reason: str
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetServer(effects.Effect):
    """Close the kept connections of a backend server."""

    server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteStatus(effects.Effect):
    """Record the progress of a rollout if its record still has a revision."""

    status: models.RolloutStatus


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore(effects.Effect):
    """Follow the changes of the store, or leave that to peers."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RefreshStore(effects.Effect):
    """Drop the connection to the store and ask it again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(effects.Effect):
    """Withdraw the registration of this instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleCallers(effects.Effect):
    """Close the callers' connections that carry no request."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopListening(effects.Effect):
    """Accept no more connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exit(effects.Effect):
    """End the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observe(effects.Effect):
    """Add a duration to a histogram."""

    metric: str
    service_id: str
    elapsed_ms: float
