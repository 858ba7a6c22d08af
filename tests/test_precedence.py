"""Replay an overload deep in the graph, and count what ends whole."""

import random

import anyio
import pytest

from limpetshore import clock
from limpetshore.decisions.admission import AdmissionController
from limpetshore.decisions.concurrency_limits import AnnouncedLimit
from limpetshore.decisions.precedence import MAX_PRECEDENCE, compute_precedence
from limpetshore.errors import RefusedError
from limpetshore.importance import Importance
from tests.mock_clock import run_on_mock_clock

SERVERS = 4
SLOTS = 24
WORK_S = 0.025
CALLS = 6
SECONDS = 5
OVERLOAD = 1.5


async def play(rng, draw):
    """Offer more requests of six calls than fit; return how many end whole.

    `draw` returns the precedence of a call by the id of its request.
    """
    guards = [
        AdmissionController(
            AnnouncedLimit(SLOTS, slot_share=1),
            queue_per_slot=1,
            max_wait_s=0.25,
        )
        for _ in range(SERVERS)
    ]
    whole, offered = [], []

    async def call(root):
        guard = rng.choice(guards)
        deadline = clock.now() + 0.7
        importance = Importance.NORMAL
        await guard.acquire('', importance, deadline, draw(root))
        await anyio.sleep(rng.expovariate(1 / WORK_S))
        guard.release('')

    async def request(root):
        offered.append(root)
        try:
            for _ in range(CALLS):
                await call(root)
        except RefusedError:
            return
        whole.append(root)

    rate = OVERLOAD * len(guards) * SLOTS / WORK_S / CALLS
    async with anyio.create_task_group() as tasks:
        while clock.now() < SECONDS:
            await anyio.sleep(rng.expovariate(rate))
            tasks.start_soon(request, f'{rng.getrandbits(64):x}')
    return len(whole) / len(offered)


@pytest.mark.parametrize('seed', range(3))
def test_overload_costs_whole_requests_not_a_call_of_each(seed):
    """End nearly as many requests whole as the room is for."""

    async def alike():
        return await play(random.Random(seed), compute_precedence)

    async def at_random():
        rng = random.Random(seed)
        return await play(
            rng,
            lambda root: rng.randint(0, MAX_PRECEDENCE),
        )

    served = run_on_mock_clock(alike)
    assert served >= 0.8 / OVERLOAD
    assert served >= run_on_mock_clock(at_random) + 0.05


def test_precedence_is_spread_evenly():
    """Draw every precedence about as often as any other."""
    drawn = [compute_precedence(f'{number:016x}') for number in range(20000)]
    high = sum(precedence > MAX_PRECEDENCE / 2 for precedence in drawn)
    assert 0.48 <= high / len(drawn) <= 0.52
