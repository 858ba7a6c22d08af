"""Test the retry times of callers that are refused at the same time."""

import random

import anyio
import pytest

from limpetshore.decisions.retry_schedule import (
    MAX_DELAY_S,
    RetrySchedule,
    suggest_retry_after,
)
from limpetshore.verdicts import Reason, Refusal, Verdict
from tests.mock_clock import run_on_mock_clock


def test_retry_times_follow_the_rate():
    """Space retry times at least as far apart as the rate admits requests."""

    async def run():
        schedule = RetrySchedule(20)
        return [schedule.next_delay() for _ in range(30)]

    delays = run_on_mock_clock(run)
    gaps = [later - earlier for earlier, later in zip(delays, delays[1:])]
    assert min(gaps) > 0.049
    assert max(delays) <= MAX_DELAY_S


def test_full_schedule_starts_over():
    """Start over when the schedule is full: callers would not wait longer."""

    async def run():
        schedule = RetrySchedule(2)
        first = [schedule.next_delay() for _ in range(20)]
        await anyio.sleep(5)
        return first, schedule.next_delay()

    first, later = run_on_mock_clock(run)
    assert max(first) <= MAX_DELAY_S
    assert later < 0.1


@pytest.mark.parametrize('reason', [Reason.OVERLOADED, Reason.NO_SERVER])
def test_retry_times_are_spread(reason):
    """Spread the retries of callers that were refused at the same time."""
    rng = random.Random(1)
    delays = [
        suggest_retry_after(Refusal(reason), rng).retry_after_s
        for _ in range(400)
    ]
    assert max(delays) - min(delays) > 0.4
    assert min(delays) > 0


def test_request_that_may_have_run_gets_no_retry_time():
    """Suggest a retry time only if the request has not run."""
    refusal = Refusal(Reason.OVERLOADED, Verdict.MAY_HAVE_RUN)
    assert suggest_retry_after(refusal, random.Random(1)).retry_after_s == 0


def test_rate_refusal_keeps_its_retry_time():
    """Keep the `retry_after_s` of a refusal for exceeding the rate."""
    refusal = Refusal(Reason.RATE, retry_after_s=0.7)
    assert suggest_retry_after(refusal, random.Random(1)).retry_after_s == 0.7
