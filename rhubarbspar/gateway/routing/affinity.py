"""Object affinity: which backend servers are expected to have an object of a sticky route cached.

Patterns: rendezvous hashing (Thaler and Ravishankar, 1998) within a region that is chosen by
capacity, and a history of the requests that this instance has sent.

The gain of a server is the share of the processing time that it is expected to save on a request,
because it has the object cached.
"""

import collections
import dataclasses
import enum
import hashlib
import itertools
import types
import typing
from collections import abc

from rhubarbspar.gateway.routing import servers
from rhubarbspar.gateway.routing import traffic_shifts
from rhubarbspar.helpers import rendezvous

# Gain of a server to which this instance has sent a request for the object within ``RECENT_MS``.
RECENT_GAIN: typing.Final = 0.65
RECENT_MS: typing.Final = 4000
# Servers evict objects gradually: from ``RECENT_MS`` on the gain falls, and it is 0 after this
# time.
EVICTED_MS: typing.Final = 10_000


class Place(enum.Enum):
    """Why a server is expected to have an object cached.

    Attributes
    ----------
    NONE
        It is not expected to.
    RECENT
        This instance has sent a request for the object to the server recently.
    FIRST, SECOND
        First or second server by rendezvous hashing in the home region of the object.
    OTHER
        First server by rendezvous hashing outside the home region.
    """

    NONE = enum.auto()
    RECENT = enum.auto()
    FIRST = enum.auto()
    SECOND = enum.auto()
    OTHER = enum.auto()


# Least gain expected at the preferred servers of an object, to which the other instances send its
# requests too. A larger gain is learned from responses.
MIN_GAINS: typing.Final = types.MappingProxyType(
    {Place.FIRST: 0.5, Place.SECOND: 0.25, Place.OTHER: 0.2}
)
GAIN_MAX: typing.Final = 0.8
# Weight of the newest response in the learned gain of a place.
GAIN_WEIGHT: typing.Final = 0.08
# Bounds of the history: objects, and servers of each object.
OBJECTS_MAX: typing.Final = 10_000
SERVERS_MAX: typing.Final = 16
# Longer keys of objects are kept as a digest; a caller chooses them.
KEY_MAX_CHARS: typing.Final = 64
_DIGEST_BYTES: typing.Final = 16


@dataclasses.dataclass(slots=True)
class ObjectHistory:
    """When this instance last sent a request for an object to a server.

    Attributes
    ----------
    sent_ms
        Times by server id, by object key or its digest; least recently requested objects first.
    """

    sent_ms: collections.OrderedDict[str, dict[str, float]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def record(self, object_key: str, server_id: str, now_ms: float) -> None:
        """Add a request; drop the oldest server or object if a bound is exceeded."""
        kept_key = _shorten(object_key)
        by_server = self.sent_ms.setdefault(kept_key, {})
        by_server[server_id] = now_ms
        self.sent_ms.move_to_end(kept_key)
        if len(by_server) > SERVERS_MAX:
            by_server.pop(min(by_server, key=by_server.__getitem__))
        if len(self.sent_ms) > OBJECTS_MAX:
            self.sent_ms.popitem(last=False)

    def gains(self, object_key: str, now_ms: float) -> list[tuple[str, float]]:
        """Return the gains of the servers to which requests for an object were sent recently.

        Returns
        -------
        list of tuple
            Server ids and gains.
        """
        by_server = self.sent_ms.get(_shorten(object_key))
        if by_server is None:
            return []
        return [
            (server_id, _gain_after(now_ms - sent_ms))
            for server_id, sent_ms in by_server.items()
            if now_ms - sent_ms < EVICTED_MS
        ]


def _shorten(object_key: str) -> str:
    """Return a key of bounded length that stands for an object."""
    if len(object_key) <= KEY_MAX_CHARS:
        return object_key
    return hashlib.blake2b(
        object_key.encode(errors='surrogatepass'), digest_size=_DIGEST_BYTES
    ).hexdigest()


def _gain_after(age_ms: float) -> float:
    """Return the gain a time after the last request: constant at first, then linear down to 0."""
    remaining = (EVICTED_MS - age_ms) / (EVICTED_MS - RECENT_MS)
    return RECENT_GAIN * min(1.0, max(0.0, remaining))


@dataclasses.dataclass(slots=True)
class LearnedGains:
    """Gains of a route at each place, learned from responses of servers without a queue."""

    learned: dict[Place, float] = dataclasses.field(default_factory=dict)

    def record(self, place: Place, saved_share: float) -> None:
        """Add the gain that a response shows to the average of a preferred place.

        Parameters
        ----------
        saved_share
            Share of the processing time that was saved; limited to 0 and ``GAIN_MAX``.
        """
        assumed = MIN_GAINS.get(place)
        if assumed is None:
            return
        bounded = min(GAIN_MAX, max(0.0, saved_share))
        average = self.learned.get(place, assumed)
        self.learned[place] = average + (bounded - average) * GAIN_WEIGHT

    def expected_at(self, place: Place) -> float:
        """Return the expected gain at a place, at least that of ``MIN_GAINS``.

        The least gain sends the requests of an object to the same servers while no server has it
        cached yet.
        """
        least = MIN_GAINS.get(place, 0)
        learned = self.learned.get(place, least)
        return max(least, learned)


def preferred_servers(
    candidates: abc.Sequence[servers.ServerView],
    object_key: str,
    regions: abc.Mapping[str, str],
    own_region: str,
) -> dict[str, Place]:
    """Return the preferred servers of an object, by server id.

    The first two servers of an object are in its home region. The home region is the region of this
    instance for as many objects as the servers there can serve, and another one for the rest. One
    server outside the home region is preferred as well.

    Parameters
    ----------
    regions
        Region of each failure domain.
    own_region
        Region of this instance.
    """
    by_region: dict[str, list[str]] = {}
    slots: dict[str, float] = {}
    for view in candidates:
        region = regions.get(view.server.failure_domain, '')
        by_region.setdefault(region, []).append(view.server.server_id)
        slots[region] = slots.get(region, 0) + view.server.slots
    home_region = _home_region(object_key, traffic_shifts.expected_shares(slots, own_region))
    home_servers = rendezvous.rank(object_key, by_region.pop(home_region, ()))
    places = dict(zip(home_servers, (Place.FIRST, Place.SECOND), strict=False))
    outside = rendezvous.choose(object_key, itertools.chain.from_iterable(by_region.values()))
    if outside is not None:
        places[outside] = Place.OTHER
    return places


def _home_region(object_key: str, shares: abc.Mapping[str, float]) -> str:
    """Return the home region of an object; each region gets its share of the objects."""
    position = rendezvous.hash_fraction(object_key)
    for region, share in sorted(shares.items()):
        position -= share
        if position < 0:
            return region
    return max(shares, key=shares.__getitem__, default='')
