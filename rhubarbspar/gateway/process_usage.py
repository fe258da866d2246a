"""Memory and descriptors that the process uses, as the kernel counts them."""

import dataclasses
import os
import pathlib
import re
import typing
from collections import abc

from rhubarbspar.core import effects
from rhubarbspar.gateway.limits import memory_limits
from rhubarbspar.server import metrics

_STATUS: typing.Final = pathlib.Path('/proc/self/status')
_DESCRIPTORS: typing.Final = pathlib.Path('/proc/self/fd')
_RESIDENT: typing.Final = re.compile(r'^VmRSS:\s+(\d+) kB$', re.MULTILINE)
_PEAK: typing.Final = re.compile(r'^VmHWM:\s+(\d+) kB$', re.MULTILINE)
_BYTES_PER_KB: typing.Final = 1024
# Shares of the memory of the process, in percent; each is reported once when the peak exceeds it.
REPORTED_PERCENTS: typing.Final = (60, 70, 80, 90)
_PERCENT: typing.Final = 100


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryUsage:
    """Resident memory of the process, now and at its peak."""

    resident_bytes: int
    peak_bytes: int


def read_memory() -> MemoryUsage | None:
    """Return the memory in use, or ``None`` if the kernel does not tell."""
    try:
        text = _STATUS.read_text()
    except OSError:
        return None
    resident = _RESIDENT.search(text)
    peak = _PEAK.search(text)
    if resident is None or peak is None:
        return None
    return MemoryUsage(int(resident.group(1)) * _BYTES_PER_KB, int(peak.group(1)) * _BYTES_PER_KB)


def count_descriptors() -> int | None:
    """Return the number of open descriptors, or ``None`` if the kernel does not tell."""
    try:
        return len(os.listdir(_DESCRIPTORS))
    except OSError:
        return None


def read_gauges() -> list[metrics.Gauge]:
    """Return the gauges of what the process uses."""
    gauges = []
    memory = read_memory()
    if memory is not None:
        gauges.append(metrics.Gauge('resident_memory_bytes', memory.resident_bytes))
        gauges.append(metrics.Gauge('peak_memory_bytes', memory.peak_bytes))
    descriptor_count = count_descriptors()
    if descriptor_count is not None:
        gauges.append(metrics.Gauge('open_descriptors', descriptor_count))
    return gauges


class MemoryWatch:
    """Reports when the peak of the memory exceeds the next share of the limit.

    Parameters
    ----------
    limit_bytes
        Memory that the process may use.
    report
        Receives the log lines.
    read
        Returns the memory in use.
    """

    def __init__(
        self,
        limit_bytes: float,
        report: abc.Callable[[effects.Log], None],
        read: abc.Callable[[], MemoryUsage | None] = read_memory,
    ) -> None:
        """Create a watch that has reported nothing."""
        self._limit_bytes = limit_bytes
        self._report = report
        self._read = read
        self._unreported = list(REPORTED_PERCENTS)

    def check(self) -> None:
        """Report the largest share that the peak has exceeded since the last check."""
        usage = self._read()
        if usage is None:
            return
        peak_percent = usage.peak_bytes / self._limit_bytes * _PERCENT
        exceeded = [percent for percent in self._unreported if peak_percent > percent]
        if not exceeded:
            return
        self._unreported = self._unreported[len(exceeded) :]
        fields = (
            ('percent', exceeded[-1]),
            ('peak_bytes', usage.peak_bytes),
            ('resident_bytes', usage.resident_bytes),
            ('limit_bytes', round(self._limit_bytes)),
        )
        self._report(effects.Log('memory_high', fields))


def watch_memory(memory_mb: str, report: abc.Callable[[effects.Log], None]) -> MemoryWatch:
    """Return a watch of the memory that the platform permits, megabytes as text."""
    return MemoryWatch(memory_limits.process_bytes(memory_mb), report)
