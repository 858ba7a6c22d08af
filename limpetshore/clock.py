"""Read the monotonic clock, with or without suspended time, and wall time."""

import functools
import time
from collections.abc import Callable

import anyio

TimeSource = Callable[[], float]

NO_DEADLINE = float('inf')
# uvloop rounds delays to whole milliseconds and the present time down.
TIMER_ERROR_S = 0.0015


class ProcessClock:
    """Hold the time source of this process, which tests can replace."""

    def __init__(self) -> None:
        """Start with the clock of the event loop."""
        self.source: TimeSource = anyio.current_time


process_clock = ProcessClock()


def now() -> float:
    """Return monotonic time in seconds."""
    return process_clock.source()


# Seconds since the machine booted, including time spent suspended.
boot_time: TimeSource = functools.partial(
    time.clock_gettime,
    time.CLOCK_BOOTTIME,
)


def use_boot_time() -> None:
    """Include suspended time, which the clock of an event loop omits.

    Replace `now` itself to save a function call, since every request reads the
    time many times.
    """
    process_clock.source = boot_time
    globals()['now'] = boot_time  # noqa: WPS421


def seconds_until(deadline: float) -> float:
    """Return how long a timer must run so that it never fires early."""
    remaining_s = deadline - now()
    return remaining_s + TIMER_ERROR_S if remaining_s > 0 else 0


def wall_time() -> float:
    """Return seconds since 1970; they may jump forward or back."""
    return time.time()
