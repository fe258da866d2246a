"""What replicas claim to know, after any order of reads, watches, relays and losses."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.gateway import events
from rhubarbspar.gateway.store import change_history
from rhubarbspar.gateway.store import record_table
from rhubarbspar.gateway.store import store_batches
from rhubarbspar.gateway.store import store_replica

KEYS = ('servers/a', 'servers/b', 'servers/c', 'op/config')
# Room for two records and some tombstones, so that the servers evict, and are evicted.
BOUNDED_BYTES = 3 * events.RECORD_OVERHEAD_BYTES
REPLICA_COUNT = 3
BATCH_BYTES = 2
PREFIXES = ('', 'op/', *KEYS[:2])
NUMBERS = strategies.integers(0, REPLICA_COUNT - 1)
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('write'), strategies.sampled_from(KEYS)),
        strategies.tuples(strategies.just('delete'), strategies.sampled_from(KEYS)),
        strategies.tuples(strategies.just('read'), NUMBERS),
        strategies.tuples(strategies.just('watch'), NUMBERS),
        strategies.tuples(strategies.just('relay'), NUMBERS, NUMBERS, strategies.booleans()),
        strategies.tuples(strategies.just('heartbeat'), NUMBERS, NUMBERS),
        strategies.tuples(strategies.just('prefix'), NUMBERS, strategies.sampled_from(PREFIXES)),
    ),
    min_size=5,
    max_size=40,
)


class Store:
    """Records of the store at each of its revisions."""

    def __init__(self):
        """Start with a record, at revision 1."""
        first = events.RecordRead(KEYS[0], 1, b'1')
        self.changes = [first]
        self.history = {1: {first.key: first}}

    @property
    def revision(self):
        """Return the present revision."""
        return len(self.changes)

    def change(self, key, content):
        """Write or delete a record; deleting a key that does not exist changes nothing."""
        records = dict(self.history[self.revision])
        if content is None and key not in records:
            return
        record = events.RecordRead(key, self.revision + 1, content)
        self.changes.append(record)
        records.pop(key, None)
        if content is not None:
            records[key] = record
        self.history[self.revision] = records


def relay(sender, receiver, *, lose_first):
    """Send the changes that the receiver lacks, or all records if the sender does not know them."""
    if not sender.revision or receiver.revision >= sender.changed_revision:
        return
    if not (receiver.revision and sender.history.is_complete_after(receiver.revision)):
        if sender.revision <= receiver.revision:
            return
        records = tuple(record for record in sender.records.values() if record.content is not None)
        snapshot = events.StoreSnapshot(records, sender.revision, tuple(sender.records.missing))
        note_changes(receiver, receiver.apply_snapshot(snapshot, 0))
        return
    batches = sender.change_batches(receiver.revision, BATCH_BYTES)
    for batch in batches[int(lose_first) :]:
        accept(receiver, batch)


def accept(receiver, batch):
    """Apply a batch if it is complete for the receiver."""
    if batch.revision <= receiver.revision:
        return
    if not store_batches.continues_from(
        receiver.revision, batch.base_revision, batch.base_revision_max
    ):
        return
    changed = receiver.apply_changes(batch.records, batch.revision, 0, batch.missing)
    if batch.base_revision_max is not None:
        gap = change_history.RevisionGap(batch.base_revision_max, batch.revision)
        receiver.add_gap(gap)
    note_changes(receiver, changed)


def note_changes(replica, records):
    """Note the changes as the reducer does for records that are no registrations again."""
    for record in records:
        replica.note_change(record)
    replica.evicted.clear()


def play(store, replicas, step):
    """Carry out one step."""
    match step:
        case ('write', key):
            store.change(key, str(store.revision).encode())
        case ('delete', key):
            store.change(key, None)
        case ('read', number):
            records = tuple(store.history[store.revision].values())
            snapshot = events.StoreSnapshot(records, store.revision)
            note_changes(replicas[number], replicas[number].apply_snapshot(snapshot, 0))
        case ('watch', number) if replicas[number].revision:
            missed = tuple(store.changes[replicas[number].revision :])
            changed = replicas[number].apply_changes(missed, store.revision, 0)
            note_changes(replicas[number], changed)
        case ('relay', sender, receiver, lose_first):
            relay(replicas[sender], replicas[receiver], lose_first=lose_first)
        case ('heartbeat', sender, receiver):
            told = replicas[sender]
            known = store_replica.KnownRevisions(
                told.revision, told.complete_from, told.changed_revision
            )
            replicas[receiver].advance_with(known)
        case ('prefix', number, prefix) if replicas[number].revision:
            records = tuple(
                record
                for key, record in store.history[store.revision].items()
                if key.startswith(prefix)
            )
            read = events.PrefixRead(prefix, records, store.revision)
            note_changes(replicas[number], replicas[number].apply_prefix(read))


def check_key(store, replica, key):
    """Check that the replica has what the store had, is ahead, or says that it lacks the record."""
    known = replica.records.get(key)
    if known is not None and known.revision > replica.revision:
        # Read ahead of the changes before it.
        assert known.content is None or known in store.changes
        return
    if replica.records.may_lack(key):
        assert not key.startswith('op/')
        return
    held = None if known is None or known.content is None else known
    assert held == store.history.get(replica.revision, {}).get(key)


@pytest.mark.parametrize('max_bytes', [math.inf, BOUNDED_BYTES])
@pytest.mark.parametrize('gaps_max', [1, 8])
@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(steps=STEPS)
def test_replica_holds_what_the_store_had_at_the_revision_that_it_claims(
    gaps_max, max_bytes, steps
):
    """Guards against a revision that is claimed without all changes up to it.

    The change in between would never be asked for again. Where the room is bounded, the replica
    names what it lacks, and two replicas that lack nothing at the same revision are equal.
    """
    store = Store()
    replicas = [
        store_replica.StoreReplica(records=record_table.RecordTable(max_bytes))
        for _ in range(REPLICA_COUNT)
    ]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(change_history, 'GAPS_MAX', gaps_max)
        for step in steps:
            play(store, replicas, step)
            for replica in replicas:
                for key in KEYS:
                    check_key(store, replica, key)
