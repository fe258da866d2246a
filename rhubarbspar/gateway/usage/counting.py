"""Counts of this instance: requests that began to run at backend servers, by window."""

import collections
import dataclasses
from collections import abc

from rhubarbspar.gateway.usage import messages
from rhubarbspar.gateway.usage import models


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request of an account that began to run in a window."""

    account_id: str
    window_id: int


@dataclasses.dataclass(slots=True)
class Counter:
    """Ended requests by window, and the parts that were made of them.

    Attributes
    ----------
    first_open
        First window whose counts may still change.
    ended
        Requests of each open window whose attempt has ended.
    last_parts
        The last part of each open window.
    """

    instance_id: str
    incarnation: str
    first_open: int
    ended: dict[int, collections.Counter[str]] = dataclasses.field(default_factory=dict)
    last_parts: dict[int, messages.PartCounts] = dataclasses.field(default_factory=dict)

    def record(self, run: Run) -> None:
        """Count a request whose attempt has ended; a window that is closed does not change."""
        if run.window_id >= self.first_open:
            counts = self.ended.setdefault(run.window_id, collections.Counter())
            counts[run.account_id] += 1

    def take_parts(
        self, running: abc.Iterable[Run], open_until: int, closed_before: int
    ) -> list[messages.PartCounts]:
        """Return the parts that are new or have changed, and close windows.

        Parameters
        ----------
        running
            Requests that count as running now.
        open_until
            The present window.
        closed_before
            Windows before this one are closed.
        """
        counts = {window_id: ended.copy() for window_id, ended in self.ended.items()}
        for run in running:
            counts.setdefault(run.window_id, collections.Counter())[run.account_id] += 1
        changed = []
        for window_id in range(self.first_open, open_until + 1):
            is_closed = window_id < closed_before
            window_counts = models.sorted_counts(counts.get(window_id, {}))
            part = self._next_part(window_id, window_counts, is_complete=is_closed)
            if part is not None:
                changed.append(part)
            if is_closed:
                self.ended.pop(window_id, None)
                self.last_parts.pop(window_id, None)
        self.first_open = max(self.first_open, closed_before)
        return changed

    def _next_part(
        self, window_id: int, counts: tuple[models.AccountCount, ...], *, is_complete: bool
    ) -> messages.PartCounts | None:
        """Return the part of a window, or ``None`` if it is the same as the last one."""
        last = self.last_parts.get(window_id)
        if last is None and not counts and not is_complete:
            return None
        if last is not None and last.counts == counts and last.is_complete == is_complete:
            return None
        version = 1 if last is None else last.version + 1
        part = messages.PartCounts(
            self.instance_id, self.incarnation, window_id, version, is_complete, counts
        )
        self.last_parts[window_id] = part
        return part
