"""Tests of the store client against the stand-in."""

import typing

import pytest
from twisted.internet import defer

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.storage import errors
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import faults

CONFLICTED = events.StoreOutcome.CONFLICTED
FAILED = events.StoreOutcome.FAILED
SUCCEEDED = events.StoreOutcome.SUCCEEDED


def _put(tag: str, value: bytes, revision: int, lease_id: str | None = None) -> typing.Any:
    return effects.StoreTransaction(
        tag,
        (effects.StoreCompare('key', revision),),
        (effects.StorePut('key', value, lease_id),),
    )


def test_conflicting_write_returns_the_current_record(loop, store, client, receiver) -> None:
    """Guards against a lost update when two operators write concurrently."""

    async def scenario() -> None:
        client.submit(_put('first', b'one', 0))
        first = await receiver.answer('first')
        client.submit(_put('second', b'two', 0))
        second = await receiver.answer('second')
        assert (first.outcome, first.sent_ms) == (SUCCEEDED, 5)
        assert (second.outcome, second.revision) == (CONFLICTED, first.revision)
        assert second.records == (events.StoreRecord('key', b'one', first.revision),)

    loop.run(scenario())


def test_write_with_a_lost_answer_fails_but_takes_effect(loop, store, client, receiver) -> None:
    """Guards against taking a lost answer as proof that nothing was written."""

    async def scenario() -> None:
        store.service.switch_faults(faults.Faults(lose_answers=True))
        client.submit(_put('write', b'one', 0))
        assert (await receiver.answer('write')).outcome == FAILED
        client.submit(effects.StoreGet('read', 'key'))
        assert (await receiver.answer('read')).records[0].value == b'one'
        assert len(receiver.events) == 2

    loop.run(scenario())


def test_lease_end_deletes_records_and_renewal_conflicts(
    loop, store, client, receiver, clock
) -> None:
    """Guards against a claim that remains after its holder's lease has expired."""

    async def scenario() -> None:
        client.submit(effects.LeaseGrant('grant', 1500))
        lease_id = (await receiver.answer('grant')).lease_id
        client.submit(_put('write', b'one', 0, lease_id))
        await receiver.answer('write')
        clock.advance(1.9)
        client.submit(effects.LeaseRenew('renewed', lease_id))
        assert (await receiver.answer('renewed')).lease_id == lease_id
        clock.advance(1.9)
        assert (await client.calls.get('key')).value == b'one'
        clock.advance(0.1)
        assert (await client.calls.get('key')).revision == 0
        client.submit(effects.LeaseRenew('late', lease_id))
        assert (await receiver.answer('late')).outcome == CONFLICTED
        client.submit(_put('bound', b'two', 0, lease_id))
        assert (await receiver.answer('bound')).outcome == CONFLICTED

    loop.run(scenario())


def test_watch_delivers_every_change_from_its_start_revision(loop, store, client, receiver) -> None:
    """Guards against missing changes between a read and the watch that follows it."""

    async def scenario() -> None:
        revision = await client.calls.put_if('p/a', b'1', 0)
        await client.calls.put_if('p/a', b'2', revision)
        await client.calls.put_if('other', b'', 0)
        client.submit(effects.StoreWatch('watch', 'p/', True, revision))
        await loop.until(lambda: receiver.events)
        await client.calls.transact(effects.StoreTransaction('', (), (), ('p/a',)))
        await loop.until(lambda: len(receiver.events) == 2)
        client.submit(effects.StoreUnwatch('watch'))
        await client.calls.put_if('p/b', b'3', 0)

    loop.run(scenario())
    seen = [record.value for event in receiver.events for record in event.records]
    assert seen == [b'1', b'2', b'']
    assert [event.revision for event in receiver.events] == [3, 5]
    assert store.calls['/v3/watch'] == 1


def test_watch_of_compacted_revision_fails(loop, store, client, receiver) -> None:
    """Guards against a watch that silently skips changes that the store has compacted."""
    store.database.compacted_revision = 5
    client.submit(effects.StoreWatch('watch', 'key', False, 3))
    assert loop.run(receiver.answer('watch')).outcome == FAILED


