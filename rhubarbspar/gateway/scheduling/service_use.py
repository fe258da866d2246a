"""What uses a service: the urgencies of its requests and, while it is short, the accounts' demand.

Pattern: max-min fairness. The capacity is what was sent of the demand; the level is the share that
an account may have if no account gets more than it asks for.
"""

import dataclasses
import math
import typing

from rhubarbspar.gateway.scheduling import models

# An urgency uses a service for this long after its last request. An instance of a large fleet gets
# less than one request a second of some kinds.
PRESENT_MS: typing.Final = 10_000
# Time over which demand and results are counted.
TALLY_WINDOW_MS: typing.Final = 10_000
# A kind is starved if it is sent this many times as often as all requests of its service. Each kind
# is to be served at least a quarter as often.
STARVED_SHARE: typing.Final = 0.5
# A service is short for this long after a request waited or was refused for lack of capacity.
SHORT_MS: typing.Final = 5000
# An account is far above its share if it asks for this many times as much, and as the mean of all
# accounts: of accounts that ask for the same, none yields to the others.
OVER_SHARE_FACTOR: typing.Final = 1.5
# With fewer requests in the window, the demand of an account may be large by chance.
OVER_SHARE_REQUESTS_MIN: typing.Final = 6.0
# With fewer results in the window, the capacity is unknown.
RESULTS_MIN: typing.Final = 10.0
# The level is computed again after this time.
LEVEL_INTERVAL_MS: typing.Final = 250


@dataclasses.dataclass(slots=True)
class _Tally:
    """Requests of an urgency that were sent and given up, decayed over ``TALLY_WINDOW_MS``."""

    updated_ms: float
    sent: float = 0
    given_up: float = 0

    def record(self, now_ms: float, *, is_sent: bool) -> None:
        """Count a request."""
        self.decay(now_ms)
        self.sent += is_sent
        self.given_up += not is_sent

    def decay(self, now_ms: float) -> None:
        """Let the counts decay to a time."""
        factor = math.exp((self.updated_ms - now_ms) / TALLY_WINDOW_MS)
        self.sent *= factor
        self.given_up *= factor
        self.updated_ms = now_ms


@dataclasses.dataclass(slots=True)
class _Demand:
    """Requests of an account and their processing time, decayed over ``TALLY_WINDOW_MS``."""

    updated_ms: float
    requests: float = 0
    work_ms: float = 0

    def record(self, work_ms: float, now_ms: float) -> None:
        """Count a request."""
        self.decay(now_ms)
        self.requests += 1
        self.work_ms += work_ms

    def decay(self, now_ms: float) -> None:
        """Let the counts decay to a time."""
        factor = math.exp((self.updated_ms - now_ms) / TALLY_WINDOW_MS)
        self.requests *= factor
        self.work_ms *= factor
        self.updated_ms = now_ms


@dataclasses.dataclass(slots=True)
class ServiceUse:
    """The requests of a service at this instance.

    Attributes
    ----------
    seen_ms
        When the last request of each urgency came.
    tallies
        What became of the requests of each urgency; only while several use the service or it is
        short.
    demands
        What the accounts ask for; only while the service is short.
    short_until_ms
        Until when the service counts as short.
    level_ms
        The larger one of the max-min share and the mean demand of the accounts in the window, as
        processing time; infinity if all get what they ask for.
    """

    seen_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    tallies: dict[int, _Tally] = dataclasses.field(default_factory=dict)
    demands: dict[str, _Demand] = dataclasses.field(default_factory=dict)
    short_until_ms: float = -math.inf
    level_ms: float = math.inf
    level_computed_ms: float = -math.inf

    def record_request(self, urgency: int, account_id: str, work_ms: float, now_ms: float) -> None:
        """Note a request; it counts for the demand of its account while the service is short."""
        self.seen_ms[urgency] = now_ms
        if now_ms < self.short_until_ms:
            self.demands.setdefault(account_id, _Demand(now_ms)).record(work_ms, now_ms)
        elif self.demands:
            self.demands.clear()

    def record_result(self, urgency: int, now_ms: float, *, is_sent: bool) -> None:
        """Note whether a request was sent or given up."""
        if len(self.seen_ms) > 1 or now_ms < self.short_until_ms:
            self.tallies.setdefault(urgency, _Tally(now_ms)).record(now_ms, is_sent=is_sent)

    def mark_short(self, now_ms: float) -> None:
        """Note that a request found no capacity."""
        self.short_until_ms = now_ms + SHORT_MS

    def most_urgent(self, now_ms: float) -> int | None:
        """Return the most urgent kind that uses the service, or ``None`` if none does."""
        present = [
            urgency for urgency, seen_ms in self.seen_ms.items() if now_ms - seen_ms <= PRESENT_MS
        ]
        return min(present, default=None)

    def rank(self, urgency: int, account_id: str, now_ms: float) -> models.Rank:
        """Return how far a request yields to the others of the service."""
        if now_ms < self.short_until_ms and self._is_over_share(account_id, now_ms):
            return models.Rank.OVER_SHARE
        if len(self.seen_ms) < 2:
            return models.Rank.FIRST
        first = self.most_urgent(now_ms)
        if first is not None and first < urgency:
            return models.Rank.LESS_URGENT
        return models.Rank.FIRST

    def is_starved(self, urgency: int, now_ms: float) -> bool:
        """Return whether requests of an urgency are sent much less often than all of the service."""
        own = self.tallies.get(urgency)
        if own is None:
            return False
        share = self._sent_share(now_ms)
        own_share = own.sent / max(1.0, own.sent + own.given_up)
        return own_share < STARVED_SHARE * share

    def _is_over_share(self, account_id: str, now_ms: float) -> bool:
        """Return whether an account asks for far more than its max-min share."""
        demand = self.demands.get(account_id)
        if demand is None or not account_id:
            return False
        if now_ms - self.level_computed_ms >= LEVEL_INTERVAL_MS:
            self.level_computed_ms = now_ms
            fair_ms = self._max_min_level_ms(now_ms)
            mean_ms = sum(asked.work_ms for asked in self.demands.values()) / len(self.demands)
            self.level_ms = max(fair_ms, mean_ms)
        if demand.requests < OVER_SHARE_REQUESTS_MIN:
            return False
        return demand.work_ms > OVER_SHARE_FACTOR * self.level_ms

    def _max_min_level_ms(self, now_ms: float) -> float:
        """Return the share of an account at which all shares add up to the capacity."""
        if sum(tally.sent + tally.given_up for tally in self.tallies.values()) < RESULTS_MIN:
            return math.inf
        for demand in self.demands.values():
            demand.decay(now_ms)
        demands_ms = sorted(asked.work_ms for asked in self.demands.values())
        left_ms = sum(demands_ms) * self._sent_share(now_ms)
        for position, demand_ms in enumerate(demands_ms):
            equal_ms = left_ms / (len(demands_ms) - position)
            if demand_ms > equal_ms:
                return equal_ms
            left_ms -= demand_ms
        return math.inf

    def _sent_share(self, now_ms: float) -> float:
        """Return the share of the requests that were sent."""
        tallies = tuple(self.tallies.values())
        for tally in tallies:
            tally.decay(now_ms)
        sent = sum(counted.sent for counted in tallies)
        given_up = sum(counted.given_up for counted in tallies)
        return sent / max(1.0, sent + given_up)
