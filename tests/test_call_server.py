"""Test CallServer over loopback connections."""

import asyncio
import socket
import struct

import anyio
import logbook
import pytest

from limpetshore.transport import call_server
from limpetshore.transport.call_server import CallServer
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.http_client import Address
from tests.support import LOOPBACK_HOST

ADDRESS = Address(LOOPBACK_HOST, 7411)
SLOW_PATH = '/slow'
BIG_PATH = '/big'
BIG_BYTES = 4_000_000
RESET_AT_CLOSE = struct.pack('ii', 1, 0)
# Its answer begins before `release` and ends after it.
BEGUN_PATH = '/begun'
# Its answer ends before it is complete, after `release`.
CUT_PATH = '/cut'
# More than the buffers hold begins before `release`.
BIG_BEGUN_PATH = '/big-begun'


class EchoApp(CallApp):
    """Answer with the path of the request; delay answers to SLOW_PATH."""

    def __init__(self):
        """Delay the answers to SLOW_PATH until `release` is set."""
        self.release = asyncio.Event()
        self.started = []
        self.cancelled = asyncio.Event()
        self.lost = []

    def count_lost_answer(self, ended_by):
        """Record who ended the connection of each dropped answer."""
        self.lost.append(ended_by)

    async def serve(self, request):
        """Answer one request; DELETE only after all earlier ones."""
        request.request_id = f'id-{request.path}'
        self.started.append(request.path)
        try:
            if request.path == SLOW_PATH:
                await self.release.wait()
            if request.path == BEGUN_PATH:
                request.start_answer(200, [])
                request.flush_head()
                await self.release.wait()
                request.send_body(b'end', is_last=True)
                return
            if request.path == CUT_PATH:
                request.start_answer(200, [])
                await self.release.wait()
                return
            if request.path == BIG_BEGUN_PATH:
                request.start_answer(200, [])
                request.send_body(b'.' * BIG_BYTES, is_last=False)
                await self.release.wait()
                request.send_body(b'more', is_last=False)
                request.send_body(b'end', is_last=True)
                return
            if request.method == b'DELETE':
                await request.wait_turn()
                self.started.append('turn')
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        body = request.path.encode()
        if request.path == BIG_PATH:
            body = b'.' * BIG_BYTES
        headers = [(b'content-length', b'%d' % len(body))]
        request.send_complete(200, headers, body)


async def connect_and_run(work):
    """Run `work` with a server and a TCP connection to it."""
    app = EchoApp()
    server = CallServer(app, ADDRESS, graceful_s=1)
    task = asyncio.ensure_future(server.run_until_stopped())
    await server.wait_started()
    reader, writer = await asyncio.open_connection(*ADDRESS)
    try:
        return await work(app, server, reader, writer)
    finally:
        writer.close()
        server.stop()
        await task


def run(work):
    """Run `work` with a server in an event loop."""
    return anyio.run(connect_and_run, work)


def build_request(path, method='GET'):
    """Return the bytes of a request."""
    return f'{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


async def wait_until(condition):
    """Let the server run until a condition is true."""
    while not condition():
        await asyncio.sleep(0.001)


def test_pipelined_requests_run_concurrently():
    """Start the second request before the first is answered.

    The answers are sent in the order of the requests.
    """

    async def work(app, server, reader, writer):
        writer.write(build_request(SLOW_PATH) + build_request('/quick'))
        await wait_until(lambda: app.started == [SLOW_PATH, '/quick'])
        await asyncio.sleep(0.01)
        app.release.set()
        received = b''
        while received.count(b'HTTP/1.1 200') < 2 or b'/quick' not in received:
            received += await reader.read(65536)
        return received

    received = run(work)
    assert received.index(b'/slow') < received.index(b'/quick')


def test_wait_turn_waits_for_earlier_answers():
    """Delay a request that may not be repeated until earlier ones end."""

    async def work(app, server, reader, writer):
        writer.write(
            build_request(SLOW_PATH) + build_request('/hold', 'DELETE')
        )
        await wait_until(lambda: '/hold' in app.started)
        await asyncio.sleep(0.01)
        assert 'turn' not in app.started
        app.release.set()
        await wait_until(lambda: 'turn' in app.started)

    run(work)


def test_disconnect_cancels_open_requests():
    """Cancel the tasks of all requests of a caller that disconnects."""

    async def work(app, server, reader, writer):
        writer.write(build_request(SLOW_PATH) + build_request(SLOW_PATH))
        await wait_until(lambda: len(app.started) == 2)
        writer.transport.abort()
        await app.cancelled.wait()
        await wait_until(lambda: not server.connections)

    run(work)


