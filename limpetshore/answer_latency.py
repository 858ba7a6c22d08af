"""Count answers and how long they took, cheaply enough for every call."""

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
BUCKET_NAMES = (*(str(float(bound)) for bound in LATENCY_BUCKETS_S), '+Inf')


class RoleTimes:
    """Hold the answers of one role; plain numbers, since one thread counts."""

    def __init__(self) -> None:
        """Start without answers."""
        self.counts = [0 for _ in BUCKET_NAMES]
        self.total_s: float = 0

    def observe(self, latency: float) -> None:
        """Count a whole answer that took `latency` seconds."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, latency)] += 1
        self.total_s += latency


class AnswerLatencyCollector(Collector):
    """Show the answers of every role to Prometheus."""

    def __init__(self, roles: tuple[str, ...]) -> None:
        """Start without answers."""
        self.roles = {role: RoleTimes() for role in roles}

    def collect(self) -> Iterator[Metric]:
        """Return the number of answers and the histogram of their times."""
        answers = CounterMetricFamily(
            'limpetshore_answers',
            'Whole answers, by role',
            labels=('role',),
        )
        times = HistogramMetricFamily(
            'limpetshore_call_seconds',
            'Time from request to whole answer, by role',
            labels=('role',),
        )
        for role, held in self.roles.items():
            answers.add_metric((role,), sum(held.counts))
            cumulated = itertools.accumulate(held.counts)
            buckets = list(zip(BUCKET_NAMES, cumulated, strict=True))
            times.add_metric((role,), buckets, held.total_s)
        yield answers
        yield times
