"""Batches of store changes, and parts of snapshots, that fit into messages between instances."""

import dataclasses
import itertools
import operator
from collections import abc

from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes that lead from one revision to another.

    ``base_revision_max`` is the highest revision from which a difference leads there; ``None`` if
    the changes are complete from any later revision as well. The changes that ``missing`` names are
    not among them.
    """

    base_revision: int
    revision: int
    records: tuple[events.RecordRead, ...]
    base_revision_max: int | None = None
    missing: tuple[messages.MissingRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Some of the records, in the order of their keys; ``after_key`` ends the part before."""

    after_key: str
    is_last: bool
    records: tuple[events.RecordRead, ...]


def continues_from(revision: int, base_revision: int, base_revision_max: int | None) -> bool:
    """Return whether changes with these bounds are complete for a replica at a revision."""
    if base_revision > revision:
        return False
    return base_revision_max is None or revision <= base_revision_max


def split_changes(
    changed: tuple[events.RecordRead, ...],
    changed_at: abc.Callable[[events.RecordRead], int],
    whole: ChangeBatch,
    bytes_max: int,
) -> list[ChangeBatch]:
    """Return changes in batches that build on each other.

    Parameters
    ----------
    changed
        The changes, in the order of ``changed_at``, the revision of the last change of a record.
    whole
        Revisions between which the changes lie; its records do not count.
    bytes_max
        Size of the contents of a batch. Only the changes of one revision, which stay together, may
        be larger.
    """
    batches: list[ChangeBatch] = []
    records: list[events.RecordRead] = []
    base_revision = whole.base_revision
    size = 0
    for at_revision, group in itertools.groupby(changed, key=changed_at):
        same_revision = tuple(group)
        added = sum(len(record.content or b'') for record in same_revision)
        if records and size + added > bytes_max:
            batches.append(ChangeBatch(base_revision, at_revision - 1, tuple(records)))
            base_revision = at_revision - 1
            records = []
            size = 0
        records.extend(same_revision)
        size += added
    if records:
        batches.append(ChangeBatch(base_revision, whole.revision, tuple(records)))
    return batches


def name_missing(
    batches: list[ChangeBatch], whole: ChangeBatch, missing: abc.Iterable[messages.MissingRecord]
) -> list[ChangeBatch]:
    """Return batches that name the missing changes, each one that which leads past their revision.

    Parameters
    ----------
    whole
        Revisions between which the changes lie; its records do not count.
    missing
        Missing changes between these revisions.
    """
    by_revision = sorted(missing, key=operator.attrgetter('revision'))
    if not by_revision:
        return batches
    last_revision = batches[-1].revision if batches else whole.base_revision
    if by_revision[-1].revision > last_revision:
        batches = [*batches, ChangeBatch(last_revision, whole.revision, ())]
    return [
        dataclasses.replace(
            batch,
            missing=tuple(
                entry
                for entry in by_revision
                if batch.base_revision < entry.revision <= batch.revision
            ),
        )
        for batch in batches
    ]


def split_snapshot(
    records: abc.Iterable[events.RecordRead], bytes_max: int
) -> tuple[SnapshotPart, ...]:
    """Return records in parts.

    Parameters
    ----------
    bytes_max
        Size of the contents of a part; a part has one record at least.
    """
    parts: list[SnapshotPart] = []
    included: list[events.RecordRead] = []
    after_key = ''
    size = 0
    for record in sorted(records, key=operator.attrgetter('key')):
        added = len(record.content or b'')
        if included and size + added > bytes_max:
            parts.append(SnapshotPart(after_key, is_last=False, records=tuple(included)))
            after_key = included[-1].key
            included = []
            size = 0
        included.append(record)
        size += added
    parts.append(SnapshotPart(after_key, is_last=True, records=tuple(included)))
    return tuple(parts)
