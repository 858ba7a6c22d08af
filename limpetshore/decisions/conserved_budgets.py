"""Divide each token budget among nodes, which lend each other tokens.

Each owner of a budget refills an equal share of it. A node that runs short
borrows tokens from another owner and never returns them: the lender subtracts
them before it replies, and the borrower never holds more than its own share
allows. All nodes together therefore never hold more than the burst. This does
not depend on leases or expiry: a paused node, a crash or a lost message only
loses tokens.
"""

import heapq
import math
import random
from collections.abc import Container, Iterable
from typing import Any, NamedTuple

from limpetshore import clock
from limpetshore.protocol.messages import LendReply, LendRequest, NodeState
from limpetshore.state.members import (
    MemberTable,
    Status,
    hash_for_rendezvous,
)
from limpetshore.state.policies import Customer

# Small budgets get fewer owners, so that each share has at least this burst,
# but two where possible: the other one lends while one is unreachable.
MIN_TOKENS_PER_OWNER = 4
MIN_OWNERS = 2
MAX_LENT_TOKENS = 64
# Tokens borrowed by a node that owns no share are dropped after this time.
BORROWED_RETENTION_S = 1.0
# A node that leaves gives up its share at once, and a dead one refused keys for
# want of a store confirmation before it was declared dead. The others wait for
# this time before they share that rate, as they do not notice simultaneously.
TAKEOVER_DELAY_S = 1.0
# A node that was gone accrues no tokens for this time, in which the others
# learn that it is back and return its share.
REJOIN_DELAY_S = 2.0


class BudgetShare(NamedTuple):
    """Describe one owner's share of a budget; `rate` is in tokens per s."""

    rate: float
    burst: float


class Owners(NamedTuple):
    """Hold the nodes that share a budget.

    `lowest_hash` is the lowest rendezvous hash among them, None if all nodes
    share the budget.
    """

    names: frozenset[str]
    lowest_hash: int | None

    def are_affected(
        self, customer: str, added: Iterable[str], removed: Iterable[str]
    ) -> bool:
        """Tell whether a change of the members may change the owners."""
        if self.lowest_hash is None or not self.names.isdisjoint(removed):
            return True
        return any(
            hash_for_rendezvous(customer, name) > self.lowest_hash
            for name in added
        )


NO_OWNERS = Owners(frozenset(), None)


class OwnedBucket:
    """Hold the tokens of one customer at one node."""

    def __init__(self, share: BudgetShare, accrues_from: float) -> None:
        """Start empty, as an earlier incarnation may have spent the burst.

        No tokens accrue before the local time `accrues_from`.
        """
        self.share = share
        self.tokens: float = 0
        self.updated = max(accrues_from, clock.now())

    def clear(self, accrues_from: float) -> None:
        """Drop all tokens; none accrue before `accrues_from`."""
        self.tokens = 0
        self.updated = accrues_from

    def refill(self) -> None:
        """Add the tokens accrued since the last update.

        A node without a share accrues none; its borrowed tokens expire.
        """
        now = clock.now()
        elapsed_s = now - self.updated
        if elapsed_s <= 0:
            return
        if self.share.rate:
            accrued = self.share.rate * elapsed_s
            full = max(self.tokens, self.share.burst)
            self.tokens = min(full, self.tokens + accrued)
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

    def start(self, count: float) -> None:
        """Add tokens at the start, also beyond the burst."""
        self.refill()
        self.tokens += count

    def take_token(self) -> bool:
        """Spend one token; return False if there is none."""
        self.refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def lend(self, wanted: int) -> int:
        """Subtract tokens for another node and return their number.

        Lend half of the tokens, rounded up to whole ones.
        """
        self.refill()
        wanted = max(0, wanted)
        lendable = min(math.ceil(self.tokens / 2), int(self.tokens))
        lent = min(wanted, lendable, MAX_LENT_TOKENS)
        self.tokens -= lent
        return lent

    def add_tokens(self, count: int) -> None:
        """Add borrowed or refunded tokens; any above the share are lost."""
        self.refill()
        full = max(self.tokens, self.share.burst, 1)
        self.tokens = min(full, self.tokens + count)
        self.updated = max(self.updated, clock.now())

    def time_to_token(self) -> float:
        """Return the seconds until a token accrues, 0 without a share."""
        if not self.share.rate:
            return 0
        return max(0, (1 - self.tokens) / self.share.rate)


