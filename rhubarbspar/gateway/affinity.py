"""Which backend servers are expected to have an object of a sticky route at hand.

Patterns: rendezvous hashing with the servers of the own region first (Thaler and Ravishankar, 1998), and a
memory of this instance's own requests.
"""

import collections
import dataclasses
import typing
from collections import abc

from rhubarbspar.gateway import servers
from rhubarbspar.helpers import rendezvous

# Part of the work that a server saves which has handled the object within the last seconds.
RECENT_GAIN: typing.Final = 0.65
RECENT_MS: typing.Final = 4000
# A server forgets an object gradually; after this time nothing is left.
FORGOTTEN_MS: typing.Final = 10_000
# The same for the preferred servers of an object, to which the other instances send it too.
PREFERRED_GAINS: typing.Final = (0.5, 0.25)
# Preferred server in the other regions, for times when the own region is full.
FAR_GAIN: typing.Final = 0.2
# Objects that are remembered, and servers of each.
MEMORY_MAX: typing.Final = 10_000
SERVERS_MAX: typing.Final = 16


@dataclasses.dataclass(slots=True)
class ObjectMemory:
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
        if len(self.sent_ms) > MEMORY_MAX:
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


def preferred(
    candidates: abc.Sequence[servers.ServerView],
    object_key: str,
    is_near: abc.Callable[[str], bool],
) -> dict[str, float]:
    """Return the expected gain at the preferred servers of an object, by server.

    Parameters
    ----------
    is_near
        Whether a failure domain lies in the own region.
    """
    near = [view.server.server_id for view in candidates if is_near(view.server.failure_domain)]
    known = frozenset(near)
    far = [view.server.server_id for view in candidates if view.server.server_id not in known]
    gains = dict(zip(rendezvous.rank(object_key, near), PREFERRED_GAINS, strict=False))
    farthest = rendezvous.choose(object_key, far)
    if farthest is not None:
        gains[farthest] = FAR_GAIN
    return gains
