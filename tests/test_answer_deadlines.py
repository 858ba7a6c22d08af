"""Test that no answer outlasts its request, however it is framed."""

import asyncio
import http.client
from typing import NamedTuple

import anyio
import pytest

from limpetshore import clock
from limpetshore.errors import OverdueError, RefusedError
from limpetshore.platform import wire
from limpetshore.protocol.exchanges import ANSWER_TAIL_S
from limpetshore.protocol.messages import (
    ANSWER_HEADER,
    AnswerMeta,
    json_encoder,
)
from limpetshore.routing.guard_exchange import GuardExchange
from limpetshore.routing.peer_calls import PeerExchange
from limpetshore.transport.http_client import Address
from limpetshore.transport.http_pool import HttpPool
from limpetshore.verdicts import Reason
from standins.local_fleet import LocalFleet, wait_until
from tests.builders import LAYOUT, SHORT_FLEET_PERIODS, build_ticket_tables
from tests.faulty_server import HOST, PORT, build_guard, build_request
from tests.support import call

# A stall does not end what these tests wait for.
LONG_S = 60
TIMEOUT_S = 0.4
PAUSE_S = 0.02
MARK = (
    wire.REQUEST_ID
    + b': one\r\n'
    + wire.SEAL
    + b': s\r\n'
    + ANSWER_HEADER
    + b': '
    + json_encoder.encode(AnswerMeta('', '', 0, 0, 0, 0, 0))
    + b'\r\n'
)
CHUNKED = MARK + b'transfer-encoding: chunked\r\n\r\n'
FRAMINGS = {
    'chunked': (CHUNKED, b'1\r\n.\r\n'),
    'chunk-extension': (CHUNKED + b'1;', b'.'),
    'trailer': (CHUNKED + b'0\r\nx: ', b'.'),
    'sized': (MARK + b'content-length: 9000000\r\n\r\n', b'.'),
    'short': (MARK + b'content-length: 9000\r\n\r\n', b'.'),
    'until-close': (MARK + b'\r\n', b'.'),
}


class SlowAnswer(NamedTuple):
    """Describe an answer that comes in pieces; `count` is None for no end."""

    head: bytes
    piece: bytes
    count: int | None = None
    end: bytes = b''

    async def send(self, reader, writer):
        """Serve one request with the answer, then close the connection."""
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n' + self.head)
            sent = 0
            while not writer.transport.is_closing() and sent != self.count:
                writer.write(self.piece)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
                sent += 1
            writer.write(self.end)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def open_guard_exchange():
    """Return an exchange with the backend server."""
    return GuardExchange(build_guard(LONG_S))


def open_peer_exchange():
    """Return an exchange with another node, at the same address."""
    pool = HttpPool(Address(HOST, PORT), LONG_S)
    return PeerExchange(pool, LONG_S, LONG_S, LONG_S)


HOPS = (open_guard_exchange, open_peer_exchange)


async def read_body(exchange, timeout_s):
    """Return the body of an answer, or the error that ended it."""
    body = b''
    try:
        await exchange.open(build_request('one', timeout_s))
        while chunk := await exchange.read_chunk():
            body += chunk
    except (OverdueError, RefusedError) as error:
        return error
    finally:
        await exchange.close()
    return body


def read_answer(hop, answer, timeout_s=TIMEOUT_S):
    """Return the body or the error of a request, and how long it took (s)."""

    async def run():
        server = await asyncio.start_server(answer.send, HOST, PORT)
        started_at = clock.now()
        with anyio.fail_after(LONG_S / 2):
            outcome = await read_body(hop(), timeout_s)
        server.close()
        return outcome, clock.now() - started_at

    return anyio.run(run)


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('hop', HOPS)
def test_body_that_goes_on_ends_at_the_timeout(hop, framing):
    """Give up a body that has no end, on both hops, whatever its framing.

    A server sent pieces of a body without end: the answer went on until the
    caller left, long after the timeout of the route.
    """
    outcome, took_s = read_answer(hop, SlowAnswer(*FRAMINGS[framing]))
    assert isinstance(outcome, OverdueError)
    assert took_s >= TIMEOUT_S + ANSWER_TAIL_S


@pytest.mark.parametrize('hop', HOPS)
def test_head_that_goes_on_ends_at_the_timeout(hop):
    """Refuse a request whose answer has a head that has no end."""
    outcome, _ = read_answer(hop, SlowAnswer(b'x: ', b'.'))
    assert outcome.refusal.reason == Reason.DEADLINE


SLOW_ANSWERS = [
    SlowAnswer(CHUNKED, b'1\r\n.\r\n', 20, b'0\r\n\r\n'),
    SlowAnswer(MARK + b'content-length: 20\r\n\r\n', b'.', 20),
    SlowAnswer(MARK + b'\r\n', b'.', 20),
]


@pytest.mark.parametrize('answer', SLOW_ANSWERS)
@pytest.mark.parametrize('hop', HOPS)
def test_slow_answer_is_delivered_whole(hop, answer):
    """Deliver a sound answer that comes slowly, but in time."""
    outcome, _ = read_answer(hop, answer, timeout_s=20)
    assert outcome == b'.' * 20


@pytest.fixture(scope='module')
def fleet():
    """Run four nodes with an accepted ticket."""
    settings = {**SHORT_FLEET_PERIODS, 'call': {'stall_s': LONG_S}}
    with LocalFleet(LAYOUT, settings=settings) as running:
        assert running.apply(build_ticket_tables()).returncode == 0
        running.wait_ready(ticket=True)
        entry = running.callers_address('stock-1')
        wait_until(lambda: call(entry, '/yard').status == 200, 'first answer')
        yield running


@pytest.mark.parametrize('size', ['900', '9000000', ''])
@pytest.mark.parametrize('path', ['/stock', '/yard'])
def test_caller_is_not_kept_waiting_by_an_endless_answer(fleet, path, size):
    """Refuse a short answer without end; abort a long one or one in chunks."""
    headers = {'x-trickle': size, 'x-request-timeout-ms': '400'}
    entry = fleet.callers_address('stock-1')
    if size == '900':
        reply = call(entry, path, headers=headers)
        assert (reply.reason, reply.verdict) == ('deadline', 'may-have-run')
        return
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        call(entry, path, headers=headers)
