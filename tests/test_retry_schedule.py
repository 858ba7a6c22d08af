"""Replay many refusals at once and look when their callers return."""

import random

import anyio
import pytest

from limpetshore.decisions.retry_schedule import (
    MOST_AHEAD_S,
    RetrySchedule,
    suggest_retry_after,
)
from limpetshore.verdicts import Reason, Refusal, Verdict
from tests.mock_clock import run_on_mock_clock


def test_returns_come_at_the_rate_of_room():
    """Hand out return times no denser than requests are let pass."""

    async def run():
        schedule = RetrySchedule(20)
        return [schedule.next_delay() for _ in range(30)]

    delays = run_on_mock_clock(run)
    gaps = [later - sooner for sooner, later in zip(delays, delays[1:])]
    assert min(gaps) > 0.049
    assert max(delays) <= MOST_AHEAD_S


def test_schedule_that_is_full_begins_anew():
    """Send nobody further off than callers would wait."""

    async def run():
        schedule = RetrySchedule(2)
        first = [schedule.next_delay() for _ in range(20)]
        await anyio.sleep(5)
        return first, schedule.next_delay()

    first, later = run_on_mock_clock(run)
    assert max(first) <= MOST_AHEAD_S
    assert later < 0.1


@pytest.mark.parametrize('reason', [Reason.OVERLOADED, Reason.NO_SERVER])
def test_returns_are_spread(reason):
    """Keep callers that were refused together from returning together."""
    rng = random.Random(1)
    delays = [
        suggest_retry_after(Refusal(reason), rng).retry_after_s
        for _ in range(400)
    ]
    assert max(delays) - min(delays) > 0.4
    assert min(delays) > 0


def test_what_may_have_run_is_not_asked_for_again():
    """Suggest no return unless the request has not run."""
    refusal = Refusal(Reason.OVERLOADED, Verdict.MAY_HAVE_RUN)
    assert suggest_retry_after(refusal, random.Random(1)).retry_after_s == 0


def test_limit_keeps_its_own_schedule():
    """Leave the return time of a customer over its rate as it is."""
    refusal = Refusal(Reason.RATE, retry_after_s=0.7)
    assert suggest_retry_after(refusal, random.Random(1)).retry_after_s == 0.7
