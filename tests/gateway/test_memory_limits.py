"""Division of the memory of the process."""

import pytest

from rhubarbspar.gateway import memory_limits

MB = 1_048_576
# Memory of a gateway without requests.
IDLE_MB = 52


@pytest.mark.parametrize('memory_mb', [200, 300, 552])
def test_messages_and_idle_process_stay_under_the_planned_share(memory_mb):
    """Guards against a budget that only fits into the memory of a larger machine."""
    budget = memory_limits.make_budget(str(memory_mb))
    assert budget.limit_bytes + IDLE_MB * MB <= 0.6 * memory_mb * MB


@pytest.mark.parametrize('memory_mb', ['', 'many', '-1', '0', 'nan', 'inf', '1e400'])
def test_unknown_memory_counts_as_that_of_the_smallest_machine(memory_mb):
    """Guards against a process that does not start, or takes any amount, without the number."""
    assert memory_limits.make_budget(memory_mb).limit_bytes == (
        memory_limits.make_budget('200').limit_bytes
    )
