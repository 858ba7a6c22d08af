"""Test what nodes agree on, many seeds on a paused clock."""

import anyio
import pytest

from limpetshore import clock
from limpetshore.coordination.fleet import POLICY_KIND
from tests.builders import build_customer, build_ticket
from tests.mock_clock import run_on_mock_clock
from tests.simulated_fleet import MemoryFleet

RATE, BURST = 10, 16


async def start(seed, tasks, *, rate=RATE, burst=BURST, **changes):
    """Start a fleet with a ticket in force."""
    fleet = MemoryFleet(seed, tasks, rate=rate, burst=burst, **changes)
    fleet.start_all()
    await fleet.settle(lambda node: node.local_shards.ledger.version)
    await anyio.sleep(5)
    customer = build_customer(rate=rate, burst=burst)
    await fleet.write_ticket(build_ticket(customers={'harbour': customer}))
    await fleet.settle(lambda node: node.fleet.version(POLICY_KIND))
    return fleet


async def break_at_random(fleet, seconds):
    """Take random steps against a fleet."""
    rng = fleet.rng
    end = clock.now() + seconds
    while clock.now() < end:
        await anyio.sleep(rng.uniform(0.5, 8))
        step = rng.choice(['crash', 'pause', 'split', 'outage', 'loss'])
        name = rng.choice(fleet.names)
        if step == 'crash':
            fleet.crash(name)
            await anyio.sleep(rng.uniform(0.1, 60))
            fleet.start(name)
        elif step == 'pause':
            node = fleet.network.nodes[name]
            node.gate.close()
            await anyio.sleep(rng.uniform(1, 90))
            node.gate.open()
        elif step == 'split':
            half = rng.sample(fleet.names, rng.randint(1, 3))
            fleet.network.groups = dict.fromkeys(half, 'other')
            if rng.random() < 0.7:
                fleet.store.cut_off = set(half)
            await anyio.sleep(rng.uniform(5, 120))
            fleet.network.groups = {}
            fleet.store.cut_off = set()
        elif step == 'outage':
            fleet.store.is_down = True
            await anyio.sleep(rng.uniform(5, 120))
            fleet.store.is_down = False
        else:
            fleet.network.loss = 0.1
            await anyio.sleep(rng.uniform(5, 30))
            fleet.network.loss = 0.0


async def run_broken(seed, seconds=60):
    """Break a fleet under three times the rate, then let it heal."""
    async with anyio.create_task_group() as tasks:
        fleet = await start(seed, tasks)
        async with anyio.create_task_group() as broken:
            broken.start_soon(fleet.offer, 3 * RATE, seconds)
            broken.start_soon(break_at_random, fleet, seconds)
        customer = build_customer(rate=RATE, burst=BURST, weight=2)
        await fleet.write_ticket(
            build_ticket(2, customers={'harbour': customer})
        )
        await fleet.settle(lambda node: node.fleet.policy.policy.number == 2)
        await fleet.settle(
            lambda node: node.table.count_alive() == len(fleet.names),
        )
        tasks.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize('seed', range(6))
def test_broken_fleet_keeps_rate_and_versions(seed):
    """Never exceed rate and burst, never go back; heal at the end.

    The bucket and the versions are checked at each step of the run.
    """
    fleet = run_on_mock_clock(run_broken, seed)
    assert fleet.served > RATE * 60 * 0.3


async def time_ticket(seed, count):
    """Return how long a ticket takes to be in force everywhere."""
    async with anyio.create_task_group() as tasks:
        fleet = await start(seed, tasks, count=count)
        worst = 0
        for number in range(2, 8):
            customer = build_customer(rate=RATE + number, burst=BURST)
            ticket = build_ticket(number, customers={'harbour': customer})
            await fleet.write_ticket(ticket)
            began = clock.now()
            await fleet.settle(
                lambda node, number=number: (
                    node.fleet.policy.policy.number == number
                ),
            )
            worst = max(worst, clock.now() - began)
            await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    return worst


def test_ticket_is_in_force_within_the_bound():
    """Reach sixteen nodes within 5 s of the runtime's clock."""
    assert run_on_mock_clock(time_ticket, 1, 16) <= 5


async def offer_inside(seed, rate, burst):
    """Return the share refused of a customer inside its rate, no faults."""
    async with anyio.create_task_group() as tasks:
        fleet = await start(seed, tasks, rate=rate, burst=burst)
        await fleet.offer(rate * 0.75, 60)
        await anyio.sleep(2)
        tasks.cancel_scope.cancel()
    return len(fleet.refused) / (len(fleet.refused) + fleet.served)


def test_sound_fleet_refuses_next_to_nothing_inside_the_rate():
    """Stay under half a percent without faults."""
    assert run_on_mock_clock(offer_inside, 2, 30, 40) <= 0.005


def test_no_fault_small_burst_customer_within_rate_is_rarely_refused():
    """Stay under half a percent for a customer of burst 16, too."""
    assert run_on_mock_clock(offer_inside, 2, 10, 16) <= 0.005


async def offer_in_outage(seed, seconds):
    """Return the share refused while the store is down."""
    async with anyio.create_task_group() as tasks:
        fleet = await start(seed, tasks)
        fleet.store.is_down = True
        await anyio.sleep(60)
        await fleet.offer(RATE * 0.75, seconds)
        await anyio.sleep(2)
        tasks.cancel_scope.cancel()
    return len(fleet.refused) / (len(fleet.refused) + fleet.served)


def test_long_outage_refuses_next_to_nothing_inside_the_rate():
    """Stay under two percent in an outage of the store."""
    assert run_on_mock_clock(offer_in_outage, 3, 60) <= 0.02
