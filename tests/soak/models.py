"""What the soak records, and what it may do to the processes."""

import dataclasses
import enum

DRAIN_S = 2.5
CONFIGURATION_S = 2.5
GRACE_S = 6.0
STABLE_S = 4.0


class Target(enum.StrEnum):
    """What a fault strikes."""

    BACKEND = 'backend'
    CALLER_LINK = 'caller_link'
    CONFIGURATION = 'configuration'
    PEER_LINK = 'peer_link'
    PROCESS = 'process'
    SETTINGS = 'settings'
    STORE = 'store'
    STORE_LINK = 'store_link'


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault or planned change at a time after the begin of the load.

    Attributes
    ----------
    action
        What happens; the target knows its actions.
    subject
        Number of the process, link or backend server, taken modulo their count.
    """

    at_s: float
    duration_s: float
    target: Target
    action: str
    subject: int

    @property
    def ends_s(self) -> float:
        """Return when the fault is over."""
        return self.at_s + self.duration_s


@dataclasses.dataclass
class Run:
    """A request at a backend server."""

    attempt_id: str
    server_id: str
    began_s: float
    account_id: str | None
    key_seen: bool


@dataclasses.dataclass
class Sent:
    """A caller's request and how it ended; ``status`` is 0 without a response."""

    attempt_id: str
    idempotent: bool
    key: str
    instance: int
    sent_s: float
    ended_s: float | None = None
    status: int = 0
    body: bytes = b''
    reused: bool = False


@dataclasses.dataclass(frozen=True)
class Exit:
    """The end of a process that was not killed by a fault.

    Attributes
    ----------
    stopped_s
        When its planned stop began; ``None`` if it ended by itself.
    """

    instance: int
    code: int
    stopped_s: float | None
    ended_s: float


@dataclasses.dataclass
class Ledger:
    """All that callers, backend servers and the operator have seen.

    Attributes
    ----------
    disturbed
        Spans of unplanned faults.
    draining_s
        When the store accepted that a backend server is leaving, by server.
    revoked_s
        When the store accepted that a key no longer holds, by key.
    stops_s
        When a planned stop of an instance began.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    draining_s: dict[str, float] = dataclasses.field(default_factory=dict)
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    stops_s: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)

    def is_calm(self, since_s: float, until_s: float) -> bool:
        """Return whether no unplanned fault was under way in a span."""
        return not any(start < until_s and end > since_s for start, end in self.disturbed)
