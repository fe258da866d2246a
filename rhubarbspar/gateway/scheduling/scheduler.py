"""State of the scheduler: what uses each service, and what waits for its servers."""

import dataclasses
import math
import typing

from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.scheduling import fair_queue
from rhubarbspar.gateway.scheduling import models
from rhubarbspar.gateway.scheduling import service_use

# Requests that wait in an instance. Each holds a connection; the smallest instances may open 4,100
# descriptors.
WAITING_MAX: typing.Final = 400
# Bodies that wait. The smallest instances have about 64 MB for all messages.
WAITING_MAX_BYTES: typing.Final = 16_777_216
# Time over which the requests are counted that leave a queue for a server.
RATE_WINDOW_MS: typing.Final = 5000
# A queue that is younger says nothing of the time that a request waits in it.
RATE_KNOWN_MS: typing.Final = 1000
# Requests of accounts above their share wait behind all others.
OVER_SHARE_URGENCY: typing.Final = 1_000_000


@dataclasses.dataclass(slots=True)
class _GroupQueue:
    """The queue of a group of servers, and how fast it moves.

    Attributes
    ----------
    sent_count
        Requests sent from the queue, decayed over ``RATE_WINDOW_MS``.
    """

    waiting: fair_queue.FairQueue
    since_ms: float
    updated_ms: float
    sent_count: float = 0

    def record_sent(self, now_ms: float) -> None:
        """Count a request that was sent."""
        self.sent_count = self._decayed_count(now_ms) + 1
        self.updated_ms = now_ms

    def expected_wait_ms(self, ahead_count: int, now_ms: float) -> float:
        """Return how long a request waits behind others; 0 while that is unknown."""
        age_ms = now_ms - self.since_ms
        if age_ms < RATE_KNOWN_MS:
            return 0
        window_ms = RATE_WINDOW_MS * (1 - math.exp(-age_ms / RATE_WINDOW_MS))
        # The request that is under way counts too, so that a slow queue is not taken for a stuck one.
        sent_per_ms = (self._decayed_count(now_ms) + 1) / window_ms
        return ahead_count / sent_per_ms

    def _decayed_count(self, now_ms: float) -> float:
        return self.sent_count * math.exp((self.updated_ms - now_ms) / RATE_WINDOW_MS)


@dataclasses.dataclass(slots=True)
class Scheduler:
    """Waiting requests by group of servers, and what uses each service.

    Attributes
    ----------
    is_enabled
        Whether requests wait for capacity at all.
    uses
        What uses each service.
    keys
        The group for which each waiting request waits.
    is_memory_short
        Whether no further request may wait because of the memory of the process.
    """

    is_enabled: bool = False
    queues: dict[groups.GroupKey, _GroupQueue] = dataclasses.field(default_factory=dict)
    uses: dict[str, service_use.ServiceUse] = dataclasses.field(default_factory=dict)
    keys: dict[int, groups.GroupKey] = dataclasses.field(default_factory=dict)
    waiting_bytes: int = 0
    is_memory_short: bool = False

    def use_of(self, service_id: str) -> service_use.ServiceUse:
        """Return what uses a service."""
        use = self.uses.get(service_id)
        if use is None:
            use = service_use.ServiceUse()
            self.uses[service_id] = use
        return use

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a request of a size may wait."""
        if self.is_memory_short or len(self.keys) >= WAITING_MAX:
            return False
        return self.waiting_bytes + size_bytes <= WAITING_MAX_BYTES

    def is_blocked(self, key: groups.GroupKey, urgency: int) -> bool:
        """Return whether requests wait before which a new one of an urgency must not be sent."""
        queue = self.queues.get(key)
        head = None if queue is None else queue.waiting.head()
        return head is not None and head.urgency <= urgency

    def first_number(self, key: groups.GroupKey) -> int | None:
        """Return the request that a group of servers gets next, or ``None`` without one."""
        queue = self.queues.get(key)
        head = None if queue is None else queue.waiting.head()
        return None if head is None else head.request_number

    def expected_wait_ms(
        self, key: groups.GroupKey, urgency: int, account_id: str, now_ms: float
    ) -> float:
        """Return how long a new request of an account would wait; 0 if that is unknown."""
        queue = self.queues.get(key)
        if queue is None:
            return 0
        ahead_count = queue.waiting.count_ahead(urgency, account_id)
        return queue.expected_wait_ms(ahead_count, now_ms)

    def add(self, key: groups.GroupKey, waiting: models.WaitingRequest, now_ms: float) -> None:
        """Let a request wait."""
        queue = self.queues.get(key)
        if queue is None:
            queue = _GroupQueue(fair_queue.FairQueue(), now_ms, now_ms)
            self.queues[key] = queue
        queue.waiting.push(waiting)
        self.keys[waiting.request_number] = key
        self.waiting_bytes += waiting.size_bytes

    def remove(self, request_number: int) -> None:
        """Remove a request that is refused or whose caller has left, if it waits."""
        self._remove(request_number, is_sent=False)

    def record_sent(self, request_number: int, now_ms: float) -> None:
        """Remove a request that is sent to a server, if it waits, and charge its account."""
        key = self.keys.get(request_number)
        if key is None:
            return
        self.queues[key].record_sent(now_ms)
        self._remove(request_number, is_sent=True)

    def _remove(self, request_number: int, *, is_sent: bool) -> None:
        key = self.keys.pop(request_number, None)
        if key is None:
            return
        queue = self.queues[key]
        removed = queue.waiting.remove(request_number, is_sent=is_sent)
        if removed is not None:
            self.waiting_bytes -= removed.size_bytes
        if not queue.waiting:
            self.queues.pop(key)
