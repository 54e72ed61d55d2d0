"""Counters, gauges and latency histograms, rendered by prometheus_client.

The library is imported at the first scrape, because it takes 4 MB of memory and most
instances are never scraped.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

__all__ = ["Histogram", "Meter"]

# Upper bounds of the histogram buckets, from the latency that the system may add to a
# request up to the longest deadline.
BUCKET_BOUNDS_MS = (
    1.5,
    5.0,
    20.0,
    50.0,
    100.0,
    200.0,
    400.0,
    800.0,
    1_500.0,
    4_000.0,
    12_000.0,
)


@attrs.define
class Histogram:
    """Histogram of durations.

    Parameters
    ----------
    counts : list of int
        Observations per bucket; the last bucket is unbounded.
    total_ms : float
        Sum of all observations in milliseconds.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKET_BOUNDS_MS) + 1))
    total_ms: float = 0.0

    def observe(self, duration_ms: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


class Meter:
    """Counters, gauges and histograms of one instance."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        self._histograms: dict[tuple[str, tuple[tuple[str, str], ...]], Histogram] = {}
        self._gauges: dict[
            tuple[str, tuple[tuple[str, str], ...]], Callable[[], float]
        ] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        self._counters[name, tuple(labels.items())] += amount

    def observe(self, name: str, duration_ms: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(labels.items()))
        self._histograms.setdefault(key, Histogram()).observe(duration_ms)

    def add_gauge(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register a gauge whose value is read at each scrape."""
        self._gauges[name, tuple(labels.items())] = read

    def read(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        return self._counters[name, tuple(labels.items())]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield metric families for prometheus_client."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, samples in _group_by_name(self._counters).items():
            labels = list(samples[0][0])
            counter = CounterMetricFamily(f"currantline_{name}", name, labels=labels)
            for values, value in samples:
                counter.add_metric(list(values.values()), value)
            yield counter
        for name, samples in _group_by_name(self._histograms).items():
            labels = list(samples[0][0])
            family = HistogramMetricFamily(f"currantline_{name}", name, labels=labels)
            for values, histogram in samples:
                buckets = list(_accumulate(histogram))
                total = histogram.total_ms
                family.add_metric(list(values.values()), buckets, sum_value=total)
            yield family
        for name, samples in _group_by_name(self._gauges).items():
            labels = list(samples[0][0])
            gauge = GaugeMetricFamily(f"currantline_{name}", name, labels=labels)
            for values, read in samples:
                gauge.add_metric(list(values.values()), read())
            yield gauge


def _group_by_name(
    values: Mapping[tuple[str, tuple[tuple[str, str], ...]], Any],
) -> dict[str, list[tuple[dict[str, str], Any]]]:
    groups: dict[str, list[tuple[dict[str, str], Any]]] = {}
    for (name, labels), value in values.items():
        groups.setdefault(name, []).append((dict(labels), value))
    return groups


def _accumulate(histogram: Histogram) -> Iterator[tuple[str, float]]:
    count = 0
    for bound, bucket_count in zip(
        (*BUCKET_BOUNDS_MS, float("inf")), histogram.counts, strict=True
    ):
        count += bucket_count
        yield ("+Inf" if bound == float("inf") else str(bound)), count
