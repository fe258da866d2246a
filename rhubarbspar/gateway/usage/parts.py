"""Set of the parts of all instances, by instance, incarnation and window.

Pattern: state-based replicated set. A part replaces an earlier version of itself, so that repeats,
late arrivals and several ways through the tree change nothing.
"""

import collections
import dataclasses
import typing
from collections import abc

from rhubarbspar.gateway.usage import messages
from rhubarbspar.gateway.usage import models

# A fleet of 300 instances has 14 windows of parts below this.
PARTS_MAX: typing.Final = 4500


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of an instance's process."""

    instance_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartKey:
    """The part of an incarnation in a window."""

    owner: Incarnation
    window_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeptPart:
    """A part, the peer that it came from and the number of the change that brought it."""

    part: messages.PartCounts
    source_id: str
    change_number: int


@dataclasses.dataclass(slots=True)
class PartTable:
    """The newest version of each part.

    Attributes
    ----------
    first_window
        Parts of earlier windows are not kept.
    last_change
        Number of the last change.
    """

    first_window: int = 0
    last_change: int = 0
    kept: dict[PartKey, KeptPart] = dataclasses.field(default_factory=dict)

    def add(self, part: messages.PartCounts, source_id: str) -> bool:
        """Keep a part if it is newer than the known version; return whether it is."""
        if part.window_id < self.first_window:
            return False
        key = PartKey(Incarnation(part.instance_id, part.incarnation), part.window_id)
        known = self.kept.get(key)
        if known is not None and known.part.version >= part.version:
            return False
        if known is None and len(self.kept) >= PARTS_MAX:
            return False
        self.last_change += 1
        self.kept[key] = KeptPart(part, source_id, self.last_change)
        return True

    def changed_after(self, change_number: int) -> list[KeptPart]:
        """Return the parts that have changed since a change."""
        if change_number >= self.last_change:
            return []
        return [kept for kept in self.kept.values() if kept.change_number > change_number]

    def forget_before(self, window_id: int) -> None:
        """Drop the parts of earlier windows."""
        if window_id <= self.first_window:
            return
        self.first_window = window_id
        self.kept = {key: kept for key, kept in self.kept.items() if key.window_id >= window_id}

    def earliest_window(self) -> int | None:
        """Return the earliest window with a part."""
        return min((key.window_id for key in self.kept), default=None)

    def sum_window(self, window_id: int) -> models.WindowCounts:
        """Return the counts of a window over all parts."""
        counts: collections.Counter[str] = collections.Counter()
        for key, kept in self.kept.items():
            if key.window_id != window_id:
                continue
            for each in kept.part.counts:
                counts[each.account_id] += each.count
        return models.WindowCounts(window_id, models.sorted_counts(counts))

    def missing(
        self, window_id: int, expected: abc.Iterable[Incarnation]
    ) -> tuple[Incarnation, ...]:
        """Return the incarnations whose part of a window is not complete.

        One that has only parts of later windows began to run after this one.
        """
        first_windows: dict[Incarnation, int] = {}
        for key in self.kept:
            known = first_windows.get(key.owner, key.window_id)
            first_windows[key.owner] = min(known, key.window_id)
        return tuple(
            owner
            for owner in expected
            if first_windows.get(owner, window_id) <= window_id
            and not self._is_complete(owner, window_id)
        )

    def _is_complete(self, owner: Incarnation, window_id: int) -> bool:
        kept = self.kept.get(PartKey(owner, window_id))
        return kept is not None and kept.part.is_complete
