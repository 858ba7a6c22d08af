"""Check the server of calls over loopback connections."""

import asyncio

import anyio

from limpetshore.transport.call_server import CallApp, CallServer
from limpetshore.transport.http_client import Address

ADDRESS = Address('127.0.9.7', 7411)
SLOW = '/slow'


class EchoApp(CallApp):
    """Answer with the path; slow ones when told to."""

    def __init__(self):
        """Hold slow answers back until `release` is set."""
        self.release = asyncio.Event()
        self.started = []
        self.cancelled = asyncio.Event()

    async def serve(self, request):
        """Answer one request."""
        self.started.append(request.path)
        try:
            if request.path == SLOW:
                await self.release.wait()
            if request.method == b'DELETE':
                await request.wait_turn()
                self.started.append('turn')
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        body = request.path.encode()
        headers = [(b'content-length', b'%d' % len(body))]
        request.send_complete(200, headers, body)


async def with_server(work):
    """Run some work with a server and a raw connection to it."""
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
    """Run some work with a server."""
    return anyio.run(with_server, work)


def ask(path, method='GET'):
    """Return the bytes of a request."""
    return f'{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


async def wait_until(check):
    """Let the server work until something holds."""
    while not check():
        await asyncio.sleep(0.001)


def test_pipelined_requests_run_side_by_side_and_answer_in_order():
    """Start the second request before the first is answered."""

    async def work(app, server, reader, writer):
        writer.write(ask(SLOW) + ask('/quick'))
        await wait_until(lambda: app.started == [SLOW, '/quick'])
        await asyncio.sleep(0.01)
        app.release.set()
        received = b''
        while received.count(b'HTTP/1.1 200') < 2 or b'/quick' not in received:
            received += await reader.read(65536)
        return received

    received = run(work)
    assert received.index(b'/slow') < received.index(b'/quick')


def test_request_that_waits_its_turn_is_not_begun_early():
    """Begin what may not be repeated only once all before it is answered."""

    async def work(app, server, reader, writer):
        writer.write(ask(SLOW) + ask('/hold', 'DELETE'))
        await wait_until(lambda: '/hold' in app.started)
        await asyncio.sleep(0.01)
        assert 'turn' not in app.started
        app.release.set()
        await wait_until(lambda: 'turn' in app.started)

    run(work)


def test_hang_up_cancels_every_open_request():
    """Stop the work for a caller that has left."""

    async def work(app, server, reader, writer):
        writer.write(ask(SLOW) + ask(SLOW))
        await wait_until(lambda: len(app.started) == 2)
        writer.transport.abort()
        await app.cancelled.wait()
        await wait_until(lambda: not server.connections)

    run(work)


def test_answers_say_close_once_the_server_leaves():
    """Let callers go elsewhere without cutting a request."""

    async def work(app, server, reader, writer):
        writer.write(ask(SLOW))
        await wait_until(lambda: app.started)
        server.disable_keep_alive()
        app.release.set()
        return await reader.read()

    assert b'connection: close' in run(work)


def test_bytes_that_are_no_request_are_refused():
    """Answer 400 and close, after what was asked before."""

    async def work(app, server, reader, writer):
        writer.write(ask('/quick') + b'\x00\x01\r\n\r\n')
        return await reader.read()

    received = run(work)
    assert b'/quick' in received or received.startswith(b'HTTP/1.1 400')
