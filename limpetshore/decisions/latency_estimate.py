"""Estimate the answer latency, to detect overdue answers."""

from limpetshore import clock

MIN_GAIN = 0.05
MIN_SAMPLES = 20
DEVIATION_FACTOR = 6
LATE_DEVIATION_FACTOR = 2
MIN_OVERDUE_S = 0.08
ESTIMATE_EXPIRY_S = 30.0


class LatencyEstimate:
    """Track the moving mean and mean deviation of the latency of one route.

    The algorithm is Jacobson's for retransmission timeouts (RFC 6298), with 6
    deviations instead of 4, since an answer that is merely slow must not be
    abandoned.
    """

    def __init__(self) -> None:
        """Start without samples; no answer is overdue before MIN_SAMPLES."""
        self.samples = 0
        self.mean: float = 0
        self.deviation: float = 0
        self.last_sample_at = clock.now()

    def observe(self, latency_s: float) -> None:
        """Add the latency in seconds of an answer."""
        self.last_sample_at = clock.now()
        self.samples += 1
        if self.samples == 1:
            self.mean = latency_s
            self.deviation = latency_s / 2
            return
        error = latency_s - self.mean
        gain = max(MIN_GAIN, 1 / self.samples)
        self.mean += error * gain
        self.deviation += (abs(error) - self.deviation) * gain

    def overdue_after_s(self) -> float | None:
        """Return the seconds after which an answer is overdue.

        Return None if there are too few samples or if the last is too old.
        """
        is_expired = clock.now() > self.last_sample_at + ESTIMATE_EXPIRY_S
        if self.samples < MIN_SAMPLES or is_expired:
            return None
        estimate = self.mean + DEVIATION_FACTOR * self.deviation
        return max(MIN_OVERDUE_S, estimate)

    def late_after_s(self) -> float:
        """Return the seconds within which most answers arrive, 0 if unknown."""
        return self.mean + LATE_DEVIATION_FACTOR * self.deviation
