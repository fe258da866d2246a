"""Choice of the backend server for a request.

Pattern: shortest expected delay over estimated load, with the work that a server saves for an object that it
has at hand.
"""

import dataclasses
import math
import operator
import typing
from collections import abc

from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import servers

# Requests that fit into a slot still slow each other; part of the work at full slots.
CROWDING: typing.Final = 0.15
# A failed attempt costs about this many times the usual work: the loss and the second try.
FAILURE_COST: typing.Final = 4.0
# A cold server answers at about half its speed.
COLD_FACTOR: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the choice depends on besides the servers.

    Attributes
    ----------
    work_ms
        Usual time of the route at a server without queue that does not have the object at hand.
    mean_ms
        Average time of all requests of the route, for those that wait before this one.
    usual_others
        Requests of other instances that a server in a failure domain usually has.
    round_trip_ms
        Round trip to each failure domain.
    distance_ms
        Price of the distance to each failure domain.
    pressure
        Price of a millisecond of work, in milliseconds of delay.
    gains
        Part of the work that each server is expected to save; 0 for others.
    """

    now_ms: float
    work_ms: float
    mean_ms: float
    usual_others: abc.Callable[[str], float]
    round_trip_ms: abc.Callable[[str], float]
    distance_ms: abc.Callable[[str], float]
    gains: abc.Mapping[str, float]
    pressure: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A server, the time after which its response is expected, the gain expected and its load.

    Attributes
    ----------
    wait_ms
        Part of the expected time that the request waits for a slot.
    cost_ms
        What the choice compares: the expected time with the prices of distance, failures and work.
    place
        Why the server is expected to have the object at hand.
    """

    view: servers.ServerView
    expected_ms: float
    wait_ms: float
    cost_ms: float
    gain: float
    load: float
    place: affinity.Place = affinity.Place.NONE


def choose(candidates: abc.Sequence[servers.ServerView], conditions: Conditions) -> Choice | None:
    """Return the server with the shortest expected delay, or ``None`` without candidates."""
    now_ms = conditions.now_ms
    usable = [view for view in candidates if view.may_send(now_ms) and not view.is_full(now_ms)]
    alive = [view for view in usable if view.ejected_until_ms <= now_ms]
    # With every server ejected, the one that failed longest ago is the best guess.
    considered = alive or sorted(usable, key=lambda view: view.ejected_until_ms)[:1]
    choices = [_weigh(view, conditions) for view in considered]
    return min(choices, key=operator.attrgetter('cost_ms'), default=None)


def _weigh(view: servers.ServerView, conditions: Conditions) -> Choice:
    now_ms = conditions.now_ms
    gain = conditions.gains.get(view.server.server_id, 0)
    load = view.estimated_load(now_ms, conditions.usual_others(view.server.failure_domain))
    work_ms = conditions.work_ms * view.speed * (1 - gain)
    if view.is_cold(now_ms):
        work_ms *= COLD_FACTOR
    wait_ms = max(0, load - view.slots + 1) * conditions.mean_ms * view.speed / view.slots
    expected_ms = conditions.round_trip_ms(view.server.failure_domain) + wait_ms + work_ms
    crowding_ms = CROWDING * work_ms * min(1, load / view.slots)
    failing_ms = view.failure_share_at(now_ms) * FAILURE_COST * conditions.work_ms
    priced_ms = conditions.distance_ms(view.server.failure_domain) + conditions.pressure * work_ms
    cost_ms = expected_ms + crowding_ms + failing_ms + priced_ms
    return Choice(view, expected_ms, wait_ms, cost_ms, gain, load)


@dataclasses.dataclass(slots=True)
class ProcessingTime:
    """Usual time of a route at a server without queue, milliseconds.

    Attributes
    ----------
    full_ms
        Without the object at hand.
    mean_ms
        Average over all requests.
    gains
        What the places of objects save.
    """

    full_ms: float
    mean_ms: float
    gains: affinity.Gains = dataclasses.field(default_factory=affinity.Gains)

    def note(self, elapsed_ms: float, place: affinity.Place, gain: float) -> None:
        """Average a response that met no queue, at a server where a gain was expected."""
        self.mean_ms += (elapsed_ms - self.mean_ms) * WORK_WEIGHT
        if place in affinity.PREFERRED_GAINS:
            self.gains.note(place, 1 - elapsed_ms / self.full_ms)
            return
        self.full_ms += (elapsed_ms / (1 - gain) - self.full_ms) * WORK_WEIGHT


# Weight of the newest response in the usual time of a route.
WORK_WEIGHT: typing.Final = 0.05


@dataclasses.dataclass(slots=True)
class NetworkTopology:
    """Round trip times to failure domains, learnt from opened connections.

    Attributes
    ----------
    regions
        Region of each failure domain.
    """

    failure_domain: str
    region: str
    regions: abc.Mapping[str, str]
    measured_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def round_trip_ms(self, failure_domain: str) -> float:
        """Return the measured round trip, or a usual one."""
        measured = self.measured_ms.get(failure_domain)
        if measured is not None:
            return measured
        if failure_domain == self.failure_domain:
            return SAME_DOMAIN_MS
        if self.regions.get(failure_domain) == self.region:
            return SAME_REGION_MS
        return OTHER_REGION_MS

    def is_in_own_region(self, failure_domain: str) -> bool:
        """Return whether a failure domain lies in the own region."""
        return self.regions.get(failure_domain) == self.region

    def price_ms(self, failure_domain: str) -> float:
        """Return the price of bytes between places."""
        if not self.is_in_own_region(failure_domain):
            return REGION_PRICE_MS
        return 0.0 if failure_domain == self.failure_domain else DOMAIN_PRICE_MS

    def note(self, failure_domain: str, connect_ms: float) -> None:
        """Take the time that opening a connection took; the least of the last ones counts."""
        known = self.measured_ms.get(failure_domain, math.inf)
        self.measured_ms[failure_domain] = min(connect_ms, known * MEASURED_GROWTH)


# Usual round trips before any was measured, milliseconds.
SAME_DOMAIN_MS: typing.Final = 1.0
SAME_REGION_MS: typing.Final = 3.0
OTHER_REGION_MS: typing.Final = 50.0
# Bytes between places are paid for; the price of a response as time that callers would accept instead.
DOMAIN_PRICE_MS: typing.Final = 2.0
REGION_PRICE_MS: typing.Final = 12.0
# A measured minimum fades by this factor with each new measurement, so that a longer path is noticed.
MEASURED_GROWTH: typing.Final = 1.1
