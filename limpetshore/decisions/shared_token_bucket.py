"""Hold the part of a customer's rate and burst that one shard grants."""

import math

from limpetshore import clock
from limpetshore.protocol.messages import TokenRequest

EXPIRY_MARGIN_S = 0.1


class Holding:
    """Remember the tokens another node holds unspent, until they lapse."""

    def __init__(self, count: int, expires_at: float, sequence: int) -> None:
        """Set how many tokens there are at most, and until when."""
        self.count = count
        self.expires_at = expires_at
        self.sequence = sequence


class SharedTokenBucket:
    """Grant tokens so that all nodes together stay within rate and burst.

    Tokens here and tokens held elsewhere never sum to more than the burst.
    What is spent in a window of length t is at most what existed at its
    start plus what was added in it: burst + rate * t.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        tokens: float,
        updated: float,
    ) -> None:
        """Start with some tokens as of a time; `rate` is in tokens a second."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(tokens, burst)
        self.holdings: dict[str, Holding] = {}
        self.updated = updated

    def change(self, rate: float, burst: float) -> None:
        """Follow a new policy, without adding tokens."""
        self.refill()
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, max(0, burst - self.held()))

    def held(self) -> int:
        """Return the tokens that may still be spent elsewhere."""
        return sum(holding.count for holding in self.holdings.values())

    def refill(self) -> None:
        """Add what has accrued and forget what has lapsed."""
        now = clock.now()
        lapsed = [
            name
            for name, holding in self.holdings.items()
            if holding.expires_at <= now
        ]
        accrued = self.tokens + self.rate * max(0, now - self.updated)
        room = max(0, self.burst - self.held())
        self.tokens = min(accrued, room)
        self.updated = now
        for name in lapsed:
            self.holdings.pop(name)

    def settle(self, request: TokenRequest, requester: str) -> Holding | None:
        """Take in what a node says it holds; return None for a late word."""
        self.refill()
        known = self.holdings.get(requester)
        if known is None:
            known = Holding(0, clock.now(), request.sequence - 1)
            self.holdings[requester] = known
        if request.sequence <= known.sequence:
            return None
        returned = max(0, min(request.returned, known.count))
        self.tokens += returned
        known.count = max(0, min(known.count - returned, request.unspent))
        known.sequence = request.sequence
        return known

    def grant(
        self, requester: str, request: TokenRequest, validity_s: float
    ) -> int:
        """Give tokens to a node that may still hold some unspent."""
        known = self.settle(request, requester)
        if known is None:
            return 0
        half = math.ceil(self.tokens / 2)
        granted = max(0, min(request.wanted, int(self.tokens), max(1, half)))
        self.tokens -= granted
        known.count += granted
        known.expires_at = clock.now() + validity_s + EXPIRY_MARGIN_S
        self.check()
        return granted

    def time_to_token(self) -> float:
        """Return the seconds until there is a token to grant."""
        return max(0, (1 - self.tokens) / self.rate)

    def check(self) -> None:
        """Assert the bound that the whole scheme rests on."""
        total = self.tokens + self.held()
        if self.tokens < 0 or total > self.burst + self.tolerance:
            raise AssertionError(f'{total} tokens exceed {self.burst}')

    @property
    def tolerance(self) -> float:
        """Return how far a sum may exceed a burst that was just lowered."""
        return max(EXPIRY_MARGIN_S, self.held() - self.burst)
