"""Measure answer latency for Prometheus, cheaply enough for every call."""

import bisect
import itertools
from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 5)
BUCKET_LABELS = (*(str(float(bound)) for bound in LATENCY_BUCKETS_S), '+Inf')


class LatencyHistogram:
    """Count the answers of one role by latency.

    Plain numbers without a lock suffice, because only one thread writes them.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self.counts = [0 for _ in BUCKET_LABELS]
        self.total_s: float = 0

    def observe(self, latency_s: float) -> None:
        """Count a complete answer that took `latency_s` seconds."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self.total_s += latency_s


class AnswerLatencyCollector(Collector):
    """Export the latency histograms of all roles to Prometheus."""

    def __init__(self, roles: tuple[str, ...]) -> None:
        """Start without answers."""
        self.roles = {role: LatencyHistogram() for role in roles}

    def collect(self) -> Iterator[Metric]:
        """Yield the answer counter and the latency histogram."""
        answers = CounterMetricFamily(
            'limpetshore_answers',
            'Whole answers, by role',
            labels=('role',),
        )
        latencies = HistogramMetricFamily(
            'limpetshore_call_seconds',
            'Time from request to whole answer, by role',
            labels=('role',),
        )
        for role, histogram in self.roles.items():
            answers.add_metric((role,), sum(histogram.counts))
            cumulative = itertools.accumulate(histogram.counts)
            buckets = list(zip(BUCKET_LABELS, cumulative, strict=True))
            latencies.add_metric((role,), buckets, histogram.total_s)
        yield answers
        yield latencies
