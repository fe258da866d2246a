"""Local replica of the store's records, with the tombstones that a peer may still need.

Pattern: replicated log with snapshot; the store's revision orders all changes.
"""

import dataclasses
import math
import operator
import typing
from collections import abc

from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway.store import change_history
from rhubarbspar.gateway.store import missing_records
from rhubarbspar.gateway.store import operator_check
from rhubarbspar.gateway.store import record_kinds
from rhubarbspar.gateway.store import record_table
from rhubarbspar.gateway.store import revisions
from rhubarbspar.gateway.store import store_batches

# Deleted keys are kept as tombstones, up to this number, to relay the deletion to peers without
# contact to the store.
TOMBSTONES_MAX: typing.Final = 5000

# A difference between two reads of the store is relayed as such up to this size, in one message; what
# is larger is relayed as a snapshot, in parts.
DIFFERENCE_MAX_BYTES: typing.Final = 524_288
# Registrations whose leases lapsed in a store outage are renewed within this time after it ends.
REGISTRATION_GRACE_MS: typing.Final = 2000
# After a restore of the store, records that the copy lacks are kept for this long: operators and
# backend servers write them again within about 2 s.
RESTORE_GRACE_MS: typing.Final = 2200


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRevisions:
    """Up to which revision a replica knows the store, from which on, and its last change."""

    revision: int
    complete_from: int
    changed: int


