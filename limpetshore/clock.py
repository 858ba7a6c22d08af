"""Read the clock of the runtime, or one that also counts suspended time."""

import functools
import time
from collections.abc import Callable

import anyio

TimeSource = Callable[[], float]


class ProcessClock:
    """Hold the one time source of this process."""

    def __init__(self) -> None:
        """Start with the clock of the runtime."""
        self.source: TimeSource = anyio.current_time


process_clock = ProcessClock()


def now() -> float:
    """Return seconds since a fixed moment in the past."""
    return process_clock.source()


# Seconds since boot, those spent suspended included.
boot_time: TimeSource = functools.partial(
    time.clock_gettime,
    time.CLOCK_BOOTTIME,
)


def use_boot_time() -> None:
    """Count suspended time, which the clock of an event loop leaves out.

    `now` itself is replaced, since every call reads it many times.
    """
    process_clock.source = boot_time
    globals()['now'] = boot_time  # noqa: WPS421


def wall_time() -> float:
    """Return seconds since 1970, which may jump either way."""
    return time.time()
