"""Inputs of the reducer, beside those of the core."""

import dataclasses
import enum

from rhubarbspar.core import events
from rhubarbspar.gateway import models


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReceived(events.Event):
    """A caller's request was read completely."""

    request: models.Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned(events.Event):
    """The caller closed its connection before the response."""

    request_number: int


class AttemptResult(enum.StrEnum):
    """What is known of an attempt that has ended."""

    ANSWERED = 'answered'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    NOT_RUN = 'not_run'
    UNREACHABLE = 'unreachable'
    WRONG_INSTANCE = 'wrong_instance'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A backend server's own count of its requests."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded(events.Event):
    """An attempt at a backend server ended.

    Attributes
    ----------
    attempt
        Number of the attempt.
    result
        ``NOT_RUN`` only if the server said so; ``UNREACHABLE`` if nothing was sent.
    status
        HTTP status, 0 without a response.
    connect_ms
        Time to open the connection; ``None`` for one that was open.
    """

    attempt_number: int
    result: AttemptResult
    status: int = 0
    load: LoadReport | None = None
    reused_connection: bool = False
    connect_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """A key of the store; ``record`` is ``None`` if the key does not exist."""

    key: str
    revision: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot(events.Event):
    """All records of the store were read at a revision."""

    records: tuple[RecordRead, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged(events.Event):
    """Records changed up to a revision; an empty change confirms the revision."""

    records: tuple[RecordRead, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost(events.Event):
    """A call to the store failed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClockTicked(events.Event):
    """Regular timer; ``paused_ms`` is the time that the process stood still before it."""

    paused_ms: float = 0
