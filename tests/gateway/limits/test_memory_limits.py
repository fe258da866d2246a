"""Division of the memory of the process."""

import pytest

from rhubarbspar.gateway.limits import memory_limits

MB = 1_048_576
# Memory of a gateway without requests.
IDLE_MB = 52


@pytest.mark.parametrize('memory_mb', [200, 300, 552])
def test_messages_and_idle_process_stay_under_the_planned_share(memory_mb):
    """Guards against a budget that only fits into the memory of a larger machine."""
    budget = memory_limits.make_budget(str(memory_mb))
    assert budget.limit_bytes + IDLE_MB * MB <= 0.6 * memory_mb * MB


@pytest.mark.parametrize('content_max_bytes', [0, 1_048_576, 1e300, float('inf')])
@pytest.mark.parametrize('memory_mb', [100, 300])
def test_store_may_use_a_small_part_of_the_memory(memory_mb, content_max_bytes):
    """Guards against a store that names a size by which it may take the whole process."""
    budget = memory_limits.make_budget(str(memory_mb))
    limits = memory_limits.make_store_limits(budget, content_max_bytes)
    assert MB < limits.answer_max_bytes < 0.3 * budget.limit_bytes


@pytest.mark.parametrize('memory_mb', ['', 'many', '-1', '0', 'nan', 'inf', '1e400'])
def test_unknown_memory_counts_as_that_of_the_smallest_machine(memory_mb):
    """Guards against a process that does not start, or takes any amount, without the number."""
    assert memory_limits.make_budget(memory_mb).limit_bytes == (
        memory_limits.make_budget('200').limit_bytes
    )
