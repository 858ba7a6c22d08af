"""Limit rates with tokens prefetched from the nodes that grant them."""

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
IDLE_RETURN_PERIOD_S = 0.2
HEDGE_DELAY_S = 0.03  # without a reply by then, the next shard is asked
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_DOUBLINGS = 5
MAX_REQUESTED_TOKENS = 100_000
MAX_WAITING_REQUESTS = 8
MAX_REMEMBERED_SPENDS = 4096


class GrantClient(ABC):
    """Send token requests to the holders of shards."""

    @abstractmethod
    def find_shards(self, customer: str) -> list[int]:
        """Return the shards of a customer in the order to ask them."""

    @abstractmethod
    async def ask(self, token_request: TokenRequest) -> TokenGrant | None:
        """Return the grant of the shard holder, None without an answer."""


class TokenBatch:
    """Hold the tokens granted by one shard; all expire at the same time."""

    def __init__(self, shard: int, count: int, expires_at: float) -> None:
        """Set the number of tokens and their expiry on the local clock."""
        self.shard = shard
        self.count = count
        self.expires_at = expires_at


class TokenCache:
    """Cache the granted tokens of one customer at this node."""

    def __init__(self) -> None:
        """Start without tokens."""
        self.batches: dict[int, TokenBatch] = {}
        self.spent_at: deque[float] = deque(maxlen=MAX_REMEMBERED_SPENDS)
        self.waiting_requests = 0
        self.is_fetching = False
        self.pending_shards: set[int] = set()
        self.refilled = anyio.Event()
        self.retry_after_s: float | None = None
        self.backoff_until: float = 0
        self.backoff_doublings = 0

    def count_usable(self) -> int:
        """Return the number of tokens that have not expired."""
        now = clock.now()
        return sum(
            batch.count
            for batch in self.batches.values()
            if batch.expires_at > now
        )

    def count_unspent(self, shard: int) -> int:
        """Return the number of unexpired tokens of one shard."""
        batch = self.batches.get(shard)
        if batch is None or batch.expires_at <= clock.now():
            return 0
        return batch.count

    def take(self) -> bool:
        """Spend the token that expires first; return False if there is none."""
        now = clock.now()
        usable = [
            batch
            for batch in self.batches.values()
            if batch.count and batch.expires_at > now
        ]
        if not usable:
            return False
        first_to_expire = min(usable, key=lambda batch: batch.expires_at)
        first_to_expire.count -= 1
        self.spent_at.append(now)
        return True

    def put(self, shard: int, count: int, expires_at: float) -> None:
        """Add tokens; if earlier ones are left, all expire with those."""
        unspent = self.count_unspent(shard)
        batch = self.batches.get(shard)
        if unspent and batch:
            expires_at = min(expires_at, batch.expires_at)
        self.batches[shard] = TokenBatch(shard, unspent + count, expires_at)
        self.backoff_doublings = 0

    def back_off(self, wait_s: float, max_s: float) -> None:
        """Pause fetching for `wait_s`, at least the backoff, at most `max_s`.

        The backoff doubles each time no shard had tokens.
        """
        backoff_s = MIN_BACKOFF_S * 2**self.backoff_doublings
        self.backoff_until = clock.now() + min(max_s, max(wait_s, backoff_s))
        self.backoff_doublings = min(
            MAX_BACKOFF_DOUBLINGS, self.backoff_doublings + 1
        )

    def measure_demand_per_s(self) -> float:
        """Return the tokens spent per second over the demand window."""
        now = clock.now()
        while self.spent_at and self.spent_at[0] < now - DEMAND_WINDOW_S:
            self.spent_at.popleft()
        return len(self.spent_at) / DEMAND_WINDOW_S


