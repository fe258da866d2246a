"""Tests of the platform's store client against the stand-in."""

import json

import pytest

from rhubarbspar.gateway import settings
from rhubarbspar.gateway.store import revisions
from rhubarbspar.http1 import memory
from rhubarbspar.platform import errors
from rhubarbspar.platform import store


def test_all_pages_are_read(loop, kv_store, kv_client):
    """Guards against missing the records after the first page."""
    for number in range(8):
        kv_store.put(f'k{number}', b'%d' % number)

    async def scenario():
        records, revision = await kv_client.read_all('')
        assert [record.content for record in records] == [b'%d' % number for number in range(8)]
        assert revision == revisions.combine(kv_store.era, kv_store.database.revision)

    loop.run(scenario())


def test_watch_returns_changes_and_deletions(loop, kv_store, kv_client):
    """Guards against missing a change or deletion that happens between two watches."""

    async def scenario():
        kv_store.put('a', b'1')
        kv_store.delete('a')
        changes, revision = await kv_client.watch('', revisions.combine(kv_store.era, 1), 1000)
        assert [change.content for change in changes] == [b'1', None]
        assert revision == revisions.combine(kv_store.era, kv_store.database.revision)

    loop.run(scenario())


def test_conditional_write_reports_a_conflict(loop, kv_store, kv_client):
    """Guards against two concurrent writers that both take their write for successful."""

    async def scenario():
        assert await kv_client.put_if('a', b'1', 0)
        assert not await kv_client.put_if('a', b'2', 0)
        assert (await kv_client.read('a')).content == b'1'

    loop.run(scenario())


def test_revoked_lease_deletes_its_records(loop, kv_store, kv_client):
    """Guards against a registration that outlives the lease of its instance."""

    async def scenario():
        lease = await kv_client.grant_lease(5000)
        await kv_client.put_if('a', b'1', None, lease)
        assert await kv_client.renew_lease(lease)
        await kv_client.revoke_lease(lease)
        assert await kv_client.read('a') is None
        assert not await kv_client.renew_lease(lease)

    loop.run(scenario())


def test_watch_of_a_compacted_revision_raises_compacted_error(loop, kv_store, kv_client):
    """Guards against continuing a watch without the changes that the store has compacted."""
    kv_store.database.compacted_revision = 9

    async def scenario():
        with pytest.raises(errors.CompactedError):
            await kv_client.watch('', 1, 1000)

    loop.run(scenario())


@pytest.mark.parametrize('status', [429, 503])
def test_error_status_of_the_store_raises(loop, kv_store, kv_client, status):
    """Guards against taking an error status for an empty store."""
    kv_store.status = status

    async def scenario():
        with pytest.raises(errors.StoreRejectedError) as caught:
            await kv_client.read_all('')
        assert caught.value.status == status

    loop.run(scenario())


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{',
        b'[' * 100_000,
        b'{"at": "1", "items": []}',
        b'{"at": 1, "items": 1, "events": 1}',
        b'{"at": 1, "items": [1], "events": [1]}',
        b'{"at": 1, "items": [{}], "events": [{}]}',
        b'{"at": 1, "items": [{"key": "a", "revision": 1}], "events": [{"key": "a"}], "key": 1}',
        b'{"at": 1, "items": [{"key": "a", "revision": 1, "value": "a"}], "events": [[]]}',
    ],
)
def test_answer_of_another_form_raises(loop, kv_store, kv_client, body):
    """Guards against a process that ends at its start because the store answers something else."""
    kv_store.body = body

    async def scenario():
        for call in (
            lambda: kv_client.read('a'),
            lambda: kv_client.read_all(''),
            lambda: kv_client.watch('', 0, 20),
            lambda: kv_client.grant_lease(1000),
        ):
            with pytest.raises(errors.StoreError):
                await call()

    loop.run(scenario())


def test_largest_records_are_read_while_callers_hold_the_memory(loop, kv_store, kv_client, budget):
    """Guards against an instance that cannot read its configuration under load, or at all."""
    content = bytes(settings.Bounds().store_content_bytes)
    kv_store.put('a', content)
    kv_store.put('b', content)
    memory.Share(budget).hold(int(budget.limit_bytes))

    async def scenario():
        records, _ = await kv_client.read_all('')
        assert [record.content for record in records] == [content, content]
        changes, _ = await kv_client.watch('', revisions.combine(kv_store.era, 1), 1000)
        assert changes == records

    loop.run(scenario())


@pytest.mark.parametrize(
    'body',
    [
        b'{"at": 1, "items": [], "events": [], "more": "%b"}' % bytes(5_000_000),
        b'{"at": 1, "items": [], "events": [], "more": [%b0]}' % (b'0,' * 200_000),
        b'{"at": 1, "items": [], "events": [], "more": [%b[]]}' % (b'[],' * 200_000),
    ],
    ids=['bytes', 'numbers', 'lists'],
)
def test_answer_that_takes_too_much_memory_raises(loop, kv_store, kv_client, budget, body):
    """Guards against holding what a faulty store sends, as text or decoded."""
    kv_store.body = body

    async def scenario():
        for call in (lambda: kv_client.read_all(''), lambda: kv_client.watch('', 0, 20)):
            with pytest.raises(errors.TooLargeError):
                await call()
        await loop.until(lambda: not budget.held_bytes)

    loop.run(scenario())


