"""Learn how many requests a backend server can work on at once."""

from limpetshore import clock

WINDOW_S = 0.1
MIN_SAMPLES = 8
DECREASE = 0.9
BASELINE_DRIFT = 1.01
USED_SHARE = 0.8


class ConcurrencyLimit:
    """Raise and lower the limit by the latency of whole answers.

    The limit grows by one in each window in which it was used up and the
    latency stayed usual, and shrinks by a tenth when the latency or sheds of
    the server say that it has too much (AIMD). It never goes above the
    announced slots.
    """

    def __init__(
        self,
        slots: int,
        *,
        initial_share: float,
        tolerance: float,
    ) -> None:
        """Start low, since a server that has just started is cold."""
        self.slots = slots
        self.limit = max(1, slots * initial_share)
        self.tolerance = tolerance
        self.baseline: float = 0
        self.samples = 0
        self.total: float = 0
        self.has_shed = False
        self.peak = 0
        self.window_end = clock.now() + WINDOW_S

    @property
    def allowed(self) -> int:
        """Return the number of requests allowed at once."""
        return max(1, int(self.limit))

    def resize(self, slots: int) -> None:
        """Follow an announcement of the server."""
        self.slots = max(1, slots)
        self.limit = min(self.limit, self.slots)

    def observe(self, latency: float, in_flight: int) -> None:
        """Count a whole answer that took `latency` seconds."""
        self.samples += 1
        self.total += latency
        self.peak = max(self.peak, in_flight)
        self.close_window()

    def observe_shed(self) -> None:
        """Count a request that the server refused by itself."""
        self.has_shed = True
        self.samples += 1
        self.close_window()

    def close_window(self) -> None:
        """Adjust the limit once a window has enough samples."""
        now = clock.now()
        if now < self.window_end or self.samples < MIN_SAMPLES:
            return
        latency = self.total / self.samples
        if not self.baseline:
            self.baseline = latency
        is_slow = latency > self.baseline * self.tolerance
        if self.has_shed or (is_slow and self.peak > 1):
            self.limit = max(1, self.limit * DECREASE)
        elif self.peak >= self.limit * USED_SHARE:
            self.limit = min(self.slots, self.limit + max(1, self.limit / 10))
        drifted = self.baseline * BASELINE_DRIFT
        self.baseline = min(latency, drifted) if latency else drifted
        self.samples = 0
        self.total = 0
        self.peak = 0
        self.has_shed = False
        self.window_end = now + WINDOW_S
