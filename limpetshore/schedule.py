"""Tell refused callers when to return, so that there is room for each."""

from limpetshore import clock

MOST_AHEAD_S = 2.0
LEAST_DELAY_S = 0.05


class ReturnSchedule:
    """Hand out return times one after the other at the rate of room."""

    def __init__(self, rate: float) -> None:
        """Start with an empty schedule; `rate` is returns a second."""
        self.rate = rate
        self.next_at = clock.now()

    def next_delay(self) -> float:
        """Return the seconds after which the next caller should return."""
        now = clock.now()
        earliest = now + LEAST_DELAY_S
        self.next_at = max(earliest, self.next_at + 1 / max(self.rate, 1))
        if self.next_at > now + MOST_AHEAD_S:
            self.next_at = earliest
        return self.next_at - now
