"""Test when a node that waits for the answer of another one probes it."""

import asyncio
import socket
from types import SimpleNamespace

import anyio
import pytest

from limpetshore import clock
from limpetshore.errors import RefusedError
from limpetshore.protocol.messages import ProbeReply
from limpetshore.routing import peer_calls
from limpetshore.routing.peer_calls import PeerExchange
from limpetshore.transport.http_client import Address
from limpetshore.transport.http_pool import HttpPool
from limpetshore.verdicts import Verdict
from tests.mock_clock import run_on_mock_clock
from tests.support import LOOPBACK_HOST

SILENCE_S, QUIET_S = 1.5, 0.25


class QuietPool:
    """Stand for the connections to a node that carry no other call."""

    def __init__(self):
        """Start with a byte received just now."""
        self.last_received_at = clock.now()

    def close_idle(self):
        """Close nothing."""


class DelayedConnection:
    """Deliver the head of an answer at a time."""

    def __init__(self, delay_s):
        """Answer `delay_s` seconds from now, never if it is None."""
        self.answered_at = None if delay_s is None else clock.now() + delay_s
        self.waits = 0

    async def read_head(self, timeout_s):
        """Return a head, or raise TimeoutError."""
        self.waits += 1
        end = clock.now() + timeout_s
        if self.answered_at is None or self.answered_at > end:
            await anyio.sleep(timeout_s)
            raise TimeoutError
        await anyio.sleep(max(0, self.answered_at - clock.now()))
        return 'head'


class CountedProbes(PeerExchange):
    """Count probes; the other node answers them unless it is dead."""

    is_dead = False

    async def probe(self, request):
        """Return that the call still runs."""
        self.probes = getattr(self, 'probes', 0) + 1
        if self.is_dead:
            await anyio.sleep(1)
            return None
        await anyio.sleep(0.002)
        return ProbeReply(has_arrived=True, is_running=True)


class WaitingRequest:
    """Stand for a request that may not be retried elsewhere."""

    overdue_after_s = None
    is_given_up = True

    def may_give_up(self):
        """Tell whether a dead node is given up."""
        return self.is_given_up

    def __init__(self, late_after_s):
        """Set when most answers of the route have arrived."""
        self.late_after_s = late_after_s
        self.deadline = clock.now() + 5


def count_probes(delay_s, late_after_s):
    """Return the number of probes while waiting for one answer."""

    async def run():
        exchange = CountedProbes(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.probes = 0
        exchange.connection = DelayedConnection(delay_s)
        await exchange.wait_head(WaitingRequest(late_after_s))
        return exchange.probes

    return run_on_mock_clock(run)


def test_usual_answer_is_not_probed():
    """Send no probe before the time within which most answers arrive.

    At 76 nodes most pairs exchange less than a call in 0.25 s: each call of
    0.3 s was probed on a new connection, two probes for each call.
    """
    assert count_probes(0.4, 0.5) == 0


def test_usual_answer_is_awaited_without_polling():
    """Wake up for the answer only, though it takes many times `quiet_s`."""

    async def run():
        exchange = CountedProbes(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.connection = DelayedConnection(1.2)
        await exchange.wait_head(WaitingRequest(1.3))
        return exchange.connection.waits

    assert run_on_mock_clock(run) == 1


@pytest.mark.parametrize('late_after_s', [0, 0.5])
def test_late_answer_is_probed_at_growing_intervals(late_after_s):
    """Probe a late call a few times."""
    assert 1 <= count_probes(3, late_after_s) <= 4


def test_dead_node_is_noticed():
    """Give up a call at a node that answers no probe in a few seconds."""

    async def run():
        exchange = CountedProbes(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.is_dead = True
        exchange.connection = DelayedConnection(None)
        started_at = clock.now()
        with pytest.raises(RefusedError) as caught:
            await exchange.wait_head(WaitingRequest(0.5))
        return caught.value.refusal.verdict, clock.now() - started_at

    verdict, waited_s = run_on_mock_clock(run)
    assert verdict == Verdict.MAY_HAVE_RUN
    assert waited_s <= 3


def test_leaving_node_waits_for_a_silent_one():
    """Give up no call while leaving, though the other node says nothing.

    It may have no processor time, while its server is at work.
    """

    async def run():
        exchange = CountedProbes(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.is_dead = True
        exchange.connection = DelayedConnection(4.8)
        request = WaitingRequest(0.5)
        request.is_given_up = False
        return await exchange.wait_head(request)

    assert run_on_mock_clock(run) == 'head'


class EndedProbes(CountedProbes):
    """Answer probes: the call has ended, so that its answer is under way."""

    async def probe(self, request):
        """Return that the call does not run any more."""
        return ProbeReply(has_arrived=True, is_running=False)


def test_leaving_node_waits_for_an_answer_on_its_way():
    """Give up no answer that the other node has sent, while leaving.

    A probe overtakes an answer whose segment is sent again: the node ended
    the request with 502, though the server had answered.
    """

    async def run():
        exchange = EndedProbes(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.connection = DelayedConnection(1.2)
        request = WaitingRequest(0.5)
        request.is_given_up = False
        return await exchange.wait_head(request)

    assert run_on_mock_clock(run) == 'head'


def test_answer_that_came_during_the_last_probe_is_not_given_up():
    """Take an answer that has arrived, though no probe was answered."""

    async def run():
        exchange = CountedProbes(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.is_dead = True
        exchange.connection = DelayedConnection(2.4)
        return await exchange.wait_head(WaitingRequest(0.5))

    assert run_on_mock_clock(run) == 'head'


def test_refused_probe_does_not_say_that_a_call_is_lost():
    """Take a closed port for that of a node that finishes its calls.

    Two nodes that stop at once gave up calls that ran, whose connection was
    open: the port for probes closes before the calls end.
    """

    async def run():
        with socket.socket() as port:
            port.bind((LOOPBACK_HOST, 0))
            address = Address(*port.getsockname())
            exchange = PeerExchange(
                HttpPool(address, 1), SILENCE_S, 10, QUIET_S
            )
            exchange.sent_at = clock.now()
            request = WaitingRequest(0.5)
            request.meta = SimpleNamespace(call_id='call')
            return await exchange.probe_answer_lost(request), exchange

    is_lost, exchange = asyncio.run(run())
    assert not is_lost
    assert exchange.lost_probes == 0


def test_probe_lasts_until_the_deadline_of_its_call(monkeypatch):
    """End no probe before the time of its call is over.

    Timers may fire a little early; a probe that ended so counted as lost.
    """

    async def answer_nothing(address, probe_request):
        await anyio.sleep_forever()

    async def run():
        exchange = PeerExchange(QuietPool(), SILENCE_S, 10, QUIET_S)
        exchange.pool.address = None
        exchange.sent_at = clock.now()
        request = WaitingRequest(0.5)
        request.meta = SimpleNamespace(call_id='call')
        request.deadline = clock.now() + 0.2
        assert await exchange.probe(request) is None
        return clock.now() - request.deadline

    monkeypatch.setattr(peer_calls, 'send_probe', answer_nothing)
    assert run_on_mock_clock(run) > clock.TIMER_ERROR_S / 2
