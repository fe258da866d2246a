"""Tests of the strict_quota quota."""

import hypothesis
from hypothesis import strategies

from rhubarbspar.helpers import quota


@hypothesis.given(share=strategies.floats(0, 1), count=strategies.integers(1, 500))
@hypothesis.settings(derandomize=True)
def test_quota_holds_at_every_prefix_and_is_used(share: float, count: int) -> None:
    """Guards against choosing more than the share in any prefix, or less than it permits."""
    strict_quota = quota.StrictQuota(share)
    chosen = 0
    for total in range(1, count + 1):
        chosen += strict_quota.take()
        assert chosen <= share * total
        assert chosen + 1 > share * total - 1e-9
