"""Test that guards refuse the calls of the same requests under overload.

If guards refuse calls independently, most requests lose one of their calls and
few complete.
"""

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
CALLS_PER_REQUEST = 6
DURATION_S = 5
OVERLOAD_FACTOR = 1.5


async def run_overload(rng, choose_precedence):
    """Offer more requests than the guards can serve, of several calls each.

    `choose_precedence` returns the precedence of a call by the id of its
    request. Return the share of requests that complete all their calls.
    """
    guards = [
        AdmissionController(
            AnnouncedLimit(SLOTS, slot_share=1),
            queue_per_slot=1,
            max_wait_s=0.25,
        )
        for _ in range(SERVERS)
    ]
    completed, offered = [], []

    async def call(root_request_id):
        guard = rng.choice(guards)
        deadline = clock.now() + 0.7
        importance = Importance.NORMAL
        await guard.acquire(
            '', importance, deadline, choose_precedence(root_request_id)
        )
        await anyio.sleep(rng.expovariate(1 / WORK_S))
        guard.release('')

    async def request(root_request_id):
        offered.append(root_request_id)
        try:
            for _ in range(CALLS_PER_REQUEST):
                await call(root_request_id)
        except RefusedError:
            return
        completed.append(root_request_id)

    rate = OVERLOAD_FACTOR * len(guards) * SLOTS / WORK_S / CALLS_PER_REQUEST
    async with anyio.create_task_group() as tasks:
        while clock.now() < DURATION_S:
            await anyio.sleep(rng.expovariate(rate))
            tasks.start_soon(request, f'{rng.getrandbits(64):x}')
    return len(completed) / len(offered)


@pytest.mark.parametrize('seed', range(3))
def test_shared_precedence_completes_more_requests(seed):
    """Complete nearly as many requests as the servers have capacity for."""

    async def run_shared():
        return await run_overload(random.Random(seed), compute_precedence)

    async def run_random():
        rng = random.Random(seed)
        return await run_overload(
            rng,
            lambda root_request_id: rng.randint(0, MAX_PRECEDENCE),
        )

    served = run_on_mock_clock(run_shared)
    assert served >= 0.8 / OVERLOAD_FACTOR
    assert served >= run_on_mock_clock(run_random) + 0.05


def test_precedence_is_spread_evenly():
    """Return precedences above and below the middle equally often."""
    drawn = [compute_precedence(f'{number:016x}') for number in range(20000)]
    high = sum(precedence > MAX_PRECEDENCE / 2 for precedence in drawn)
    assert 0.48 <= high / len(drawn) <= 0.52
