"""Division of the memory of the process."""

import math
import typing

from rhubarbspar.http1 import memory

_BYTES_PER_MB: typing.Final = 1_048_576
# The smallest instances of the operators have this much; it applies if the platform names none.
_DEFAULT_PROCESS_MB: typing.Final = 200.0
# Share of the memory up to which the process plans; the rest covers what is not counted.
_PLANNED_SHARE: typing.Final = 0.6
# Memory of a process that has its state and holds no message.
_IDLE_PROCESS_MB: typing.Final = 56
_BUDGET_MIN_MB: typing.Final = 16


def make_budget(memory_mb: str) -> memory.MemoryBudget:
    """Return the budget of the requests and responses of a process.

    Parameters
    ----------
    memory_mb
        Megabytes that the process may use. The default applies if this is no positive number.
    """
    planned_mb = _parse_mb(memory_mb) * _PLANNED_SHARE - _IDLE_PROCESS_MB
    return memory.MemoryBudget(int(max(_BUDGET_MIN_MB, planned_mb) * _BYTES_PER_MB))


def process_bytes(memory_mb: str) -> float:
    """Return the memory that the process may use, from the same text as ``make_budget``."""
    return _parse_mb(memory_mb) * _BYTES_PER_MB


def _parse_mb(raw: str) -> float:
    try:
        parsed = float(raw)
    except ValueError:
        return _DEFAULT_PROCESS_MB
    return parsed if 0 < parsed < math.inf else _DEFAULT_PROCESS_MB
