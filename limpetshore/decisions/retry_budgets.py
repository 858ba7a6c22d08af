"""Bound retries by a budget for each request and tokens for each service."""

from limpetshore.verdicts import RETRYABLE_REASONS, Reason


class RetryBudget:
    """Hold the retries left to one request on this hop.

    Part of the budget is lent to each deeper call and comes back when the
    call ends, less what it spent, so the sum over the graph never grows.
    """

    def __init__(self, remaining: int) -> None:
        """Start with what the hop above lent."""
        self.granted = remaining
        self.remaining = remaining
        self.lent = 0
        self.spent = 0
        self.is_closed = False

    def spend(self) -> bool:
        """Take one retry; return False if none is left."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        self.spent += 1
        self.check()
        return True

    def lend(self) -> int:
        """Set aside half of what is left for a deeper call."""
        amount = 0 if self.is_closed else self.remaining // 2
        if not amount:
            return 0
        self.remaining -= amount
        self.lent += amount
        self.check()
        return amount

    def settle(self, amount: int, spent: int) -> None:
        """Take back a loan of which `spent` was used up."""
        if not amount:
            return
        spent = min(max(spent, 0), amount)
        self.lent -= amount
        self.remaining += amount - spent
        self.spent += spent
        self.check()

    def close(self) -> None:
        """Lend nothing more, since what was spent has been reported."""
        self.granted -= self.remaining
        self.remaining = 0
        self.is_closed = True

    def check(self) -> None:
        """Assert that the budget is conserved."""
        total = self.remaining + self.lent + self.spent
        if (
            total != self.granted
            or min(self.remaining, self.lent, self.spent) < 0
        ):
            raise AssertionError('retry budget not conserved')


class RetryTokens:
    """Let retries die out while most calls to a service fail."""

    def __init__(self, most: float, earning: float) -> None:
        """Start full; each whole answer earns a share of a retry."""
        self.most = most
        self.earning = earning
        self.tokens = most

    def resize(self, most: float) -> None:
        """Change how many retries may be saved up."""
        self.most = most
        self.tokens = min(self.tokens, most)

    def earn(self) -> None:
        """Count a whole answer."""
        self.tokens = min(self.most, self.tokens + self.earning)

    def spend(self) -> bool:
        """Take a token; return False if retries must stop."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_retry_safe(
    reason: Reason,
    *,
    has_run: bool,
    is_repeatable: bool,
) -> bool:
    """Tell whether another attempt may help and can do no harm.

    >>> is_retry_safe(Reason.BROKEN, has_run=True, is_repeatable=False)
    False
    >>> is_retry_safe(Reason.DRAINING, has_run=False, is_repeatable=False)
    True
    """
    return reason in RETRYABLE_REASONS and (is_repeatable or not has_run)
