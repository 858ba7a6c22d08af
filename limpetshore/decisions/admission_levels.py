"""Measure which share of each importance an overloaded guard refuses.

Guards report this admission level with each answer. Ingresses refuse requests
early by the levels that downstream servers reported.
"""

import random

from limpetshore import clock
from limpetshore.importance import Importance

REPORT_INTERVAL_S = 0.25
# Share of requests admitted at any level, so that recovery is noticed.
PROBE_SHARE = 0.05
# Weight of the last interval in the moving average of the level.
LEVEL_GAIN = 0.5
# Lower levels count as 0.
MIN_LEVEL = 0.01
HALF = 0.5


class AdmissionLevel:
    """Express the requests that a guard refuses for overload as one number.

    A level of 2.25 means that all requests of importance 0 and 1 are refused,
    and a quarter of those of importance 2.
    """

    def __init__(self) -> None:
        """Start at level 0, with the first interval beginning now."""
        self.admitted = [0 for _ in Importance]
        self.refused = [0 for _ in Importance]
        self.interval_end = clock.now() + REPORT_INTERVAL_S
        self.reported: float = 0

    def count_admitted(self, importance: Importance) -> None:
        """Count an admitted request in the current interval."""
        self.admitted[importance] += 1

    def count_refused(self, importance: Importance) -> None:
        """Count a request refused for overload in the current interval."""
        self.refused[importance] += 1

    def read(self) -> float:
        """Return the smoothed level as of the last complete interval."""
        now = clock.now()
        if now >= self.interval_end:
            measured = self.compute()
            is_recent = now < self.interval_end + REPORT_INTERVAL_S
            previous = self.reported if is_recent else 0
            self.reported = previous + (measured - previous) * LEVEL_GAIN
            self.admitted = [0 for _ in Importance]
            self.refused = [0 for _ in Importance]
            self.interval_end = now + REPORT_INTERVAL_S
        return self.reported

    def compute(self) -> float:
        """Return the level of the current interval's counts."""
        level: float = 0
        for admitted, refused in zip(self.admitted, self.refused, strict=True):
            if refused:
                level += refused / (admitted + refused)
        return level


class ReportedLevel:
    """Hold the level last reported by a server, with exponential decay."""

    def __init__(self, half_life_s: float) -> None:
        """Start at level 0; it halves every `half_life_s` seconds."""
        self.half_life_s = half_life_s
        self.level: float = 0
        self.reported_at = clock.now()

    def report(self, level: float, weight: float = 1) -> None:
        """Record a reported level; a weight below 1 gives a moving average."""
        if not level and not self.level:
            return
        current = self.read()
        self.level = current + (level - current) * weight
        if self.level < MIN_LEVEL:
            self.level = 0
        self.reported_at = clock.now()

    def read(self) -> float:
        """Return the decayed level as of now."""
        if self.level < MIN_LEVEL:
            return 0
        age = clock.now() - self.reported_at
        return self.level * HALF ** (age / self.half_life_s)


def should_refuse(
    level: float,
    importance: Importance,
    rng: random.Random,
) -> bool:
    """Decide at random whether to refuse a request early.

    `level` is the admission level downstream, where the request would probably
    be refused. A small share always passes, so that recovery is noticed.
    """
    refused_share = min(1 - PROBE_SHARE, level - importance)
    return refused_share > 0 and rng.random() < refused_share
