"""Division of the file descriptors of the process."""

import resource

import pytest

from rhubarbspar.gateway.limits import descriptor_limits

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
