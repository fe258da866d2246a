"""What the soak records, and what it may do to the processes."""

import dataclasses
import enum
import itertools

DRAIN_S = 2.5
CONFIGURATION_S = 2.5
GRACE_S = 6.0
STABLE_S = 4.0
USAGE_INTERVAL_S = 1.0


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
    service_id: str = ''
    version: str = ''
    path: str = ''
    status: int = 0
    ended_s: float | None = None
    is_sound: bool = True


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
    account_id: str = 'workshop'
    path: str = ''
    service_id: str = ''
    timeout_s: float = 0.0
    due_s: float = 0.0
    behind: bool = False
    end: str = ''
    seal: str = ''
    retry_after_s: float = 0.0
    is_probe: bool = False


def answer(attempt_id: str, path: str = '') -> bytes:
    """Return the body of a server's answer; the last segment of a path may name its size."""
    size = path.rpartition('/')[2]
    body = f'answer to {attempt_id}'.encode()
    return body.ljust(int(size) if path and size.isdecimal() else 0, b'.')


@dataclasses.dataclass
class Arrival:
    """A request that has reached a backend server, whether it runs or not."""

    attempt_id: str
    server_id: str
    at_s: float
    service_id: str
    domain: str
    version: str
    is_cold: bool


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A span of an unplanned fault.

    Attributes
    ----------
    instance
        The only instance that it concerns; ``None`` if it concerns all.
    is_core
        Whether it is one of the store alone.
    """

    began_s: float
    ended_s: float
    instance: int | None = None
    is_core: bool = False


@dataclasses.dataclass
class Evacuation:
    """A failure domain that is taken out of use."""

    domain: str
    began_s: float
    ended_s: float


@dataclasses.dataclass
class Rollout:
    """A rollout of a version, and its last state."""

    service_id: str
    version: str
    is_bad: bool
    began_s: float
    duration_s: float
    state: str = 'running'


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a gateway process holds.

    Attributes
    ----------
    waited_s
        How long it has waited for a processor since its start.
    """

    instance: int
    memory_mb: float
    descriptors: int
    at_s: float = 0.0
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Exit:
    """The end of a process that was not killed by a fault.

    Attributes
    ----------
    stopped_s
        When its planned stop began; ``None`` if it ended by itself.
    started_s
        When it was started.
    """

    instance: int
    code: int
    stopped_s: float | None
    ended_s: float
    started_s: float = 0.0


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
    configured_s
        When the store accepted each configuration.
    quotas
        Rate and burst of each account, by configuration.
    notes
        Broken promises that were seen at once.
    late_count
        Seconds in which the soak itself was late.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    disturbed: list[Trouble] = dataclasses.field(default_factory=list)
    draining_s: dict[str, float] = dataclasses.field(default_factory=dict)
    revoked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    stops_s: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    reloads_s: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    rollouts: list[Rollout] = dataclasses.field(default_factory=list)
    configured_s: list[float] = dataclasses.field(default_factory=list)
    quotas: list[list[tuple[float, float]]] = dataclasses.field(default_factory=list)
    usages: list[Usage] = dataclasses.field(default_factory=list)
    notes: list[str] = dataclasses.field(default_factory=list)
    late_count: int = 0
    exits: list[Exit] = dataclasses.field(default_factory=list)

    def waited_s(self, instance: int, since_s: float, until_s: float) -> float:
        """Return for how long an instance may have waited for a processor in a span."""
        samples = [
            usage
            for usage in self.usages
            if usage.instance == instance
            and since_s - 2 * USAGE_INTERVAL_S <= usage.at_s <= until_s + 2 * USAGE_INTERVAL_S
        ]
        waited_s = sum(
            max(0.0, after.waited_s - before.waited_s)
            for before, after in itertools.pairwise(samples)
        )
        # The soak itself is late as well: its samples lie further apart than they should.
        late_s = sum(
            max(0.0, after.at_s - before.at_s - USAGE_INTERVAL_S)
            for before, after in itertools.pairwise(samples)
        )
        return waited_s + late_s

    def is_calm(
        self, since_s: float, until_s: float, instance: int | None = None, *, core: bool = True
    ) -> bool:
        """Return whether no unplanned fault was under way in a span.

        Parameters
        ----------
        instance
            The instance that is asked for; ``None`` for all.
        core
            Whether faults of the store alone count.
        """
        return not any(
            trouble.began_s < until_s
            and trouble.ended_s > since_s
            and (instance is None or trouble.instance in {None, instance})
            and (core or not trouble.is_core)
            for trouble in self.disturbed
        )
