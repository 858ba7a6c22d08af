"""Grant tokens from the shards that the ledger assigns to this node."""

from limpetshore import clock
from limpetshore.decisions.shared_token_bucket import SharedTokenBucket
from limpetshore.protocol.messages import (
    GrantReply,
    GrantRequest,
    TokenGrant,
    TokenRequest,
)
from limpetshore.state.fencing import FencingState
from limpetshore.state.ledger import (
    Holder,
    Ledger,
    VersionedLedger,
    find_shards,
)
from limpetshore.state.policies import PolicyIndex

MIN_BURST_PER_SHARD_TOKENS = 8


class HeldShard:
    """Hold one shard and its buckets, one for each customer.

    `initial_customers` are those of the policy when the shard was acquired,
    None until confirmed. No previous holder can have granted tokens to a
    customer added later, so that the bucket of such a customer starts full.
    """

    def __init__(self, acquired_at: float, grants_start_at: float) -> None:
        """Start without buckets; grants begin at `grants_start_at`."""
        self.acquired_at = acquired_at
        self.grants_start_at = grants_start_at
        self.initial_customers: frozenset[str] | None = None
        self.buckets: dict[str, SharedTokenBucket] = {}

    def open_bucket(self, customer: str, rate: float, burst: float) -> None:
        """Start a bucket, full for a new customer, otherwise empty.

        The previous holder may have granted the whole burst of any other
        customer, whose tokens accrue from `grants_start_at` on.
        """
        is_new = (
            self.initial_customers is not None
            and customer not in self.initial_customers
        )
        self.buckets[customer] = SharedTokenBucket(
            rate,
            burst,
            tokens=burst if is_new else 0,
            updated=self.grants_start_at,
        )


class LocalShards:
    """Hold the shards that the ledger assigns to this node."""

    def __init__(
        self,
        name: str,
        fencing: FencingState,
        *,
        validity_s: float,
        shards_per_customer: int,
    ) -> None:
        """Start without shards, with an empty ledger of version 0."""
        self.name = name
        self.incarnation = 0
        self.fencing = fencing
        self.validity_s = validity_s
        self.shards_per_customer = shards_per_customer
        self.ledger = VersionedLedger(0, Ledger())
        self.held: dict[int, HeldShard] = {}
        self.index: PolicyIndex | None = None
        self.is_leaving = False

    def adopt_ledger(self, newer: VersionedLedger) -> None:
        """Acquire and drop shards by a newer ledger; ignore an older one."""
        if newer.version <= self.ledger.version:
            return
        self.ledger = newer
        own = {
            shard: holder
            for shard, holder in enumerate(newer.ledger.holders)
            if (holder.name, holder.incarnation)
            == (self.name, self.incarnation)
        }
        self.held = {
            shard: self.held.get(shard) or self.acquire(holder)
            for shard, holder in own.items()
        }

    def acquire(self, holder: Holder) -> HeldShard:
        """Return a new shard that grants once its previous holder has stopped.

        A holder that has not released the shard stops within `fence_s`.
        """
        now = clock.now()
        wait_s = 0 if holder.is_predecessor_stopped else self.fencing.fence_s
        return HeldShard(now, now + wait_s)

    def record_initial_customers(self) -> None:
        """Record the customers of each new shard once the store confirms them.

        Until the store is read after the acquisition, the policy of this node
        may be older than the acquisition.
        """
        customers = self.index.policy.customers if self.index else ()
        for shard in self.held.values():
            is_confirmed = self.fencing.confirmed_at > shard.acquired_at
            if shard.initial_customers is None and is_confirmed:
                shard.initial_customers = frozenset(customers)

    def adopt_policy(self, index: PolicyIndex) -> None:
        """Apply the rates and bursts of a newer policy to all buckets."""
        self.record_initial_customers()
        self.index = index
        for shard in self.held.values():
            for customer, bucket in shard.buckets.items():
                record = index.policy.customers.get(customer)
                if record:
                    count = self.count_shards(record.burst)
                    bucket.change(record.rate / count, record.burst / count)

    def count_shards(self, burst: int) -> int:
        """Return how many shards share a burst, fewer for a small one.

        A bucket of few tokens is soon full and then loses what accrues.
        """
        return max(
            1,
            min(self.shards_per_customer, burst // MIN_BURST_PER_SHARD_TOKENS),
        )

    def find_shards(self, customer: str) -> list[int]:
        """Return the shards of a customer by the current policy."""
        record = self.index.policy.customers.get(customer)
        if record is None:
            return []
        return find_shards(customer, self.count_shards(record.burst))

    def find_holder(self, shard: int) -> Holder:
        """Return the holder of a shard by the current ledger."""
        return self.ledger.ledger.holders[shard]

    def holder_name(self, shard: int) -> str:
        """Return the node that holds a shard, an empty name if none does."""
        return self.find_holder(shard).name

    def grant(self, request: GrantRequest) -> GrantReply:
        """Answer requests for shards held here and omit all others."""
        grants = []
        for token_request in request.token_requests:
            bucket = self.find_bucket(token_request)
            if bucket is None:
                continue
            granted = bucket.grant(
                request.sender, token_request, self.validity_s
            )
            retry_after_s = 0 if granted else bucket.time_to_token()
            grants.append(
                TokenGrant(
                    token_request.shard,
                    token_request.customer,
                    granted,
                    retry_after_s,
                ),
            )
        return GrantReply(grants)

    def find_bucket(
        self, token_request: TokenRequest
    ) -> SharedTokenBucket | None:
        """Return the requested bucket, None if it may not grant tokens here."""
        shard = self.held.get(token_request.shard)
        if shard is None or self.is_leaving or self.index is None:
            return None
        if not self.fencing.is_confirmed or clock.now() < shard.grants_start_at:
            return None
        record = self.index.policy.customers.get(token_request.customer)
        if record is None or token_request.shard not in self.find_shards(
            token_request.customer
        ):
            return None
        if token_request.customer not in shard.buckets:
            self.record_initial_customers()
            count = self.count_shards(record.burst)
            shard.open_bucket(
                token_request.customer,
                record.rate / count,
                record.burst / count,
            )
        return shard.buckets[token_request.customer]
