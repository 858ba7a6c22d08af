"""Tell refused callers when to return, so that there is room for each."""

import random

from limpetshore import clock
from limpetshore.verdicts import Reason, Refusal, Verdict

MOST_AHEAD_S = 2.0
LEAST_DELAY_S = 0.05

# Seconds, least and most, after which the cause has usually passed. Returns
# are spread between them, so that callers do not come back all at once.
RETURNS_S = {
    Reason.CUT_OFF: (0.3, 0.8),
    Reason.DRAINING: (0.1, 0.4),
    Reason.NO_POLICY: (0.2, 0.5),
    Reason.NO_SERVER: (0.3, 0.8),
    Reason.NOT_OWNER: (0.1, 0.4),
    Reason.OVERLOADED: (0.4, 1.2),
    Reason.RATE_UNKNOWN: (0.2, 0.5),
    Reason.SERVER_SHED: (0.1, 0.4),
    Reason.UNREACHABLE: (0.1, 0.4),
}


class RetrySchedule:
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


def suggest_retry_after(refusal: Refusal, rng: random.Random) -> Refusal:
    """Return a refusal with the time at which its caller should return."""
    is_told = refusal.retry_after_s and refusal.reason != Reason.OVERLOADED
    window_s = RETURNS_S.get(refusal.reason)
    if is_told or window_s is None or refusal.verdict != Verdict.NOT_RUN:
        return refusal
    return refusal._replace(retry_after_s=rng.uniform(*window_s))
