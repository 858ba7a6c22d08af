"""Estimate how long an answer takes, to tell when one is overdue."""

from limpetshore import clock

GAIN = 0.05
LEAST_SAMPLES = 20
DEVIATIONS = 6
LEAST_PATIENCE_S = 0.08
FORGET_S = 30.0


class LatencyEstimate:
    """Follow mean and mean deviation of the latency of one route.

    The estimate is Jacobson's for retransmission timeouts (RFC 6298), with
    more deviations, since an answer that is only slow must not be given up.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.samples = 0
        self.mean: float = 0
        self.deviation: float = 0
        self.seen_at = clock.now()

    def observe(self, latency: float) -> None:
        """Learn from a whole answer that took `latency` seconds."""
        self.seen_at = clock.now()
        self.samples += 1
        if self.samples == 1:
            self.mean = latency
            self.deviation = latency / 2
            return
        error = latency - self.mean
        gain = max(GAIN, 1 / self.samples)
        self.mean += error * gain
        self.deviation += (abs(error) - self.deviation) * gain

    def overdue_after_s(self) -> float | None:
        """Return the seconds after which an answer is overdue, if known."""
        is_old = clock.now() > self.seen_at + FORGET_S
        if self.samples < LEAST_SAMPLES or is_old:
            return None
        overdue = self.mean + DEVIATIONS * self.deviation
        return max(LEAST_PATIENCE_S, overdue)
