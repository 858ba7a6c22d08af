"""Notice when the event loop of a process stands still."""

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.metrics import Metrics

logger = Logger(__name__)

# Shorter delays of a timer are ordinary.
MIN_STALL_S = 0.1


async def sleep_watchfully(metrics: Metrics, seconds: float) -> None:
    """Sleep; log and count how much longer that took, if it was long.

    No timer of the process ran meanwhile, and nothing was read.
    """
    due_at = clock.now() + seconds
    await anyio.sleep(seconds)
    stall_s = clock.now() - due_at
    if stall_s < MIN_STALL_S:
        return
    metrics.stalled_s.inc(stall_s)
    logger.warning(
        'the event loop stood still',
        extra={'for_s': round(stall_s, 3)},
    )