def test_answers_carry_connection_close_when_stopping():
    """Make callers reconnect elsewhere without losing an open request."""

    async def work(app, server, reader, writer):
        writer.write(build_request(SLOW_PATH))
        await wait_until(lambda: app.started)
        server.disable_keep_alive()
        app.release.set()
        return await reader.read()

    assert b'connection: close' in run(work)


def test_pipelined_requests_are_answered_when_stopping():
    """Answer all requests that were taken, and close after the last one.

    The first answer closed the connection; the requests behind it were at work
    at servers and had no answer.
    """

    async def work(app, server, reader, writer):
        writer.write(build_request(SLOW_PATH) * 3)
        await wait_until(lambda: len(app.started) == 3)
        server.disable_keep_alive()
        app.release.set()
        return await reader.read()

    received = run(work)
    assert received.count(b'HTTP/1.1 200') == 3
    assert received.count(b'connection: close') == 1
    assert received.rindex(b'HTTP/1.1 200') < received.index(b'connection:')


@pytest.mark.parametrize('has_begun', [True, False])
def test_request_behind_an_open_one_is_not_taken_when_stopping(has_begun):
    """Run no request that would be cut off; close, so that it is sent again."""

    async def work(app, server, reader, writer):
        path = BEGUN_PATH if has_begun else SLOW_PATH
        writer.write(build_request(path))
        await wait_until(lambda: app.started)
        server.disable_keep_alive()
        writer.write(build_request('/behind') * 2)
        await asyncio.sleep(0.05)
        app.release.set()
        received = await reader.read()
        assert app.started == [path]
        return received

    assert run(work).count(b'HTTP/1.1 200') == 1


def test_answer_is_delivered_whole_when_more_requests_come(monkeypatch):
    """Do not reset a connection whose caller sends on while it is closed.

    Unread bytes reset the connection when it is closed, and the end of an
    answer that its caller has not read yet is lost.
    """
    monkeypatch.setattr(call_server, 'IDLE_GRACE_S', 0)

    async def work(app, server, reader, writer):
        writer.write(build_request(BIG_PATH))
        await wait_until(lambda: app.started)
        server.stop()
        await asyncio.sleep(0.1)
        writer.write(build_request('/behind') * 200)
        await asyncio.sleep(0.1)
        received = b''
        while chunk := await reader.read(65536):
            received += chunk
        return received

    assert len(run(work).partition(b'\r\n\r\n')[2]) == BIG_BYTES


async def receive_answer(connection):
    """Return what a socket receives until its end, in a thread."""

    def receive():
        received = b''
        connection.settimeout(2)
        while chunk := connection.recv(65536):
            received += chunk
        return received

    return await asyncio.to_thread(receive)


def test_request_that_lies_unread_is_answered_when_stopping():
    """Read what has come before an idle connection is closed.

    A request that came after the event loop had read was discarded, and had no
    answer.
    """

    async def work(app, server, reader, writer):
        writer.write(build_request('/first'))
        await reader.readuntil(b'/first')
        kept = writer.get_extra_info('socket').dup()
        kept.send(build_request('/unread'))
        kept.close()
        server.stop()
        return await reader.read()

    assert run(work).endswith(b'/unread')


def test_connection_that_is_not_accepted_yet_is_served_when_stopping():
    """Serve callers that have connected before the port closes."""

    async def work(app, server, reader, writer):
        fresh = socket.create_connection(ADDRESS)
        fresh.sendall(build_request('/fresh'))
        server.stop()
        await server.wait_stopped()
        return await receive_answer(fresh)

    assert run(work).endswith(b'/fresh')


def test_caller_that_has_just_connected_is_served_when_stopping(monkeypatch):
    """Wait for the request of a caller that connected as the port closed."""
    monkeypatch.setattr(call_server, 'IDLE_GRACE_S', 10)

    async def work(app, server, reader, writer):
        server.stop()
        await asyncio.sleep(0.01)
        writer.write(build_request('/first'))
        return await reader.read()

    assert run(work).endswith(b'/first')


@pytest.mark.parametrize('is_stopped', [False, True])
def test_caller_that_is_gone_before_it_is_accepted_is_no_error(is_stopped):
    """Raise no unexpected error for a connection that was reset at once."""
    errors = []

    async def work(app, server, reader, writer):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        gone = socket.create_connection(ADDRESS)
        gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        gone.close()
        if is_stopped:
            server.stop()
        await asyncio.sleep(0.05)

    run(work)
    assert not errors


def test_request_that_lies_unread_is_answered_after_an_idle_time():
    """Read what has come before a connection counts as idle for too long."""

    async def work(app, server, reader, writer):
        writer.write(build_request('/first'))
        await reader.readuntil(b'/first')
        connection = next(iter(server.connections))
        kept = writer.get_extra_info('socket').dup()
        kept.send(build_request('/unread'))
        connection.close_idle()
        received = await reader.readuntil(b'/unread')
        kept.close()
        return received

    assert run(work).endswith(b'/unread')


