"""From which revision of the store on a replica knows the changes."""

import dataclasses
import typing

# Gaps that are remembered; instances behind an earlier one get a snapshot.
GAPS_MAX: typing.Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionGap:
    """Two revisions between which single changes are not known, only the difference of the records.

    The difference leads from ``start``, or an earlier revision, to ``end``. A replica between them
    may hold a record that was written and deleted again after ``start``.
    """

    start: int
    end: int

    def contains(self, revision: int) -> bool:
        """Return whether a revision lies between the ends."""
        return self.start < revision < self.end


@dataclasses.dataclass(slots=True)
class ChangeHistory:
    """Revisions after which all changes are known, deletions included.

    Attributes
    ----------
    complete_from
        The first of these revisions. Earlier deletions may be missing: a snapshot has none, and old
        tombstones are dropped.
    gaps
        Later revisions that snapshots have skipped, in order.
    """

    complete_from: int = 0
    gaps: tuple[RevisionGap, ...] = ()

    def add_gap(self, gap: RevisionGap) -> None:
        """Note that only the difference is known between two revisions, if there are any."""
        if gap.end <= gap.start:
            return
        self.gaps = (*self.gaps, gap)
        if len(self.gaps) > GAPS_MAX:
            self.forget_before(self.gaps[0].end)

    def forget_before(self, revision: int) -> None:
        """Note that the changes up to a revision are not known any more."""
        self.complete_from = max(self.complete_from, revision)
        self.gaps = tuple(gap for gap in self.gaps if gap.end > self.complete_from)

    def is_complete_after(self, revision: int) -> bool:
        """Return whether the changes after a revision are known, or what they add up to."""
        return revision >= self.complete_from and self._gap_at(revision) is None

    def first_complete_revision(self, revision: int) -> int:
        """Return the first revision, from the given one on, after which the changes are known."""
        complete_revision = max(revision, self.complete_from)
        gap = self._gap_at(complete_revision)
        return complete_revision if gap is None else gap.end

    def _gap_at(self, revision: int) -> RevisionGap | None:
        return next((gap for gap in self.gaps if gap.contains(revision)), None)
