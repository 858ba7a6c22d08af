"""Let each node spend an equal part of every budget without asking."""

from limpetshore import clock
from limpetshore.policies import Customer

LEAST_LOCAL_BURST = 32


class LocalBucket:
    """Hold the part of one customer's rate and burst that this node owns."""

    def __init__(self, now: float) -> None:
        """Start empty: an earlier incarnation may have spent the burst."""
        self.tokens: float = 0
        self.updated = now

    def take(self, rate: float, burst: float) -> bool:
        """Spend a token; `rate` a second accrue here, up to `burst`."""
        now = clock.now()
        accrued = self.tokens + rate * max(0, now - self.updated)
        self.tokens = min(burst, accrued)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class LocalShares:
    """Divide a fixed share of every budget equally among the nodes.

    The rest is granted by the holders of the shards, so that both together
    stay within rate and burst as long as `nodes` counts every living node.
    """

    def __init__(self, share: float) -> None:
        """Start alone; `share` is of rate and burst, 0 to 1."""
        self.share = share
        self.nodes = 1
        self.customers: dict[str, Customer] = {}
        self.buckets: dict[str, LocalBucket] = {}

    def take(self, name: str) -> bool:
        """Spend a token of this node's own part, if one has accrued."""
        customer = self.customers.get(name)
        if customer is None:
            return False
        part = find_local_share(customer, self.share) / self.nodes
        if customer.burst * part < 1:
            return False
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = LocalBucket(clock.now())
            self.buckets[name] = bucket
        return bucket.take(customer.rate * part, customer.burst * part)


def find_local_share(customer: Customer, share: float) -> float:
    """Return the share of a budget that nodes own; none of a small one."""
    return share if customer.burst >= LEAST_LOCAL_BURST else 0
