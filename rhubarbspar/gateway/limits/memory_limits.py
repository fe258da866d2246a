"""Division of the memory of the process."""

import dataclasses
import math
import typing

from rhubarbspar.http1 import memory
from rhubarbspar.http1 import receive_buffers

_BYTES_PER_MB: typing.Final = 1_048_576
# The smallest instances of the operators have this much; it applies if the platform names none.
_DEFAULT_PROCESS_MB: typing.Final = 200.0
# Share of the memory up to which the process plans; the rest covers what is not counted.
_PLANNED_SHARE: typing.Final = 0.6
# Share of the memory for bytes that the kernel has received and the process has not read yet.
_RECEIVE_SHARE: typing.Final = 0.25
# Share for connections that wait in the accept queue of one port.
_QUEUE_SHARE: typing.Final = 0.08
_QUEUE_MIN: typing.Final = 64
_QUEUE_MAX: typing.Final = 512
# Memory of a process that has its state and holds no message.
_IDLE_PROCESS_MB: typing.Final = 56
# Three answers of the store fit; a process with 100 MB has little more than this beside its state.
_BUDGET_MIN_MB: typing.Final = 13

# What the store puts into a page: contents up to this size, and one more record beyond it.
_PAGE_CONTENT_BYTES: typing.Final = 1_048_576
_PAGE_RECORDS_MAX: typing.Final = 1000
# Key, numbers and syntax of a record in an answer; a key may have a long escape for each byte.
_RECORD_OVERHEAD_BYTES: typing.Final = 1536
# Base64 has four characters for three bytes.
_ENCODED_RATIO: typing.Final = 4 / 3
# Several thousand changes with up to ten members each.
_ELEMENTS_MAX: typing.Final = 131_072
_CONTENT_SHARE_MAX: typing.Final = 0.06
_RECORDS_SHARE: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the process takes from the store.

    Attributes
    ----------
    answer_max_bytes
        Size of the body of an answer.
    elements_max
        Number of arrays, objects and their members in an answer.
    records_max_bytes
        Size of all records together, by ``events.RecordRead.size_bytes``.
    """

    answer_max_bytes: int
    elements_max: int
    records_max_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReceiveLimits:
    """What the kernel may receive before the process reads it.

    Attributes
    ----------
    buffers_max_bytes
        Size of the receive buffers of all connections together.
    queue_length
        Connections that may wait for their acceptance at each port.
    """

    buffers_max_bytes: float
    queue_length: int


UNBOUNDED: typing.Final = ReceiveLimits(math.inf, _QUEUE_MAX)


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


def make_receive_limits(memory_mb: str) -> ReceiveLimits:
    """Return what the kernel may receive for a process, from the same text as ``make_budget``."""
    memory_bytes = process_bytes(memory_mb)
    queue_room = memory_bytes * _QUEUE_SHARE / receive_buffers.UNACCEPTED_BYTES
    queue_length = int(min(_QUEUE_MAX, max(_QUEUE_MIN, queue_room)))
    return ReceiveLimits(memory_bytes * _RECEIVE_SHARE, queue_length)


def make_store_limits(budget: memory.MemoryBudget, content_max_bytes: float) -> StoreLimits:
    """Return what a process with a budget takes from the store.

    Parameters
    ----------
    content_max_bytes
        Size of the largest content of a record, as far as the store says.
    """
    content_bytes = min(content_max_bytes, budget.limit_bytes * _CONTENT_SHARE_MAX)
    encoded_bytes = (_PAGE_CONTENT_BYTES + content_bytes) * _ENCODED_RATIO
    answer_max_bytes = int(encoded_bytes) + _PAGE_RECORDS_MAX * _RECORD_OVERHEAD_BYTES
    return StoreLimits(answer_max_bytes, _ELEMENTS_MAX, int(budget.limit_bytes * _RECORDS_SHARE))


def _parse_mb(raw: str) -> float:
    try:
        parsed = float(raw)
    except ValueError:
        return _DEFAULT_PROCESS_MB
    return parsed if 0 < parsed < math.inf else _DEFAULT_PROCESS_MB
