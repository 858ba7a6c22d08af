"""Test early shedding at the ingress during an overload downstream."""

import random

import anyio

from limpetshore.decisions.shedding import (
    IngressShedding,
    NestedRefusalShare,
    TrafficByRank,
)
from tests.mock_clock import run_on_mock_clock

LOW, HIGH = 1, 3
REQUESTS_PER_S = 40


async def send_requests(shedding, rng, capacity, seconds, log):
    """Send requests of two ranks; those above `capacity` per second fail.

    Append the rank and outcome of each request to `log`.
    """
    admitted = 0
    for number in range(int(seconds * REQUESTS_PER_S)):
        if number % REQUESTS_PER_S == 0:
            admitted = 0
        await anyio.sleep(1 / REQUESTS_PER_S)
        rank = HIGH if rng.random() < 0.3 else LOW
        route = 'hold' if rank == HIGH else 'check'
        if not shedding.admits(route, rank):
            log.append((rank, 'refused'))
            continue
        admitted += 1
        is_downstream_overload = rng.random() < max(
            0, 1 - capacity / REQUESTS_PER_S
        )
        if shedding.read() > 1 - capacity / REQUESTS_PER_S:
            is_downstream_overload = False
        shedding.observe(route, is_downstream_overload=is_downstream_overload)
        log.append((rank, 'failed' if is_downstream_overload else 'served'))


def outcome_share(log, rank, outcome):
    """Return the share of a rank's requests that had an outcome."""
    outcomes = [entry for entry in log if entry[0] == rank]
    return sum(entry[1] == outcome for entry in outcomes) / len(outcomes)


def test_lowest_rank_is_shed_and_few_requests_fail():
    """Halve the downstream capacity for twenty seconds."""
    log = []

    async def run():
        rng = random.Random(1)
        shedding = IngressShedding(rng)
        await send_requests(shedding, rng, 20, 3, [])
        await send_requests(shedding, rng, 20, 20, log)

    run_on_mock_clock(run)
    assert outcome_share(log, HIGH, 'refused') < 0.05
    assert 0.4 < outcome_share(log, LOW, 'refused') < 0.9
    assert outcome_share(log, LOW, 'failed') < 0.2


def test_shedding_ends_within_two_seconds_after_overload():
    """Admit all requests within two seconds after the overload ends."""
    log = []

    async def run():
        rng = random.Random(2)
        shedding = IngressShedding(rng)
        await send_requests(shedding, rng, 20, 10, [])
        await send_requests(shedding, rng, 1000, 2, [])
        await send_requests(shedding, rng, 1000, 5, log)

    run_on_mock_clock(run)
    assert outcome_share(log, LOW, 'refused') == 0


def test_route_without_downstream_overload_is_not_shed():
    """Shed only routes that call the overloaded service."""

    async def run():
        shedding = IngressShedding(random.Random(3))
        for _ in range(50):
            await anyio.sleep(0.02)
            shedding.observe('check', is_downstream_overload=True)
        return [shedding.admits('drawing', LOW) for _ in range(100)]

    assert all(run_on_mock_clock(run))


def test_nested_refusal_share_decays():
    """Report a high share during refusals and 0 three seconds later."""

    async def run():
        nested_refusals = NestedRefusalShare()
        for _ in range(40):
            await anyio.sleep(0.01)
            nested_refusals.count(is_refused=True)
        during_refusals = nested_refusals.read()
        await anyio.sleep(3)
        return during_refusals, nested_refusals.read()

    during_refusals, afterwards = run_on_mock_clock(run)
    assert during_refusals > 0.5
    assert afterwards == 0


def test_shares_of_ranks_sum_to_total():
    """Refuse exactly the requested share over all ranks."""

    async def run():
        traffic = TrafficByRank()
        traffic.weights = {0: 10, 1: 30, 2: 60}
        return sum(
            traffic.weights[rank] * traffic.refused_share(rank, 0.25)
            for rank in traffic.weights
        )

    assert run_on_mock_clock(run) == 25
