"""Fixtures for the tests of the platform adapter."""

import pytest

from rhubarbspar.platform import store as platform_store
from tests.platform import standin


@pytest.fixture
def kv_store(loop):
    """Return a stand-in store that listens on a free port."""
    started = standin.Store(loop.reactor)
    yield started

    async def close():
        await started.close()

    loop.run(close())


@pytest.fixture
def kv_client(loop, kv_store):
    """Return a client of the stand-in store."""
    made = platform_store.Store(loop.reactor, kv_store.address, lambda: 0.0)
    yield made
    made.reset()