class PrefetchingLimiter(RateLimiter):
    """Limit the rates of all customers with a token cache for each."""

    def __init__(
        self,
        grant_client: GrantClient,
        tasks: TaskGroup,
        *,
        validity_s: float,
        horizon_s: float,
        wait_s: float,
    ) -> None:
        """Start without tokens; fetches run in `tasks`.

        Granted tokens are valid for `validity_s` and cover the demand of the
        next `horizon_s`; a request waits at most `wait_s` for one.
        """
        self.grant_client = grant_client
        self.tasks = tasks
        self.validity_s = validity_s
        self.horizon_s = horizon_s
        self.wait_s = wait_s
        self.caches: dict[str, TokenCache] = {}
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return a number higher than that of every earlier request."""
        self.sequence += 1
        return self.sequence

    async def spend(self, customer: str) -> None:
        """Spend a token; raise RefusedError if there is none after `wait_s`."""
        cache = self.caches.get(customer)
        if cache is None:
            cache = TokenCache()
            self.caches[customer] = cache
        if not cache.take():
            await self.wait_for_token(customer, cache)
        if cache.count_usable() < self.find_refill_threshold(cache):
            self.start_fetching(customer, cache)

    def refund(self, customer: str) -> None:
        """Do nothing: the shard may already have replaced the token.

        A shard counts tokens as spent once the node no longer reports them
        as unspent, so that returning one could exceed the burst.
        """

    def find_refill_threshold(self, cache: TokenCache) -> float:
        """Return the number of tokens below which more are prefetched.

        It is 0 for rare requests, whose prefetched tokens would expire unused.
        """
        expected_spends = cache.measure_demand_per_s() * self.horizon_s
        return expected_spends / 2 if expected_spends >= 1 else 0

    async def wait_for_token(self, customer: str, cache: TokenCache) -> None:
        """Wait at most `wait_s` for tokens that are being fetched.

        Refuse at once during a backoff if enough requests already wait.
        """
        if (
            cache.waiting_requests >= MAX_WAITING_REQUESTS
            and clock.now() < cache.backoff_until
        ):
            raise self.build_refusal(cache)
        cache.waiting_requests += 1
        try:
            with anyio.move_on_after(self.wait_s):
                await self.take_when_fetched(customer, cache)
                return
        finally:
            cache.waiting_requests -= 1
        raise self.build_refusal(cache)

    async def take_when_fetched(self, customer: str, cache: TokenCache) -> None:
        """Fetch again and again until a token can be spent."""
        while not cache.take():
            await anyio.sleep(max(0, cache.backoff_until - clock.now()))
            self.start_fetching(customer, cache)
            await cache.refilled.wait()

    def build_refusal(self, cache: TokenCache) -> Exception:
        """Return a refusal: over the rate, or rate unknown without answers."""
        if cache.retry_after_s is None:
            return refuse(
                Reason.RATE_UNKNOWN,
                'no node that holds the budget answered',
                retry_after_s=1,
            )
        return refuse(
            Reason.RATE,
            'over the rate and burst of the customer',
            retry_after_s=cache.retry_after_s,
        )

    def start_fetching(self, customer: str, cache: TokenCache) -> None:
        """Start fetching tokens unless a fetch or a backoff is in progress."""
        if cache.is_fetching or clock.now() < cache.backoff_until:
            return
        cache.is_fetching = True
        self.tasks.start_soon(self.fetch, customer, cache)

    async def fetch(self, customer: str, cache: TokenCache) -> None:
        """Fetch tokens, then wake the waiting requests even after a failure."""
        try:
            await self.fetch_from_shards(customer, cache)
        finally:
            cache.is_fetching = False
            self.notify_waiting(cache)

    async def fetch_from_shards(self, customer: str, cache: TokenCache) -> None:
        """Ask the shards in turn until enough is granted, else back off.

        The next shard is asked when a holder does not answer within
        `HEDGE_DELAY_S`; a late grant is still added.
        """
        retry_delays: list[float] = []
        shards = self.grant_client.find_shards(customer)
        if cache.pending_shards.issuperset(shards):
            await anyio.sleep(HEDGE_DELAY_S)
        for shard in shards:
            if self.find_shortfall(cache) < 1:
                break
            if shard in cache.pending_shards:
                continue
            answered = anyio.Event()
            cache.pending_shards.add(shard)
            self.tasks.start_soon(
                self.fetch_from_shard,
                customer,
                cache,
                shard,
                retry_delays,
                answered,
            )
            with anyio.move_on_after(HEDGE_DELAY_S):
                await answered.wait()
        cache.retry_after_s = min(retry_delays, default=None)
        if not cache.count_usable():
            cache.back_off(min(retry_delays, default=0), self.horizon_s)

    async def fetch_from_shard(  # noqa: WPS211
        self,
        customer: str,
        cache: TokenCache,
        shard: int,
        retry_delays: list[float],
        answered: anyio.Event,
    ) -> None:
        """Request tokens from one shard, with one request to it at a time.

        With two at once, the holder could count tokens as spent that are still
        in transit to this node.
        """
        sent_at = clock.now()
        token_request = TokenRequest(
            shard,
            customer,
            max(1, self.find_shortfall(cache)),
            cache.count_unspent(shard),
            0,
            self.next_sequence(),
        )
        try:
            grant = await self.grant_client.ask(token_request)
        finally:
            cache.pending_shards.discard(shard)
        if grant is not None and grant.granted:
            cache.put(shard, grant.granted, sent_at + self.validity_s)
            self.notify_waiting(cache)
        elif grant is not None:
            retry_delays.append(grant.retry_after_s)
        answered.set()

    def notify_waiting(self, cache: TokenCache) -> None:
        """Wake all requests that wait for a token."""
        refilled = cache.refilled
        cache.refilled = anyio.Event()
        refilled.set()

    def find_shortfall(self, cache: TokenCache) -> int:
        """Return how many tokens the demand and waiting requests still need."""
        needed = (
            int(cache.measure_demand_per_s() * self.horizon_s)
            + cache.waiting_requests
        )
        return min(MAX_REQUESTED_TOKENS, max(1, needed) - cache.count_usable())

    async def return_idle(self) -> None:
        """Return tokens of customers without demand until cancelled."""
        while True:
            await anyio.sleep(IDLE_RETURN_PERIOD_S)
            for customer, cache in list(self.caches.items()):
                is_idle = (
                    not cache.measure_demand_per_s()
                    and not cache.waiting_requests
                )
                if (
                    is_idle
                    and not cache.is_fetching
                    and not cache.pending_shards
                ):
                    await self.return_tokens(customer, cache)

    async def return_tokens(self, customer: str, cache: TokenCache) -> None:
        """Return all cached tokens of a customer, removing them here first.

        No tokens are requested from a shard while others are in transit back
        to it: the holder would count the newly granted ones as returned.
        """
        batches = cache.batches
        cache.batches = {}
        cache.pending_shards.update(batches)
        for batch in batches.values():
            token_request = TokenRequest(
                batch.shard,
                customer,
                0,
                0,
                batch.count,
                self.next_sequence(),
            )
            if batch.count and batch.expires_at > clock.now():
                await self.grant_client.ask(token_request)
            cache.pending_shards.discard(batch.shard)
