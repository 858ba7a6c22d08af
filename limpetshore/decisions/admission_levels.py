"""Report which importances are refused, and act on the reports of others."""

import random

from limpetshore import clock
from limpetshore.importance import Importance

INTERVAL_S = 0.25
PROBING_SHARE = 0.05
SMOOTHING = 0.5
IDLE_LEVEL = 0.01
HALF = 0.5


class AdmissionLevel:
    """Sum up what a guard refuses as one number.

    2.25 means: all requests of importance 0 and 1 are refused, and a quarter
    of those of importance 2.
    """

    def __init__(self) -> None:
        """Start by admitting all."""
        self.admitted = [0 for _ in Importance]
        self.refused = [0 for _ in Importance]
        self.interval_end = clock.now() + INTERVAL_S
        self.reported: float = 0

    def count_admitted(self, importance: Importance) -> None:
        """Count a request that was admitted."""
        self.admitted[importance] += 1

    def count_refused(self, importance: Importance) -> None:
        """Count a request that was refused for overload."""
        self.refused[importance] += 1

    def read(self) -> float:
        """Return the level of the last interval."""
        now = clock.now()
        if now >= self.interval_end:
            fresh = self.compute()
            is_recent = now < self.interval_end + INTERVAL_S
            old = self.reported if is_recent else 0
            self.reported = old + (fresh - old) * SMOOTHING
            self.admitted = [0 for _ in Importance]
            self.refused = [0 for _ in Importance]
            self.interval_end = now + INTERVAL_S
        return self.reported

    def compute(self) -> float:
        """Return the level of the counts so far."""
        level: float = 0
        for admitted, refused in zip(self.admitted, self.refused, strict=True):
            if refused:
                level += refused / (admitted + refused)
        return level


class ReportedLevel:
    """Hold the level last reported by a server, fading with time."""

    def __init__(self, half_life_s: float) -> None:
        """Start at zero."""
        self.half_life_s = half_life_s
        self.level: float = 0
        self.at = clock.now()

    def report(self, level: float, weight: float = 1) -> None:
        """Take in a report; a weight below one averages reports."""
        if not level and not self.level:
            return
        current = self.read()
        self.level = current + (level - current) * weight
        if self.level < IDLE_LEVEL:
            self.level = 0
        self.at = clock.now()

    def read(self) -> float:
        """Return the level now."""
        if self.level < IDLE_LEVEL:
            return 0
        age = clock.now() - self.at
        return self.level * HALF ** (age / self.half_life_s)


def should_refuse(
    level: float,
    importance: Importance,
    rng: random.Random,
) -> bool:
    """Decide whether a request would only be refused further down.

    A small share always passes, so that the end of an overload is seen.
    """
    refused_share = min(1 - PROBING_SHARE, level - importance)
    return refused_share > 0 and rng.random() < refused_share
