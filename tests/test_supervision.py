"""Test that a failing background loop does not end the node."""

import anyio

from limpetshore.metrics import Metrics
from limpetshore.supervision import run_supervised
from tests.mock_clock import run_on_mock_clock


def test_loop_runs_again_after_an_unexpected_error():
    """Count the defect, wait and go on."""
    runs = []

    async def fail_twice():
        runs.append(anyio.current_time())
        if len(runs) < 3:
            raise KeyError('unexpected')

    async def run():
        metrics = Metrics()
        await run_supervised(metrics, fail_twice)
        return metrics.defects.labels('background')._value.get()

    assert run_on_mock_clock(run) == 2
    assert runs[1] - runs[0] >= 1