@dataclasses.dataclass(slots=True)
class StoreReplica:
    """Records and tombstones by key, and how far they are known to be current.

    Attributes
    ----------
    revision
        Store revision up to which all changes are known; 0 before the first snapshot.
    reachable
        Whether the last contact with the store, by this instance or a peer, succeeded.
    directly_reachable
        Whether this instance itself watches the store and reaches it.
    last_contact_ms
        When the store, or a peer that reaches it, last answered.
    history
        From which revision on all changes are known.
    changed_revision
        Revision of the last change that instances without the store need to know.
    refreshed
        Revision of the last such change of the records that were written again without one.
    replaced
        Revisions of the records that the last merge has replaced.
    registration_grace_until_ms
        Until then a deleted registration may only have lapsed in a store outage and be renewed.
    lost_removed_ms
        When the records that were not written again after a restore are removed; infinity if there
        was none lately.
    ignored_count
        Records that were not added for lack of room since this was last set to 0.
    evicted
        Records that were removed for lack of room since this was last cleared.
    prefix_read_ms
        When missing records were last asked for.
    operator_comparison
        Comparison of the records of operators with those of the peers.
    """

    revision: int = 0
    changed_revision: int = 0
    reachable: bool = False
    directly_reachable: bool = False
    last_contact_ms: float = float('-inf')
    registration_grace_until_ms: float = float('-inf')
    lost_removed_ms: float = math.inf
    ignored_count: int = 0
    records: record_table.RecordTable = dataclasses.field(default_factory=record_table.RecordTable)
    refreshed: dict[str, int] = dataclasses.field(default_factory=dict)
    history: change_history.ChangeHistory = dataclasses.field(
        default_factory=change_history.ChangeHistory
    )
    replaced: dict[str, int] = dataclasses.field(default_factory=dict)
    evicted: list[events.RecordRead] = dataclasses.field(default_factory=list)
    prefix_read_ms: float = float('-inf')
    operator_comparison: operator_check.OperatorCheck = dataclasses.field(
        default_factory=operator_check.OperatorCheck
    )

    @property
    def complete_from(self) -> int:
        """Return the revision after which all changes are known, deletions included.

        A change that is missing for lack of room is not known.
        """
        return max(self.history.complete_from, self.records.missing.newest_revision)

    @property
    def passed_on_revision(self) -> int:
        """Return the revision up to which the changes were passed on when they came.

        Records that came ahead of the changes before them are newer than the known revision.
        """
        return min(self.changed_revision, self.revision)

    def apply_snapshot(
        self, snapshot: events.StoreSnapshot, now_ms: float
    ) -> tuple[events.RecordRead, ...]:
        """Replace all records by a snapshot; return what changed, tombstones included.

        Records of an earlier era that the snapshot lacks are kept until ``lost_removed_ms``. What
        was written and deleted since the known revision is in neither of them.
        """
        known_revision = self.revision
        self.mark_reachable(snapshot.revision, now_ms, now_ms)
        self.changed_revision = max(self.changed_revision, snapshot.revision)
        self.records.missing = missing_records.MissingRecords(snapshot.missing)
        current = {record.key for record in snapshot.records}
        deleted = [
            events.RecordRead(known.key, snapshot.revision, None)
            for known in self.records.existing()
            if not (
                known.key in current
                or _may_be_written_again(self, known)
                or self.records.may_lack(known.key)
            )
        ]
        for known in self.records.existing():
            self.records.missing.discard(known.key, known.revision)
        # Deletions come first, since they make room.
        changed = self._merge((*deleted, *snapshot.records))
        size_bytes = sum(len(record.content or b'') for record in changed)
        if known_revision and size_bytes <= DIFFERENCE_MAX_BYTES:
            self.add_gap(change_history.RevisionGap(known_revision, snapshot.revision))
        else:
            self.history.forget_before(snapshot.revision)
        return changed

    def add_gap(self, gap: change_history.RevisionGap) -> None:
        """Note that only the difference is known between two revisions."""
        self.changed_revision = max(self.changed_revision, gap.end)
        self.history.add_gap(gap)

    def apply_changes(
        self,
        records: tuple[events.RecordRead, ...],
        revision: int,
        now_ms: float,
        missing: abc.Iterable[messages.MissingRecord] = (),
    ) -> tuple[events.RecordRead, ...]:
        """Merge changes; return those that are newer than the known records.

        Parameters
        ----------
        missing
            Changes up to the revision that are not among the records.
        """
        if not self.revision:
            self.history.forget_before(revision)
        _advance(self, revision, now_ms)
        for entry in missing:
            _note_missing(self, entry)
        return self._merge(records)

    def apply_prefix(self, read: events.PrefixRead) -> tuple[events.RecordRead, ...]:
        """Merge the records below a prefix; return what changed, tombstones included.

        The known revision stays: there may be other changes before that of the read.
        """
        era = revisions.era_of(read.revision)
        if era < revisions.era_of(self.revision):
            return ()
        current = {record.key for record in read.records}
        deleted = [
            events.RecordRead(known.key, read.revision, None)
            for known in self.records.existing()
            if known.key.startswith(read.prefix)
            and known.key not in current
            and known.revision <= read.revision
            and revisions.era_of(known.revision) == era
        ]
        self.records.missing.discard_below(read.prefix, read.revision)
        return self._merge((*deleted, *read.records))

    def remove_lost_records(self, now_ms: float) -> tuple[events.RecordRead, ...]:
        """Remove the records that were not written again after a restore; return the tombstones."""
        if now_ms < self.lost_removed_ms:
            return ()
        self.lost_removed_ms = math.inf
        era = revisions.era_of(self.revision)
        lost = [
            events.RecordRead(known.key, self.revision, None)
            for known in self.records.existing()
            if revisions.era_of(known.revision) < era
        ]
        return self._merge(tuple(lost))

    def mark_reachable(self, revision: int, now_ms: float, reachable_since_ms: float) -> None:
        """Note that the store answered at a revision; after an outage, start the grace period.

        Parameters
        ----------
        reachable_since_ms
            Since when some instance has reached the store; before now if only this one was cut off.
        """
        if not self.reachable and self.revision:
            self.registration_grace_until_ms = reachable_since_ms + REGISTRATION_GRACE_MS
        self.reachable = True
        self.last_contact_ms = now_ms
        _advance(self, revision, now_ms)

    def mark_unreachable(self) -> None:
        """Note that a call to the store failed."""
        self.reachable = False
        self.directly_reachable = False

    def advance_with(self, known: KnownRevisions) -> None:
        """Advance to the revision of a peer that has relayed all its changes.

        Without this, the revision would stay at that of the last relayed change, and this instance
        would seem to lack changes that there were not.
        """
        has_all = known.complete_from <= self.revision and known.changed <= self.revision
        if has_all and self.revision and known.changed >= 0:
            self.revision = max(self.revision, known.revision)

    def changes_after(
        self, revision: int, last_revision: float = math.inf
    ) -> tuple[events.RecordRead, ...]:
        """Return the records and tombstones that have last changed between two revisions.

        Records that were only written again are left out.
        """
        newer = (record for record in self.records.values() if record.revision > revision)
        changed = (
            record for record in newer if revision < self._changed_at(record) <= last_revision
        )
        return tuple(sorted(changed, key=self._changed_at))

    def change_batches(
        self, revision: int, bytes_max: int
    ) -> tuple[store_batches.ChangeBatch, ...]:
        """Return the changes since a revision in batches that build on each other.

        Parameters
        ----------
        revision
            A revision after which the changes are known.
        bytes_max
            Size of the contents of a batch. Only the changes of one revision, which stay together,
            may be larger, and a difference.
        """
        batches: list[store_batches.ChangeBatch] = []
        base_revision = revision
        for gap in self.history.gaps:
            if gap.end <= base_revision:
                continue
            earlier = self._split_changes(base_revision, gap.start, bytes_max)
            if earlier:
                base_revision = gap.start
            batches.extend(earlier)
            difference = self.changes_after(gap.start, gap.end)
            batches.append(store_batches.ChangeBatch(base_revision, gap.end, difference, gap.start))
            base_revision = gap.end
        batches.extend(self._split_changes(base_revision, self.revision, bytes_max))
        whole = store_batches.ChangeBatch(revision, self.revision, ())
        missing = self.records.missing.changed_between(revision, self.revision)
        return tuple(store_batches.name_missing(batches, whole, missing))

    def note_unreadable(self, record: events.RecordRead) -> None:
        """Note a change to a content that no instance can read; it is kept without the content."""
        self.records[record.key] = dataclasses.replace(record, content=record_table.UNREADABLE)
        self.note_change(record)

    def note_change(self, record: events.RecordRead) -> None:
        """Note that the content of a record has changed."""
        self.refreshed.pop(record.key, None)
        self.changed_revision = max(self.changed_revision, record.revision)

    def note_refresh(self, record: events.RecordRead) -> None:
        """Note that a record was written again without a change.

        The first time in an era counts as a change: it shows that the record was not lost in the
        restore.
        """
        replaced_revision = self.replaced.get(record.key, self.changed_revision)
        last_changed = self.refreshed.get(record.key, replaced_revision)
        if revisions.era_of(last_changed) < revisions.era_of(record.revision):
            self.note_change(record)
        else:
            self.refreshed.setdefault(record.key, last_changed)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change, or 0 if the key does not exist."""
        record = self.records.get(key)
        return 0 if record is None or record.content is None else record.revision

    def _split_changes(
        self, base_revision: int, revision: int, bytes_max: int
    ) -> list[store_batches.ChangeBatch]:
        """Return the changes between two revisions in batches."""
        last_revision = revision if revision < self.revision else math.inf
        changed = self.changes_after(base_revision, last_revision)
        whole = store_batches.ChangeBatch(base_revision, revision, ())
        return store_batches.split_changes(changed, self._changed_at, whole, bytes_max)

    def _changed_at(self, record: events.RecordRead) -> int:
        """Return the revision of the last change of a record that was more than a refresh."""
        return self.refreshed.get(record.key, record.revision)

    def _make_room_for(self, record: events.RecordRead) -> bool:
        """Evict records if one does not fit; return whether it may be stored."""
        for evicted in self.records.make_room_for(record):
            revision = self._changed_at(evicted)
            _note_missing(self, messages.MissingRecord(evicted.key, revision, evicted.size_bytes))
            self.refreshed.pop(evicted.key, None)
            self.evicted.append(evicted)
        return not record_kinds.is_evictable(record.key) or self.records.has_room_for(record)

    def _merge(self, records: tuple[events.RecordRead, ...]) -> tuple[events.RecordRead, ...]:
        """Store the records that are newer than the known ones; return them by revision."""
        changed: list[events.RecordRead] = []
        self.replaced.clear()
        for record in records:
            known = self.records.get(record.key)
            if known is not None and record.revision <= known.revision:
                continue
            if not self._make_room_for(record):
                self.ignored_count += 1
                _note_missing(
                    self, messages.MissingRecord(record.key, record.revision, record.size_bytes)
                )
                continue
            if known is not None:
                self.replaced.setdefault(record.key, known.revision)
            self.records[record.key] = record
            self.records.missing.discard(record.key, record.revision)
            changed.append(record)
        _prune_tombstones(self)
        return _by_revision(changed, self.evicted)


def _advance(replica: StoreReplica, revision: int, now_ms: float) -> None:
    """Note that the store has reached a revision; a new era means that it was restored."""
    if replica.revision and revisions.era_of(revision) > revisions.era_of(replica.revision):
        replica.lost_removed_ms = now_ms + RESTORE_GRACE_MS
    replica.revision = max(replica.revision, revision)


def _note_missing(replica: StoreReplica, entry: messages.MissingRecord) -> None:
    """Note a change that is missing, so that peers are told of it."""
    if replica.records.note_missing(entry):
        replica.changed_revision = max(replica.changed_revision, entry.revision)


def _may_be_written_again(replica: StoreReplica, record: events.RecordRead) -> bool:
    """Return whether a record that the store lacks may only be lost in a restore."""
    is_earlier = revisions.era_of(record.revision) < revisions.era_of(replica.revision)
    return is_earlier and replica.lost_removed_ms < math.inf


def _prune_tombstones(replica: StoreReplica) -> None:
    tombstones = [record for record in replica.records.values() if record.content is None]
    excess = len(tombstones) - TOMBSTONES_MAX
    if excess > 0:
        for record in sorted(tombstones, key=operator.attrgetter('revision'))[:excess]:
            replica.records.pop(record.key)
            replica.history.forget_before(record.revision)


def _by_revision(
    changed: list[events.RecordRead], evicted: list[events.RecordRead]
) -> tuple[events.RecordRead, ...]:
    """Return the changed records by revision, without those that later ones have evicted."""
    stored = [record for record in changed if not any(record is gone for gone in evicted)]
    return tuple(sorted(stored, key=operator.attrgetter('revision')))
