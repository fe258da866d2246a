"""Upper bounds of the connections that a process holds, by kind.

Pattern: bulkheads. Each kind of connection has a part of the file descriptors of the process, so that
no kind can use up those of another one.
"""

import collections
import dataclasses
import math
import typing

from rhubarbspar.http1 import receive_buffers


class Connection(typing.Protocol):
    """A connection that may be closed while it is idle."""

    def evict(self) -> bool:
        """Close the connection and its descriptor at once, unless it is used again.

        Returns
        -------
        bool
            Whether it is closed; its limit counts it no more then.
        """


@dataclasses.dataclass(eq=False, slots=True)
class ConnectionLimit:
    """The open connections of one kind.

    Attributes
    ----------
    kind
        Name in log lines and metrics.
    limit
        Number of connections that may be open.
    surplus
        Further connections that are opened only to refuse a request; by default there are none.
    evicts_partial
        Whether a connection on which only a part of a request head has come counts as idle.
    receive_buffer_bytes
        Receive buffer of each connection, as ``SO_RCVBUF`` says it.
    open_count
        Number of open connections.
    evicted_count, refused_count
        Number of connections that were closed while idle for new ones, and of those beyond the
        limit.
    """

    kind: str = ''
    limit: float = math.inf
    surplus: 'ConnectionLimit | None' = None
    evicts_partial: bool = False
    receive_buffer_bytes: int = receive_buffers.CALLER_BYTES
    open_count: int = 0
    evicted_count: int = 0
    refused_count: int = 0
    _reported_evicted: int = 0
    _reported_refused: int = 0
    _idle: collections.OrderedDict[Connection, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def acquire(self, idle_since_max_ms: float = math.inf) -> bool:
        """Count a new connection if one may open, closing the one that is idle longest if need be.

        Parameters
        ----------
        idle_since_max_ms
            Connections that are idle since a later time are not closed.

        Returns
        -------
        bool
            Whether the connection may open; it is to be released once it has closed.
        """
        if self.open_count >= self.limit and not self._evict(idle_since_max_ms):
            self.refused_count += 1
            return False
        self.open_count += 1
        return True

    def release(self) -> None:
        """Count a connection as closed."""
        self.open_count -= 1

    def mark_idle(self, connection: Connection, now_ms: float) -> None:
        """Note that a connection may be closed for another one, from now on."""
        if connection not in self._idle:
            self._idle[connection] = now_ms

    def mark_busy(self, connection: Connection) -> None:
        """Note that a connection must not be closed."""
        self._idle.pop(connection, None)

    def take_new_counts(self) -> tuple[tuple[str, int], ...] | None:
        """Return the numbers of connections evicted and refused since the last call, if any."""
        evicted = self.evicted_count - self._reported_evicted
        refused = self.refused_count - self._reported_refused
        if not (evicted or refused):
            return None
        self._reported_evicted = self.evicted_count
        self._reported_refused = self.refused_count
        return ('evicted', evicted), ('refused', refused)

    def _evict(self, idle_since_max_ms: float) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        while self._idle:
            connection, since_ms = next(iter(self._idle.items()))
            if since_ms > idle_since_max_ms:
                return False
            if connection.evict():
                self.evicted_count += 1
                return True
            # It is marked again once it has read what has arrived.
            self.mark_busy(connection)
        return False
