"""Groups of servers that may get a request, cached until servers or evacuations change.

Patterns: constraint filtering, cached; power of d choices in large groups (Mitzenmacher, "The power
of two choices in randomized load balancing", 2001).
"""

import collections
import dataclasses
import itertools
import random
import typing
from collections import abc

from rhubarbspar.gateway.routing import affinity
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.routing import servers

# Up to this group size all servers are compared; the choice costs some microseconds a server.
COMPARE_ALL_MAX: typing.Final = 24
# Servers sampled from a larger group, in the own region and outside, besides those of the object.
SAMPLE_SAME_REGION: typing.Final = 6
SAMPLE_OTHER_REGIONS: typing.Final = 6
# The load summary of a group is computed again after this time.
SUMMARY_INTERVAL_MS: typing.Final = 100
# Load reports up to this age count in the usual number of requests of other instances at a server.
USUAL_REPORT_MS: typing.Final = 2000
# Upper bound of that number.
TYPICAL_OTHER_REQUESTS_MAX: typing.Final = 8.0
# The number that is assumed for a region without recent reports.
_UNKNOWN_OTHER_REQUESTS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Constraints that select the servers of a group; an empty set of regions permits all."""

    service_id: str
    route_regions: frozenset[str]
    account_regions: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSummary:
    """The load of a group at a time.

    Attributes
    ----------
    typical_other_requests
        Requests of other instances that a server usually has, by the region of the server.
    load_per_slot
        Estimated requests at all servers, divided by all their slots.
    """

    computed_ms: float
    typical_other_requests: abc.Mapping[str, float]
    load_per_slot: float


class ServerGroup:
    """Servers from which the server of a request is chosen.

    Parameters
    ----------
    views
        The servers.
    network
        Regions of the failure domains, and the region of this instance.
    seed
        Seed of the order in which servers are sampled and of the choice among equal servers. It
        differs between instances, so that those with the same load reports choose different ones.
    """

    def __init__(
        self,
        views: abc.Iterable[servers.ServerView],
        network: selection.NetworkTopology,
        seed: str = '',
    ) -> None:
        """Index the servers by id, version and distance."""
        self.random = random.Random(seed)  # noqa: S311 (spreads load, keeps no secret)
        self.views = tuple(views)
        self.by_id = {view.server.server_id: view for view in self.views}
        self.versions = collections.Counter(view.server.version for view in self.views)
        self._network = network
        self._seed = seed
        same_region = [
            view for view in self.views if network.is_in_own_region(view.server.failure_domain)
        ]
        other_regions = [
            view for view in self.views if not network.is_in_own_region(view.server.failure_domain)
        ]
        self.random.shuffle(same_region)
        self.random.shuffle(other_regions)
        self._same_region = _RoundRobin(same_region)
        self._other_regions = _RoundRobin(other_regions)
        self._by_version: dict[str, ServerGroup] = {}
        self._preferred: dict[str, abc.Mapping[str, affinity.Place]] = {}
        self._summary: LoadSummary | None = None

    def of_version(self, version: str) -> 'ServerGroup':
        """Return the group of a version's servers; built once."""
        if len(self.versions) == 1 and version in self.versions:
            return self
        cached = self._by_version.get(version)
        if cached is None:
            views = [view for view in self.views if view.server.version == version]
            cached = ServerGroup(views, self._network, f'{self._seed}/{version}')
            self._by_version[version] = cached
        return cached

    def preferred(self, object_key: str) -> abc.Mapping[str, affinity.Place]:
        """Return the preferred servers of an object and why each is preferred; cached."""
        cached = self._preferred.get(object_key)
        if cached is None:
            if len(self._preferred) >= affinity.OBJECTS_MAX:
                self._preferred.clear()
            cached = affinity.preferred_servers(
                self.views, object_key, self._network.regions, self._network.region
            )
            self._preferred[object_key] = cached
        return cached

    def candidates(self, included_ids: abc.Iterable[str]) -> abc.Sequence[servers.ServerView]:
        """Return the servers to compare for a request.

        Parameters
        ----------
        included_ids
            Ids of servers that are always compared, if they belong to the group.
        """
        if len(self.views) <= COMPARE_ALL_MAX:
            return self.views
        candidates_by_id = {
            server_id: self.by_id[server_id]
            for server_id in included_ids
            if server_id in self.by_id
        }
        for view in (
            *self._same_region.take(SAMPLE_SAME_REGION),
            *self._other_regions.take(SAMPLE_OTHER_REGIONS),
        ):
            candidates_by_id[view.server.server_id] = view
        return tuple(candidates_by_id.values())

    def load_summary(self, now_ms: float) -> LoadSummary:
        """Return the load of the group, at most ``SUMMARY_INTERVAL_MS`` old."""
        summary = self._summary
        if summary is None or now_ms - summary.computed_ms >= SUMMARY_INTERVAL_MS:
            summary = LoadSummary(now_ms, self._average_others(now_ms), self._load_per_slot(now_ms))
            self._summary = summary
        return summary

    def typical_other_requests(self, now_ms: float, failure_domain: str) -> float:
        """Return the requests of other instances that a server in a failure domain usually has."""
        region = self._network.regions.get(failure_domain, '')
        return self.load_summary(now_ms).typical_other_requests.get(region, _UNKNOWN_OTHER_REQUESTS)

    def _average_others(self, now_ms: float) -> dict[str, float]:
        """Return the average reported requests of other instances at a server, by region."""
        reported_counts: dict[str, list[float]] = {}
        for view in self.views:
            if now_ms - view.reported_ms < USUAL_REPORT_MS:
                region = self._network.regions.get(view.server.failure_domain, '')
                reported_counts.setdefault(region, []).append(view.other_requests)
        return {
            region: min(TYPICAL_OTHER_REQUESTS_MAX, sum(counts) / len(counts))
            for region, counts in reported_counts.items()
        }

    def _load_per_slot(self, now_ms: float) -> float:
        slots = sum(view.slots for view in self.views)
        load = sum(view.estimated_load(now_ms, view.slots) for view in self.views)
        return load / slots if slots else 0


@dataclasses.dataclass(slots=True)
class GroupCache:
    """Groups by key; all are dropped when the declared servers or evacuations change.

    Attributes
    ----------
    epoch
        Epoch of the declared servers and evacuations for which the groups were built.
    """

    epoch: int = 0
    groups: dict[GroupKey, ServerGroup] = dataclasses.field(default_factory=dict)

    def find(self, key: GroupKey, epoch: int) -> ServerGroup | None:
        """Return a group that was built in this epoch; a new epoch clears the cache."""
        if epoch != self.epoch:
            self.groups.clear()
            self.epoch = epoch
        return self.groups.get(key)


class _RoundRobin:
    """Returns servers in turn, so that each is sampled equally often."""

    def __init__(self, views: abc.Sequence[servers.ServerView]) -> None:
        self._size = len(views)
        self._cycle = itertools.cycle(views)

    def take(self, count: int) -> abc.Iterable[servers.ServerView]:
        """Return the next servers, each at most once."""
        return itertools.islice(self._cycle, min(count, self._size))
