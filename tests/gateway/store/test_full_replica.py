"""Replicas whose records do not all fit, and the peers that they feed."""

import pytest

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.store import missing_records
from rhubarbspar.gateway.store import record_table
from rhubarbspar.gateway.store import store_recovery
from rhubarbspar.gateway.store import store_replica
from rhubarbspar.platform import errors
from tests.gateway import conftest

# Room for this many small records.
ROOM_RECORDS = 20
CONFIG_KEY = 'op/config'
LARGE_BYTES = 30_000


def fill(gateway, count=40):
    """Register backend servers until the table is full; return the effects."""
    gateway.state.replica.records.max_bytes = ROOM_RECORDS * events.RECORD_OVERHEAD_BYTES
    outputs = []
    for number in range(count):
        server = conftest.make_server(f's-{number:03}', sequence=number)
        outputs.extend(gateway.declare(f'servers/s-{number:03}', server))
    return outputs


def make_configuration(version, *routes):
    """Return a configuration with a route."""
    services = [models.Service('stock', 3000, 7)]
    return models.make_configuration(version, routes, services, [conftest.ACCOUNT])


def log_names(outputs):
    """Return the names of the log lines among effects."""
    return [output.name for output in outputs if isinstance(output, core_effects.Log)]


def add_child(gateway, revision):
    """Connect a peer that reports to this instance and knows the store up to a revision."""
    member = models.Member('front-2', 'b', 'almaty-b', 'almaty', '', '')
    gateway.declare('fleet/instances/front-2', member)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    gateway.state.replica.directly_reachable = True
    heartbeat = messages.Heartbeat('b', revision, store_reachable=False, leaving=False)
    return gateway.reduce(core_events.MessageReceived('front-2', heartbeat))


def sent_messages(outputs, kind):
    """Return the messages of a class among effects."""
    return [
        output.message
        for output in outputs
        if isinstance(output, core_effects.SendMessage | core_effects.Multicast)
        and isinstance(output.message, kind)
    ]


def test_configuration_takes_effect_in_a_full_replica(gateway):
    """Guards against a moved route or a withdrawn key that stays in force for good.

    The records of backend servers fill the replica; those of operators evict them.
    """
    fill(gateway)
    outputs = gateway.declare(CONFIG_KEY, make_configuration(7, conftest.ORDERS))
    assert gateway.state.declared.configuration.version == 7
    assert 'record_evicted' in log_names(outputs)
    gateway.declare('op/evacuate/almaty-b', models.Evacuation('almaty-b'))
    assert gateway.state.declared.evacuated_domains == {'almaty-b'}
    replica = gateway.state.replica
    assert replica.records.size_bytes <= replica.records.max_bytes


def test_full_replica_keeps_its_records_within_the_bound_after_each_configuration(gateway):
    """Guards against a server that stays in use, and in memory, after its record was evicted."""
    fill(gateway)
    for version in range(2, 30):
        gateway.declare(f'op/evacuate/{version}', models.Evacuation(str(version)))
    held = {record.key for record in gateway.state.replica.records.existing()}
    used = {f'servers/{server_id}' for server_id in gateway.state.servers.views}
    assert used == {key for key in held if key.startswith('servers/')}
    assert len(gateway.state.declared.evacuated_domains) == 28


@pytest.mark.parametrize('is_unreadable', [False, True])
def test_largest_and_unreadable_records_are_evicted_first(is_unreadable):
    """Guards against working servers that are evicted while entries of no use stay."""
    table = record_table.RecordTable(4 * events.RECORD_OVERHEAD_BYTES)
    content = record_table.UNREADABLE if is_unreadable else bytes(1000)
    table['servers/b'] = events.RecordRead('servers/b', 2, content)
    for number, key in enumerate(('servers/a', 'servers/c')):
        table[key] = events.RecordRead(key, 3 + number, b'1')
    evicted = table.make_room_for(events.RecordRead(CONFIG_KEY, 9, bytes(3000)))
    assert evicted[0].key == 'servers/b'


def test_record_that_finds_no_room_is_not_claimed(gateway):
    """Guards against a replica that tells its peers to know all changes while it dropped one.

    A peer that missed the change would take its own revision for complete.
    """
    known = gateway.state.replica.revision
    fill(gateway)
    dropped_revision = gateway.revision
    add_child(gateway, gateway.revision)
    (heartbeat, *_) = sent_messages(gateway.advance(600), messages.Heartbeat)
    assert heartbeat.complete_from >= dropped_revision
    peer = store_replica.StoreReplica(revision=known)
    peer.advance_with(
        store_replica.KnownRevisions(
            heartbeat.store_revision, heartbeat.complete_from, heartbeat.changed_revision
        )
    )
    assert peer.revision == known


