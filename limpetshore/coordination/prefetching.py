"""Spend tokens of customers, fetched ahead from the nodes that grant them."""

from abc import ABC, abstractmethod
from collections import deque

import anyio
from anyio.abc import TaskGroup

from limpetshore import clock
from limpetshore.coordination.borrowing import RateLimiter
from limpetshore.errors import refuse
from limpetshore.protocol.messages import TokenGrant, TokenRequest
from limpetshore.verdicts import Reason

DEMAND_WINDOW_S = 0.5
IDLE_RETURN_S = 0.2
PATIENCE_S = 0.03
MIN_DRY_S = 0.02
MAX_DRY_STREAK = 5
MAX_WANTED = 100_000
MAX_WAITING = 8
SPENT_REMEMBERED = 4096


class GrantClient(ABC):
    """Ask whichever node holds a shard."""

    @abstractmethod
    def find_shards(self, customer: str) -> list[int]:
        """Return the shards of a customer, the preferred first."""

    @abstractmethod
    async def ask(self, ask: TokenRequest) -> TokenGrant | None:
        """Return what was granted, or None if no holder answered."""


class Batch:
    """Hold tokens of one shard until they lapse or are spent."""

    def __init__(self, shard: int, count: int, expires_at: float) -> None:
        """Set the tokens and the time they lapse on the local clock."""
        self.shard = shard
        self.count = count
        self.expires_at = expires_at


class TokenCache:
    """Hold the tokens of one customer at this node."""

    def __init__(self) -> None:
        """Start empty."""
        self.batches: dict[int, Batch] = {}
        self.spent_at: deque[float] = deque(maxlen=SPENT_REMEMBERED)
        self.waiting = 0
        self.is_filling = False
        self.asking: set[int] = set()
        self.refilled = anyio.Event()
        self.retry_after_s: float | None = None
        self.dry_until: float = 0
        self.dry_streak = 0

    def count(self) -> int:
        """Return the tokens that may be spent now."""
        now = clock.now()
        return sum(
            batch.count
            for batch in self.batches.values()
            if batch.expires_at > now
        )

    def held(self, shard: int) -> int:
        """Return the unspent tokens of one shard."""
        batch = self.batches.get(shard)
        if batch is None or batch.expires_at <= clock.now():
            return 0
        return batch.count

    def take(self) -> bool:
        """Spend a token that has not lapsed, the one that lapses first."""
        now = clock.now()
        usable = [
            batch
            for batch in self.batches.values()
            if batch.count and batch.expires_at > now
        ]
        if not usable:
            return False
        soonest = min(usable, key=lambda batch: batch.expires_at)
        soonest.count -= 1
        self.spent_at.append(now)
        return True

    def put(self, shard: int, count: int, expires_at: float) -> None:
        """Add tokens; old ones of the same shard keep their earlier lapse."""
        left = self.held(shard)
        batch = self.batches.get(shard)
        if left and batch:
            expires_at = min(expires_at, batch.expires_at)
        self.batches[shard] = Batch(shard, left + count, expires_at)
        self.dry_streak = 0

    def become_dry(self, wait_s: float, most_s: float) -> None:
        """Ask no shard for a while, the longer the more often all were dry."""
        backoff_s = MIN_DRY_S * 2**self.dry_streak
        self.dry_until = clock.now() + min(most_s, max(wait_s, backoff_s))
        self.dry_streak = min(MAX_DRY_STREAK, self.dry_streak + 1)

    def demand(self) -> float:
        """Return the tokens spent a second of late."""
        now = clock.now()
        while self.spent_at and self.spent_at[0] < now - DEMAND_WINDOW_S:
            self.spent_at.popleft()
        return len(self.spent_at) / DEMAND_WINDOW_S


