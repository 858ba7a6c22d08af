"""Hold the one bucket that all nodes together must not exceed."""


class ReferenceBucket:
    """Check spends against rate and burst over any window."""

    def __init__(self, rate, burst):
        """Start full."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.last = None
        self.spent = 0

    def spend(self, now):
        """Take a token; fail if all nodes together spent too much."""
        if self.last is not None:
            added = (now - self.last) * self.rate
            self.tokens = min(self.burst, self.tokens + added)
        self.last = now
        self.tokens -= 1
        self.spent += 1
        assert self.tokens > -1e-6, f'excess of {-self.tokens} at {now}'
