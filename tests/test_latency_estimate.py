"""Replay answers that come, are slow or are lost."""

import random

import anyio

from limpetshore.decisions.latency_estimate import LatencyEstimate
from tests.mock_clock import run_on_mock_clock


def learn(latencies):
    """Return the patience after some answers."""

    async def run():
        estimate = LatencyEstimate()
        for latency in latencies:
            await anyio.sleep(0.01)
            estimate.observe(latency)
        return estimate.overdue_after_s()

    return run_on_mock_clock(run)


def test_few_answers_tell_nothing():
    """Wait on while little is known."""
    assert learn([0.02] * 5) is None


def test_usual_answers_are_never_overdue():
    """Cover every answer of a lognormal load but one in two hundred."""
    rng = random.Random(1)
    latencies = [rng.lognormvariate(-3.8, 0.5) for _ in range(2000)]
    overdue_after_s = learn(latencies)
    late = sum(latency > overdue_after_s for latency in latencies)
    assert late <= len(latencies) * 0.005


def test_lost_answer_is_overdue_long_before_a_deadline():
    """Notice a lost answer of 20 ms work within a fifth of 700 ms."""
    rng = random.Random(2)
    overdue_after_s = learn([rng.lognormvariate(-3.9, 0.4) for _ in range(500)])
    assert overdue_after_s < 0.14


def test_when_all_answers_grow_slow_none_is_overdue():
    """Follow a slow service within a hundred answers."""
    assert learn([0.02] * 200 + [0.25] * 100) > 0.25
