"""Which backend servers are expected to have an object of a sticky route at hand.

Patterns: rendezvous hashing (Thaler and Ravishankar, 1998) within a region that is chosen by capacity, and a
memory of this instance's own requests.
"""

import collections
import dataclasses
import enum
import itertools
import types
import typing
from collections import abc

from rhubarbspar.gateway import servers
from rhubarbspar.gateway import traffic_shifts
from rhubarbspar.helpers import rendezvous

# Part of the work that a server saves which has handled the object within the last seconds.
RECENT_GAIN: typing.Final = 0.65
RECENT_MS: typing.Final = 4000
# A server forgets an object gradually; after this time nothing is left.
FORGOTTEN_MS: typing.Final = 10_000


class Place(enum.Enum):
    """Why a server is expected to have an object at hand."""

    NONE = enum.auto()
    RECENT = enum.auto()
    FIRST = enum.auto()
    SECOND = enum.auto()
    OTHER = enum.auto()


# The least part of the work that is expected to be saved at the preferred servers of an object, to which the
# other instances send it too; responses may show that it is more.
PREFERRED_GAINS: typing.Final = types.MappingProxyType(
    {Place.FIRST: 0.5, Place.SECOND: 0.25, Place.OTHER: 0.2}
)
GAIN_MAX: typing.Final = 0.8
# Weight of the newest response in the learnt gain of a place.
GAIN_WEIGHT: typing.Final = 0.08
# Objects that are remembered, and servers of each.
OBJECTS_MAX: typing.Final = 10_000
SERVERS_MAX: typing.Final = 16


@dataclasses.dataclass(slots=True)
class ObjectHistory:
    """When this instance has last sent an object's request to a server.

    Attributes
    ----------
    sent_ms
        Times by server, by object; the object that was used last is at the end.
    """

    sent_ms: collections.OrderedDict[str, dict[str, float]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def note(self, object_key: str, server_id: str, now_ms: float) -> None:
        """Remember a request."""
        known = self.sent_ms.setdefault(object_key, {})
        known[server_id] = now_ms
        self.sent_ms.move_to_end(object_key)
        if len(known) > SERVERS_MAX:
            known.pop(min(known, key=known.__getitem__))
        if len(self.sent_ms) > OBJECTS_MAX:
            self.sent_ms.popitem(last=False)

    def gains(self, object_key: str, now_ms: float) -> list[tuple[str, float]]:
        """Return the part of the work that each server of an object is expected to save."""
        known = self.sent_ms.get(object_key)
        if known is None:
            return []
        return [
            (server_id, _gain_after(now_ms - sent_ms))
            for server_id, sent_ms in known.items()
            if now_ms - sent_ms < FORGOTTEN_MS
        ]


def _gain_after(age_ms: float) -> float:
    left = (FORGOTTEN_MS - age_ms) / (FORGOTTEN_MS - RECENT_MS)
    return RECENT_GAIN * min(1.0, max(0.0, left))


@dataclasses.dataclass(slots=True)
class Gains:
    """Part of the work of a route that is saved at each place, learnt from responses without queue."""

    learnt: dict[Place, float] = dataclasses.field(default_factory=dict)

    def note(self, place: Place, saved_part: float) -> None:
        """Average what a response shows."""
        assumed = PREFERRED_GAINS.get(place)
        if assumed is None:
            return
        bounded = min(GAIN_MAX, max(0.0, saved_part))
        known = self.learnt.get(place, assumed)
        self.learnt[place] = known + (bounded - known) * GAIN_WEIGHT

    def at(self, place: Place) -> float:
        """Return the expected part, at least what is assumed without responses.

        The least part keeps the requests of an object together while it is at hand nowhere yet.
        """
        least = PREFERRED_GAINS.get(place, 0)
        known = self.learnt.get(place, least)
        return max(least, known)


def preferred_servers(
    candidates: abc.Sequence[servers.ServerView],
    object_key: str,
    regions: abc.Mapping[str, str],
    own_region: str,
) -> dict[str, Place]:
    """Return the preferred servers of an object.

    An object has its first two servers in one region: the own one for as many objects as its servers can
    carry, another one for the rest. One server outside that region is preferred as well.

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
    home = _home_region(object_key, traffic_shifts.expected_shares(slots, own_region))
    nearest = rendezvous.rank(object_key, by_region.pop(home, ()))
    places = dict(zip(nearest, (Place.FIRST, Place.SECOND), strict=False))
    other = rendezvous.choose(object_key, itertools.chain.from_iterable(by_region.values()))
    if other is not None:
        places[other] = Place.OTHER
    return places


def _home_region(object_key: str, shares: abc.Mapping[str, float]) -> str:
    """Return the region of an object; each gets its share of the objects."""
    position = rendezvous.position(object_key)
    for region, share in sorted(shares.items()):
        position -= share
        if position < 0:
            return region
    return max(shares, key=shares.__getitem__, default='')
