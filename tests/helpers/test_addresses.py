"""Tests of addresses."""

import pytest

from rhubarbspar.helpers import addresses


@pytest.mark.parametrize(
    ('address', 'host', 'port'), [('10.0.0.1:80', '10.0.0.1', 80), ('[::1]:8080', '::1', 8080)]
)
def test_address_is_split(address, host, port) -> None:
    """Guards against a listener on the brackets of an IPv6 number."""
    assert addresses.split_host_port(address) == (host, port)
