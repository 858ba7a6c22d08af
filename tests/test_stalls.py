"""Test that a process reports the times in which its event loop stood still."""

import time

import anyio
import pytest

from limpetshore.metrics import Metrics
from limpetshore import clock
from limpetshore.stalls import (
    MIN_STALL_S,
    TICK_S,
    LoopTicks,
    sleep_watchfully,
)
from tests.mock_clock import run_on_mock_clock


@pytest.mark.parametrize(
    ('blocked_s', 'is_counted'), [(MIN_STALL_S * 3, True), (0, False)]
)
def test_long_stall_is_counted_in_seconds(blocked_s, is_counted):
    """Count the time by which a timer was late, unless that is short."""

    async def block(metrics):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sleep_watchfully, metrics, 0.01)
            await anyio.sleep(0)
            time.sleep(blocked_s)
        return metrics.stalled_s._value.get()

    stalled_s = anyio.run(block, Metrics())
    assert bool(stalled_s) == is_counted
    if is_counted:
        assert stalled_s >= blocked_s - 0.01 - 1e-3


@pytest.mark.parametrize('ticks_after', [0, 1, 2])
def test_signal_is_dated_before_the_stall_that_delayed_it(ticks_after):
    """Count from the last time at which the loop ran before it stood still."""

    async def run():
        ticks = LoopTicks()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ticks.run)
            await anyio.sleep(TICK_S * 10)
            tasks.cancel_scope.cancel()
        stalled_at = clock.now()
        await anyio.sleep(MIN_STALL_S * 12)
        for _ in range(ticks_after):
            ticks.times.append(clock.now())
            await anyio.sleep(TICK_S)
        return stalled_at - ticks.find_earliest_arrival()

    assert 0 <= run_on_mock_clock(run) <= TICK_S


def test_signal_without_a_stall_is_dated_now():
    """Take no time off for what is handled at once."""

    async def run():
        ticks = LoopTicks()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ticks.run)
            await anyio.sleep(TICK_S * 10.5)
            tasks.cancel_scope.cancel()
        return clock.now() - ticks.find_earliest_arrival()

    assert run_on_mock_clock(run) == 0
