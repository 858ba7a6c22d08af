"""Test that no wait ends before its time limit, as the clock counts it.

The event loop is that of the nodes, whose timers count whole milliseconds.
"""

import asyncio
import contextlib
import socket
import time
from collections import defaultdict
from types import SimpleNamespace

import anyio
import pytest

from limpetshore import clock
from limpetshore.decisions.latency_estimate import LatencyEstimate
from limpetshore.errors import OverdueError, RefusedError
from limpetshore.importance import Importance
from limpetshore.platform import wire
from limpetshore.platform.dialects import PlatformBackendDialect
from limpetshore.protocol.bodies import (
    AnswerSender,
    CallerDisconnectedError,
    RequestBody,
)
from limpetshore.protocol.dialects import BackendCall, NativeBackendDialect
from limpetshore.protocol.exchanges import (
    read_chunk_within,
    read_head_by,
    skip_answer_by,
)
from limpetshore.protocol.messages import TIMEOUT_HEADER
from limpetshore.settings import CallSection
from limpetshore.transport.http_client import (
    MAX_BUFFERED_BYTES,
    Address,
    connect,
)
from limpetshore.verdicts import Reason
from tests.support import LOOPBACK_HOST
from tests.test_admission import build_admission
from tests.scripted_peers import GET
from tests.test_attempts import build_attempts

ADDRESS = Address(LOOPBACK_HOST, 7415)
HEADERS = [(b'host', b'x')]
LONG_S = 60
LATE_PHASE = 0.85
BLOCKED_S = 0.05
# More than the buffers of both sockets hold.
LARGE_BYTES = 64 * 1024 * 1024
PARTIAL_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n.'
# The limits lie on all tenths of a millisecond.
LIMITS_S = [(100 + index) / 10000 for index in range(20)]


@pytest.mark.parametrize(
    ('dialect', 'name'),
    [
        (NativeBackendDialect(), TIMEOUT_HEADER),
        (PlatformBackendDialect(), wire.DEADLINE_MS),
    ],
    ids=['native', 'platform'],
)
def test_server_is_handed_no_less_time_than_is_left(dialect, name):
    """Round the time up: a server stops work at the value that it receives.

    Servers ended calls up to one millisecond before the caller's time.
    """
    call = BackendCall('id', 'harbour', 'yard', 'token', 1.2341)
    assert dict(dialect.build_headers(call, 'i-1'))[name] == b'1235'


def test_other_node_is_handed_no_less_time_than_is_left(monkeypatch):
    """Round the time up: the other node refuses the call once it is over."""
    monkeypatch.setattr(clock, 'now', lambda: 0)
    attempts = build_attempts()
    attempts.state.settings = SimpleNamespace(
        backend=SimpleNamespace(service='yard')
    )
    attempts.state.latencies = defaultdict(LatencyEstimate)
    sent_at = attempts.call.origin.context.deadline - 1.2341
    attempt = SimpleNamespace(sent_at=sent_at, lent=0)
    request = attempts.build_request(GET, attempt)
    assert request.meta.timeout_ms == 1235


@contextlib.asynccontextmanager
async def open_connection(answer=b''):
    """Open a connection to a server that reads nothing more and sends this."""
    done = asyncio.Event()

    async def serve(reader, writer):
        writer.transport.pause_reading()
        writer.write(answer)
        await done.wait()
        writer.transport.abort()

    server = await asyncio.start_server(serve, *ADDRESS)
    connection = await connect(ADDRESS)
    try:
        await connection.send_head(b'GET', b'/', HEADERS)
        yield connection
    finally:
        connection.close()
        done.set()
        server.close()


async def wait_for_head(deadline):
    """Wait for the head of an answer that does not come."""
    async with open_connection() as connection:
        with pytest.raises(RefusedError):
            await read_head_by(connection, deadline())
        return clock.now()


async def wait_for_stray_answer(deadline):
    """Wait for the end of a stray answer that does not come."""
    async with open_connection(PARTIAL_ANSWER) as connection:
        await connection.read_head()
        with pytest.raises(RefusedError):
            await skip_answer_by(connection, deadline())
        return clock.now()


async def wait_for_body(deadline):
    """Wait for the rest of an answer that does not come."""
    async with open_connection(PARTIAL_ANSWER) as connection:
        await connection.read_head()
        await connection.read_chunk()
        connection.end_by(deadline())
        with pytest.raises(OverdueError):
            await read_chunk_within(connection, LONG_S)
        return clock.now()


async def wait_to_send(deadline):
    """Wait until a server that does not read takes the request."""
    async with open_connection() as connection:
        connection.end_by(deadline())
        with pytest.raises(OverdueError):
            await connection.send(bytes(LARGE_BYTES))
        return clock.now()


async def wait_for_request_body(deadline):
    """Wait for the body of a request that does not come."""
    request = SimpleNamespace(
        headers=[], body=[], is_body_complete=False, read_body=sleep_forever
    )
    body = RequestBody(request, CallSection(), deadline())
    with pytest.raises(RefusedError):
        await body.read_chunk()
    return clock.now()


