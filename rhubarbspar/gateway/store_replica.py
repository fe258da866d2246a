"""Local replica of the store's records, with the tombstones that a peer may still need.

Pattern: replicated log with snapshot; the store's revision orders all changes.
"""

import dataclasses
import operator
import typing

from rhubarbspar.gateway import events

# Deleted keys are kept as tombstones, up to this number, to relay the deletion to peers without
# contact to the store.
TOMBSTONES_MAX: typing.Final = 5000

# Registrations whose leases lapsed in a store outage are renewed within this time after it ends.
REGISTRATION_GRACE_MS: typing.Final = 2000


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
    changed_revision
        Revision of the last change that instances without the store need to know.
    refreshed
        Revision of the last such change of the records that were written again without one.
    registration_grace_until_ms
        Until then a deleted registration may only have lapsed in a store outage and be renewed.
    """

    revision: int = 0
    changed_revision: int = 0
    reachable: bool = False
    directly_reachable: bool = False
    last_contact_ms: float = float('-inf')
    registration_grace_until_ms: float = float('-inf')
    records: dict[str, events.RecordRead] = dataclasses.field(default_factory=dict)
    refreshed: dict[str, int] = dataclasses.field(default_factory=dict)

    def apply_snapshot(
        self, snapshot: events.StoreSnapshot, now_ms: float
    ) -> tuple[events.RecordRead, ...]:
        """Replace all records by a snapshot; return what changed, tombstones included."""
        current = {record.key: record for record in snapshot.records}
        deleted = [
            events.RecordRead(key, snapshot.revision, None)
            for key, known in self.records.items()
            if known.content is not None and key not in current
        ]
        changed = self._merge((*snapshot.records, *deleted))
        self.mark_reachable(snapshot.revision, now_ms, now_ms)
        return changed

    def apply_changes(
        self, records: tuple[events.RecordRead, ...], revision: int
    ) -> tuple[events.RecordRead, ...]:
        """Merge changes; return those that are newer than the known records."""
        changed = self._merge(records)
        self.revision = max(self.revision, revision)
        return changed

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
        self.revision = max(self.revision, revision)

    def mark_unreachable(self) -> None:
        """Note that a call to the store failed."""
        self.reachable = False
        self.directly_reachable = False

    def changes_after(self, revision: int) -> tuple[events.RecordRead, ...]:
        """Return the records and tombstones that have changed since a revision.

        Records that were only written again are left out.
        """
        newer = (record for record in self.records.values() if record.revision > revision)
        return tuple(
            record for record in newer if self.refreshed.get(record.key, record.revision) > revision
        )

    def note_change(self, record: events.RecordRead) -> None:
        """Note that the content of a record has changed."""
        self.refreshed.pop(record.key, None)
        self.changed_revision = max(self.changed_revision, record.revision)

    def note_refresh(self, record: events.RecordRead) -> None:
        """Note that a record was written again without a change.

        Its last change is at most as new as the last change of all records.
        """
        self.refreshed.setdefault(record.key, self.changed_revision)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change, or 0 if the key does not exist."""
        record = self.records.get(key)
        return 0 if record is None or record.content is None else record.revision

    def _merge(self, records: tuple[events.RecordRead, ...]) -> tuple[events.RecordRead, ...]:
        """Store the records that are newer than the known ones; return them by revision."""
        changed = []
        for record in records:
            known = self.records.get(record.key)
            if known is None or record.revision > known.revision:
                self.records[record.key] = record
                changed.append(record)
        self._prune_tombstones()
        return tuple(sorted(changed, key=operator.attrgetter('revision')))

    def _prune_tombstones(self) -> None:
        tombstones = [record for record in self.records.values() if record.content is None]
        excess = len(tombstones) - TOMBSTONES_MAX
        if excess > 0:
            for record in sorted(tombstones, key=operator.attrgetter('revision'))[:excess]:
                self.records.pop(record.key)
