"""Choice of the backend server for a request among the candidates.

Pattern: shortest expected delay over the estimated load. Servers that have the object of the
request cached are expected to need less processing time.
"""

import dataclasses
import functools
import math
import operator
import typing
from collections import abc

from rhubarbspar.gateway.routing import affinity
from rhubarbspar.gateway.routing import servers

# Requests in different slots slow each other: added share of the processing time with all slots
# taken.
CONTENTION: typing.Final = 0.15
# A failed attempt costs about this many times the typical processing time: the lost time and the
# retry.
FAILURE_COST: typing.Final = 4.0
# A cold server takes about twice the time.
COLD_FACTOR: typing.Final = 2.0
# A load report ages with this time constant: then the instances that have got it as well have sent
# requests to the servers that it favours.
REPORT_AGE_MS: typing.Final = 200
# Among equal servers whose reports are old, the cost varies at random by up to this share of the
# processing time, so that instances with the same reports choose different servers.
SPREAD_MAX: typing.Final = 1.0
# Among equal servers, one without an idle connection costs this share of the processing time more.
CONNECTION_SHARE: typing.Final = 0.2
# Servers are equally far if the difference of their distances is below this.
EQUAL_DISTANCE_MS: typing.Final = 5.0


def no_spread() -> float:
    """Return 0 in place of a random number, for a choice by cost alone."""
    return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionInputs:
    """What the choice depends on besides the candidates.

    Attributes
    ----------
    processing_ms
        Typical processing time of the route at a server that does not have the object cached.
    mean_processing_ms
        Mean processing time of all requests of the route; used for the requests queued before this
        one.
    typical_other_requests
        Returns the requests of other instances that a server in a failure domain typically has.
    round_trip_ms
        Returns the round trip time to a failure domain.
    distance_cost_ms
        Returns the cost of sending the request to a failure domain, as milliseconds of delay.
    gains
        Share of the processing time that each server is expected to save, by server id; 0 if
        absent.
    congestion_price
        Cost of a millisecond of processing time, in milliseconds of delay.
    random_fraction
        Returns random numbers from 0 to 1, other ones at each instance.
    time_left_ms
        Time until the deadline of the request.
    """

    now_ms: float
    processing_ms: float
    mean_processing_ms: float
    typical_other_requests: abc.Callable[[str], float]
    round_trip_ms: abc.Callable[[str], float]
    distance_cost_ms: abc.Callable[[str], float]
    gains: abc.Mapping[str, float]
    congestion_price: float = 0
    random_fraction: abc.Callable[[], float] = no_spread
    time_left_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A candidate with its expected times and cost.

    Attributes
    ----------
    expected_ms
        Expected time until the response: round trip, wait and processing.
    wait_ms
        Part of the expected time that the request waits for a slot.
    cost_ms
        What the choice compares: the expected time and the costs of contention, failures, distance
        and congestion.
    gain
        Share of the processing time that the server is expected to save.
    load
        Estimated number of requests at the server.
    distance_ms
        Part of the cost that comes from the distance of the server.
    time_factor
        Expected processing time at the server, as a multiple of the typical one.
    place
        Why the server is expected to have the object cached.
    """

    view: servers.ServerView
    expected_ms: float
    wait_ms: float
    cost_ms: float
    gain: float
    load: float
    distance_ms: float = 0
    time_factor: float = 1
    place: affinity.Place = affinity.Place.NONE


def choose_server(
    candidates: abc.Sequence[servers.ServerView], inputs: SelectionInputs
) -> Choice | None:
    """Return the candidate with the lowest cost, or one that is about equal.

    Ejected servers are only considered if every usable candidate is ejected, and servers that are
    expected to miss the deadline only if every equal one is. Returns ``None`` if no candidate may
    get a request now.
    """
    now_ms = inputs.now_ms
    usable = [view for view in candidates if view.may_send(now_ms) and not view.is_full(now_ms)]
    available = [view for view in usable if view.ejected_until_ms <= now_ms]
    # With every server ejected, the one whose ejection ends first is the best guess.
    considered = available or sorted(usable, key=lambda view: view.ejected_until_ms)[:1]
    choices = [estimate(view, inputs) for view in considered]
    if not choices:
        return None
    best = min(choices, key=operator.attrgetter('cost_ms'))
    equals = _equals(choices, best)
    in_time = [choice for choice in equals if choice.expected_ms <= inputs.time_left_ms]
    return min(in_time or equals, key=functools.partial(_spread_cost_ms, inputs))


def _equals(choices: abc.Sequence[Choice], best: Choice) -> list[Choice]:
    """Return the best choice and those that may be as good.

    Only servers that are as near as the best one, and equally expected to have the object cached,
    are compared: their costs differ by their loads, which are the less known, the older the reports
    are. The requests of this instance are known, so a server with more of them is no equal.

    Pattern: randomized choice under stale load information (Mitzenmacher, "How useful is old
    information?", 2000).
    """
    distance_max_ms = best.distance_ms + EQUAL_DISTANCE_MS
    return [
        choice
        for choice in choices
        if choice.gain == best.gain
        and choice.distance_ms <= distance_max_ms
        and choice.view.running <= best.view.running
    ]


def _spread_cost_ms(inputs: SelectionInputs, choice: Choice) -> float:
    """Return the cost of a choice among equals, for the one with the lowest.

    A random part grows with the age of the load report. A new connection has a price.
    """
    age_ms = inputs.now_ms - choice.view.reported_ms
    uncertainty = 1 - math.exp(-age_ms / REPORT_AGE_MS)
    spread_ms = SPREAD_MAX * uncertainty * inputs.mean_processing_ms
    cost_ms = choice.cost_ms + inputs.random_fraction() * spread_ms
    if choice.view.idle.any_open(inputs.now_ms):
        return cost_ms
    return cost_ms + CONNECTION_SHARE * inputs.mean_processing_ms


def estimate(view: servers.ServerView, inputs: SelectionInputs) -> Choice:
    """Return a candidate with its expected times and cost."""
    now_ms = inputs.now_ms
    gain = inputs.gains.get(view.server.server_id, 0)
    load = view.estimated_load(now_ms, inputs.typical_other_requests(view.server.failure_domain))
    round_trip_ms = inputs.round_trip_ms(view.server.failure_domain)
    # The report has taken half a round trip to come, and the request takes another half.
    time_factor = view.time_factor(now_ms + round_trip_ms)
    processing_ms = inputs.processing_ms * time_factor * (1 - gain)
    if view.is_cold(now_ms):
        processing_ms *= COLD_FACTOR
    wait_ms = max(0, load - view.slots + 1) * inputs.mean_processing_ms * view.slowdown / view.slots
    expected_ms = round_trip_ms + wait_ms + processing_ms
    price_ms = inputs.distance_cost_ms(view.server.failure_domain)
    cost_ms = expected_ms + price_ms + _load_cost_ms(view, inputs, processing_ms, load)
    return Choice(
        view, expected_ms, wait_ms, cost_ms, gain, load, round_trip_ms + price_ms, time_factor
    )


def _load_cost_ms(
    view: servers.ServerView, inputs: SelectionInputs, processing_ms: float, load: float
) -> float:
    """Return the costs of contention, failures and congestion."""
    contention_ms = CONTENTION * processing_ms * min(1, load / view.slots)
    failure_rate = view.decayed_failure_rate(inputs.now_ms)
    failure_cost_ms = failure_rate * FAILURE_COST * inputs.processing_ms
    return contention_ms + failure_cost_ms + inputs.congestion_price * processing_ms


@dataclasses.dataclass(slots=True)
class ProcessingTime:
    """Typical processing time of a route at a server without a queue.

    Attributes
    ----------
    uncached_ms
        At a server that does not have the object cached.
    mean_ms
        Mean over all requests.
    gains
        Learned share of the processing time that is saved at each place.
    """

    uncached_ms: float
    mean_ms: float
    gains: affinity.LearnedGains = dataclasses.field(default_factory=affinity.LearnedGains)

    def record(self, elapsed_ms: float, place: affinity.Place, gain: float) -> None:
        """Add the time of a response that did not wait in a queue.

        At a preferred place it updates the learned gain, elsewhere the time without the object
        cached. The mean is always updated.

        Parameters
        ----------
        elapsed_ms
            Time of the response without the round trip.
        place, gain
            Place of the server, and the gain that was expected there.
        """
        self.mean_ms += (elapsed_ms - self.mean_ms) * PROCESSING_WEIGHT
        if place in affinity.MIN_GAINS:
            self.gains.record(place, 1 - elapsed_ms / self.uncached_ms)
            return
        self.uncached_ms += (elapsed_ms / (1 - gain) - self.uncached_ms) * PROCESSING_WEIGHT


# Weight of the newest response in the processing time of a route.
PROCESSING_WEIGHT: typing.Final = 0.05


@dataclasses.dataclass(slots=True)
class NetworkTopology:
    """Regions of the failure domains, with the round trip times and transfer prices between them.

    Attributes
    ----------
    failure_domain, region
        Location of this instance.
    regions
        Region of each failure domain.
    measured_ms
        Round trip time by failure domain, measured when connections are opened.
    """

    failure_domain: str
    region: str
    regions: abc.Mapping[str, str]
    measured_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def round_trip_ms(self, failure_domain: str) -> float:
        """Return the measured round trip time to a failure domain, or a typical one."""
        measured = self.measured_ms.get(failure_domain)
        if measured is not None:
            return measured
        if failure_domain == self.failure_domain:
            return SAME_DOMAIN_MS
        if self.regions.get(failure_domain) == self.region:
            return SAME_REGION_MS
        return OTHER_REGION_MS

    def connect_timeout_ms(self, failure_domain: str) -> float:
        """Return the time after which opening a connection to a failure domain is given up."""
        return CONNECT_TIMEOUT_BASE_MS + CONNECT_ROUND_TRIPS * self.round_trip_ms(failure_domain)

    def is_in_own_region(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in the region of this instance."""
        return self.regions.get(failure_domain) == self.region

    def transfer_price_ms(self, failure_domain: str) -> float:
        """Return the price of transferring a response from a failure domain, in milliseconds."""
        if not self.is_in_own_region(failure_domain):
            return REGION_PRICE_MS
        return 0.0 if failure_domain == self.failure_domain else DOMAIN_PRICE_MS

    def record_connect_time(self, failure_domain: str, connect_ms: float) -> None:
        """Update the round trip time to a failure domain by the time it took to open a connection.

        The round trip time is the minimum over the recent connections.
        """
        known = self.measured_ms.get(failure_domain, math.inf)
        self.measured_ms[failure_domain] = min(connect_ms, known * MINIMUM_GROWTH)


CONNECT_TIMEOUT_BASE_MS: typing.Final = 250
CONNECT_ROUND_TRIPS: typing.Final = 3
# Typical round trip times, used before the first measurement, milliseconds.
SAME_DOMAIN_MS: typing.Final = 1.0
SAME_REGION_MS: typing.Final = 3.0
OTHER_REGION_MS: typing.Final = 50.0
# Transfers between failure domains and regions are charged. The price of a response is the delay
# that callers would accept instead.
DOMAIN_PRICE_MS: typing.Final = 2.0
REGION_PRICE_MS: typing.Final = 12.0
# The measured minimum grows by this factor with each measurement, so that a path that has become
# longer is noticed.
MINIMUM_GROWTH: typing.Final = 1.1
