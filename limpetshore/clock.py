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


def boot_time(
    read: Callable[[int], float] = time.clock_gettime,
    clock_id: int = time.CLOCK_BOOTTIME,
) -> float:
    """Return seconds since boot, those spent suspended included."""
    return read(clock_id)


def use_boot_time() -> None:
    """Count suspended time, which the clock of an event loop leaves out.

    `now` itself is replaced, since every call reads it many times.
    """
    process_clock.source = boot_time
    globals()['now'] = boot_time  # noqa: WPS421


def wall_time() -> float:
    """Return seconds since 1970, which may jump either way."""
    return time.time()
