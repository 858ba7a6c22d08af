"""Limit retries by a budget per request and a token bucket per service."""

from limpetshore.verdicts import RETRYABLE_REASONS, Reason


class RetryBudget:
    """Hold the retries that remain to one request on this hop.

    Part of the budget is lent to each downstream call. When that call ends,
    the retries that it did not spend are returned, so that the sum over the
    call graph never grows.
    """

    def __init__(self, remaining: int) -> None:
        """Start with the retries lent by the previous hop."""
        self.granted = remaining
        self.remaining = remaining
        self.lent = 0
        self.spent = 0
        self.is_closed = False

    def spend(self) -> bool:
        """Spend one retry; return False if none remains."""
        if self.remaining < 1:
            return False
        self.remaining -= 1
        self.spent += 1
        self.check_invariant()
        return True

    def lend(self) -> int:
        """Lend half of the remaining retries to a downstream call."""
        amount = 0 if self.is_closed else self.remaining // 2
        if not amount:
            return 0
        self.remaining -= amount
        self.lent += amount
        self.check_invariant()
        return amount

    def settle(self, amount: int, spent: int) -> None:
        """Take back a loan of `amount` retries, of which `spent` were used."""
        if not amount:
            return
        spent = min(max(spent, 0), amount)
        self.lent -= amount
        self.remaining += amount - spent
        self.spent += spent
        self.check_invariant()

    def close(self) -> None:
        """Stop lending and spending.

        Called when the spent retries are reported to the previous hop; retries
        spent afterwards would be missing in that report.
        """
        self.granted -= self.remaining
        self.remaining = 0
        self.is_closed = True

    def check_invariant(self) -> None:
        """Assert that remaining, lent and spent sum to the granted retries."""
        total = self.remaining + self.lent + self.spent
        if (
            total != self.granted
            or min(self.remaining, self.lent, self.spent) < 0
        ):
            raise AssertionError('retry budget is not conserved')


class RetryTokens:
    """Throttle retries by a token bucket while most calls to a service fail.

    Each retry costs one token; each answer received in full earns a fraction
    of a token, `earned_per_answer`.
    """

    def __init__(self, max_tokens: float, earned_per_answer: float) -> None:
        """Start with a full bucket."""
        self.max_tokens = max_tokens
        self.earned_per_answer = earned_per_answer
        self.tokens = max_tokens

    def resize(self, max_tokens: float) -> None:
        """Change the capacity; tokens above it are dropped."""
        self.max_tokens = max_tokens
        self.tokens = min(self.tokens, max_tokens)

    def earn(self) -> None:
        """Add the tokens earned by an answer received in full."""
        self.tokens = min(
            self.max_tokens,
            self.tokens + self.earned_per_answer,
        )

    def spend(self) -> bool:
        """Spend one token; return False if retries are throttled."""
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
    """Return whether another attempt may succeed and is safe.

    It is safe if the request has not run or may be repeated.

    >>> is_retry_safe(Reason.BROKEN, has_run=True, is_repeatable=False)
    False
    >>> is_retry_safe(Reason.DRAINING, has_run=False, is_repeatable=False)
    True
    """
    return reason in RETRYABLE_REASONS and (is_repeatable or not has_run)
