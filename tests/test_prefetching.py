"""Test that prefetching nodes stay within the rate and burst together."""

import random

import anyio
import pytest

from limpetshore import clock
from limpetshore.coordination.prefetching import GrantClient, PrefetchingLimiter
from limpetshore.decisions.shared_token_bucket import SharedTokenBucket
from limpetshore.errors import RefusedError
from limpetshore.protocol.messages import TokenGrant
from limpetshore.verdicts import Reason
from tests.mock_clock import run_on_mock_clock
from tests.reference import ReferenceBucket

SHARDS = 4
VALIDITY_S = 0.6
SECONDS = 40


class LossyGrantClient(GrantClient):
    """Request tokens over links that delay and lose messages."""

    def __init__(self, name, buckets, rng, *, loss=0.0, delay_s=0.002):
        """Set the buckets, the loss probability and the mean delay."""
        self.name = name
        self.buckets = buckets
        self.rng = rng
        self.loss = loss
        self.delay_s = delay_s

    def find_shards(self, customer):
        """Return the shards, rotated by an offset derived from the name."""
        offset = sum(self.name.encode()) % SHARDS
        shards = list(range(SHARDS))
        return shards[offset:] + shards[:offset]

    async def ask(self, token_request):
        """Request tokens; either way may be slow or lost, with a timeout."""
        with anyio.move_on_after(0.3):
            await anyio.sleep(self.rng.expovariate(1 / self.delay_s))
            if self.rng.random() < self.loss:
                await anyio.sleep_forever()
            bucket = self.buckets[token_request.shard]
            granted = bucket.grant(self.name, token_request, VALIDITY_S)
            retry_after_s = 0 if granted else bucket.time_to_token()
            await anyio.sleep(self.rng.expovariate(1 / self.delay_s))
            if self.rng.random() < self.loss:
                await anyio.sleep_forever()
            return TokenGrant(
                token_request.shard,
                token_request.customer,
                granted,
                retry_after_s,
            )
        return None


class Trial:
    """Send calls of one customer through several nodes."""

    def __init__(self, seed, *, rate, burst, nodes=4, loss=0.0):
        """Start with full buckets."""
        self.rng = random.Random(seed)
        self.rate = rate
        self.buckets = [
            SharedTokenBucket(
                rate / SHARDS,
                burst / SHARDS,
                tokens=burst / SHARDS,
                updated=clock.now(),
            )
            for _ in range(SHARDS)
        ]
        self.reference = ReferenceBucket(rate, burst)
        self.loss = loss
        self.names = [f'node-{number}' for number in range(nodes)]
        self.refused = []

    async def run(self, calls_per_s, seconds):
        """Send calls at a mean rate, half to a node that rotates."""
        async with anyio.create_task_group() as tasks:
            nodes = [self.build_limiter(name, tasks) for name in self.names]
            for limiter in nodes:
                tasks.start_soon(limiter.return_idle)
            end = clock.now() + seconds
            async with anyio.create_task_group() as calls:
                while clock.now() < end:
                    await anyio.sleep(self.rng.expovariate(calls_per_s))
                    active_index = int(clock.now()) % len(nodes)
                    chosen = self.rng.choice(
                        [
                            nodes[active_index],
                            self.rng.choice(nodes),
                        ]
                    )
                    calls.start_soon(self.spend, chosen)
            tasks.cancel_scope.cancel()

    def build_limiter(self, name, tasks):
        """Return the rate limiter of one node."""
        grant_client = LossyGrantClient(
            name,
            self.buckets,
            self.rng,
            loss=self.loss,
        )
        return PrefetchingLimiter(
            grant_client,
            tasks,
            validity_s=VALIDITY_S,
            horizon_s=0.3,
            wait_s=0.4,
        )

    async def spend(self, limiter):
        """Spend a token and check it against the reference bucket."""
        try:
            await limiter.spend('harbour')
        except RefusedError as error:
            self.refused.append(error.refusal.reason)
            return
        self.reference.spend(clock.now())


async def run_trial(seed, rate, burst, calls_per_s, loss, seconds=SECONDS):
    """Run one trial and return it."""
    trial = Trial(seed, rate=rate, burst=burst, loss=loss)
    await trial.run(calls_per_s, seconds)
    return trial


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('loss', [0.0, 0.05])
def test_all_nodes_together_stay_within_rate_and_burst(seed, loss):
    """Offer four times the rate over links that may lose messages."""
    trial = run_on_mock_clock(run_trial, seed, 30, 30, 120, loss)
    assert trial.refused
    assert trial.reference.spent > 30 * SECONDS * 0.8


@pytest.mark.parametrize('seed', range(3))
def test_customer_inside_its_rate_is_not_refused(seed):
    """Refuse at most 0.5 % at three quarters of the rate."""
    trial = run_on_mock_clock(run_trial, seed, 40, 20, 30, 0.0)
    share = len(trial.refused) / (30 * SECONDS)
    assert share <= 0.005


def test_rate_is_unknown_when_no_holder_answers():
    """Refuse for an unknown rate, not for an exceeded one."""

    async def spend():
        trial = Trial(1, rate=10, burst=10, loss=1.0)
        async with anyio.create_task_group() as tasks:
            limiter = trial.build_limiter('node-1', tasks)
            with pytest.raises(RefusedError) as caught:
                await limiter.spend('harbour')
            tasks.cancel_scope.cancel()
        return caught.value.refusal.reason

    assert run_on_mock_clock(spend) == Reason.RATE_UNKNOWN


async def run_bursts(seed):
    """Send short bursts with pauses in which unused tokens are returned."""
    trial = Trial(seed, rate=8, burst=24, nodes=2)
    async with anyio.create_task_group() as tasks:
        nodes = [trial.build_limiter(name, tasks) for name in trial.names]
        for limiter in nodes:
            limiter.grant_client.delay_s = 0.04
            tasks.start_soon(limiter.return_idle)
        async with anyio.create_task_group() as calls:
            for _ in range(200):
                await anyio.sleep(trial.rng.uniform(0.3, 1.2))
                limiter = trial.rng.choice(nodes)
                for _ in range(trial.rng.randint(1, 12)):
                    calls.start_soon(trial.spend, limiter)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('seed', range(8))
def test_returned_tokens_are_not_also_spent(seed):
    """Return tokens while calls of the same customer request new ones."""
    run_on_mock_clock(run_bursts, seed)


class UnreachableGrantClient(GrantClient):
    """Return no grant, without delay."""

    def __init__(self):
        """Start without requests."""
        self.request_count = 0

    def find_shards(self, customer):
        """Return all shards."""
        return list(range(SHARDS))

    async def ask(self, token_request):
        """Return None; fail if called without backoff."""
        self.request_count += 1
        assert self.request_count < 1000, 'requests without backoff'


def test_unreachable_holders_are_asked_with_backoff():
    """Back off between requests when no node holds the shards."""

    async def spend():
        grant_client = UnreachableGrantClient()
        async with anyio.create_task_group() as tasks:
            limiter = PrefetchingLimiter(
                grant_client,
                tasks,
                validity_s=VALIDITY_S,
                horizon_s=0.3,
                wait_s=0.4,
            )
            with pytest.raises(RefusedError) as caught:
                await limiter.spend('harbour')
        return caught.value.refusal.reason

    assert run_on_mock_clock(spend) == Reason.RATE_UNKNOWN
