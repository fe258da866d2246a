"""Prometheus counters by reason and histograms of durations by service."""

import dataclasses
import types
import typing
from collections import abc

from aioprometheus import collectors
from aioprometheus import renderer

from rhubarbspar import const as package_const
from rhubarbspar.core import effects
from rhubarbspar.http1 import descriptors

_DESCRIPTIONS: typing.Final = types.MappingProxyType(
    {
        package_const.METRIC_EVENTS: 'Notable events by name.',
        package_const.METRIC_REFUSALS: 'Refused requests by reason.',
        package_const.METRIC_RETRIES: 'Retried attempts by reason.',
    }
)


_CONNECTION_GAUGES: typing.Final = types.MappingProxyType(
    {
        'evicted': 'Idle connections closed for new ones since the start, by kind.',
        'limit': 'Connections that may be open, by kind.',
        'open': 'Open connections by kind.',
        'refused': 'Connections beyond the limit since the start, by kind.',
    }
)

# Upper bounds of the latency histograms, milliseconds.
LATENCY_BUCKETS_MS: typing.Final = (
    *(25.0, 50.0, 100.0, 200.0, 400.0),
    *(800.0, 1600.0, 3200.0, 6400.0, 12_800.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A value that is read when the metrics are rendered."""

    name: str
    amount: float


class Metrics:
    """Counters, histograms and gauges of one instance."""

    def __init__(self, instance_id: str) -> None:
        """Create the common counters with the instance as a constant label."""
        self._registry = collectors.Registry()
        self._labels = {'instance': instance_id}
        self._counters: dict[str, collectors.Counter] = {}
        self._histograms: dict[str, collectors.Histogram] = {}
        self._gauges: dict[str, collectors.Gauge] = {}
        self._gauge_sources: list[abc.Callable[[], abc.Iterable[Gauge]]] = []
        for name in _DESCRIPTIONS:
            self._counters[name] = self._create(name)
        self._connections = {
            gauge: collectors.Gauge(
                f'rhubarbspar_connections_{gauge}',
                description,
                const_labels=self._labels,
                registry=self._registry,
            )
            for gauge, description in _CONNECTION_GAUGES.items()
        }

    def count(self, effect: effects.Count) -> None:
        """Increment the counter of a metric, which is created on first use."""
        counter = self._counters.get(effect.metric)
        if counter is None:
            counter = self._create(effect.metric)
            self._counters[effect.metric] = counter
        counter.inc({'reason': effect.reason})

    def observe(self, metric: str, service_id: str, elapsed_ms: float) -> None:
        """Record a duration in the histogram of a metric, which is created on first use."""
        histogram = self._histograms.get(metric)
        if histogram is None:
            histogram = collectors.Histogram(
                f'rhubarbspar_{metric}_ms',
                'Durations by service in milliseconds.',
                const_labels=self._labels,
                registry=self._registry,
                buckets=list(LATENCY_BUCKETS_MS),
            )
            self._histograms[metric] = histogram
        histogram.observe({'service': service_id}, elapsed_ms)

    def add_gauges(self, read: abc.Callable[[], abc.Iterable[Gauge]]) -> None:
        """Read gauges from a function each time that the metrics are rendered."""
        self._gauge_sources.append(read)

    def update_connections(self, limits: abc.Iterable[descriptors.ConnectionLimit]) -> None:
        """Set the gauges of the connections by kind."""
        for limit in limits:
            labels = {'kind': limit.kind}
            self._connections['open'].set(labels, limit.open_count)
            self._connections['limit'].set(labels, limit.limit)
            self._connections['evicted'].set(labels, limit.evicted_count)
            self._connections['refused'].set(labels, limit.refused_count)

    def render(self, accept: str) -> tuple[bytes, dict[str, typing.Any]]:
        """Return the exposition in the accepted format and its HTTP headers."""
        for read in self._gauge_sources:
            for gauge in read():
                self._set(gauge)
        body, http_headers = renderer.render(self._registry, [accept])
        return body, http_headers

    def _set(self, gauge: Gauge) -> None:
        collector = self._gauges.get(gauge.name)
        if collector is None:
            collector = collectors.Gauge(
                f'rhubarbspar_{gauge.name}',
                'Present value.',
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauges[gauge.name] = collector
        collector.set({}, gauge.amount)

    def _create(self, name: str) -> collectors.Counter:
        return collectors.Counter(
            f'rhubarbspar_{name}_total',
            _DESCRIPTIONS.get(name, f'Events of the component {name} by name.'),
            const_labels=self._labels,
            registry=self._registry,
        )
