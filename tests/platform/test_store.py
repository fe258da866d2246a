"""Client of the platform's store, against the stand-in."""

import pytest

from rhubarbspar.platform import errors
from rhubarbspar.platform import store


def test_all_pages_are_read(loop, kv_store, kv_client):
    """Guards against records beyond the first page that are never known."""
    for number in range(8):
        kv_store.put(f'k{number}', b'%d' % number)

    async def scenario():
        records, revision = await kv_client.read_all('')
        assert [record.content for record in records] == [b'%d' % number for number in range(8)]
        assert revision == kv_store.database.revision

    loop.run(scenario())


def test_watch_tells_changes_and_deletions(loop, kv_store, kv_client):
    """Guards against a change that is missed between two watches."""

    async def scenario():
        kv_store.put('a', b'1')
        kv_store.delete('a')
        changes, revision = await kv_client.watch('', 1, 1000)
        assert [change.content for change in changes] == [b'1', None]
        assert revision == kv_store.database.revision

    loop.run(scenario())


def test_conditional_write_reports_a_conflict(loop, kv_store, kv_client):
    """Guards against two writers that both believe to have written."""

    async def scenario():
        assert await kv_client.put_if('a', b'1', 0)
        assert not await kv_client.put_if('a', b'2', 0)
        assert (await kv_client.read('a')).content == b'1'

    loop.run(scenario())


def test_lease_ends_its_records(loop, kv_store, kv_client):
    """Guards against a registration that outlives its instance."""

    async def scenario():
        lease = await kv_client.grant_lease(5000)
        await kv_client.put_if('a', b'1', None, lease)
        assert await kv_client.renew_lease(lease)
        await kv_client.revoke_lease(lease)
        assert await kv_client.read('a') is None
        assert not await kv_client.renew_lease(lease)

    loop.run(scenario())


def test_forgotten_history_is_told_apart(loop, kv_store, kv_client):
    """Guards against going on without the changes that the store has discarded."""
    kv_store.database.compacted_revision = 9

    async def scenario():
        with pytest.raises(errors.CompactedError):
            await kv_client.watch('', 1, 1000)

    loop.run(scenario())


@pytest.mark.parametrize('status', [429, 503])
def test_refusal_of_the_store_is_an_error(loop, kv_store, kv_client, status):
    """Guards against a refusal that is taken for an empty store."""
    kv_store.status = status

    async def scenario():
        with pytest.raises(errors.StoreRejectedError) as caught:
            await kv_client.read_all('')
        assert caught.value.status == status

    loop.run(scenario())


def test_silent_store_is_given_up(loop, kv_store, kv_client, monkeypatch):
    """Guards against waiting for a connection that has gone silent."""
    monkeypatch.setattr(store, 'CALL_TIMEOUT_MS', 50)
    kv_store.silent = True

    async def scenario():
        with pytest.raises(errors.StoreError):
            await kv_client.watch('', 0, 20)
        kv_store.silent = False
        assert await kv_client.read('a') is None

    loop.run(scenario())


def test_reset_ends_waiting_calls(loop, kv_store, kv_client):
    """Guards against a watch that hangs for ever after a pause of the process."""

    async def scenario():
        loop.reactor.callLater(0.05, kv_client.reset)
        with pytest.raises(errors.StoreError):
            await kv_client.watch('', kv_store.database.revision, 20_000)

    loop.run(scenario())
