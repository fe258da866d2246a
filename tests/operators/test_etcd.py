"""Tests of the store client and the instance client against stand-ins in this process."""

import json
import typing
from collections import abc
from concurrent import futures

import pytest

from rhubarbspar.core import effects
from rhubarbspar.operators import errors
from rhubarbspar.operators import etcd
from rhubarbspar.operators import fleet
from rhubarbspar.operators import store
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import faults
from rhubarbspar.standins import store as store_standin
from rhubarbspar.standins import web
from tests import sockets

Run = abc.Callable[[abc.Callable[[], typing.Any]], typing.Any]


@pytest.fixture
def run(loop: sockets.Loop) -> abc.Iterator[Run]:
    """Return a function that runs a blocking call in a thread while the event loop runs."""

    async def in_thread(
        executor: futures.Executor, work: abc.Callable[[], typing.Any]
    ) -> typing.Any:
        submitted = executor.submit(work)
        await loop.until(submitted.done)
        return submitted.result()

    with futures.ThreadPoolExecutor(1) as executor:
        yield lambda work: loop.run(in_thread(executor, work))


@pytest.fixture
def standin(loop: sockets.Loop) -> abc.Iterator[store_standin.Store]:
    """Return a running stand-in for the store."""
    running = store_standin.Store(loop.reactor)
    running.start()
    yield running
    running.close()


@pytest.fixture
def client(standin: store_standin.Store) -> etcd.EtcdStore:
    """Return a client connected to the stand-in."""
    return etcd.EtcdStore(f'http://127.0.0.1:{standin.service.port}/')


def _put(key: str, text: bytes, revision: int, lease_id: str | None = None) -> store.Transaction:
    return store.Transaction(
        (effects.StoreCompare(key, revision),),
        (effects.StorePut(key, text, lease_id),),
    )


def test_transactions_compare_write_and_list_records(run: Run, client: etcd.EtcdStore) -> None:
    """Guards against a client that encodes requests or decodes responses wrongly."""
    assert run(lambda: client.get('moves/a')).revision == 0
    lease_id = run(lambda: client.grant_lease(60))
    first = run(lambda: client.transact(_put('moves/b', b'\xff', 0, lease_id)))
    assert first.succeeded
    assert not run(lambda: client.transact(_put('moves/b', b'2', 0))).succeeded
    second = run(lambda: client.transact(_put('moves/a', b'', 0)))
    listed = run(lambda: client.list_prefix('moves/'))
    assert [(record.key, record.value, record.revision) for record in listed] == [
        ('moves/a', b'', second.revision),
        ('moves/b', b'\xff', first.revision),
    ]
    assert run(lambda: client.list_prefix('move-')) == ()


def test_lost_answer_differs_from_refused_connection(
    run: Run,
    client: etcd.EtcdStore,
    standin: store_standin.Store,
    loop: sockets.Loop,
) -> None:
    """Guards against a write that took effect but is reported as not sent."""
    standin.service.switch_faults(faults.Faults(lose_answers=True))
    with pytest.raises(errors.StoreAnswerLostError):
        run(lambda: client.transact(_put('config', b'1', 0)))
    assert run(lambda: client.get('config')).value == b'1'
    loop.run(_close(standin))
    with pytest.raises(errors.StoreUnavailableError) as caught:
        run(lambda: client.get('config'))
    assert not isinstance(caught.value, errors.StoreAnswerLostError)


async def _close(standin: store_standin.Store) -> None:
    await standin.close()


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (400, b'{}', errors.StoreProtocolError),
        (503, b'{}', errors.StoreAnswerLostError),
        (200, b'<html>', errors.StoreAnswerLostError),
        (200, b'[]', errors.StoreAnswerLostError),
        (200, b'{"succeeded": true}', errors.StoreAnswerLostError),
    ],
)
def test_malformed_response_leaves_outcome_unknown(
    run: Run,
    loop: sockets.Loop,
    status: int,
    body: bytes,
    expected: type[Exception],
) -> None:
    """Guards against a malformed response that is taken as proof of a write or of no write."""
    service = web.Service(loop.reactor, lambda exchange: exchange.answer(body, status))
    client = etcd.EtcdStore(f'http://127.0.0.1:{service.listen()}')
    with pytest.raises(errors.OperatorError) as caught:
        run(lambda: client.transact(_put('config', b'1', 0)))
    assert type(caught.value) is expected
    service.close()


def test_configuration_is_pushed_with_key_and_revision(
    run: Run,
    loop: sockets.Loop,
) -> None:
    """Guards against a push without key or revision, and a key sent to the instance list."""
    received: list[tuple[str, str, str | None, str | None, bytes]] = []

    def receive(exchange: exchanges.Exchange) -> None:
        headers = [exchange.header(name) for name in ('authorization', 'configuration-revision')]
        received.append((exchange.method, exchange.path, *headers, exchange.body))
        exchange.answer(json.dumps(listed).encode(), 200 if exchange.method == 'GET' else 401)

    service = web.Service(loop.reactor, receive)
    port = service.listen()
    listed = [
        {'instance_id': 'a', 'state': 'live', 'admin_address': f'127.0.0.1:{port}'},
        {'instance_id': 'b', 'state': 'live'},
    ]
    instances = fleet.HttpFleet(f'http://127.0.0.1:{port}', 'operator-secret')
    first, second = run(instances.instances)
    with pytest.raises(errors.PushError, match='^status 401$'):
        run(lambda: instances.push(first, b'{}', 7))
    with pytest.raises(errors.PushError, match='gives no admin address'):
        run(lambda: instances.push(second, b'{}', 7))
    assert received == [
        ('GET', '/v1/instances', None, None, b''),
        ('POST', '/v1/admin/configuration', 'Bearer operator-secret', '7', b'{}'),
    ]
    service.close()
