"""Idle connections to a backend server, as its responses let expect them.

The pools of connections are outside the state, so their idle connections are estimated. A server
that closes its connections early is only preferred needlessly.
"""

import dataclasses
import math
import typing

# An idle connection is expected to be open for this long after a response, a little less than the
# pools keep it.
IDLE_CONNECTION_MS: typing.Final = 6500


@dataclasses.dataclass(slots=True)
class IdleConnections:
    """Connections to a server that its responses have left open and idle.

    Attributes
    ----------
    until_ms
        Until when the last of them is expected to stay open.
    """

    count: int = 0
    until_ms: float = -math.inf

    def any_open(self, now_ms: float) -> bool:
        """Return whether a request is expected to need no new connection."""
        return self.count > 0 and now_ms < self.until_ms

    def record_response(self, now_ms: float) -> None:
        """Count the connection of a response that has ended."""
        if now_ms >= self.until_ms:
            self.count = 0
        self.count += 1
        self.until_ms = now_ms + IDLE_CONNECTION_MS

    def record_sent(self) -> None:
        """Count a request, which takes an idle connection if there is one."""
        self.count = max(0, self.count - 1)
