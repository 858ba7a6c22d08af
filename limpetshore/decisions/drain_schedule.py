"""Decide which requests a node that stops still takes."""

from limpetshore import clock

# Shares of the grace time: the longest notice before the ports close, when it
# ends at the latest, and when the node ends what is still open, so that it
# exits before it is killed.
MAX_NOTICE_SHARE = 1 / 3
NOTICE_END_SHARE = 1 / 2
EXIT_SHARE = 0.9
# Callers must expect to be cut off after the first share; exits that come after
# the second one may be too late.
MIN_EXIT_SHARE = 5 / 6
MAX_EXIT_SHARE = 0.95


class DrainSchedule:
    """Divide the grace time of a node between notice, last requests and exit.

    During the notice all requests are taken, since callers do not know yet that
    the node stops. From then on only those whose deadline lies before the exit,
    since any other may be cut off.

    The grace time runs from when the signal was sent, the notice from when the
    node has handled it. At `exit_at` the node ends all that is still open.
    """

    def __init__(self, graceful_s: float, notice_s: float) -> None:
        """Set how long the node may take to stop; `start` begins that time."""
        self.graceful_s = graceful_s
        self.notice_s = min(notice_s, MAX_NOTICE_SHARE * graceful_s)
        self.signalled_at = clock.NO_DEADLINE
        self.notice_end = clock.NO_DEADLINE
        self.exit_at = clock.NO_DEADLINE

    def start(self, signalled_at: float) -> None:
        """Begin the notice; the signal came at `signalled_at` or later.

        It may have come just now, so that an exit counted from `signalled_at`
        could be too early.
        """
        now = clock.now()
        self.signalled_at = signalled_at
        self.notice_end = min(
            now + self.notice_s,
            signalled_at + NOTICE_END_SHARE * self.graceful_s,
        )
        self.exit_at = min(
            max(
                signalled_at + EXIT_SHARE * self.graceful_s,
                now + MIN_EXIT_SHARE * self.graceful_s,
            ),
            signalled_at + MAX_EXIT_SHARE * self.graceful_s,
        )

    @property
    def leaving_for_s(self) -> float | None:
        """Return the seconds since the signal; None before `start`."""
        if self.signalled_at == clock.NO_DEADLINE:
            return None
        return round(clock.now() - self.signalled_at, 3)

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the exit."""
        return max(0, self.exit_at - clock.now())

    @property
    def remaining_notice_s(self) -> float:
        """Return the seconds until the end of the notice."""
        return max(0, self.notice_end - clock.now())

    def may_take(self, end_at: float) -> bool:
        """Tell whether to take a request that ends at `end_at` at the latest.

        >>> schedule = DrainSchedule(6, 2)
        >>> schedule.exit_at = 5.4
        >>> schedule.may_take(5.3)
        True
        """
        return end_at <= self.exit_at or clock.now() < self.notice_end
