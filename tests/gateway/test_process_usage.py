"""Tests of what the process reports about its memory and descriptors."""

import pytest

from rhubarbspar.gateway import process_usage
from rhubarbspar.server import metrics

_LIMIT_BYTES = 1000


def _usage(peak_bytes):
    return process_usage.MemoryUsage(resident_bytes=100, peak_bytes=peak_bytes)


@pytest.mark.parametrize(
    ('peaks_bytes', 'reported_percents'),
    [
        pytest.param([600, 600], [], id='within the plan'),
        pytest.param([601, 650, 699], [60], id='once for each share'),
        pytest.param([650, 950, 950], [60, 90], id='the largest share that was passed'),
    ],
)
def test_growing_memory_is_reported_once_for_each_share(peaks_bytes, reported_percents):
    """An instance that ran out of memory left no trace of it in its log."""
    lines = []
    peaks = iter(peaks_bytes)
    watch = process_usage.MemoryWatch(_LIMIT_BYTES, lines.append, lambda: _usage(next(peaks)))

    for _ in peaks_bytes:
        watch.check()

    assert [dict(line.fields)['percent'] for line in lines] == reported_percents


def test_nothing_is_reported_where_the_kernel_does_not_tell():
    """The watch must not fail on a machine without the process files."""
    lines = []
    process_usage.MemoryWatch(_LIMIT_BYTES, lines.append, lambda: None).check()

    assert not lines


def test_metrics_show_the_memory_and_the_descriptors_of_the_process():
    """Without them, used-up descriptors and used-up memory look alike from outside."""
    counters = metrics.Metrics('front-1')
    counters.add_gauges(process_usage.read_gauges)

    text = counters.render('text/plain')[0].decode()

    for name in ('open_descriptors', 'peak_memory_bytes', 'resident_memory_bytes'):
        value = text.partition(f'rhubarbspar_{name}{{instance="front-1"}} ')[2].partition('\n')[0]
        assert float(value) > 0
