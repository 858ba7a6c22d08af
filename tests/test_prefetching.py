"""Test that purses and buckets keep the rate together."""

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


class BucketGranter(GrantClient):
    """Reach buckets over links that delay and lose messages."""

    def __init__(self, name, buckets, rng, *, loss=0.0, delay_s=0.002):
        """Set the buckets and how bad the links are."""
        self.name = name
        self.buckets = buckets
        self.rng = rng
        self.loss = loss
        self.delay_s = delay_s

    def find_shards(self, customer):
        """Return the shards in an order of this node's own."""
        turn = sum(self.name.encode()) % SHARDS
        shards = list(range(SHARDS))
        return shards[turn:] + shards[:turn]

    async def ask(self, ask):
        """Ask a bucket; each way may be slow or lost."""
        with anyio.move_on_after(0.3):
            await anyio.sleep(self.rng.expovariate(1 / self.delay_s))
            if self.rng.random() < self.loss:
                await anyio.sleep_forever()
            bucket = self.buckets[ask.shard]
            granted = bucket.grant(self.name, ask, VALIDITY_S)
            retry_after_s = 0 if granted else bucket.time_to_token()
            await anyio.sleep(self.rng.expovariate(1 / self.delay_s))
            if self.rng.random() < self.loss:
                await anyio.sleep_forever()
            return TokenGrant(ask.shard, ask.customer, granted, retry_after_s)
        return None


class Trial:
    """Send calls of one customer through several nodes."""

    def __init__(self, seed, *, rate, burst, nodes=4, loss=0.0):
        """Build the buckets full."""
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

    async def run(self, offered, seconds):
        """Offer calls a second, moving between nodes; count what is refused."""
        async with anyio.create_task_group() as tasks:
            nodes = [self.build_purses(name, tasks) for name in self.names]
            for purses in nodes:
                tasks.start_soon(purses.return_idle)
            end = clock.now() + seconds
            async with anyio.create_task_group() as calls:
                while clock.now() < end:
                    await anyio.sleep(self.rng.expovariate(offered))
                    active = int(clock.now()) % len(nodes)
                    chosen = self.rng.choice(
                        [
                            nodes[active],
                            self.rng.choice(nodes),
                        ]
                    )
                    calls.start_soon(self.spend, chosen)
            tasks.cancel_scope.cancel()

    def build_purses(self, name, tasks):
        """Build the purses of one node."""
        granter = BucketGranter(
            name,
            self.buckets,
            self.rng,
            loss=self.loss,
        )
        return PrefetchingLimiter(
            granter,
            tasks,
            validity_s=VALIDITY_S,
            horizon_s=0.3,
            wait_s=0.4,
        )

    async def spend(self, purses):
        """Spend a token and check it against the reference."""
        try:
            await purses.spend('harbour')
        except RefusedError as error:
            self.refused.append(error.refusal.reason)
            return
        self.reference.spend(clock.now())


async def offer(seed, rate, burst, offered, loss, seconds=SECONDS):
    """Run one trial."""
    trial = Trial(seed, rate=rate, burst=burst, loss=loss)
    await trial.run(offered, seconds)
    return trial


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('loss', [0.0, 0.05])
def test_nodes_never_exceed_rate_and_burst_together(seed, loss):
    """Spend at several times the rate through links that lose messages."""
    trial = run_on_mock_clock(offer, seed, 30, 30, 120, loss)
    assert trial.refused
    assert trial.reference.spent > 30 * SECONDS * 0.8


@pytest.mark.parametrize('seed', range(3))
def test_customer_inside_its_rate_is_not_refused(seed):
    """Refuse next to nothing at three quarters of the rate."""
    trial = run_on_mock_clock(offer, seed, 40, 20, 30, 0.0)
    share = len(trial.refused) / (30 * SECONDS)
    assert share <= 0.005


def test_dead_shards_are_told_apart_from_the_rate():
    """Say that the rate is unknown when no holder answers."""

    async def spend():
        trial = Trial(1, rate=10, burst=10, loss=1.0)
        async with anyio.create_task_group() as tasks:
            purses = trial.build_purses('node-1', tasks)
            with pytest.raises(RefusedError) as caught:
                await purses.spend('harbour')
            tasks.cancel_scope.cancel()
        return caught.value.refusal.reason

    assert run_on_mock_clock(spend) == Reason.RATE_UNKNOWN


async def offer_in_bursts(seed):
    """Send short bursts with pauses in which unused tokens are returned."""
    trial = Trial(seed, rate=8, burst=24, nodes=2)
    async with anyio.create_task_group() as tasks:
        nodes = [trial.build_purses(name, tasks) for name in trial.names]
        for purses in nodes:
            purses.granter.delay_s = 0.04
            tasks.start_soon(purses.return_idle)
        async with anyio.create_task_group() as calls:
            for _ in range(200):
                await anyio.sleep(trial.rng.uniform(0.3, 1.2))
                purses = trial.rng.choice(nodes)
                for _ in range(trial.rng.randint(1, 12)):
                    calls.start_soon(trial.spend, purses)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('seed', range(8))
def test_returned_tokens_are_not_spent_as_well(seed):
    """Return tokens while calls of the same purse ask for new ones."""
    run_on_mock_clock(offer_in_bursts, seed)


class AbsentGranter(GrantClient):
    """Find nobody to ask, at once."""

    def __init__(self):
        """Start without asks."""
        self.asks = 0

    def find_shards(self, customer):
        """Return some shards."""
        return list(range(SHARDS))

    async def ask(self, ask):
        """Return nothing; fail when asked without end."""
        self.asks += 1
        assert self.asks < 1000, 'asks without waiting'


def test_shards_without_holders_are_not_asked_without_end():
    """Wait between asks when nobody holds the shards."""

    async def spend():
        granter = AbsentGranter()
        async with anyio.create_task_group() as tasks:
            purses = PrefetchingLimiter(
                granter,
                tasks,
                validity_s=VALIDITY_S,
                horizon_s=0.3,
                wait_s=0.4,
            )
            with pytest.raises(RefusedError) as caught:
                await purses.spend('harbour')
        return caught.value.refusal.reason

    assert run_on_mock_clock(spend) == Reason.RATE_UNKNOWN
