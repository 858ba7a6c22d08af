"""Test a simulated fleet with random faults on a mock clock."""

import anyio
import pytest

from limpetshore import clock
from limpetshore.coordination.fleet import POLICY_KIND
from tests.builders import build_customer, build_ticket
from tests.mock_clock import run_on_mock_clock
from tests.simulated_fleet import SimulatedFleet

RATE, BURST = 10, 16


async def start_with_ticket(seed, tasks, *, rate=RATE, burst=BURST, **changes):
    """Start a fleet and wait until a ticket is active on all nodes."""
    fleet = SimulatedFleet(seed, tasks, rate=rate, burst=burst, **changes)
    fleet.start_all()
    await fleet.wait_until_all(lambda node: node.local_shards.ledger.version)
    await anyio.sleep(5)
    customer = build_customer(rate=rate, burst=burst)
    await fleet.write_ticket(build_ticket(customers={'harbour': customer}))
    await fleet.wait_until_all(lambda node: node.fleet.version(POLICY_KIND))
    return fleet


async def inject_random_faults(fleet, seconds):
    """Inject random faults one after the other for some seconds."""
    rng = fleet.rng
    end = clock.now() + seconds
    while clock.now() < end:
        await anyio.sleep(rng.uniform(0.5, 8))
        fault = rng.choice(['crash', 'pause', 'split', 'outage', 'loss'])
        name = rng.choice(fleet.names)
        if fault == 'crash':
            fleet.crash(name)
            await anyio.sleep(rng.uniform(0.1, 60))
            fleet.start(name)
        elif fault == 'pause':
            node = fleet.network.nodes[name]
            node.gate.close()
            await anyio.sleep(rng.uniform(1, 90))
            node.gate.open()
        elif fault == 'split':
            partition = rng.sample(fleet.names, rng.randint(1, 3))
            fleet.network.partitions = dict.fromkeys(partition, 'other')
            if rng.random() < 0.7:
                fleet.store.blocked_names = set(partition)
            await anyio.sleep(rng.uniform(5, 120))
            fleet.network.partitions = {}
            fleet.store.blocked_names = set()
        elif fault == 'outage':
            fleet.store.is_down = True
            await anyio.sleep(rng.uniform(5, 120))
            fleet.store.is_down = False
        else:
            fleet.network.loss = 0.1
            await anyio.sleep(rng.uniform(5, 30))
            fleet.network.loss = 0.0


async def run_with_faults(seed, seconds=60):
    """Inject faults at three times the rate, then wait for recovery."""
    async with anyio.create_task_group() as tasks:
        fleet = await start_with_ticket(seed, tasks)
        async with anyio.create_task_group() as fault_tasks:
            fault_tasks.start_soon(fleet.offer_calls, 3 * RATE, seconds)
            fault_tasks.start_soon(inject_random_faults, fleet, seconds)
        customer = build_customer(rate=RATE, burst=BURST, weight=2)
        await fleet.write_ticket(
            build_ticket(2, customers={'harbour': customer})
        )
        await fleet.wait_until_all(
            lambda node: node.fleet.policy.policy.number == 2
        )
        await fleet.wait_until_all(
            lambda node: node.table.count_alive() == len(fleet.names),
        )
        tasks.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize('seed', range(6))
def test_fleet_with_faults_keeps_rate_and_versions(seed):
    """Stay within rate and burst with increasing versions, and recover.

    Every admitted call is checked against the reference bucket, and every
    adopted policy against the version before.
    """
    fleet = run_on_mock_clock(run_with_faults, seed)
    assert fleet.served > RATE * 60 * 0.3


async def measure_ticket_delay_s(seed, count):
    """Return the longest time until a ticket is active on all nodes."""
    async with anyio.create_task_group() as tasks:
        fleet = await start_with_ticket(seed, tasks, count=count)
        max_delay_s = 0
        for number in range(2, 8):
            customer = build_customer(rate=RATE + number, burst=BURST)
            ticket = build_ticket(number, customers={'harbour': customer})
            await fleet.write_ticket(ticket)
            applied_at = clock.now()
            await fleet.wait_until_all(
                lambda node, number=number: (
                    node.fleet.policy.policy.number == number
                ),
            )
            max_delay_s = max(max_delay_s, clock.now() - applied_at)
            await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    return max_delay_s


def test_ticket_is_active_on_all_nodes_within_5_s():
    """Reach sixteen nodes, measured on the mock clock."""
    assert run_on_mock_clock(measure_ticket_delay_s, 1, 16) <= 5


async def measure_refused_share(seed, rate, burst):
    """Return the refused share at three quarters of the rate, no faults."""
    async with anyio.create_task_group() as tasks:
        fleet = await start_with_ticket(seed, tasks, rate=rate, burst=burst)
        await fleet.offer_calls(rate * 0.75, 60)
        await anyio.sleep(2)
        tasks.cancel_scope.cancel()
    return len(fleet.refused) / (len(fleet.refused) + fleet.served)


def test_fleet_without_faults_rarely_refuses_within_rate():
    """Refuse at most 0.5 % at three quarters of the rate."""
    assert run_on_mock_clock(measure_refused_share, 2, 30, 40) <= 0.005


def test_no_fault_small_burst_customer_within_rate_is_rarely_refused():
    """Refuse at most 0.5 % also of a customer with burst 16."""
    assert run_on_mock_clock(measure_refused_share, 2, 10, 16) <= 0.005


async def measure_refused_share_in_outage(seed, seconds):
    """Return the share refused after 60 s without the store."""
    async with anyio.create_task_group() as tasks:
        fleet = await start_with_ticket(seed, tasks)
        fleet.store.is_down = True
        await anyio.sleep(60)
        await fleet.offer_calls(RATE * 0.75, seconds)
        await anyio.sleep(2)
        tasks.cancel_scope.cancel()
    return len(fleet.refused) / (len(fleet.refused) + fleet.served)


def test_long_store_outage_rarely_refuses_within_rate():
    """Refuse at most 2 % at three quarters of the rate."""
    assert run_on_mock_clock(measure_refused_share_in_outage, 3, 60) <= 0.02
