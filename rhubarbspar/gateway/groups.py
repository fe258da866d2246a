"""The servers that may get a request, indexed once for each change of what is declared.

Patterns: constraint filtering, cached; power of d choices in large groups (Mitzenmacher, "The power of two
choices in randomized load balancing", 2001).
"""

import collections
import dataclasses
import itertools
import typing
from collections import abc

from rhubarbspar.gateway import affinity
from rhubarbspar.gateway import selection
from rhubarbspar.gateway import servers

# In a group up to this size every server is weighed; the choice costs some microseconds a server.
COMPARE_ALL_MAX: typing.Final = 24
# Servers that are weighed in a larger group, beside those of the object, in the own region and outside.
SAMPLE_SAME_REGION: typing.Final = 6
SAMPLE_OTHER_REGIONS: typing.Final = 6
# The load of a whole group is summed up anew after this time.
SUMMARY_INTERVAL_MS: typing.Final = 100
# Usual queue of the other instances, by the reports of the servers in a region that are not older than this.
USUAL_REPORT_MS: typing.Final = 2000
USUAL_OTHERS_MAX: typing.Final = 8.0
_UNKNOWN_OTHERS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """What decides which servers may get a request; an empty set of regions permits all."""

    service_id: str
    route_regions: frozenset[str]
    account_regions: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSummary:
    """The load of a group.

    Attributes
    ----------
    usual_others
        Requests of other instances that a server usually has, by region.
    per_slot
        Requests at the servers, divided by their slots.
    """

    computed_ms: float
    usual_others: abc.Mapping[str, float]
    load_per_slot: float


class ServerGroup:
    """Servers among which a request is placed.

    Parameters
    ----------
    views
        The servers.
    network
        Regions of the failure domains, and the own one.
    """

    def __init__(
        self, views: abc.Iterable[servers.ServerView], network: selection.NetworkTopology
    ) -> None:
        """Index the servers."""
        self.views = tuple(views)
        self.by_id = {view.server.server_id: view for view in self.views}
        self.versions = collections.Counter(view.server.version for view in self.views)
        self._network = network
        near = [view for view in self.views if network.is_in_own_region(view.server.failure_domain)]
        far = [
            view for view in self.views if not network.is_in_own_region(view.server.failure_domain)
        ]
        self._near = _Rotation(near)
        self._far = _Rotation(far)
        self._by_version: dict[str, ServerGroup] = {}
        self._preferred: dict[str, abc.Mapping[str, affinity.Place]] = {}
        self._summary: LoadSummary | None = None

    def of_version(self, version: str) -> 'ServerGroup':
        """Return the servers of a version."""
        if len(self.versions) == 1 and version in self.versions:
            return self
        known = self._by_version.get(version)
        if known is None:
            views = [view for view in self.views if view.server.version == version]
            known = ServerGroup(views, self._network)
            self._by_version[version] = known
        return known

    def preferred(self, object_key: str) -> abc.Mapping[str, affinity.Place]:
        """Return the preferred servers of an object."""
        known = self._preferred.get(object_key)
        if known is None:
            if len(self._preferred) >= affinity.OBJECTS_MAX:
                self._preferred.clear()
            known = affinity.preferred_servers(
                self.views, object_key, self._network.regions, self._network.region
            )
            self._preferred[object_key] = known
        return known

    def candidates(self, at_hand: abc.Iterable[str]) -> abc.Sequence[servers.ServerView]:
        """Return the servers to compare for a request.

        Parameters
        ----------
        at_hand
            Servers that are always compared.
        """
        if len(self.views) <= COMPARE_ALL_MAX:
            return self.views
        chosen = {
            server_id: self.by_id[server_id] for server_id in at_hand if server_id in self.by_id
        }
        for view in (*self._near.take(SAMPLE_SAME_REGION), *self._far.take(SAMPLE_OTHER_REGIONS)):
            chosen[view.server.server_id] = view
        return tuple(chosen.values())

    def load_summary(self, now_ms: float) -> LoadSummary:
        """Return the load of the group."""
        summary = self._summary
        if summary is None or now_ms - summary.computed_ms >= SUMMARY_INTERVAL_MS:
            summary = LoadSummary(now_ms, self._usual_others(now_ms), self._per_slot(now_ms))
            self._summary = summary
        return summary

    def usual_others(self, now_ms: float, failure_domain: str) -> float:
        """Return the requests of other instances that a server in a failure domain usually has."""
        region = self._network.regions.get(failure_domain, '')
        return self.load_summary(now_ms).usual_others.get(region, _UNKNOWN_OTHERS)

    def _usual_others(self, now_ms: float) -> dict[str, float]:
        reports: dict[str, list[float]] = {}
        for view in self.views:
            if now_ms - view.reported_ms < USUAL_REPORT_MS:
                region = self._network.regions.get(view.server.failure_domain, '')
                reports.setdefault(region, []).append(view.other_requests)
        return {
            region: min(USUAL_OTHERS_MAX, sum(known) / len(known))
            for region, known in reports.items()
        }

    def _per_slot(self, now_ms: float) -> float:
        slots = sum(view.slots for view in self.views)
        load = sum(view.estimated_load(now_ms, view.slots) for view in self.views)
        return load / slots if slots else 0


@dataclasses.dataclass(slots=True)
class GroupCache:
    """The groups by key; a change of what is declared makes all of them void.

    Attributes
    ----------
    epoch
        Number of the state of the declarations for which the groups hold.
    """

    epoch: int = 0
    groups: dict[GroupKey, ServerGroup] = dataclasses.field(default_factory=dict)

    def find(self, key: GroupKey, epoch: int) -> ServerGroup | None:
        """Return a group if it still holds."""
        if epoch != self.epoch:
            self.groups.clear()
            self.epoch = epoch
        return self.groups.get(key)


class _Rotation:
    """Takes members in turn, so that over time each is compared equally often."""

    def __init__(self, views: abc.Sequence[servers.ServerView]) -> None:
        self._size = len(views)
        self._cycle = itertools.cycle(views)

    def take(self, count: int) -> abc.Iterable[servers.ServerView]:
        """Return the next members, each at most once."""
        return itertools.islice(self._cycle, min(count, self._size))
