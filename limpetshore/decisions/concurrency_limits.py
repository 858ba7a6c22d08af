"""Learn how many requests a backend server can work on at once."""

import math
from typing import NamedTuple

from limpetshore import clock

MIN_WINDOW_S = 0.1
WINDOW_LATENCIES = 3
MIN_SAMPLES = 8
MOST_SAMPLES = 64
SATURATED_SHARE = 0.8
RAISE = 1.25
LOWER = 0.75
SHED_DECREASE = 0.9
SHED_PERIOD_S = 0.1
MIN_SETTLE_S = 0.02
MOST_BACKOFF = 16
LEAST_PROBED = 8


class Trial(NamedTuple):
    """Remember the limit and the answers a second before a change."""

    limit: float
    rate: float


class ConcurrencyLimit:
    """Look for the smallest limit that still gives the most answers a second.

    Latency alone does not tell a queue in the server from work that has grown
    slow, so the limit is changed for a moment while it is used up: it stays
    lower if just as many answers come, and higher only if more come. It never
    goes above the announced slots. Sheds of the server lower it at once.
    """

    def __init__(
        self,
        slots: int,
        *,
        initial_share: float,
        probe_s: float,
    ) -> None:
        """Start low, since a server that has just started is cold."""
        now = clock.now()
        self.slots = slots
        self.limit = max(1, slots * initial_share)
        self.probe_s = probe_s
        self.trial: Trial | None = None
        self.settled_at = now
        self.raise_at = now
        self.lower_at = now + probe_s
        self.lower_backoff = 1
        self.shed_at = now
        self.start_window(now)

    @property
    def allowed(self) -> int:
        """Return the number of requests allowed at once."""
        return max(1, int(self.limit))

    def resize(self, slots: int) -> None:
        """Follow an announcement of the server."""
        self.slots = max(1, slots)
        self.limit = min(self.limit, self.slots)

    def start_window(self, now: float) -> None:
        """Count anew from now on."""
        self.window_start = now
        self.samples = 0
        self.saturated_samples = 0

    def observe(self, latency: float, in_flight: int) -> None:
        """Count a whole answer that took `latency` seconds."""
        now = clock.now()
        if now < self.settled_at:
            self.start_window(now)
            return
        self.samples += 1
        self.saturated_samples += in_flight >= self.allowed
        wanted = min(MOST_SAMPLES, max(MIN_SAMPLES, 2 * self.allowed))
        elapsed = now - self.window_start
        lasts_s = max(MIN_WINDOW_S, WINDOW_LATENCIES * latency)
        if self.samples >= wanted and elapsed >= lasts_s:
            self.close_window(now, self.samples / elapsed, latency)

    def observe_shed(self) -> None:
        """Count a request that the server refused by itself."""
        now = clock.now()
        if now < self.shed_at + SHED_PERIOD_S:
            return
        self.shed_at = now
        self.trial = None
        self.limit = max(1, self.limit * SHED_DECREASE)
        self.raise_at = max(self.raise_at, now + self.probe_s)
        self.start_window(now)

    def close_window(self, now: float, rate: float, latency: float) -> None:
        """Judge a change under way, or begin one if the limit is used up."""
        is_saturated = self.saturated_samples >= self.samples * SATURATED_SHARE
        if self.trial is not None:
            self.judge(now, rate, self.trial, is_saturated=is_saturated)
        if is_saturated:
            self.begin(now, rate)
        self.settled_at = now + max(MIN_SETTLE_S, latency)
        self.start_window(now)

    def begin(self, now: float, rate: float) -> None:
        """Change the limit for a moment, if it is time to."""
        if self.limit < self.slots and now >= self.raise_at:
            changed = min(self.slots, max(self.limit * RAISE, self.limit + 1))
        elif self.allowed > LEAST_PROBED and now >= self.lower_at:
            changed = self.limit * LOWER
        else:
            return
        self.trial = Trial(self.limit, rate)
        self.limit = changed

    def judge(
        self,
        now: float,
        rate: float,
        before: Trial,
        *,
        is_saturated: bool,
    ) -> None:
        """Keep a changed limit or go back to the one before."""
        self.trial = None
        halfway = (1 + self.limit / before.limit) / 2
        is_much = rate >= before.rate * halfway
        if self.limit > before.limit:
            self.judge_raise(now, before, is_kept=is_much or not is_saturated)
        else:
            self.judge_lower(now, before, is_kept=is_much)

    def judge_raise(self, now: float, before: Trial, *, is_kept: bool) -> None:
        """Keep a higher limit if it brought more answers."""
        if is_kept:
            self.lower_at = max(self.lower_at, now + self.probe_s)
            return
        self.limit = before.limit
        self.raise_at = now + self.probe_s

    def judge_lower(self, now: float, before: Trial, *, is_kept: bool) -> None:
        """Keep a lower limit if it cost no answers."""
        if is_kept:
            self.lower_backoff = 1
            self.raise_at = now + self.probe_s
            return
        self.limit = before.limit
        self.lower_at = now + self.probe_s * self.lower_backoff
        self.lower_backoff = min(MOST_BACKOFF, self.lower_backoff * 2)


class AnnouncedLimit(ConcurrencyLimit):
    """Allow a fixed share of the announced slots.

    It fits servers that work on each slot at its own pace, where fewer
    requests at once only mean less work done, but that slow down when full.
    """

    def __init__(self, slots: int, *, slot_share: float) -> None:
        """Allow the share of the slots from the start."""
        super().__init__(slots, initial_share=slot_share, probe_s=math.inf)
        self.slot_share = slot_share

    def resize(self, slots: int) -> None:
        """Follow an announcement of the server."""
        self.slots = max(1, slots)
        self.limit = max(1, self.slots * self.slot_share)

    def observe(self, latency: float, in_flight: int) -> None:
        """Learn nothing from a latency."""

    def observe_shed(self) -> None:
        """Learn nothing from a request that the server refused."""