@pytest.mark.parametrize('start', [b'0\r\nx: ', b'1;'])
def test_trailer_without_end_is_not_kept(start):
    """Close the connection of a caller that sends no body, without an end."""

    async def work(app, server, reader, writer):
        head = b'POST /slow HTTP/1.1\r\nHost: x\r\n'
        writer.write(head + b'transfer-encoding: chunked\r\n\r\n' + start)
        await wait_until(lambda: app.started)
        connection = next(iter(server.connections))
        while not connection.is_malformed:
            writer.write(b'a' * 1000)
            await asyncio.sleep(0)
        app.release.set()
        return await reader.read()

    assert run(work).count(b'HTTP/1.1') == 1


def test_malformed_request_is_refused():
    """Answer 400 and close, after the answers to earlier requests."""

    async def work(app, server, reader, writer):
        writer.write(build_request('/quick') + b'\x00\x01\r\n\r\n')
        return await reader.read()

    received = run(work)
    assert b'/quick' in received or received.startswith(b'HTTP/1.1 400')


DROPPED_MESSAGE = 'bytes of an answer were dropped, the connection is closing'


def list_dropped(records):
    """Return the fields of the lines on dropped answers."""
    return [
        record.extra for record in records if record.message == DROPPED_MESSAGE
    ]


def run_recording(work):
    """Run `work` with a server; return its result and the log records."""
    with logbook.TestHandler().applicationbound() as handler:
        outcome = run(work)
    return outcome, handler.records


def test_answer_behind_an_incomplete_one_is_reported():
    """Name the request whose whole answer was queued when the node cut.

    The bytes of the answer were dropped without a word.
    """

    async def work(app, server, reader, writer):
        writer.write(build_request(CUT_PATH) + build_request('/quick') * 2)
        await wait_until(lambda: len(app.started) == 3)
        connection = next(iter(server.connections))
        await wait_until(lambda: connection.open_requests[2].is_handled)
        app.release.set()
        received = await reader.read()
        assert b'/quick' not in received
        return app.lost

    lost, records = run_recording(work)
    dropped = list_dropped(records)
    assert [fields['request_id'] for fields in dropped] == ['id-/quick'] * 2
    assert dropped[0]['ended_by'] == 'node'
    assert dropped[0]['dropped_bytes'] > 0
    assert lost == ['node'] * 2
    levels = {record.level_name for record in records}
    assert levels == {'NOTICE'}


def test_answer_to_a_closing_connection_is_reported_once():
    """Name a request whose answer goes on after the connection closes.

    Here the caller has closed its side and still reads. Most callers that have
    closed it have left, so that the line is an ordinary one.
    """

    async def work(app, server, reader, writer):
        writer.write(build_request(BIG_BEGUN_PATH))
        await wait_until(lambda: app.started)
        connection = next(iter(server.connections))
        writer.write_eof()
        await wait_until(connection.transport.is_closing)
        assert not connection.is_disconnected
        app.release.set()
        await wait_until(lambda: not connection.open_requests)
        peer = writer.get_extra_info('sockname')[0]
        writer.transport.abort()
        return app.lost, peer

    (lost, peer), records = run_recording(work)
    dropped = list_dropped(records)
    assert [fields['request_id'] for fields in dropped] == [
        f'id-{BIG_BEGUN_PATH}'
    ]
    assert dropped[0]['peer'] == peer
    assert dropped[0]['ended_by'] == 'caller'
    assert lost == ['caller']
    assert {record.level_name for record in records} == {'INFO'}


def test_bytes_without_a_request_name_the_peer():
    """Tell at least who gets no answer if no request is open."""

    async def work(app, server, reader, writer):
        await wait_until(lambda: server.connections)
        connection = next(iter(server.connections))
        connection.close()
        connection.write(b'HTTP/1.1 400')
        return writer.get_extra_info('sockname')[0]

    peer, records = run_recording(work)
    dropped = list_dropped(records)
    assert [(fields['request_id'], fields['peer']) for fields in dropped] == [
        ('', peer)
    ]


def test_answer_to_a_caller_that_has_left_is_not_lost():
    """Report nothing for a caller that has disconnected."""

    async def work(app, server, reader, writer):
        writer.write(build_request(SLOW_PATH))
        await wait_until(lambda: app.started)
        connection = next(iter(server.connections))
        request = connection.open_requests[0]
        writer.transport.abort()
        await app.cancelled.wait()
        assert not request.is_ended_here
        request.write(b'late')
        return app.lost

    lost, records = run_recording(work)
    assert (lost, list_dropped(records)) == ([], [])
