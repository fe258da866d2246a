"""Fixtures of the adapter's tests."""

import pytest

from rhubarbspar.platform import store as platform_store
from tests.platform import standin


@pytest.fixture
def kv_store(loop):
    """Return a store on an ephemeral port."""
    started = standin.Store(loop.reactor)
    yield started

    async def close():
        await started.close()

    loop.run(close())


@pytest.fixture
def kv_client(loop, kv_store):
    """Return a client of the store."""
    made = platform_store.Store(loop.reactor, kv_store.address, lambda: 0.0)
    yield made
    made.reset()