async def wait_for_reader(deadline):
    """Wait for a caller that does not read its answer."""
    request = SimpleNamespace(
        send_body=lambda chunk, is_last: None,
        is_oldest=False,
        drain=sleep_forever,
    )
    sender = AnswerSender(request, LONG_S)
    sender.deadline = deadline()
    with pytest.raises(CallerDisconnectedError):
        await sender.send_body(b'.', is_last=False)
    return clock.now()


async def wait_for_slot(deadline):
    """Wait for a slot that is not released."""
    admission = build_admission(slots=1, max_wait_s=LONG_S)
    await admission.acquire('a', Importance.NORMAL, clock.now() + LONG_S)
    with pytest.raises(RefusedError) as raised:
        await admission.acquire('a', Importance.NORMAL, deadline())
    ended_at = clock.now()
    assert raised.value.refusal.reason == Reason.DEADLINE
    return ended_at


def await_end_of_millisecond():
    """Block until late in a millisecond, where it is rounded down the most."""
    while time.monotonic() * 1000 % 1 < LATE_PHASE:
        pass


async def sleep_forever():
    """Wait without end, as an asyncio task."""
    await asyncio.Event().wait()


WAITS = [
    wait_for_head,
    wait_for_stray_answer,
    wait_for_body,
    wait_to_send,
    wait_for_request_body,
    wait_for_reader,
    wait_for_slot,
]


@pytest.mark.parametrize('wait', WAITS)
def test_wait_does_not_end_before_its_deadline(monkeypatch, wait):
    """End no wait before its deadline, wherever in a millisecond that lies.

    Requests were refused up to one millisecond before their time was over.
    """
    monkeypatch.setattr(clock, 'now', clock.boot_time)

    async def run():
        early_s = []
        for limit_s in LIMITS_S:
            deadlines = []

            def deadline(limit_s=limit_s, deadlines=deadlines):
                await_end_of_millisecond()
                deadlines.append(clock.now() + limit_s)
                return deadlines[0]

            ended_at = await wait(deadline)
            early_s.append(deadlines[0] - ended_at)
        return max(early_s)

    early_s = anyio.run(run, backend_options={'use_uvloop': True})
    assert early_s <= 0


class Starved:
    """Connect to a server in this thread; block the loop past a deadline."""

    def __init__(self):
        """Listen, without a connection so far."""
        self.listener = socket.create_server(ADDRESS)
        self.near, self.far = socket.socketpair()
        self.connection = None
        self.server_side = None
        self.is_in_time = False

    async def open(self):
        """Open the connection and send the head of a request."""
        self.connection = await connect(ADDRESS)
        self.server_side, _ = self.listener.accept()
        await self.connection.send_head(b'GET', b'/', HEADERS)

    async def run(self, wait, act):
        """Return the result of a wait in which `act` and a long block come.

        It is None if the wait is given up.

        The loop blocks while it reads from its sockets, so that its timers
        run before it reads from them again.
        """
        loop = asyncio.get_running_loop()
        deadline = clock.now() + BLOCKED_S

        def block():
            loop.remove_reader(self.near)
            self.is_in_time = clock.now() < deadline
            act()
            time.sleep(2 * BLOCKED_S)

        loop.add_reader(self.near, block)
        self.far.send(b'.')
        self.connection.end_by(deadline)
        with contextlib.suppress(TimeoutError, OverdueError):
            return await wait()

    def close(self):
        """Close all sockets."""
        if self.connection:
            self.connection.close()
        for one in (self.listener, self.server_side, self.near, self.far):
            if one:
                one.close()


async def receive_head(starved):
    """Wait for a head that arrives while the loop is blocked."""
    head = await starved.run(
        starved.connection.read_head,
        lambda: starved.server_side.send(PARTIAL_ANSWER),
    )
    return head is not None


async def receive_chunk(starved):
    """Wait for the rest of a body that arrives while the loop is blocked."""
    starved.server_side.send(PARTIAL_ANSWER)
    await starved.connection.read_head()
    await starved.connection.read_chunk()
    chunk = await starved.run(
        starved.connection.read_chunk,
        lambda: starved.server_side.send(b'rest'),
    )
    return chunk == b'rest'


async def send_more(starved):
    """Wait for a server that reads again while the loop is blocked."""
    connection = starved.connection
    while connection.write_waiter is None:
        connection.transport.write(bytes(MAX_BUFFERED_BYTES))
        await asyncio.sleep(0)

    def read():
        starved.server_side.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while starved.server_side.recv(MAX_BUFFERED_BYTES):
                continue

    async def wait():
        await connection.wait_writable(connection.write_waiter)
        return True

    return await starved.run(wait, read)


@pytest.mark.parametrize('trial', [receive_head, receive_chunk, send_more])
def test_what_has_arrived_is_read_before_the_time_is_over(monkeypatch, trial):
    """Look into the socket before a wait is given up.

    A process that had no processor time ran its timers first, and gave up
    answers that lay in its sockets. A trial in which this process itself was
    too late shows nothing, and is repeated.
    """
    monkeypatch.setattr(clock, 'now', clock.boot_time)

    async def run():
        is_shown = False
        while not is_shown:
            starved = Starved()
            try:
                await starved.open()
                outcome = await trial(starved)
            finally:
                starved.close()
            is_shown = starved.is_in_time
        return outcome

    assert anyio.run(run, backend_options={'use_uvloop': True})
