"""Strict quota: admit at most a share of a sequence of items."""

import dataclasses


@dataclasses.dataclass(slots=True)
class StrictQuota:
    """Chooses a share of a sequence of items deterministically and evenly spaced.

    In every prefix of the sequence, at most ``share`` of the items are chosen. Create a new quota
    for a new share: with the old counts, items not chosen earlier would permit a burst.
    """

    share: float
    total_count: int = 0
    chosen_count: int = 0

    def take(self) -> bool:
        """Count one item and return whether it is chosen."""
        self.total_count += 1
        chosen = self.chosen_count + 1 <= self.share * self.total_count
        self.chosen_count += chosen
        return chosen
