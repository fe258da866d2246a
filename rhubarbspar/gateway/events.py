"""Events of the gateway; like those of the core, inputs of the reducer."""

import dataclasses
import enum
import typing

from rhubarbspar.core import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models

# Memory of a record besides its key and content: the objects that hold it and its decoded form.
RECORD_OVERHEAD_BYTES: typing.Final = 2048
TOMBSTONE_OVERHEAD_BYTES: typing.Final = 512


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReceived(events.Event):
    """A caller's request was received completely."""

    request: models.Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned(events.Event):
    """The caller closed its connection before the response."""

    request_number: int


class AttemptResult(enum.StrEnum):
    """How an attempt ended.

    Attributes
    ----------
    ANSWERED
        A complete response arrived.
    BROKEN
        The connection failed after the request may have been sent.
    MALFORMED
        The response was invalid.
    NOT_FORWARDED
        The peer that was to pass the attempt on did not, so nothing was sent to the server.
    NOT_RUN
        The server reported that it did not run the request.
    NOT_SENT
        This instance may open no more connections, so nothing was sent.
    UNREACHABLE
        No connection was opened, so nothing was sent.
    WRONG_INSTANCE
        The server is not the expected one (HTTP status 421) and did not run the request.
    """

    ANSWERED = 'answered'
    BROKEN = 'broken'
    MALFORMED = 'malformed'
    NOT_FORWARDED = 'not_forwarded'
    NOT_RUN = 'not_run'
    NOT_SENT = 'not_sent'
    UNREACHABLE = 'unreachable'
    WRONG_INSTANCE = 'wrong_instance'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server reports of its load with a response.

    Attributes
    ----------
    slowness
        How long work takes at the server now, as a multiple of the usual time; ``None`` if the
        server does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded(events.Event):
    """An attempt at a backend server ended.

    Attributes
    ----------
    result
        ``NOT_RUN`` only if the server reported it; ``UNREACHABLE`` if nothing was sent.
    status
        HTTP status, 0 without a response.
    connect_ms
        Time to open the connection; ``None`` for one that was open already.
    limit_per_s
        Requests a second that the server takes from all instances together; ``None`` if the
        response names no limit.
    leaving
        Whether the response says that the server is leaving.
    retry_after_ms
        For how long the server wants no requests of this instance; ``None`` if it does not say so.
    detail
        How the connection failed, or what is wrong with the response; for the log.
    """

    attempt_number: int
    result: AttemptResult
    status: int = 0
    load: LoadReport | None = None
    reused_connection: bool = False
    connect_ms: float | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    retry_after_ms: float | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardReceived(events.Event):
    """A peer asks this instance to pass an attempt on."""

    forwarded: models.ForwardedAttempt


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAbandoned(events.Event):
    """The peer has closed the connection of an attempt before its result."""

    forward_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEnded(events.Event):
    """The check of a server has shown whether a connection to it can be opened."""

    server_id: str
    opened: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """A key of the store; ``content`` is ``None`` if the key was deleted."""

    key: str
    revision: int
    content: bytes | None

    @property
    def size_bytes(self) -> int:
        """Return about how much memory the record and its decoded form take."""
        if self.content is None:
            return TOMBSTONE_OVERHEAD_BYTES + len(self.key)
        return RECORD_OVERHEAD_BYTES + len(self.key) + len(self.content)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot(events.Event):
    """All records of the store were read; later changes have a newer revision.

    Attributes
    ----------
    missing
        Records that were left out for lack of room.
    """

    records: tuple[RecordRead, ...]
    revision: int
    missing: tuple[messages.MissingRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRead(events.Event):
    """All records below a prefix were read; later changes have a newer revision."""

    prefix: str
    records: tuple[RecordRead, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged(events.Event):
    """Records changed up to a revision; without records, nothing changed up to it."""

    records: tuple[RecordRead, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost(events.Event):
    """Reading or watching the store failed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClockTicked(events.Event):
    """The regular timer fired.

    Attributes
    ----------
    paused_ms
        By how much it fired late.
    unsent_count
        Connections with a response that is not sent yet; counted during a planned stop only.
    is_memory_short
        Whether a connection waits for memory to read on.
    unix_ms
        Time of day since the start of 1970, which may jump.
    """

    paused_ms: float = 0
    unsent_count: int = 0
    is_memory_short: bool = False
    unix_ms: float = 0
