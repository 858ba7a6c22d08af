"""Decide when to probe a node that has not answered a call."""


class ProbeSchedule:
    """Tell when to probe a node for a call that it has not answered.

    A node that still sends other bytes is probed after `silence_s`, a quiet one
    after `late_s`. Both intervals double with each probe.
    """

    def __init__(
        self, started_at: float, *, silence_s: float, late_s: float
    ) -> None:
        """Count from `started_at`."""
        self.started_at = started_at
        self.silence_s = silence_s
        self.late_s = late_s

    def find_due(self, quiet_since: float) -> float:
        """Return the time of the next probe of a node quiet since then.

        >>> schedule = ProbeSchedule(10, silence_s=1.5, late_s=0.5)
        >>> [schedule.find_due(since) for since in (9, 11, 12)]
        [10.5, 11, 11.5]
        """
        due_if_quiet = max(self.started_at + self.late_s, quiet_since)
        return min(self.started_at + self.silence_s, due_if_quiet)

    def restart(self, probed_at: float) -> None:
        """Count from a probe."""
        self.started_at = probed_at
        self.silence_s *= 2
        self.late_s *= 2
