"""Spread the Retry-After times of refusals, so that retries can be served."""

import random

from limpetshore import clock
from limpetshore.verdicts import Reason, Refusal, Verdict

MAX_DELAY_S = 2.0
MIN_DELAY_S = 0.05

# Minimum and maximum seconds after which the cause has usually passed. Retries
# are spread between them, so that callers do not all retry at the same time.
RETRY_DELAY_RANGES_S = {
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
    """Assign retry times to refused callers at a fixed rate."""

    def __init__(self, rate: float) -> None:
        """Start with an empty schedule; `rate` is in retries per second."""
        self.rate = rate
        self.next_at = clock.now()

    def next_delay(self) -> float:
        """Return the seconds after which the next caller should retry.

        Start over at the earliest time once the schedule is full, that is
        when the delay would exceed MAX_DELAY_S.
        """
        now = clock.now()
        earliest = now + MIN_DELAY_S
        self.next_at = max(earliest, self.next_at + 1 / max(self.rate, 1))
        if self.next_at > now + MAX_DELAY_S:
            self.next_at = earliest
        return self.next_at - now


def suggest_retry_after(refusal: Refusal, rng: random.Random) -> Refusal:
    """Return the refusal with a random `retry_after_s` that suits its reason.

    A refusal is returned unchanged if its reason has no delay range, if it has
    a `retry_after_s` for another reason than overload, or if its request may
    have run.
    """
    has_retry_after = (
        refusal.retry_after_s and refusal.reason != Reason.OVERLOADED
    )
    range_s = RETRY_DELAY_RANGES_S.get(refusal.reason)
    if has_retry_after or range_s is None or refusal.verdict != Verdict.NOT_RUN:
        return refusal
    return refusal._replace(retry_after_s=rng.uniform(*range_s))