class ConservedBudgets:
    """Manage this node's shares of all budgets, and know the other owners."""

    def __init__(
        self,
        table: MemberTable,
        rng: random.Random,
        restart_tokens: float = 0,
    ) -> None:
        """Start without customers; the owners come from the member table.

        The owners of a budget start with `restart_tokens` together.
        """
        self.table = table
        self.rng = rng
        self.restart_tokens = restart_tokens
        self.customers: dict[str, Customer] = {}
        self.buckets: dict[str, OwnedBucket] = {}
        self.owners: dict[str, Owners] = {}
        self.member_names: list[str] = []
        self.table_version = -1
        self.updated_at = clock.now()
        self.settles_at = clock.now()
        self.accrues_from = clock.now()

    def update_customers(self, customers: dict[str, Customer]) -> None:
        """Apply the rates and bursts of a new policy."""
        self.buckets = select_keys(self.buckets, customers)
        self.owners = select_keys(self.owners, customers)
        for name, customer in customers.items():
            known = self.customers.get(name)
            if known is None or known.burst != customer.burst:
                self.owners[name] = find_owners(
                    name, customer.burst, self.member_names
                )
            self.update_share(name, customer)
        self.customers = customers
        self.start_buckets()

    def update_owners(self) -> None:
        """Recompute the shares if the set of owners has changed.

        Must not be called before all members are known, since a node that
        knows no other member would own every budget alone. Nodes that leave or
        die keep their share while they may still admit requests.
        """
        if self.is_settled():
            return
        takes_over = self.table.sees_majority()
        names = sorted(
            state.name
            for state in self.table.list_latest_by_address()
            if self.retains_share(state, takes_over=takes_over)
        )
        if names != self.member_names:
            self.change_members(names)
            self.start_buckets()

    def is_settled(self) -> bool:
        """Tell whether the owners are those of the current member table.

        They still change for a while after the table does, when shares are
        taken over.
        """
        now = clock.now()
        if self.table.version != self.table_version:
            self.table_version = self.table.version
            self.settles_at = now + TAKEOVER_DELAY_S
        is_settled = self.updated_at > self.settles_at
        self.updated_at = now
        return is_settled

    def start_buckets(self) -> None:
        """Add the initial tokens once customers and members are known.

        After a restart of all nodes, the callers of all customers return at
        once, while empty buckets would only begin to refill.
        """
        if not self.customers or not self.member_names:
            return
        for name, bucket in self.buckets.items():
            if bucket.share.rate:
                owner_count = len(self.owners[name].names)
                bucket.start(self.restart_tokens / owner_count)
        self.restart_tokens = 0

    def change_members(self, names: list[str]) -> None:
        """Recompute the owners of each budget that the change concerns."""
        removed = set(self.member_names).difference(names)
        added = set(names).difference(self.member_names)
        self.member_names = names
        for name, customer in self.customers.items():
            if self.owners[name].are_affected(name, added, removed):
                self.owners[name] = find_owners(name, customer.burst, names)
            self.update_share(name, customer)

    def retains_share(self, state: NodeState, *, takes_over: bool) -> bool:
        """Return whether a node may still spend its share.

        The share of a dead node is taken over only by nodes that see most
        members alive: on the other side of a network partition, the nodes that
        are dead from here go on spending theirs.
        """
        find_start = self.table.find_status_start
        left_since = find_start(state.name, Status.LEFT)
        if left_since is not None:
            is_own = state.name == self.table.own_name
            return not is_own and clock.now() < left_since + TAKEOVER_DELAY_S
        dead_since = find_start(state.name, Status.DEAD)
        if dead_since is None or not takes_over:
            return True
        return clock.now() < dead_since + TAKEOVER_DELAY_S

    def clear(self) -> None:
        """Drop all tokens, as other nodes may have taken over the shares."""
        self.accrues_from = clock.now() + REJOIN_DELAY_S
        for bucket in self.buckets.values():
            bucket.clear(self.accrues_from)

    def update_share(self, name: str, customer: Customer) -> None:
        """Apply the share of this node in one budget."""
        owners = self.owners[name].names
        share = compute_share(
            customer, len(owners), is_owner=self.table.own_name in owners
        )
        bucket = self.buckets.get(name)
        if bucket is None:
            self.buckets[name] = OwnedBucket(share, self.accrues_from)
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
        """Return up to `count` owners in random order, suspected ones last.

        After a restart of all, many nodes are suspected that only started a
        moment later.
        """
        # Sorted, since the order of a set differs between processes.
        found = sorted(self.owners.get(customer, NO_OWNERS).names)
        lenders: list[str] = []
        for is_suspected in (False, True):
            owners = [
                name
                for name in found
                if name != self.table.own_name
                and self.may_lend(name, is_suspected=is_suspected)
            ]
            lenders += self.rng.sample(owners, len(owners))
        return lenders[:count]

    def may_lend(self, name: str, *, is_suspected: bool) -> bool:
        """Return whether a node is alive, or only suspected not to be."""
        state = self.table.get(name)
        if state is None or state.status > Status.SUSPECT:
            return False
        return (state.status == Status.SUSPECT) == is_suspected

    def time_to_token(self, customer: str) -> float:
        """Return the mean seconds between tokens of all owners together."""
        record = self.customers.get(customer)
        return 1 / record.rate if record else 0


def find_owners(customer: str, burst: int, names: list[str]) -> Owners:
    """Return the nodes that share a budget, by rendezvous hashing.

    All nodes share a large budget, few nodes a small one.

    >>> len(find_owners('harbour', 12, ['a', 'b', 'c', 'd']).names)
    3
    >>> len(find_owners('harbour', 1, ['a', 'b', 'c', 'd']).names)
    1
    """
    count = max(min(MIN_OWNERS, burst), burst // MIN_TOKENS_PER_OWNER)
    if count >= len(names):
        return Owners(frozenset(names), None)
    chosen = heapq.nlargest(
        count, ((hash_for_rendezvous(customer, name), name) for name in names)
    )
    return Owners(frozenset(name for _, name in chosen), chosen[-1][0])


def select_keys(records: dict[str, Any], kept: Container[str]) -> dict:
    """Return the records whose key is among those kept."""
    return {key: record for key, record in records.items() if key in kept}


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
