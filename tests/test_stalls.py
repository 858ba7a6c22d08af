"""Test that a process reports the times in which its event loop stood still."""

import time

import anyio
import pytest

from limpetshore.metrics import Metrics
from limpetshore.stalls import MIN_STALL_S, sleep_watchfully


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
