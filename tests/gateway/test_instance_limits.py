"""Tests of what the platform grants an instance."""

import pytest

from rhubarbspar.gateway import instance_limits


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('', 0), ('60', 60), ('6.5', 7), ('0', 0), ('-6', 0), ('nan', 0), ('inf', 0), ('wide', 0)],
)
def test_link_without_a_usable_rate_counts_as_unknown(text, rate):
    """Guards against an instance that cannot start, or seems wide, for an odd environment."""
    found = instance_limits.read({instance_limits.ENV_LINK_MBIT_PER_S: text})
    assert found.link_rate_mbit_per_s == rate
