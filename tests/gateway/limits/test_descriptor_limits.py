"""Division of the file descriptors of the process."""

import resource

import pytest

from rhubarbspar.gateway.limits import descriptor_limits
from rhubarbspar.gateway.limits import memory_limits
from rhubarbspar.http1 import receive_buffers

# Standard streams, event loop, reserve of the reactor and listening sockets.
OWN_DESCRIPTORS = 20


def total(limits):
    """Return how many connections may be open at the same time."""
    surplus = sum(part.surplus.limit for part in limits.parts if part.surplus is not None)
    return surplus + sum(part.limit for part in limits.parts)


@pytest.mark.parametrize('count', [120, 300, 1024, 4100, 20_000])
def test_all_connections_fit_into_the_descriptors(count):
    """Guards against a kind of connections that takes the descriptors of another one."""
    limits = descriptor_limits.divide(count)
    assert total(limits) + OWN_DESCRIPTORS <= count
    assert limits.servers.limit >= limits.callers.limit >= 0.2 * count


def kernel_bytes(part):
    """Return what the kernel may keep for all connections of a kind."""
    surplus = 0 if part.surplus is None else part.surplus.limit
    count = part.limit + surplus
    return count * receive_buffers.kernel_bytes(part.receive_buffer_bytes)


@pytest.mark.parametrize(('memory_mb', 'count'), [(200, 4100), (552, 8192), (300, 6000)])
def test_receive_buffers_fit_into_the_memory(memory_mb, count):
    """Guards against connections whose unread bytes are more than the memory of the machine.

    Enough connections are left: an instance serves some ten requests a second, and a connection that
    is idle gives way to a new one.
    """
    limits = descriptor_limits.divide(count, memory_limits.make_receive_limits(str(memory_mb)))
    handshakes = limits.handshakes.limit * receive_buffers.UNACCEPTED_BYTES
    others = [part for part in limits.parts if part is not limits.handshakes]
    assert sum(map(kernel_bytes, others)) + handshakes <= 0.25 * memory_mb * 2**20
    assert limits.servers.limit >= limits.callers.limit >= 500
    assert limits.readiness.limit >= 10


@pytest.mark.parametrize(
    ('platform', 'system', 'count'),
    [
        ('4100', 20_000, 4100),
        ('4100', 1024, 1024),
        ('', 512, 512),
        ('many', resource.RLIM_INFINITY, 1024),
        ('4100', resource.RLIM_INFINITY, 4100),
    ],
)
def test_smaller_limit_applies(monkeypatch, platform, system, count):
    """Guards against a process that plans with descriptors which it does not get."""
    monkeypatch.setattr(resource, 'getrlimit', lambda _resource: (system, system))
    made = descriptor_limits.make_limits(platform)
    assert total(made) == total(descriptor_limits.divide(count))
