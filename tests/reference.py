"""Provide the reference token bucket that a whole fleet must respect."""


class ReferenceBucket:
    """Check that all nodes together stay within one rate and burst."""

    def __init__(self, rate, burst):
        """Start with a full bucket; `rate` is in tokens per second."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.last = None
        self.spent = 0

    def spend(self, now):
        """Take a token at `now` seconds; fail if there is none left."""
        if self.last is not None:
            added = (now - self.last) * self.rate
            self.tokens = min(self.burst, self.tokens + added)
        self.last = now
        self.tokens -= 1
        self.spent += 1
        assert self.tokens > -1e-6, f'excess of {-self.tokens} at {now}'
