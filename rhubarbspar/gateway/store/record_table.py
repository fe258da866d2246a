"""Records of the store by key, with an upper bound of their size.

Pattern: bounded cache with two classes; the records that must be there evict the others, the largest
and the unreadable ones first.
"""

import collections
import heapq
import math
import typing
from collections import abc

from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway.store import missing_records
from rhubarbspar.gateway.store import record_kinds

# A record that may be evicted replaces others of this many times its size: such a size is no
# registration of a backend server. Servers in use are not replaced by others of similar size.
REPLACED_SIZE_FACTOR: typing.Final = 2
# Content of a record that nobody can read.
UNREADABLE: typing.Final = b''
# The list of candidates is dropped when it is this many times as long as the table, plus the minimum.
_CANDIDATES_FACTOR: typing.Final = 2
_CANDIDATES_MIN: typing.Final = 100


class Candidate(typing.NamedTuple):
    """A record that may be evicted, in the order of eviction."""

    is_readable: bool
    negative_size_bytes: int
    key: str


class RecordTable(collections.UserDict[str, events.RecordRead]):
    """Records and tombstones by key, and which records are missing for lack of room.

    Attributes
    ----------
    size_bytes
        Size of all of them.
    max_bytes
        Size up to which there is room for records that may be evicted; there always is for other
        records and for tombstones.
    missing
        Records that exist in the store and are not in the table, or only in an older version.
    operator_revision
        Newest revision of the operators' records that were stored, deletions included.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        """Create an empty table."""
        super().__init__()
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.operator_revision = 0
        self.missing = missing_records.MissingRecords()
        # Records in the order of eviction, outdated ones included; None while there was room.
        self._candidates: list[Candidate] | None = None

    def __setitem__(self, key: str, record: events.RecordRead) -> None:
        """Store a record instead of the one that has its key."""
        self.size_bytes += record.size_bytes - self._known_bytes(key)
        self.data[key] = record
        if record_kinds.is_operator_record(key):
            self.operator_revision = max(self.operator_revision, record.revision)
        if self._candidates is not None and _is_candidate(record):
            heapq.heappush(self._candidates, _make_candidate(record))

    def __delitem__(self, key: str) -> None:  # noqa: WPS603 (keeps the size)
        """Remove a record."""
        self.size_bytes -= self._known_bytes(key)
        self.data.pop(key)

    def values(self) -> abc.ValuesView[events.RecordRead]:  # noqa: WPS110 (name of mappings)
        """Return all records, without a look-up of each."""
        return self.data.values()

    def note_missing(self, missing: messages.MissingRecord) -> bool:
        """Note that a record is missing; return false if the table has it nevertheless."""
        known = self.data.get(missing.key)
        if known is not None and known.revision >= missing.revision:
            return False
        self.missing.add(missing)
        return True

    def may_lack(self, key: str) -> bool:
        """Return whether the record of a key may exist although the table does not have it."""
        is_unnamed = self.missing.has_unnamed and record_kinds.is_evictable(key)
        return is_unnamed or key in self.missing

    @property
    def room_bytes(self) -> float:
        """Return the size of the records for which there is room without evicting others."""
        return self.max_bytes - self.size_bytes

    def existing(self) -> list[events.RecordRead]:
        """Return the records without the tombstones."""
        return [record for record in self.data.values() if record.content is not None]

    def has_room_for(self, record: events.RecordRead) -> bool:
        """Return whether a record may be stored without evicting others."""
        if record.content is None:
            return True
        return self._excess_bytes(record) <= 0

    def make_room_for(self, record: events.RecordRead) -> list[events.RecordRead]:
        """Evict records so that another one may be stored; return them.

        A record that may be evicted itself replaces unreadable and much larger ones only.
        ``has_room_for`` tells whether there is room then.
        """
        if self.has_room_for(record):
            return []
        candidates = self._collect_candidates()
        taken: dict[str, Candidate] = {}
        excess_bytes = self._excess_bytes(record)
        while excess_bytes > 0 and candidates and _may_replace(record, candidates[0]):
            candidate = heapq.heappop(candidates)
            known = self.data.get(candidate.key)
            if known is None or _make_candidate(known) != candidate or candidate.key in taken:
                continue
            taken[candidate.key] = candidate
            if candidate.key != record.key:
                excess_bytes += candidate.negative_size_bytes
        is_enough = excess_bytes <= 0 or not record_kinds.is_evictable(record.key)
        evicted_keys = taken.keys() - {record.key} if is_enough else set()
        for kept_key in taken.keys() - evicted_keys:
            heapq.heappush(candidates, taken[kept_key])
        return [self.pop(taken_key) for taken_key in taken if taken_key in evicted_keys]

    def offer(self, record: events.RecordRead) -> None:
        """Store a record if there is room; note what is left out."""
        for evicted in self.make_room_for(record):
            self._leave_out(evicted)
        if record_kinds.is_evictable(record.key) and not self.has_room_for(record):
            self._leave_out(record)
        else:
            self[record.key] = record

    def _leave_out(self, record: events.RecordRead) -> None:
        self.missing.add(messages.MissingRecord(record.key, record.revision, record.size_bytes))

    def _collect_candidates(self) -> list[Candidate]:
        """Return the heap of candidates; collect them anew if there is none or it is too long."""
        length_max = _CANDIDATES_FACTOR * len(self.data) + _CANDIDATES_MIN
        if self._candidates is None or len(self._candidates) > length_max:
            candidates = [
                _make_candidate(record) for record in self.data.values() if _is_candidate(record)
            ]
            heapq.heapify(candidates)
            self._candidates = candidates
        return self._candidates

    def _excess_bytes(self, record: events.RecordRead) -> float:
        size_bytes = self.size_bytes + record.size_bytes - self._known_bytes(record.key)
        return size_bytes - self.max_bytes

    def _known_bytes(self, key: str) -> int:
        known = self.data.get(key)
        return 0 if known is None else known.size_bytes


def _is_candidate(record: events.RecordRead) -> bool:
    return record.content is not None and record_kinds.is_evictable(record.key)


def _may_replace(record: events.RecordRead, candidate: Candidate) -> bool:
    """Return whether a candidate may be evicted for a record."""
    if not record_kinds.is_evictable(record.key):
        return True
    if not candidate.is_readable:
        return record.content != UNREADABLE
    return -candidate.negative_size_bytes >= REPLACED_SIZE_FACTOR * record.size_bytes


def _make_candidate(record: events.RecordRead) -> Candidate:
    return Candidate(record.content != UNREADABLE, -record.size_bytes, record.key)
