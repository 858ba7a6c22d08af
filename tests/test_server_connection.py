"""Test when a connection ends, over loopback connections."""

import asyncio
import select
import socket

import anyio
import pytest

from limpetshore.transport import call_server, server_connection
from limpetshore.transport.call_server import CallServer
from limpetshore.transport.http_client import Address
from limpetshore.transport.server_connection import CallApp
from tests.support import LOOPBACK_HOST

ADDRESS = Address(LOOPBACK_HOST, 7412)
BIG_PATH = '/big'
# More than the sockets hold, and what they hold if the caller reads late.
BIG_BYTES = 8_000_000
HELD_BYTES = 200_000
SMALL_BUFFER_BYTES = 4096
# Its request fails without an answer, or in the middle of one.
FAILED_PATH = '/failed'
CUT_PATH = '/cut'
# Its answer is complete before `release`, its task ends after it.
BUSY_PATH = '/busy'
# More than a linger, so that a connection that ends too early has ended.
PAUSE_S = 0.1


class EndingApp(CallApp):
    """Answer with the path of the request, or fail."""

    def __init__(self):
        """Delay the ends of requests to BUSY_PATH until `release` is set."""
        self.release = asyncio.Event()
        self.started = []
        self.big_bytes = BIG_BYTES

    async def serve(self, request):
        """Answer one request."""
        self.started.append(request.path)
        if request.path == FAILED_PATH:
            return
        body = request.path.encode()
        if request.path == BIG_PATH:
            body = b'.' * self.big_bytes
        if request.path == CUT_PATH:
            request.start_answer(200, [])
            request.send_body(body, is_last=False)
            return
        headers = [(b'content-length', b'%d' % len(body))]
        request.send_complete(200, headers, body)
        if request.path == BUSY_PATH:
            await self.release.wait()


class Served:
    """Hold a server, its application and a blocking caller's socket."""

    def __init__(self, app, server, caller):
        """Hold the parts."""
        self.app = app
        self.server = server
        self.caller = caller

    @property
    def connection(self):
        """Return the only connection of the server."""
        return next(iter(self.server.connections))

    async def send(self, *paths):
        """Send requests in one segment and let the server start the last."""
        self.caller.sendall(b''.join(map(build_request, paths)))
        await wait_until(lambda: paths[-1] in self.app.started)

    async def receive_rest(self):
        """Return what the caller receives until the end of the connection."""

        def receive():
            received = b''
            while chunk := self.caller.recv(65536):
                received += chunk
            return received

        return await asyncio.to_thread(receive)


async def serve_and_run(work):
    """Run `work` with a server and a caller."""
    app = EndingApp()
    server = CallServer(app, ADDRESS, graceful_s=2)
    task = asyncio.ensure_future(server.run_until_stopped())
    await server.wait_started()
    with socket.socket() as caller:
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        caller.settimeout(5)
        caller.connect(ADDRESS)
        await wait_until(lambda: server.connections)
        try:
            return await work(Served(app, server, caller))
        finally:
            server.stop()
    await task


def run(work):
    """Run `work` in the event loop that nodes use."""
    return anyio.run(serve_and_run, work, backend_options={'use_uvloop': True})


def build_request(path):
    """Return the bytes of a request."""
    return f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


async def wait_until(condition):
    """Let the server run until a condition is true."""
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.parametrize('failed_path', [FAILED_PATH, CUT_PATH])
def test_answers_before_a_failed_one_arrive_whole(failed_path):
    """Send what was answered before a request that ends without an answer.

    The connection was aborted, and with it the answers that the caller had not
    read yet.
    """

    async def work(served):
        await served.send(BIG_PATH, failed_path)
        await asyncio.sleep(PAUSE_S)
        return await served.receive_rest()

    body = run(work).partition(b'\r\n\r\n')[2]
    assert body[:BIG_BYTES].count(b'.') == BIG_BYTES
    assert b'0\r\n\r\n' not in body


def test_cut_answer_ends_without_its_end():
    """End the connection of an answer that was begun and never completed."""

    async def work(served):
        await served.send(CUT_PATH)
        try:
            return await served.receive_rest()
        except ConnectionResetError:
            return b''

    assert b'0\r\n\r\n' not in run(work)


