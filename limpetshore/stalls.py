"""Notice when the event loop of a process stands still."""

import itertools
from collections import deque

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.metrics import Metrics

logger = Logger(__name__)

# Shorter delays of a timer are ordinary.
MIN_STALL_S = 0.1
TICK_S = 0.1
# A busy loop may run the timer more than once before it handles a signal.
KEPT_TICKS = 6


class LoopTicks:
    """Record when the event loop has run, to date what it handles late."""

    def __init__(self) -> None:
        """Start with the current time."""
        self.times = deque([clock.now()], maxlen=KEPT_TICKS)

    async def run(self) -> None:
        """Record the time until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.times.append(clock.now())

    def find_earliest_arrival(self) -> float:
        """Return when a signal that is handled now can have come.

        That is the start of a stall if one has just ended, else now.
        """
        now = clock.now()
        for earlier, later in itertools.pairwise((*self.times, now)):
            if later - earlier > TICK_S + MIN_STALL_S:
                return earlier
        return now


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
