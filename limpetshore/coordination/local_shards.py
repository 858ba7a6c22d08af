"""Grant tokens from the shards that this node holds."""

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

BURST_PER_SHARD = 8


class HeldShard:
    """Hold one shard and the buckets in it.

    `baseline` names the customers there were when the shard was taken over;
    nobody else can have granted tokens of this shard to any other.
    """

    def __init__(self, taken_at: float, grants_from: float) -> None:
        """Start without tokens; the holder before may have spent them."""
        self.taken_at = taken_at
        self.grants_from = grants_from
        self.baseline: frozenset[str] | None = None
        self.buckets: dict[str, SharedTokenBucket] = {}

    def open_bucket(self, customer: str, rate: float, burst: float) -> None:
        """Start a bucket: full for a new customer, else as it has accrued."""
        is_new = self.baseline is not None and customer not in self.baseline
        self.buckets[customer] = SharedTokenBucket(
            rate,
            burst,
            tokens=burst if is_new else 0,
            updated=self.grants_from,
        )


class LocalShards:
    """Serve the shards that the ledger gives to this node."""

    def __init__(
        self,
        name: str,
        fencing: FencingState,
        *,
        validity_s: float,
        shards_per_customer: int,
    ) -> None:
        """Start without shards; nothing is granted before a ledger names us."""
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
        """Follow a newer ledger; an older one is ignored."""
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
            shard: self.held.get(shard) or self.take_over(holder)
            for shard, holder in own.items()
        }

    def take_over(self, holder: Holder) -> HeldShard:
        """Return a shard that may grant once nobody else still does."""
        now = clock.now()
        wait_s = 0 if holder.is_predecessor_stopped else self.fencing.fence_s
        return HeldShard(now, now + wait_s)

    def note_baselines(self) -> None:
        """Note who the customers are, as soon as that is confirmed."""
        customers = self.index.policy.customers if self.index else ()
        for shard in self.held.values():
            is_confirmed = self.fencing.confirmed_at > shard.taken_at
            if shard.baseline is None and is_confirmed:
                shard.baseline = frozenset(customers)

    def adopt_policy(self, index: PolicyIndex) -> None:
        """Follow a newer policy."""
        self.note_baselines()
        self.index = index
        for shard in self.held.values():
            for customer, bucket in shard.buckets.items():
                record = index.policy.customers.get(customer)
                if record:
                    count = self.count_shards(record.burst)
                    bucket.change(record.rate / count, record.burst / count)

    def count_shards(self, burst: int) -> int:
        """Return how many shards share a burst; few for a small one.

        A bucket of few tokens loses what accrues while it is full.
        """
        return max(1, min(self.shards_per_customer, burst // BURST_PER_SHARD))

    def find_shards(self, customer: str) -> list[int]:
        """Return the shards of a customer in force."""
        record = self.index.policy.customers.get(customer)
        if record is None:
            return []
        return find_shards(customer, self.count_shards(record.burst))

    def find_holder(self, shard: int) -> Holder:
        """Return the holder the ledger names."""
        return self.ledger.ledger.holders[shard]

    def holder_name(self, shard: int) -> str:
        """Return which node holds a shard, empty if none does."""
        return self.find_holder(shard).name

    def grant(self, request: GrantRequest) -> GrantReply:
        """Answer the asks for shards held here; leave out all others."""
        grants = []
        for ask in request.token_requests:
            bucket = self.find_bucket(ask)
            if bucket is None:
                continue
            granted = bucket.grant(request.sender, ask, self.validity_s)
            retry_after_s = 0 if granted else bucket.time_to_token()
            grants.append(
                TokenGrant(ask.shard, ask.customer, granted, retry_after_s),
            )
        return GrantReply(grants)

    def find_bucket(self, ask: TokenRequest) -> SharedTokenBucket | None:
        """Return the bucket an ask is for if this node may grant from it."""
        shard = self.held.get(ask.shard)
        if shard is None or self.is_leaving or self.index is None:
            return None
        if not self.fencing.is_confirmed or clock.now() < shard.grants_from:
            return None
        record = self.index.policy.customers.get(ask.customer)
        if record is None or ask.shard not in self.find_shards(ask.customer):
            return None
        if ask.customer not in shard.buckets:
            self.note_baselines()
            count = self.count_shards(record.burst)
            shard.open_bucket(
                ask.customer,
                record.rate / count,
                record.burst / count,
            )
        return shard.buckets[ask.customer]