def test_caller_that_reads_late_and_sends_on_gets_its_answer(monkeypatch):
    """Keep the socket until all bytes of an answer have been received.

    A request that came after the socket was closed reset the connection while
    the kernel still held the end of the answer.
    """
    monkeypatch.setattr(server_connection, 'LINGER_S', 0.02)

    async def work(served):
        served.app.big_bytes = HELD_BYTES
        served.server.disable_keep_alive()
        await served.send(BIG_PATH)
        await asyncio.sleep(PAUSE_S)
        served.caller.sendall(build_request('/behind'))
        await asyncio.sleep(PAUSE_S)
        return await served.receive_rest()

    assert len(run(work).partition(b'\r\n\r\n')[2]) == HELD_BYTES


def test_idle_connection_ends_before_anything_more_is_read():
    """Let the caller see the end before it can send a request into it.

    The end was sent by a later step of the event loop. A request that came
    meanwhile was read and dropped, and its caller heard of the end as late as
    the process was.
    """

    async def work(served):
        await served.send('/first')
        await wait_until(lambda: not served.connection.open_requests)
        served.connection.close_idle()
        poller = select.poll()
        poller.register(served.caller, select.POLLRDHUP)
        return poller.poll(0)

    assert run(work)


def test_request_behind_a_complete_answer_is_taken_when_stopping():
    """Answer who has received a whole answer and sends the next request.

    It was dropped while the task of the earlier request had not ended.
    """

    async def work(served):
        await served.send(BUSY_PATH)
        served.server.disable_keep_alive()
        served.caller.sendall(build_request('/next') * 2)
        await asyncio.sleep(PAUSE_S)
        served.app.release.set()
        received = await served.receive_rest()
        assert served.app.started == [BUSY_PATH, '/next']
        return received

    assert run(work).endswith(b'/next')


def test_request_behind_an_announced_close_is_not_taken():
    """Run nothing behind an answer that has `connection: close`."""

    async def work(served):
        served.server.disable_keep_alive()
        await served.send(BUSY_PATH)
        served.caller.sendall(build_request('/next'))
        await asyncio.sleep(PAUSE_S)
        served.app.release.set()
        received = await served.receive_rest()
        assert served.app.started == [BUSY_PATH]
        return received

    assert run(work).endswith(BUSY_PATH.encode())


@pytest.mark.parametrize('cut_at', [1, 10, -2])
def test_request_head_that_arrives_in_two_segments_is_served(cut_at):
    """Wait for the rest of a head before a connection is closed."""

    async def work(served):
        await served.send('/first')
        await asyncio.sleep(2 * call_server.IDLE_GRACE_S)
        head = build_request('/second')
        served.caller.sendall(head[:cut_at])
        await wait_until(lambda: served.connection.header_bytes)
        served.server.stop()
        await asyncio.sleep(PAUSE_S)
        served.caller.sendall(head[cut_at:])
        return await served.receive_rest()

    assert run(work).endswith(b'/second')


def test_head_that_begins_after_a_long_time_may_take_its_time(monkeypatch):
    """Count the time of a head from its first byte, not from the last answer.

    A kept connection was closed in the middle of a head if it had been idle.
    """
    monkeypatch.setattr(call_server, 'SWEEP_INTERVAL_S', 0.01)
    monkeypatch.setattr(call_server, 'HEADER_TIMEOUT_S', PAUSE_S * 10)

    async def work(served):
        await served.send('/first')
        await wait_until(lambda: not served.connection.open_requests)
        served.connection.idle_since -= PAUSE_S * 20
        head = build_request('/second')
        served.caller.sendall(head[:10])
        await asyncio.sleep(PAUSE_S)
        served.caller.sendall(head[10:])
        await asyncio.sleep(PAUSE_S)
        served.server.stop()
        return await served.receive_rest()

    assert run(work).endswith(b'/second')


def test_line_breaks_behind_a_request_do_not_delay_the_stop():
    """Close a connection on which no request has begun."""

    async def work(served):
        await served.send('/first')
        served.caller.sendall(b'\r\n')
        await wait_until(lambda: served.connection.header_bytes)
        served.server.graceful_s = 60
        served.server.stop()
        return await served.receive_rest()

    assert run(work).endswith(b'/first')


def test_server_waits_for_a_connection_that_is_being_accepted():
    """Serve a caller whose connection the event loop has just accepted.

    The server had no connection yet and ended, and the process after it, with
    the request taken.
    """

    async def work(served):
        served.caller.close()
        await wait_until(lambda: not served.server.connections)
        with socket.create_connection(ADDRESS) as fresh:
            fresh.sendall(build_request('/fresh'))
            served.server.stop()
            await served.server.wait_stopped()
            assert not served.server.connections
            fresh.setblocking(False)
            return fresh.recv(65536)

    assert run(work).endswith(b'/fresh')
