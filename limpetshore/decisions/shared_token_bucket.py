"""Grant the tokens of one shard to several nodes."""

import math

from limpetshore import clock
from limpetshore.protocol.messages import TokenRequest

# Added to the validity of a grant before its tokens are reused here.
EXPIRY_MARGIN_S = 0.1


class OutstandingGrant:
    """Count the tokens that one node may still spend before they expire."""

    def __init__(self, count: int, expires_at: float, sequence: int) -> None:
        """Record the upper bound `count` and the sequence of the request."""
        self.count = count
        self.expires_at = expires_at
        self.sequence = sequence


class SharedTokenBucket:
    """Grant tokens so that all nodes together stay within rate and burst.

    The tokens in the bucket and the outstanding grants never sum to more than
    the burst. The tokens spent in a window of length t are at most those that
    existed at its start plus those added during it: burst + rate * t.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        tokens: float,
        updated: float,
    ) -> None:
        """Start with `tokens` as of `updated`; `rate` is in tokens per s."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(tokens, burst)
        self.outstanding: dict[str, OutstandingGrant] = {}
        self.updated = updated

    def change(self, rate: float, burst: float) -> None:
        """Apply the rate and burst of a new policy, without adding tokens."""
        self.refill()
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, max(0, burst - self.count_outstanding()))

    def count_outstanding(self) -> int:
        """Return the granted tokens that other nodes may still spend."""
        return sum(issued.count for issued in self.outstanding.values())

    def refill(self) -> None:
        """Add accrued tokens and remove expired grants.

        Expired grants still count against the burst in this call.
        """
        now = clock.now()
        expired = [
            name
            for name, issued in self.outstanding.items()
            if issued.expires_at <= now
        ]
        accrued = self.tokens + self.rate * max(0, now - self.updated)
        capacity = max(0, self.burst - self.count_outstanding())
        self.tokens = min(accrued, capacity)
        self.updated = now
        for name in expired:
            self.outstanding.pop(name)

    def reconcile(
        self, request: TokenRequest, requester: str
    ) -> OutstandingGrant | None:
        """Update the grant of a node by what it reports as unspent.

        Return None if a later request of the node was handled before.
        """
        self.refill()
        issued = self.outstanding.get(requester)
        if issued is None:
            issued = OutstandingGrant(0, clock.now(), request.sequence - 1)
            self.outstanding[requester] = issued
        if request.sequence <= issued.sequence:
            return None
        returned = max(0, min(request.returned, issued.count))
        self.tokens += returned
        issued.count = max(0, min(issued.count - returned, request.unspent))
        issued.sequence = request.sequence
        return issued

    def grant(
        self, requester: str, request: TokenRequest, validity_s: float
    ) -> int:
        """Grant tokens to a node for `validity_s` and return their number.

        Grant at most half of the tokens in the bucket, rounded up.
        """
        issued = self.reconcile(request, requester)
        if issued is None:
            return 0
        half = math.ceil(self.tokens / 2)
        granted = max(0, min(request.wanted, int(self.tokens), max(1, half)))
        self.tokens -= granted
        issued.count += granted
        issued.expires_at = clock.now() + validity_s + EXPIRY_MARGIN_S
        self.check_invariant()
        return granted

    def time_to_token(self) -> float:
        """Return the seconds until a token can be granted."""
        return max(0, (1 - self.tokens) / self.rate)

    def check_invariant(self) -> None:
        """Assert that tokens and outstanding grants are within the burst."""
        total = self.tokens + self.count_outstanding()
        if self.tokens < 0 or total > self.burst + self.tolerance:
            raise AssertionError(
                f'{total} tokens exceed the burst {self.burst}'
            )

    @property
    def tolerance(self) -> float:
        """Return the allowed excess over a burst that was just lowered."""
        return max(EXPIRY_MARGIN_S, self.count_outstanding() - self.burst)
