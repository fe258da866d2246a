"""Tests of parsing ``host:port`` addresses."""

import pytest

from rhubarbspar.helpers import addresses


@pytest.mark.parametrize(
    ('address', 'host', 'port'), [('10.0.0.1:80', '10.0.0.1', 80), ('[::1]:8080', '::1', 8080)]
)
def test_address_is_split(address, host, port) -> None:
    """Guards against an IPv6 host that keeps its brackets, which no listener can bind."""
    assert addresses.split_host_port(address) == (host, port)
