"""Keep the background loops of a node running after an unexpected error."""

from collections.abc import Awaitable, Callable

import anyio

from limpetshore.metrics import Metrics

RESTART_PAUSE_S = 1.0


async def run_supervised(
    metrics: Metrics, loop: Callable[[], Awaitable[None]]
) -> None:
    """Run a loop again after it failed; report each failure as a defect.

    One unexpected error would otherwise end the node with all its calls.
    """
    while True:
        try:
            return await loop()
        except Exception:
            metrics.report_defect('background')
        await anyio.sleep(RESTART_PAUSE_S)
