"""Run asynchronous tests on a mock clock that jumps when all tasks wait."""

import anyio._backends._trio  # noqa: F401; loaded before any test runs
import trio
import trio.testing
from trio._core import _run


def run_on_mock_clock(work, *arguments):
    """Run an asynchronous function on trio with an autojump clock.

    Trio schedules tasks in random order, by a generator of its own; it is
    seeded here to make runs reproducible.
    """
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(work, *arguments, clock=clock)
