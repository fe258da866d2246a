"""Replica of the store, and the batches in which its changes are relayed."""

import hypothesis
from hypothesis import strategies

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.store import record_table
from rhubarbspar.gateway.store import store_replica
from rhubarbspar.peers import codec
from rhubarbspar.peers import registry
from rhubarbspar.platform import errors
from tests.gateway import conftest

VALUE_MAX_BYTES = 1_048_576
BATCH_BYTES = 60
LOST_MAX = 12
KEYS = 'abcde'
# A key, the size of its content, and whether it was only written again.
WRITES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(KEYS), strategies.integers(0, 40), strategies.booleans()
    ),
    max_size=25,
)


def write_all(replica, writes):
    """Apply writes with ascending revisions, up to two with the same one."""
    for number, (key, size, is_refresh) in enumerate(writes):
        revision = 10 + number - number % 2
        record = events.RecordRead(key, revision, b'x' * size)
        for changed in replica.apply_changes((record,), revision, 0):
            if is_refresh and changed.key in replica.records:
                replica.note_refresh(changed)
            else:
                replica.note_change(changed)


def test_replica_without_room_keeps_what_it_has(gateway):
    """Guards against a store whose changes without end fill the memory.

    Deletions make room again.
    """
    replica = gateway.state.replica
    replica.records.max_bytes = 40 * events.RECORD_OVERHEAD_BYTES
    outputs = []
    for number in range(100):
        server = conftest.make_server(f's-{number}', sequence=number)
        outputs.extend(gateway.declare(f'servers/s-{number}', server))
    known = [key for key, record in replica.records.items() if record.content is not None]
    assert 30 < len(known) < 40
    assert 'stock-1' in gateway.state.servers.views
    assert 's-99' not in gateway.state.servers.views
    assert 'records_ignored' in {
        output.name for output in outputs if isinstance(output, core_effects.Log)
    }
    for key in known[-10:]:
        gateway.declare(key, None)
    gateway.declare('servers/s-99', conftest.make_server('s-99'))
    assert 's-99' in gateway.state.servers.views


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(writes=WRITES)
def test_size_of_a_replica_is_that_of_its_records(writes):
    """Guards against a replica that seems full, or empty, after many changes."""
    table = record_table.RecordTable(events.RECORD_OVERHEAD_BYTES * 3)
    replica = store_replica.StoreReplica(records=table)
    write_all(replica, writes)
    for key in KEYS[:2]:
        replica.apply_changes((events.RecordRead(key, 100, None),), 100, 0)
    assert table.size_bytes == sum(record.size_bytes for record in table.values())
    assert table.size_bytes <= table.max_bytes


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(writes=WRITES, lost=strategies.sets(strategies.integers(0, LOST_MAX)))
def test_peer_has_all_changes_after_lost_batches_were_sent_again(writes, lost):
    """Guards against changes that a peer misses because the batches before it were lost.

    A peer only applies a batch that continues from its revision.
    """
    replica = store_replica.StoreReplica()
    write_all(replica, writes)
    peer = store_replica.StoreReplica()
    number = 0
    for _ in range(len(writes) + LOST_MAX + 1):
        for batch in replica.change_batches(peer.revision, BATCH_BYTES):
            number += 1
            if number in lost or batch.revision <= peer.revision:
                continue
            if batch.base_revision <= peer.revision:
                peer.apply_changes(batch.records, batch.revision, 0)
    changed = {record.key: record for record in replica.changes_after(0)}
    assert {key: peer.records[key] for key in changed} == changed


def test_changes_that_do_not_fit_into_one_message_are_relayed(gateway):
    """Guards against peers without the store that stay on an old configuration for good."""
    member = models.Member('front-2', 'b', 'almaty-b', 'almaty', '', '')
    gateway.declare('members/front-2', member)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    gateway.reduce(core_events.MessageReceived('front-2', messages.Heartbeat('b', 1, False, False)))
    gateway.state.replica.directly_reachable = True
    revision = gateway.state.replica.revision
    records = tuple(
        events.RecordRead(f'other/{number}', revision + 1 + number, bytes(VALUE_MAX_BYTES))
        for number in range(3)
    )
    outputs = gateway.reduce(events.StoreChanged(records, revision + 3))
    relayed = [
        output.message
        for output in outputs
        if isinstance(output, core_effects.SendMessage | core_effects.Multicast)
        and isinstance(output.message, messages.StoreNews)
    ]
    assert [news.revision for news in relayed] == [revision + 1, revision + 2, revision + 3]
    encoder = codec.Codec(registry.collect_message_types((messages,)))
    assert all(encoder.encode(news) for news in relayed)


def test_content_that_cannot_be_read_is_not_kept(gateway):
    """Guards against large entries of another writer that every instance keeps and relays."""
    known = gateway.state.replica.revision

    def refuse(*_):
        raise errors.RecordError

    gateway.state.decode = refuse
    content = bytes(VALUE_MAX_BYTES)
    record = events.RecordRead('servers/odd', known + 1, content)
    gateway.reduce(events.StoreChanged((record,), known + 1))
    (kept,) = gateway.state.replica.changes_after(known)
    assert (kept.key, kept.content) == ('servers/odd', b'')