@pytest.mark.parametrize('fault', ['down', 'freeze'])
def test_unavailable_store_fails_calls_and_watches_once(
    loop, store, client, receiver, clock, fault
) -> None:
    """Guards against calls that never end or are answered twice during an outage."""

    async def scenario() -> None:
        store.service.switch_faults(faults.Faults(**{fault: True}))
        client.submit(_put('write', b'one', 0))
        client.submit(effects.StoreWatch('watch', 'key', False, 1))
        if fault == 'freeze':
            await loop.until(lambda: len(store.service._frozen) == 2)
            clock.advance(1)
        assert (await receiver.answer('write')).outcome == FAILED
        assert (await receiver.answer('watch')).outcome == FAILED
        store.service.switch_faults(faults.Faults())
        record = await client.calls.get('key')
        assert record.value == (b'one' if fault == 'freeze' else b'')
        assert len(receiver.events) == 2

    loop.run(scenario())


def test_silent_watch_fails(loop, client, receiver, clock) -> None:
    """Guards against a watch on a connection that no longer carries traffic."""
    client.submit(effects.StoreWatch('watch', 'key', False, 1))
    clock.advance(5)
    assert loop.run(receiver.answer('watch')).outcome == FAILED


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'not json',
        b'[]',
        b'{}',
        b'{"header": {"revision": "x"}}',
        b'{"header": {"revision": "4"}, "responses": []}',
        b'{"header": {"revision": "4"}, "succeeded": "yes"}',
        b'{"header": {"revision": "4"}, "responses": [{"response_range": {"kvs": [{"key": "!"}]}}]}',
    ],
)
def test_malformed_answer_fails(loop, client, receiver, store, answer: bytes) -> None:
    """Guards against a malformed answer that counts as success or raises unexpectedly."""
    store.service._receiver = lambda exchange: exchange.answer(answer)
    client.submit(_put('write', b'one', 0))
    client.submit(effects.StoreWatch('watch', 'key', False, 1))
    assert loop.run(receiver.answer('write')).outcome == FAILED
    assert loop.run(receiver.answer('watch')).outcome == FAILED


def test_too_large_value_is_rejected(loop, store, client) -> None:
    """Guards against a configuration beyond the store's value limit that fails unnoticed."""
    with pytest.raises(errors.RejectedError, match='too large'):
        loop.run(client.calls.put_if('key', b'x' * 1_048_577, 0))


def test_late_answer_is_not_delivered_after_timeout(loop, store, client, receiver, clock) -> None:
    """Guards against delivering two answers for one call that has timed out."""
    held: list[exchanges.Exchange] = []
    store.service._receiver = held.append

    async def scenario() -> None:
        client.submit(effects.StoreGet('read', 'key'))
        await loop.until(lambda: held)
        clock.advance(1)
        assert (await receiver.answer('read')).outcome == FAILED
        held[0].answer(b'{"header": {"revision": "1"}}')
        store.service._receiver = store._receive
        await client.calls.get('key')
        assert len(receiver.events) == 1

    loop.run(scenario())


def test_stalled_connections_are_replaced(loop, store, client, clock) -> None:
    """Guards against reusing idle connections that no longer carry traffic after a timeout."""

    async def scenario() -> None:
        await defer.gatherResults([defer.ensureDeferred(client.calls.get('a')) for _ in range(4)])
        store.service.stall_connections()
        stalled = defer.ensureDeferred(client.calls.get('a'))
        clock.advance(1)
        with pytest.raises(errors.UnavailableError):
            await stalled
        assert (await client.calls.get('a')).revision == 0

    loop.run(scenario())


def test_delayed_write_takes_effect_after_its_timeout(loop, store, client, receiver, clock) -> None:
    """Guards against a stand-in whose delay drops late writes, unlike a real slow store."""

    async def scenario() -> None:
        store.service.switch_faults(faults.Faults(delay_ms=1500))
        client.submit(_put('write', b'late', 0))
        await loop.until(lambda: store.service._open)
        clock.advance(1)
        assert (await receiver.answer('write')).outcome == FAILED
        assert store.database.revision == 1
        clock.advance(0.5)
        assert store.database.revision == 2

    loop.run(scenario())
