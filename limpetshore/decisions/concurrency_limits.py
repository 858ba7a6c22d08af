"""Limit the number of concurrent requests at a backend server."""

import math
from typing import NamedTuple

from limpetshore import clock

MIN_WINDOW_S = 0.1
MIN_WINDOW_LATENCIES = 3
MIN_SAMPLES = 8
MAX_SAMPLES = 64
SATURATED_SHARE = 0.8
RAISE_FACTOR = 1.25
LOWER_FACTOR = 0.75
SHED_FACTOR = 0.9
MIN_SHED_INTERVAL_S = 0.1
MIN_SETTLE_S = 0.02
MAX_LOWER_BACKOFF = 16
# Limits up to this number of requests are never lowered on trial.
MIN_LIMIT_TO_LOWER = 8


class Baseline(NamedTuple):
    """Hold the limit and the throughput, in answers per s, before a trial."""

    limit: float
    throughput: float


class ConcurrencyLimit:
    """Search for the smallest limit that still gives maximum throughput.

    Latency alone does not distinguish queueing inside the server from requests
    that have become slower. Therefore the limit is changed on trial while it
    is saturated: a lower limit is kept if throughput stays the same, a higher
    one only if throughput rises. The limit never exceeds the announced slots,
    and drops at once when the server sheds a request.
    """

    def __init__(
        self,
        slots: int,
        *,
        initial_share: float,
        probe_s: float,
    ) -> None:
        """Start at `initial_share` of the slots, since a new server is cold.

        `probe_s` is the number of seconds between two trials.
        """
        now = clock.now()
        self.slots = slots
        self.limit = max(1, slots * initial_share)
        self.probe_s = probe_s
        self.baseline: Baseline | None = None
        self.settles_at = now
        self.next_raise_at = now
        self.next_lower_at = now + probe_s
        self.lower_backoff = 1
        self.last_shed_at = now
        self.start_window(now)

    @property
    def allowed(self) -> int:
        """Return the number of concurrent requests allowed, at least 1."""
        return max(1, int(self.limit))

    def resize(self, slots: int) -> None:
        """Apply newly announced slots; a lower number caps the limit."""
        self.slots = max(1, slots)
        self.limit = min(self.limit, self.slots)

    def start_window(self, now: float) -> None:
        """Reset the sample counts and begin a measurement window."""
        self.window_start = now
        self.samples = 0
        self.saturated_samples = 0

    def observe(self, latency_s: float, in_flight: int) -> None:
        """Record the latency in seconds of an answer received in full.

        Answers are ignored until `settles_at`, as they may still belong to
        requests sent under the previous limit.
        """
        now = clock.now()
        if now < self.settles_at:
            self.start_window(now)
            return
        self.samples += 1
        self.saturated_samples += in_flight >= self.allowed
        min_samples = min(MAX_SAMPLES, max(MIN_SAMPLES, 2 * self.allowed))
        elapsed = now - self.window_start
        min_elapsed_s = max(MIN_WINDOW_S, MIN_WINDOW_LATENCIES * latency_s)
        if self.samples >= min_samples and elapsed >= min_elapsed_s:
            self.close_window(now, self.samples / elapsed, latency_s)

    def observe_shed(self) -> None:
        """Lower the limit because the server shed a request itself."""
        now = clock.now()
        if now < self.last_shed_at + MIN_SHED_INTERVAL_S:
            return
        self.last_shed_at = now
        self.baseline = None
        self.limit = max(1, self.limit * SHED_FACTOR)
        self.next_raise_at = max(self.next_raise_at, now + self.probe_s)
        self.start_window(now)

    def close_window(
        self, now: float, throughput: float, latency_s: float
    ) -> None:
        """Evaluate the current trial; start another if the limit is in use."""
        is_saturated = self.saturated_samples >= self.samples * SATURATED_SHARE
        if self.baseline is not None:
            self.evaluate_trial(
                now, throughput, self.baseline, is_saturated=is_saturated
            )
        if is_saturated:
            self.start_trial(now, throughput)
        self.settles_at = now + max(MIN_SETTLE_S, latency_s)
        self.start_window(now)

    def start_trial(self, now: float, throughput: float) -> None:
        """Raise or lower the limit on trial if a trial is due."""
        if self.limit < self.slots and now >= self.next_raise_at:
            trial_limit = min(
                self.slots, max(self.limit * RAISE_FACTOR, self.limit + 1)
            )
        elif self.allowed > MIN_LIMIT_TO_LOWER and now >= self.next_lower_at:
            trial_limit = self.limit * LOWER_FACTOR
        else:
            return
        self.baseline = Baseline(self.limit, throughput)
        self.limit = trial_limit

    def evaluate_trial(
        self,
        now: float,
        throughput: float,
        baseline: Baseline,
        *,
        is_saturated: bool,
    ) -> None:
        """Keep the limit on trial or revert to the one before.

        A raise must increase throughput by at least half the factor of the
        limit, unless the raised limit was not saturated. A lower limit may
        reduce throughput by at most half of its own reduction.
        """
        self.baseline = None
        required_ratio = (1 + self.limit / baseline.limit) / 2
        is_enough = throughput >= baseline.throughput * required_ratio
        if self.limit > baseline.limit:
            self.evaluate_raise(
                now, baseline, is_kept=is_enough or not is_saturated
            )
        else:
            self.evaluate_lower(now, baseline, is_kept=is_enough)

    def evaluate_raise(
        self, now: float, baseline: Baseline, *, is_kept: bool
    ) -> None:
        """Keep a raised limit if `is_kept`, or else revert it."""
        if is_kept:
            self.next_lower_at = max(self.next_lower_at, now + self.probe_s)
            return
        self.limit = baseline.limit
        self.next_raise_at = now + self.probe_s

    def evaluate_lower(
        self, now: float, baseline: Baseline, *, is_kept: bool
    ) -> None:
        """Keep a lowered limit if `is_kept`, or else revert and back off."""
        if is_kept:
            self.lower_backoff = 1
            self.next_raise_at = now + self.probe_s
            return
        self.limit = baseline.limit
        self.next_lower_at = now + self.probe_s * self.lower_backoff
        self.lower_backoff = min(MAX_LOWER_BACKOFF, self.lower_backoff * 2)


class AnnouncedLimit(ConcurrencyLimit):
    """Allow a fixed share of the announced slots.

    Suits servers whose slots are independent, where a lower limit only reduces
    throughput, but which slow down when all slots are in use.
    """

    def __init__(self, slots: int, *, slot_share: float) -> None:
        """Allow `slot_share` of the slots at once, without a cold start."""
        super().__init__(slots, initial_share=slot_share, probe_s=math.inf)
        self.slot_share = slot_share

    def resize(self, slots: int) -> None:
        """Apply newly announced slots; the limit changes in proportion."""
        self.slots = max(1, slots)
        self.limit = max(1, self.slots * self.slot_share)

    def observe(self, latency_s: float, in_flight: int) -> None:
        """Ignore the latency, since the limit is fixed."""

    def observe_shed(self) -> None:
        """Ignore the shed request, since the limit is fixed."""
