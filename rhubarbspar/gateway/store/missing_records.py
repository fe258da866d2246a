"""Records of the store that were left out for lack of room.

Pattern: negative entries of a bounded cache. Each one names the revision that is to be read again.
"""

import operator
import typing
from collections import abc

from rhubarbspar.gateway import messages

# More of them, and those with longer keys, are counted together without their keys.
NAMED_MAX: typing.Final = 1000
KEY_LENGTH_MAX: typing.Final = 200
# Key of the entry that stands for the records without a name; as a prefix, it is that of all keys.
UNNAMED_KEY: typing.Final = ''


class MissingRecords:
    """The newest known revision of each record that is missing."""

    def __init__(self, missing: abc.Iterable[messages.MissingRecord] = ()) -> None:
        """Create a collection of entries."""
        self._by_key: dict[str, messages.MissingRecord] = {}
        for entry in missing:
            self.add(entry)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._by_key)

    def __contains__(self, key: str) -> bool:
        """Return whether an entry names a key."""
        return key in self._by_key

    def __iter__(self) -> abc.Iterator[messages.MissingRecord]:
        """Iterate over the entries."""
        return iter(self._by_key.values())

    @property
    def newest_revision(self) -> int:
        """Return the newest revision that is missing, or 0."""
        return max((missing.revision for missing in self), default=0)

    @property
    def has_unnamed(self) -> bool:
        """Return whether records are missing whose keys are not known."""
        return UNNAMED_KEY in self._by_key

    def add(self, missing: messages.MissingRecord) -> None:
        """Note that a revision of a record is missing; older ones do not count any more."""
        known = self._by_key.get(missing.key)
        if known is not None and known.revision >= missing.revision:
            return
        is_new_name = known is None and missing.key != UNNAMED_KEY
        if is_new_name and (len(self) >= NAMED_MAX or len(missing.key) > KEY_LENGTH_MAX):
            self._add_unnamed(missing)
            return
        self._by_key[missing.key] = missing

    def discard(self, key: str, revision: int) -> None:
        """Note that a record is known up to a revision."""
        missing = self._by_key.get(key)
        if missing is not None and missing.revision <= revision:
            self._by_key.pop(key)

    def discard_below(self, prefix: str, revision: int) -> None:
        """Note that the records below a prefix are known up to a revision."""
        for key in tuple(self._by_key):
            if key.startswith(prefix):
                self.discard(key, revision)

    def changed_between(self, revision: int, last_revision: int) -> list[messages.MissingRecord]:
        """Return the entries with a revision after the first one and up to the last one."""
        return [missing for missing in self if revision < missing.revision <= last_revision]

    def fitting(self, room_bytes: float, count_max: int) -> list[messages.MissingRecord]:
        """Return the smallest named entries that fit into a room together."""
        chosen: list[messages.MissingRecord] = []
        for missing in self._smallest_first():
            if len(chosen) == count_max or missing.size_bytes > room_bytes:
                break
            if missing.key == UNNAMED_KEY:
                continue
            room_bytes -= missing.size_bytes
            chosen.append(missing)
        return chosen

    def fits_unnamed(self, room_bytes: float) -> bool:
        """Return whether the largest of the records without a name would fit into a room."""
        unnamed = self._by_key.get(UNNAMED_KEY)
        return unnamed is not None and unnamed.size_bytes <= room_bytes

    def _smallest_first(self) -> list[messages.MissingRecord]:
        return sorted(self, key=operator.attrgetter('size_bytes'))

    def _add_unnamed(self, missing: messages.MissingRecord) -> None:
        revision = missing.revision
        known = self._by_key.get(UNNAMED_KEY)
        if known is not None:
            revision = max(revision, known.revision)
        # The size is that of the largest one: the number of records behind an entry is not known.
        size_bytes = max(missing.size_bytes, 0 if known is None else known.size_bytes)
        self._by_key[UNNAMED_KEY] = messages.MissingRecord(UNNAMED_KEY, revision, size_bytes)
