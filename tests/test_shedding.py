"""Replay an overload deep in the graph at the edge, on a paused clock."""

import random

import anyio

from limpetshore.decisions.shedding import (
    IngressShedding,
    NestedRefusalShare,
    RankedTraffic,
)
from tests.mock_clock import run_on_mock_clock

LOW, HIGH = 1, 3
REQUESTS_A_SECOND = 40


async def offer(shedding, rng, room, seconds, log):
    """Send requests of two ranks; those above `room` a second fail below."""
    ran = 0
    for number in range(int(seconds * REQUESTS_A_SECOND)):
        if number % REQUESTS_A_SECOND == 0:
            ran = 0
        await anyio.sleep(1 / REQUESTS_A_SECOND)
        rank = HIGH if rng.random() < 0.3 else LOW
        route = 'hold' if rank == HIGH else 'check'
        if not shedding.admits(route, rank):
            log.append((rank, 'refused'))
            continue
        ran += 1
        is_downstream_overload = rng.random() < max(
            0, 1 - room / REQUESTS_A_SECOND
        )
        if shedding.read() > 1 - room / REQUESTS_A_SECOND:
            is_downstream_overload = False
        shedding.observe(route, is_downstream_overload=is_downstream_overload)
        log.append((rank, 'wasted' if is_downstream_overload else 'served'))


def share(log, rank, outcome):
    """Return the share of a rank that had an outcome."""
    own = [entry for entry in log if entry[0] == rank]
    return sum(entry[1] == outcome for entry in own) / len(own)


def test_least_important_are_refused_and_little_is_wasted():
    """Halve the room below for twenty seconds."""
    log = []

    async def run():
        rng = random.Random(1)
        shedding = IngressShedding(rng)
        await offer(shedding, rng, 20, 3, [])
        await offer(shedding, rng, 20, 20, log)

    run_on_mock_clock(run)
    assert share(log, HIGH, 'refused') < 0.05
    assert 0.4 < share(log, LOW, 'refused') < 0.9
    assert share(log, LOW, 'wasted') < 0.2


def test_recovers_within_two_seconds():
    """Admit all again soon after the overload has ended."""
    log = []

    async def run():
        rng = random.Random(2)
        shedding = IngressShedding(rng)
        await offer(shedding, rng, 20, 10, [])
        await offer(shedding, rng, 1000, 2, [])
        await offer(shedding, rng, 1000, 5, log)

    run_on_mock_clock(run)
    assert share(log, LOW, 'refused') == 0


def test_route_that_fails_for_nothing_below_is_not_shed():
    """Leave routes alone that do not call what has no room."""

    async def run():
        shedding = IngressShedding(random.Random(3))
        for _ in range(50):
            await anyio.sleep(0.02)
            shedding.observe('check', is_downstream_overload=True)
        return [shedding.admits('drawing', LOW) for _ in range(100)]

    assert all(run_on_mock_clock(run))


def test_turned_away_calls_fade():
    """Report calls that found no room, and forget them when all is calm."""

    async def run():
        nested_refusals = NestedRefusalShare()
        for _ in range(40):
            await anyio.sleep(0.01)
            nested_refusals.count(is_refused=True)
        busy = nested_refusals.read()
        await anyio.sleep(3)
        return busy, nested_refusals.read()

    busy, calm = run_on_mock_clock(run)
    assert busy > 0.5
    assert calm == 0


def test_shares_of_ranks_add_up():
    """Refuse just the wanted share over all ranks."""

    async def run():
        traffic = RankedTraffic()
        traffic.weights = {0: 10, 1: 30, 2: 60}
        return sum(
            traffic.weights[rank] * traffic.refused_share(rank, 0.25)
            for rank in traffic.weights
        )

    assert run_on_mock_clock(run) == 25
