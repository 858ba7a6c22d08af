"""Test when answers count as overdue: normal, slow and lost answers."""

import random

import anyio

from limpetshore.decisions.latency_estimate import LatencyEstimate
from tests.mock_clock import run_on_mock_clock


def estimate_overdue_s(latencies_s):
    """Return the overdue time after answers of some latencies."""

    async def run():
        estimate = LatencyEstimate()
        for latency_s in latencies_s:
            await anyio.sleep(0.01)
            estimate.observe(latency_s)
        return estimate.overdue_after_s()

    return run_on_mock_clock(run)


def test_too_few_samples_give_no_overdue_time():
    """Return no overdue time before there are enough samples."""
    assert estimate_overdue_s([0.02] * 5) is None


def test_normal_answers_are_rarely_overdue():
    """Exceed all but one in 200 latencies of a lognormal distribution."""
    rng = random.Random(1)
    latencies_s = [rng.lognormvariate(-3.8, 0.5) for _ in range(2000)]
    overdue_after_s = estimate_overdue_s(latencies_s)
    overdue = sum(latency_s > overdue_after_s for latency_s in latencies_s)
    assert overdue <= len(latencies_s) * 0.005


def test_lost_answer_is_overdue_long_before_the_deadline():
    """Detect a lost answer of a 20 ms request within a fifth of 700 ms."""
    rng = random.Random(2)
    overdue_after_s = estimate_overdue_s(
        [rng.lognormvariate(-3.9, 0.4) for _ in range(500)]
    )
    assert overdue_after_s < 0.14


def test_estimate_adapts_to_a_slow_service():
    """Adapt within a hundred answers to a service that becomes slow."""
    assert estimate_overdue_s([0.02] * 200 + [0.25] * 100) > 0.25
