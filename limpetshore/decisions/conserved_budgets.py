"""Divide each token budget among nodes, which lend each other tokens.

Each owner of a budget refills an equal share of it. A node that runs short
borrows tokens from another owner and never returns them: the lender subtracts
them before it replies, and the borrower never holds more than its own share
allows. All nodes together therefore never hold more than the burst. This does
not depend on leases or expiry: a paused node, a crash or a lost message only
loses tokens.
"""

import random
from typing import NamedTuple

from limpetshore import clock
from limpetshore.protocol.messages import LendReply, LendRequest, NodeState
from limpetshore.state.members import MemberTable, Status, rank_by_rendezvous
from limpetshore.state.policies import Customer

# Small budgets get fewer owners, so that each share has at least this burst.
MIN_TOKENS_PER_OWNER = 4
LENDER_RESERVE_TOKENS = 1
MAX_LENT_TOKENS = 64
# Tokens borrowed by a node that owns no share are dropped after this time.
BORROWED_RETENTION_S = 1.0
# A node keeps its share for this time after it has left the fleet, since it
# may still admit requests that arrived before.
LEFT_OWNER_RETENTION_S = 10.0


class BudgetShare(NamedTuple):
    """Describe one owner's share of a budget; `rate` is in tokens per s."""

    rate: float
    burst: float


class OwnedBucket:
    """Hold the tokens of one customer at one node."""

    def __init__(self, share: BudgetShare) -> None:
        """Start empty, as an earlier incarnation may have spent the burst."""
        self.share = share
        self.tokens: float = 0
        self.updated = clock.now()

    def refill(self) -> None:
        """Add the tokens accrued since the last update.

        A node without a share accrues none; its borrowed tokens expire.
        """
        now = clock.now()
        elapsed_s = max(0, now - self.updated)
        if self.share.rate:
            accrued = self.share.rate * elapsed_s
            self.tokens = min(self.share.burst, self.tokens + accrued)
        elif elapsed_s > BORROWED_RETENTION_S:
            self.tokens = 0
        else:
            return
        self.updated = now

    def change(self, share: BudgetShare) -> None:
        """Apply a new share; tokens are capped but never added."""
        self.refill()
        self.share = share
        self.tokens = min(self.tokens, share.burst)

    def take_token(self) -> bool:
        """Spend one token; return False if there is none."""
        self.refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def lend(self, wanted: int) -> int:
        """Subtract tokens for another node and return their number.

        Lend about half of the tokens above the reserve, rounded up.
        """
        self.refill()
        spare = (self.tokens - LENDER_RESERVE_TOKENS) / 2
        lent = max(0, min(wanted, int(spare) + (spare > 0), MAX_LENT_TOKENS))
        self.tokens -= lent
        return lent

    def add_tokens(self, count: int) -> None:
        """Add borrowed or refunded tokens; any above the share are lost."""
        self.refill()
        self.tokens = min(max(self.share.burst, 1), self.tokens + count)
        self.updated = clock.now()

    def time_to_token(self) -> float:
        """Return the seconds until a token accrues, 0 without a share."""
        if not self.share.rate:
            return 0
        return max(0, (1 - self.tokens) / self.share.rate)


class ConservedBudgets:
    """Manage this node's shares of all budgets, and know the other owners."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        """Start without customers; the owners come from the member table."""
        self.table = table
        self.rng = rng
        self.customers: dict[str, Customer] = {}
        self.buckets: dict[str, OwnedBucket] = {}
        self.other_owners: dict[str, list[str]] = {}
        self.member_names: list[str] = []

    def update_customers(self, customers: dict[str, Customer]) -> None:
        """Apply the rates and bursts of a new policy."""
        self.customers = customers
        self.recompute_shares()

    def update_owners(self) -> None:
        """Recompute the shares if the set of owners has changed.

        Must not be called before all member records were read, since a node
        that knows no other member would own every budget alone. Dead nodes
        keep their share until they leave the fleet, and nodes that leave keep
        it while they may still admit requests that arrived before.
        """
        names = sorted(
            state.name
            for state in self.table.list_latest_by_address()
            if self.retains_share(state)
        )
        if names != self.member_names:
            self.member_names = names
            self.recompute_shares()

    def retains_share(self, state: NodeState) -> bool:
        """Return whether a node may still spend its share."""
        since = self.table.find_status_start(state.name, Status.LEFT)
        return since is None or clock.now() < since + LEFT_OWNER_RETENTION_S

    def recompute_shares(self) -> None:
        """Recompute the owners of every budget and the share of this node."""
        own = self.table.own_name
        self.buckets = {
            name: bucket
            for name, bucket in self.buckets.items()
            if name in self.customers
        }
        for name, customer in self.customers.items():
            owners = find_owners(name, customer.burst, self.member_names)
            self.other_owners[name] = [
                owner for owner in owners if owner != own
            ]
            share = compute_share(customer, len(owners), is_owner=own in owners)
            bucket = self.buckets.get(name)
            if bucket is None:
                self.buckets[name] = OwnedBucket(share)
            elif bucket.share != share:
                bucket.change(share)

    def take_token(self, customer: str) -> bool:
        """Spend a token of this node; return False if there is none."""
        bucket = self.buckets.get(customer)
        return bucket is not None and bucket.take_token()

    def lend(self, request: LendRequest) -> LendReply:
        """Lend tokens to another node, 0 if the customer is unknown."""
        bucket = self.buckets.get(request.customer)
        lent = bucket.lend(request.wanted) if bucket else 0
        return LendReply(lent)

    def add_tokens(self, customer: str, count: int) -> None:
        """Add borrowed or refunded tokens, if the customer is still known."""
        bucket = self.buckets.get(customer)
        if bucket is not None:
            bucket.add_tokens(count)

    def choose_lenders(self, customer: str, count: int) -> list[str]:
        """Return up to `count` reachable owners in random order."""
        owners = [
            name
            for name in self.other_owners.get(customer, ())
            if self.is_reachable(name)
        ]
        return self.rng.sample(owners, min(count, len(owners)))

    def is_reachable(self, name: str) -> bool:
        """Return whether a node is neither suspected, dead nor gone."""
        state = self.table.get(name)
        return state is not None and state.status < Status.SUSPECT

    def time_to_token(self, customer: str) -> float:
        """Return the mean seconds between tokens of all owners together."""
        record = self.customers.get(customer)
        return 1 / record.rate if record else 0


def find_owners(customer: str, burst: int, names: list[str]) -> list[str]:
    """Return the nodes that share a budget, by rendezvous hashing.

    All nodes share a large budget, few nodes a small one.

    >>> len(find_owners('harbour', 8, ['a', 'b', 'c']))
    2
    """
    count = max(1, burst // MIN_TOKENS_PER_OWNER)
    if count >= len(names):
        return names
    return rank_by_rendezvous(customer, names)[:count]


def compute_share(
    customer: Customer,
    owner_count: int,
    *,
    is_owner: bool,
) -> BudgetShare:
    """Return an equal share of a budget, an empty one for other nodes."""
    if not is_owner:
        return BudgetShare(0, 0)
    return BudgetShare(
        customer.rate / owner_count, customer.burst / owner_count
    )
