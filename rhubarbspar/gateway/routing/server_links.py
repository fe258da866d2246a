"""Whether this instance itself can open connections to the backend servers.

Pattern: active check before a local failure is believed. Failed attempts only raise a suspicion.
Connections that are opened to servers which other instances hear decide whether the servers have
failed or this instance has lost its links to them.
"""

import dataclasses
import enum
import math
import typing

# Different servers that have to fail before the links are checked.
FAILED_SERVERS_MIN: typing.Final = 2


class LinkStatus(enum.Enum):
    """What is known of the links to the servers.

    Attributes
    ----------
    UP
        Attempts are sent to the servers directly.
    SUSPECTED
        Several servers have failed; the links are being checked.
    LOST
        No server could be reached that other instances hear.
    """

    UP = enum.auto()
    SUSPECTED = enum.auto()
    LOST = enum.auto()


@dataclasses.dataclass(slots=True)
class ServerLinks:
    """Links of this instance to the backend servers.

    Attributes
    ----------
    failed_ids
        Servers that have failed here since the last new connection to any server.
    failed_ms
        When a server last failed here.
    probed_ids
        Servers to which a connection is being opened as a check.
    last_probed_id
        The server that was checked last.
    probed_ms
        When the last checks began.
    restored_ms
        When lost links were last found to be up again.
    """

    status: LinkStatus = LinkStatus.UP
    failed_ids: set[str] = dataclasses.field(default_factory=set)
    failed_ms: float = -math.inf
    probed_ids: set[str] = dataclasses.field(default_factory=set)
    last_probed_id: str = ''
    probed_ms: float = -math.inf
    restored_ms: float = -math.inf

    @property
    def are_up(self) -> bool:
        """Return whether attempts are sent to the servers directly."""
        return self.status == LinkStatus.UP

    @property
    def are_lost(self) -> bool:
        """Return whether no server can be reached that other instances hear."""
        return self.status == LinkStatus.LOST

    def record_failure(self, server_id: str, now_ms: float) -> None:
        """Note that an attempt of this instance has failed at a server."""
        self.failed_ids.add(server_id)
        self.failed_ms = now_ms

    def record_opened(self, opened_ms: float) -> None:
        """Note when a connection to a server was opened for an attempt."""
        if self.are_up and opened_ms > self.failed_ms:
            self.failed_ids.clear()

    def should_check(self, heard_count: int) -> bool:
        """Return whether so many servers have failed that the links have to be checked.

        Parameters
        ----------
        heard_count
            Number of servers that other instances hear.
        """
        return 0 < min(FAILED_SERVERS_MIN, heard_count) <= len(self.failed_ids)

    def restore(self, now_ms: float) -> None:
        """Note that the links are up."""
        if self.are_lost:
            self.restored_ms = now_ms
        self.status = LinkStatus.UP
        self.failed_ids.clear()
        self.probed_ids.clear()

    def explains(self, started_ms: float) -> bool:
        """Return whether a direct attempt that began at a time has failed because of the links."""
        return self.are_lost or started_ms < self.restored_ms