@pytest.mark.parametrize('items', [[], [{'key': 'a', 'revision': 1, 'value': ''}]])
def test_pages_that_do_not_advance_raise(loop, kv_store, kv_client, items):
    """Guards against a read that never ends and keeps each page."""
    kv_store.body = json.dumps({'at': 1, 'items': items, 'hasMore': True}).encode()

    async def scenario():
        with pytest.raises(errors.MalformedAnswerError):
            await kv_client.read_all('')

    loop.run(scenario())


def test_first_read_of_a_store_beyond_the_limit_has_operators_records(
    loop, kv_store, kv_client, budget
):
    """Guards against an instance that never gets a configuration because others fill the store.

    The entries of backend servers come before and after operators' records in the order of keys.
    """
    content = bytes(settings.Bounds().store_content_bytes)
    numbers = range(int(budget.limit_bytes / len(content)))
    large = {f'{prefix}{number}' for prefix in ('a', 'servers/') for number in numbers}
    for key in large:
        kv_store.put(key, content)
    kept = ('op/config', 'op/evacuate/x', 'status/rollout/y', 'fleet/instances/z')
    for key in kept:
        kv_store.put(key, b'{}')
    kv_store.put('servers/small', b'{}')

    async def scenario():
        snapshot = await kv_client.read_fitting('')
        keys = {record.key for record in snapshot.records}
        assert keys >= {*kept, 'servers/small'}
        missing = {entry.key for entry in snapshot.missing}
        assert missing
        assert not missing & keys
        assert missing | keys == {*large, *kept, 'servers/small'}
        assert sum(record.size_bytes for record in snapshot.records) <= budget.limit_bytes / 2

    loop.run(scenario())


def test_records_beyond_the_limit_raise(loop, kv_store, kv_client, budget):
    """Guards against pages without end, each of ordinary size, that fill the memory."""
    content = bytes(settings.Bounds().store_content_bytes)
    for number in range(int(budget.limit_bytes / len(content))):
        kv_store.put(f'k{number}', content)

    async def scenario():
        with pytest.raises(errors.TooLargeError):
            await kv_client.read_all('')

    loop.run(scenario())


@pytest.mark.parametrize('era', [b'x', b'-1', b'9' * 5000])
def test_malformed_era_of_the_store_raises(loop, kv_store, kv_client, era):
    """Guards against a process that ends because of a header of the store."""
    kv_store.body = b'{}'
    kv_store.headers = ((b'store-era', era),)

    async def scenario():
        with pytest.raises(errors.StoreError):
            await kv_client.grant_lease(1000)

    loop.run(scenario())


def test_call_to_a_silent_store_times_out(loop, kv_store, kv_client, monkeypatch):
    """Guards against waiting forever on a connection that no longer carries traffic."""
    monkeypatch.setattr(store, 'CALL_TIMEOUT_MS', 50)
    kv_store.silent = True

    async def scenario():
        with pytest.raises(errors.StoreError):
            await kv_client.watch('', 0, 20)
        kv_store.silent = False
        assert await kv_client.read('a') is None

    loop.run(scenario())


def test_reset_fails_pending_calls(loop, kv_store, kv_client):
    """Guards against a watch that hangs forever after the process was paused."""

    async def scenario():
        loop.reactor.callLater(0.05, kv_client.reset)
        with pytest.raises(errors.StoreError):
            revision = revisions.combine(kv_store.era, kv_store.database.revision)
            await kv_client.watch('', revision, 20_000)

    loop.run(scenario())


def test_watch_from_a_revision_before_a_restore_raises(loop, kv_store, kv_client):
    """Guards against a watch that misses the changes that got the numbers of lost ones."""
    copied = kv_store.copy()

    async def scenario():
        kv_store.put('a', b'1')
        _, revision = await kv_client.read_all('')
        kv_store.restore(copied)
        kv_store.put('b', b'1')
        kv_store.put('c', b'1')
        with pytest.raises(errors.StoreError):
            # The connection was cut by the restore.
            await kv_client.watch('', revision, 1000)
        with pytest.raises(errors.RestoredError):
            await kv_client.watch('', revision, 1000)
        records, restored_revision = await kv_client.read_all('')
        assert [record.key for record in records] == ['b', 'c']
        assert restored_revision > revision

    loop.run(scenario())


def test_write_expecting_a_revision_before_a_restore_is_a_conflict(loop, kv_store, kv_client):
    """Guards against overwriting a record whose revision equals that of a lost one."""
    copied = kv_store.copy()

    async def scenario():
        kv_store.put('a', b'1')
        revision = (await kv_client.read('a')).revision
        kv_store.restore(copied)
        kv_store.put('a', b'2')
        with pytest.raises(errors.StoreError):
            await kv_client.read('a')
        await kv_client.read('a')
        assert not await kv_client.put_if('a', b'3', revision)
        assert (await kv_client.read('a')).content == b'2'

    loop.run(scenario())
