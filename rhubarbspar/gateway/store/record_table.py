"""Records of the store by key, with an upper bound of their size."""

import collections
import math
from collections import abc

from rhubarbspar.gateway import events


class RecordTable(collections.UserDict[str, events.RecordRead]):
    """Records and tombstones by key.

    Attributes
    ----------
    size_bytes
        Size of all of them.
    max_bytes
        Size up to which there is room for records; there always is for tombstones.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        """Create an empty table."""
        super().__init__()
        self.max_bytes = max_bytes
        self.size_bytes = 0

    def __setitem__(self, key: str, record: events.RecordRead) -> None:
        """Store a record instead of the one that has its key."""
        self.size_bytes += record.size_bytes - self._known_bytes(key)
        self.data[key] = record

    def __delitem__(self, key: str) -> None:  # noqa: WPS603 (keeps the size)
        """Remove a record."""
        self.size_bytes -= self._known_bytes(key)
        self.data.pop(key)

    def values(self) -> abc.ValuesView[events.RecordRead]:  # noqa: WPS110 (name of mappings)
        """Return all records, without a look-up of each."""
        return self.data.values()

    def has_room_for(self, record: events.RecordRead) -> bool:
        """Return whether a record may be stored."""
        if record.content is None:
            return True
        return self.size_bytes + record.size_bytes - self._known_bytes(record.key) <= self.max_bytes

    def _known_bytes(self, key: str) -> int:
        known = self.data.get(key)
        return 0 if known is None else known.size_bytes
