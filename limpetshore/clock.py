"""Read the clock of the runtime, or one that also counts suspended time."""

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


def boot_time() -> float:
    """Return seconds since boot, those spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_boot_time() -> None:
    """Count suspended time, which the clock of an event loop leaves out."""
    process_clock.source = boot_time


def wall_time() -> float:
    """Return seconds since 1970, which may jump either way."""
    return time.time()
