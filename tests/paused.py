"""Run decisions on a paused clock that jumps when all tasks wait."""

import trio
import trio.testing


def run_paused(work, *arguments):
    """Run an asynchronous function on trio with an autojump clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(work, *arguments, clock=clock)
