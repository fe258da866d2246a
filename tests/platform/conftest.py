"""Fixtures for the tests of the platform adapter."""

import pytest

from rhubarbspar.gateway import settings
from rhubarbspar.gateway.limits import memory_limits
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
def budget():
    """Return the memory budget of the smallest process."""
    return memory_limits.make_budget('')


@pytest.fixture
def kv_client(loop, kv_store, budget):
    """Return a client of the stand-in store, with the limits of the smallest process."""
    limits = memory_limits.make_store_limits(budget, settings.Bounds().store_content_bytes)
    made = platform_store.Store(loop.reactor, kv_store.address, lambda: 0.0, limits, budget)
    yield made
    made.reset()
