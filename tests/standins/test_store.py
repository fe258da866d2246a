"""Tests of the store stand-in beyond what the client's tests cover."""

import pytest

from rhubarbspar.core import effects
from rhubarbspar.storage import errors
from rhubarbspar.standins import faults


@pytest.mark.parametrize(('extends', 'left'), [(True, 1), (False, 0)])
def test_leases_in_an_outage(loop, store, client, clock, extends: bool, left: int) -> None:
    """Guards against trials of outages under another lease behaviour than the chosen one."""

    async def scenario() -> None:
        store._extends_leases = extends
        lease_id = await client.calls.grant_lease(1000)
        await client.calls.put_if('key', b'', 0, lease_id)
        store.service.switch_faults(faults.Faults(down=True))
        with pytest.raises(errors.UnavailableError):
            await client.calls.get('key')
        clock.pump([0.1] * 50)
        store.service.switch_faults(faults.Faults())
        assert len(await client.calls.list('')) == left

    loop.run(scenario())


@pytest.mark.parametrize(
    ('puts', 'deletes'),
    [(('a', 'a'), ()), (('a',), ('a',)), (tuple(map(str, range(129))), ())],
)
def test_transactions_that_etcd_rejects_are_rejected(loop, store, client, puts, deletes) -> None:
    """Guards against transactions that only work against the stand-in."""
    written = tuple(effects.StorePut(key, b'') for key in puts)
    with pytest.raises(errors.RejectedError):
        loop.run(client.calls.transact(effects.StoreTransaction('', (), written, deletes)))
    assert store.database.revision == 1


def test_malformed_requests_are_refused(loop, store, client) -> None:
    """Guards against a stand-in that accepts what etcd refuses or stops answering."""
    for path in ('/v3/kv/txn', '/v3/lease/grant', '/v3/kv/none'):
        with pytest.raises(errors.RejectedError):
            loop.run(client.calls._http.post(path, {'success': [{}], 'TTL': 'x'}))
