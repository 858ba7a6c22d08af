"""Test what the concurrency limit learns from a server."""

import anyio
import pytest

from limpetshore.decisions.concurrency_limits import (
    AnnouncedLimit,
    ConcurrencyLimit,
)
from tests.mock_clock import run_on_mock_clock


class Server:
    """Work with some slots, whatever was announced, and queue the rest."""

    def __init__(self, slots, service_s):
        """Start idle."""
        self.slots = anyio.CapacityLimiter(slots)
        self.service_s = service_s

    async def serve(self):
        """Serve one request and return the seconds it took."""
        started = anyio.current_time()
        async with self.slots:
            await anyio.sleep(self.service_s)
        return anyio.current_time() - started


async def saturate(limit, server, seconds):
    """Keep as many requests at the server as the limit allows."""
    end = anyio.current_time() + seconds
    in_flight = 0
    done = 0

    def fill():
        nonlocal in_flight
        while in_flight < limit.allowed and anyio.current_time() < end:
            in_flight += 1
            tasks.start_soon(send)

    async def send():
        nonlocal in_flight, done
        took = await server.serve()
        limit.observe(took, in_flight)
        in_flight -= 1
        done += 1
        fill()

    async with anyio.create_task_group() as tasks:
        fill()
    return done / seconds


def build_limit(slots):
    """Return a limit as a node starts it."""
    return ConcurrencyLimit(slots, initial_share=0.2, probe_s=5)


async def slow_down(slots):
    """Slow a server five times and return the goodput while it is slow."""
    limit = build_limit(slots)
    server = Server(slots, 0.02)
    await saturate(limit, server, 10)
    server.service_s = 0.1
    rate = await saturate(limit, server, 20)
    server.service_s = 0.02
    after = await saturate(limit, server, 10)
    return rate / (slots / 0.1), after / (slots / 0.02)


@pytest.mark.parametrize('slots', [2, 4, 20, 120])
def test_limit_stays_while_the_work_itself_is_slow(slots):
    """Keep the slots busy when latency does not come from a queue."""
    while_slow, after = run_on_mock_clock(slow_down, slots)
    assert while_slow >= 0.95
    assert after >= 0.9


async def meet_liar(announced, real):
    """Return the limit learned of a server that announces too much."""
    limit = build_limit(announced)
    server = Server(real, 0.02)
    await saturate(limit, server, 60)
    return limit.allowed


def test_limit_finds_the_slots_of_a_server_that_announces_too_many():
    """Come down to a few times the real slots, not the announced ones."""
    assert run_on_mock_clock(meet_liar, 1000, 10) <= 40


async def cold_start():
    """Return the limit at the start and after some seconds of load."""
    limit = build_limit(100)
    first = limit.allowed
    await saturate(limit, Server(100, 0.02), 10)
    return first, limit.allowed


def test_limit_ramps_up_after_a_cold_start():
    """Begin at a share of the slots and reach them under load."""
    first, later = run_on_mock_clock(cold_start)
    assert first == 20
    assert later == 100


async def shed():
    """Return the limit after the server shed some requests."""
    limit = build_limit(100)
    await saturate(limit, Server(100, 0.02), 10)
    for _ in range(20):
        await anyio.sleep(0.02)
        limit.observe_shed()
    return limit.allowed


def test_sheds_lower_the_limit():
    """Believe a server that refuses work by itself."""
    assert run_on_mock_clock(shed) < 100


def test_announced_limit_follows_the_slots_and_nothing_else():
    """Keep the room of a server that refused a few requests by itself."""

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
