"""Test how the concurrency limit adapts to a server."""

import anyio
import pytest

from limpetshore.decisions.concurrency_limits import (
    AnnouncedLimit,
    ConcurrencyLimit,
)
from tests.mock_clock import run_on_mock_clock


class Server:
    """Serve requests with a number of real slots and queue the others."""

    def __init__(self, slots, service_s):
        """Serve `slots` requests at a time, each for `service_s` seconds."""
        self.slots = anyio.CapacityLimiter(slots)
        self.service_s = service_s

    async def serve(self):
        """Serve one request and return the seconds it took."""
        started = anyio.current_time()
        async with self.slots:
            await anyio.sleep(self.service_s)
        return anyio.current_time() - started


async def saturate(limit, server, seconds):
    """Send as many concurrent requests as allowed; return the throughput."""
    end = anyio.current_time() + seconds
    in_flight = 0
    done = 0

    def send_up_to_limit():
        nonlocal in_flight
        while in_flight < limit.allowed and anyio.current_time() < end:
            in_flight += 1
            tasks.start_soon(send)

    async def send():
        nonlocal in_flight, done
        latency_s = await server.serve()
        limit.observe(latency_s, in_flight)
        in_flight -= 1
        done += 1
        send_up_to_limit()

    async with anyio.create_task_group() as tasks:
        send_up_to_limit()
    return done / seconds


def build_limit(slots):
    """Return a limit with the default settings of a node."""
    return ConcurrencyLimit(slots, initial_share=0.2, probe_s=5)


async def measure_slowdown(slots):
    """Make a server five times slower for a while.

    Return its throughput during and after that time, as shares of the maximum.
    """
    limit = build_limit(slots)
    server = Server(slots, 0.02)
    await saturate(limit, server, 10)
    server.service_s = 0.1
    while_slow = await saturate(limit, server, 20)
    server.service_s = 0.02
    after = await saturate(limit, server, 10)
    return while_slow / (slots / 0.1), after / (slots / 0.02)


@pytest.mark.parametrize('slots', [2, 4, 20, 120])
def test_limit_is_kept_when_requests_become_slow(slots):
    """Keep all slots in use if the latency does not come from queueing."""
    while_slow, after = run_on_mock_clock(measure_slowdown, slots)
    assert while_slow >= 0.95
    assert after >= 0.9


async def learn_overstated_slots(announced, actual):
    """Return the limit reached for a server that announces too many slots."""
    limit = build_limit(announced)
    server = Server(actual, 0.02)
    await saturate(limit, server, 60)
    return limit.allowed


def test_limit_approaches_actual_slots_below_announced_ones():
    """Reach a small multiple of the real slots, not the announced number."""
    assert run_on_mock_clock(learn_overstated_slots, 1000, 10) <= 40


async def measure_cold_start():
    """Return the initial limit and that after ten seconds of load."""
    limit = build_limit(100)
    first = limit.allowed
    await saturate(limit, Server(100, 0.02), 10)
    return first, limit.allowed


def test_limit_rises_after_cold_start():
    """Start at a share of the slots and reach all of them under load."""
    first, later = run_on_mock_clock(measure_cold_start)
    assert first == 20
    assert later == 100


async def measure_sheds():
    """Return the limit after the server shed some requests itself."""
    limit = build_limit(100)
    await saturate(limit, Server(100, 0.02), 10)
    for _ in range(20):
        await anyio.sleep(0.02)
        limit.observe_shed()
    return limit.allowed


def test_sheds_lower_the_limit():
    """Lower the limit of a server that sheds requests itself."""
    assert run_on_mock_clock(measure_sheds) < 100


def test_announced_limit_depends_only_on_slots():
    """Keep the limit when the server sheds requests or answers slowly."""

    async def run():
        limit = AnnouncedLimit(60, slot_share=0.95)
        for _ in range(100):
            await anyio.sleep(0.2)
            limit.observe_shed()
            limit.observe(3, 57)
        before = limit.allowed
        limit.resize(20)
        return before, limit.allowed

    assert run_on_mock_clock(run) == (57, 19)
