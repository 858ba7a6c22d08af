"""Divide every budget among nodes for good, and let them lend tokens.

Each owner of a budget refills its own equal part. A node that runs short asks
another to give tokens; the giver subtracts them first and the receiver never
holds more than its own part may, so that all nodes together never hold more
than the burst. Nothing expires: a pause, a crash or a lost message only loses
tokens.
"""

import random
from typing import NamedTuple

from limpetshore import clock
from limpetshore.protocol.messages import LendReply, LendRequest, NodeState
from limpetshore.state.members import MemberTable, Status, rank_by_rendezvous
from limpetshore.state.policies import Customer

TOKENS_PER_OWNER = 4
KEPT_BY_LENDER = 1
MOST_LENT = 64
BORROWED_KEPT_S = 1.0
LEFT_KEPT_S = 10.0


class BudgetShare(NamedTuple):
    """Hold what one owner has of a budget, per second and at once."""

    rate: float
    burst: float


class OwnedBucket:
    """Hold the tokens of one customer at one owner."""

    def __init__(self, share: BudgetShare) -> None:
        """Start empty: an earlier incarnation may have spent the burst."""
        self.share = share
        self.tokens: float = 0
        self.updated = clock.now()

    def refill(self) -> None:
        """Add what has accrued since the last look."""
        now = clock.now()
        passed_s = max(0, now - self.updated)
        if self.share.rate:
            accrued = self.share.rate * passed_s
            self.tokens = min(self.share.burst, self.tokens + accrued)
        elif passed_s > BORROWED_KEPT_S:
            self.tokens = 0
        else:
            return
        self.updated = now

    def change(self, share: BudgetShare) -> None:
        """Follow a new policy or a new set of owners, adding no tokens."""
        self.refill()
        self.share = share
        self.tokens = min(self.tokens, share.burst)

    def take_token(self) -> bool:
        """Spend one token, if there is one."""
        self.refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def lend(self, wanted: int) -> int:
        """Give tokens away, half of what is held and never the last one."""
        self.refill()
        spare = (self.tokens - KEPT_BY_LENDER) / 2
        given = max(0, min(wanted, int(spare) + (spare > 0), MOST_LENT))
        self.tokens -= given
        return given

    def add_tokens(self, count: int) -> None:
        """Take in tokens from another owner; what has no room is lost."""
        self.refill()
        self.tokens = min(max(self.share.burst, 1), self.tokens + count)
        self.updated = clock.now()

    def time_to_token(self) -> float:
        """Return the seconds until the next token accrues."""
        if not self.share.rate:
            return 0
        return max(0, (1 - self.tokens) / self.share.rate)


class ConservedBudgets:
    """Hold this node's part of every budget, and know the other owners."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        """Start without customers."""
        self.table = table
        self.rng = rng
        self.customers: dict[str, Customer] = {}
        self.buckets: dict[str, OwnedBucket] = {}
        self.owners: dict[str, list[str]] = {}
        self.names: list[str] = []

    def update_customers(self, customers: dict[str, Customer]) -> None:
        """Follow new rates and bursts."""
        self.customers = customers
        self.divide()

    def update_owners(self) -> None:
        """Follow who is a member, once all records of members were read.

        The dead keep their part until they leave, and who leaves keeps it
        while requests that came before may still be let pass.
        """
        names = sorted(
            state.name
            for state in self.table.list_latest_by_address()
            if self.is_owner(state)
        )
        if names != self.names:
            self.names = names
            self.divide()

    def is_owner(self, state: NodeState) -> bool:
        """Tell whether a node may still spend its part."""
        since = self.table.find_status_start(state.name, Status.LEFT)
        return since is None or clock.now() < since + LEFT_KEPT_S

    def divide(self) -> None:
        """Work out the owners of every budget and the part held here."""
        own = self.table.own_name
        self.buckets = {
            name: bucket
            for name, bucket in self.buckets.items()
            if name in self.customers
        }
        for name, customer in self.customers.items():
            owners = find_owners(name, customer.burst, self.names)
            self.owners[name] = [owner for owner in owners if owner != own]
            share = find_part(customer, len(owners), is_owner=own in owners)
            bucket = self.buckets.get(name)
            if bucket is None:
                self.buckets[name] = OwnedBucket(share)
            elif bucket.share != share:
                bucket.change(share)

    def take_token(self, customer: str) -> bool:
        """Spend a token that is held here, if there is one."""
        bucket = self.buckets.get(customer)
        return bucket is not None and bucket.take_token()

    def lend(self, request: LendRequest) -> LendReply:
        """Give tokens to another node."""
        bucket = self.buckets.get(request.customer)
        given = bucket.lend(request.wanted) if bucket else 0
        return LendReply(given)

    def add_tokens(self, customer: str, count: int) -> None:
        """Take in tokens that another node gave."""
        bucket = self.buckets.get(customer)
        if bucket is not None:
            bucket.add_tokens(count)

    def choose_lenders(self, customer: str, count: int) -> list[str]:
        """Return some owners that may have tokens, in random order."""
        owners = [
            name
            for name in self.owners.get(customer, ())
            if self.is_reachable(name)
        ]
        return self.rng.sample(owners, min(count, len(owners)))

    def is_reachable(self, name: str) -> bool:
        """Tell whether a node seems alive."""
        state = self.table.get(name)
        return state is not None and state.status < Status.SUSPECT

    def time_to_token(self, customer: str) -> float:
        """Return the seconds until all owners together accrue a token."""
        record = self.customers.get(customer)
        return 1 / record.rate if record else 0


def find_owners(customer: str, burst: int, names: list[str]) -> list[str]:
    """Return the nodes that divide a budget; few for a small one.

    >>> len(find_owners('harbour', 8, ['a', 'b', 'c']))
    2
    """
    count = max(1, burst // TOKENS_PER_OWNER)
    if count >= len(names):
        return names
    return rank_by_rendezvous(customer, names)[:count]


def find_part(
    customer: Customer, owners: int, *, is_owner: bool
) -> BudgetShare:
    """Return an equal part of a budget, or nothing for who owns none."""
    if not is_owner:
        return BudgetShare(0, 0)
    return BudgetShare(customer.rate / owners, customer.burst / owners)