class PrefetchingLimiter(RateLimiter):
    """Spend a token for each request, for all customers of this node."""

    def __init__(
        self,
        granter: GrantClient,
        tasks: TaskGroup,
        *,
        validity_s: float,
        horizon_s: float,
        wait_s: float,
    ) -> None:
        """Start empty; fetches run in the task group of the node."""
        self.granter = granter
        self.tasks = tasks
        self.validity_s = validity_s
        self.horizon_s = horizon_s
        self.wait_s = wait_s
        self.purses: dict[str, TokenCache] = {}
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return a number above all that were used before."""
        self.sequence += 1
        return self.sequence

    async def spend(self, customer: str) -> None:
        """Spend a token, or raise that the customer is over its rate."""
        purse = self.purses.get(customer)
        if purse is None:
            purse = TokenCache()
            self.purses[customer] = purse
        if not purse.take():
            await self.wait_for_token(customer, purse)
        if purse.count() < self.find_low_mark(purse):
            self.start_filling(customer, purse)

    def refund(self, customer: str) -> None:
        """Let the token lapse: its shard may have granted it anew."""

    def find_low_mark(self, purse: TokenCache) -> float:
        """Return below how many tokens more are fetched ahead.

        A token fetched for a rare call would lapse before the call comes.
        """
        coming = purse.demand() * self.horizon_s
        return coming / 2 if coming >= 1 else 0

    async def wait_for_token(self, customer: str, purse: TokenCache) -> None:
        """Wait a short while for tokens that are being fetched."""
        if purse.waiting >= MAX_WAITING and clock.now() < purse.dry_until:
            raise self.refuse_rate(purse)
        purse.waiting += 1
        try:
            with anyio.move_on_after(self.wait_s):
                await self.try_to_take(customer, purse)
                return
        finally:
            purse.waiting -= 1
        raise self.refuse_rate(purse)

    async def try_to_take(self, customer: str, purse: TokenCache) -> None:
        """Fetch until there is a token."""
        while not purse.take():
            await anyio.sleep(max(0, purse.dry_until - clock.now()))
            self.start_filling(customer, purse)
            await purse.refilled.wait()

    def refuse_rate(self, purse: TokenCache) -> Exception:
        """Build the refusal: over the rate, or nobody could tell."""
        if purse.retry_after_s is None:
            return refuse(
                Reason.RATE_UNKNOWN,
                'no node that holds the budget answered',
                retry_after_s=1,
            )
        return refuse(
            Reason.RATE,
            'over the rate and burst of the customer',
            retry_after_s=purse.retry_after_s,
        )

    def start_filling(self, customer: str, purse: TokenCache) -> None:
        """Fetch tokens unless a fetch is under way."""
        if purse.is_filling or clock.now() < purse.dry_until:
            return
        purse.is_filling = True
        self.tasks.start_soon(self.fill, customer, purse)

    async def fill(self, customer: str, purse: TokenCache) -> None:
        """Ask the shards in turn until there are enough tokens."""
        try:
            await self.ask_shards(customer, purse)
        finally:
            purse.is_filling = False
            self.wake(purse)

    async def ask_shards(self, customer: str, purse: TokenCache) -> None:
        """Ask until enough is granted; note when all shards are dry.

        A holder that does not answer soon is left behind and the next asked.
        """
        waits: list[float] = []
        shards = self.granter.find_shards(customer)
        if purse.asking.issuperset(shards):
            await anyio.sleep(PATIENCE_S)
        for shard in shards:
            if self.find_wanted(purse) < 1:
                break
            if shard in purse.asking:
                continue
            answered = anyio.Event()
            purse.asking.add(shard)
            self.tasks.start_soon(
                self.ask_shard,
                customer,
                purse,
                shard,
                waits,
                answered,
            )
            with anyio.move_on_after(PATIENCE_S):
                await answered.wait()
        purse.retry_after_s = min(waits, default=None)
        if not purse.count():
            purse.become_dry(min(waits, default=0), self.horizon_s)

    async def ask_shard(  # noqa: WPS211
        self,
        customer: str,
        purse: TokenCache,
        shard: int,
        waits: list[float],
        answered: anyio.Event,
    ) -> None:
        """Ask one shard; there is never a second ask to it under way.

        Otherwise the holder could take tokens still on their way for spent.
        """
        sent_at = clock.now()
        ask = TokenRequest(
            shard,
            customer,
            max(1, self.find_wanted(purse)),
            purse.held(shard),
            0,
            self.next_sequence(),
        )
        try:
            grant = await self.granter.ask(ask)
        finally:
            purse.asking.discard(shard)
        if grant is not None and grant.granted:
            purse.put(shard, grant.granted, sent_at + self.validity_s)
            self.wake(purse)
        elif grant is not None:
            waits.append(grant.retry_after_s)
        answered.set()

    def wake(self, purse: TokenCache) -> None:
        """Let waiting requests take what has come."""
        refilled = purse.refilled
        purse.refilled = anyio.Event()
        refilled.set()

    def find_wanted(self, purse: TokenCache) -> int:
        """Return how many tokens are missing for the near future."""
        wanted = int(purse.demand() * self.horizon_s) + purse.waiting
        return min(MAX_WANTED, max(1, wanted) - purse.count())

    async def return_idle(self) -> None:
        """Give tokens back that were not needed, for ever."""
        while True:
            await anyio.sleep(IDLE_RETURN_S)
            for customer, purse in list(self.purses.items()):
                is_idle = not purse.demand() and not purse.waiting
                if is_idle and not purse.is_filling and not purse.asking:
                    await self.return_tokens(customer, purse)

    async def return_tokens(self, customer: str, purse: TokenCache) -> None:
        """Give back every token of an idle purse, subtracting first.

        No shard is asked while tokens are on their way back to it; the holder
        would count what it grants meanwhile as returned.
        """
        batches = purse.batches
        purse.batches = {}
        purse.asking.update(batches)
        for batch in batches.values():
            ask = TokenRequest(
                batch.shard,
                customer,
                0,
                0,
                batch.count,
                self.next_sequence(),
            )
            if batch.count and batch.expires_at > clock.now():
                await self.granter.ask(ask)
            purse.asking.discard(batch.shard)