def test_peer_is_told_of_the_records_that_a_full_replica_lacks(gateway):
    """Guards against a child that takes incomplete changes for complete ones.

    It reads what its relay lacks from the store.
    """
    known = gateway.state.replica.revision
    fill(gateway)
    gateway.declare(CONFIG_KEY, make_configuration(7, conftest.READS))
    child = conftest.Gateway()
    child.records = gateway.records
    child.state.replica.apply_snapshot(events.StoreSnapshot((), known), 0)
    for news in sent_messages(add_child(gateway, known), messages.StoreNews):
        child.reduce(core_events.MessageReceived('front-1', news))
    assert child.state.declared.configuration.version == 7
    assert child.state.replica.revision == gateway.revision
    missing = {entry.key for entry in child.state.replica.records.missing}
    held = {record.key for record in child.state.replica.records.existing()}
    assert missing
    assert missing | held >= {f'servers/s-{number:03}' for number in range(40)}
    outputs = child.advance(250)
    assert {read.prefix for read in outputs if isinstance(read, effects.ReadPrefix)} <= missing
    assert 'missing_records_read' in log_names(outputs)


def test_snapshot_names_the_records_that_its_sender_lacks(gateway):
    """Guards against an instance that removes a live server because its relay had no room for it."""
    fill(gateway)
    gateway.state.replica.history.forget_before(gateway.revision)
    child = conftest.Gateway()
    child.records = gateway.records
    own_record = events.RecordRead(
        'servers/s-039', gateway.revision, str(gateway.revision).encode()
    )
    child.reduce(events.StoreSnapshot((own_record,), 1))
    for part in sent_messages(add_child(gateway, 0), messages.StoreSnapshotPart):
        child.reduce(core_events.MessageReceived('front-1', part))
    assert child.state.replica.revision == gateway.revision
    assert 's-039' in child.state.servers.views
    assert 'servers/s-039' not in child.state.replica.records.missing
    assert 'servers/s-038' in child.state.replica.records.missing


def test_missing_record_is_read_once_there_is_room(gateway):
    """Guards against a registered server that gets no requests although there is room for it again."""
    fill(gateway)
    missing = {entry.key for entry in gateway.state.replica.records.missing}
    assert not [out for out in gateway.advance(3000) if isinstance(out, effects.ReadPrefix)]
    held = [key for key in gateway.state.replica.records if key.startswith('servers/s-')]
    for key in held[:8]:
        gateway.declare(key, None)
    reads = [out for out in gateway.advance(1200) if isinstance(out, effects.ReadPrefix)]
    assert 0 < len(reads) <= 2 * store_recovery.MISSING_READS_MAX
    assert {read.prefix for read in reads} <= missing
    key = reads[0].prefix
    number = int(key.rpartition('-')[2])
    content = next(
        content
        for content, record in gateway.records.items()
        if getattr(record, 'server_id', '') == f's-{number:03}'
    )
    record = events.RecordRead(key, int(content), content)
    gateway.reduce(events.PrefixRead(key, (record,), gateway.revision))
    assert f's-{number:03}' in gateway.state.servers.views
    assert key not in gateway.state.replica.records.missing


def test_missing_record_that_was_deleted_is_forgotten(gateway):
    """Guards against an instance that asks for a deleted record once a second for good."""
    fill(gateway)
    key = next(iter(gateway.state.replica.records.missing)).key
    gateway.reduce(events.PrefixRead(key, (), gateway.revision))
    assert key not in gateway.state.replica.records.missing


def test_missing_records_beyond_the_bound_are_counted_together():
    """Guards against entries without end for records that do not fit, which fill the memory."""
    missing = missing_records.MissingRecords()
    for number in range(missing_records.NAMED_MAX + 50):
        missing.add(messages.MissingRecord(f'servers/{number}', number + 1, 100))
    assert len(missing) == missing_records.NAMED_MAX + 1
    assert missing.newest_revision == missing_records.NAMED_MAX + 50
    assert missing.has_unnamed
    missing.discard_below(missing_records.UNNAMED_KEY, missing.newest_revision)
    assert not missing


def test_large_unreadable_entries_do_not_delay_a_configuration(gateway):
    """Guards against entries of another writer that take the room of the configuration.

    The load of review/3: entries of 600,000 unreadable bytes, then a configuration.
    """

    def decode(key, content, revision):
        if len(content) >= LARGE_BYTES:
            raise errors.RecordError(key)
        return gateway.records.get(content)

    gateway.state.decode = decode
    gateway.state.replica.records.max_bytes = LARGE_BYTES
    for number in range(2):
        gateway.revision += 1
        key = f'servers/other-{number}'
        record = events.RecordRead(key, gateway.revision, bytes(LARGE_BYTES))
        gateway.reduce(events.StoreChanged((record,), gateway.revision))
    gateway.declare(CONFIG_KEY, make_configuration(9, conftest.ORDERS))
    assert gateway.state.declared.configuration.version == 9
    assert 'stock-1' in gateway.state.servers.views
