"""Test control messages over HTTP on loopback."""

import contextlib

import anyio
import pytest

from limpetshore.errors import PeerError
from limpetshore.metrics import Metrics
from limpetshore.protocol.control import (
    MAX_MESSAGE_BYTES,
    PATH_PREFIX,
    ControlApp,
    ControlClient,
    ControlHandler,
)
from limpetshore.protocol.messages import (
    Document,
    FetchRequest,
    GrantReply,
    GrantRequest,
)
from limpetshore.settings import parse_address
from limpetshore.transport.call_server import CallServer
from limpetshore.transport.http_pool import HttpPool
from tests.support import LOOPBACK_HOST

ADDRESS = f'{LOOPBACK_HOST}:7002'


class HangingHandler(ControlHandler):
    """Answer Fetch at once; never answer Grant and Exchange."""

    async def exchange(self, request):
        """Never answer."""
        await anyio.sleep_forever()

    async def fetch(self, request):
        """Answer at once."""
        return Document(7, b'content')

    async def grant(self, request):
        """Never answer."""
        await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def run_server():
    """Run a server for the time of a block."""
    app = ControlApp(HangingHandler(), Metrics())
    server = CallServer(app, parse_address(ADDRESS), graceful_s=0.2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_stopped)
        await server.wait_started()
        try:
            yield
        finally:
            server.stop()


def run_with_server(work):
    """Run `work` with a client and a server on the asyncio backend."""

    async def run():
        client = ControlClient(Metrics())
        async with run_server():
            await work(client)
            client.close()

    anyio.run(run)


def test_reply_is_decoded():
    """Return the reply of the other node, decoded."""

    async def work(client):
        request = FetchRequest('policy', 0)
        reply = await client.call(ADDRESS, 'Fetch', request, Document, 5)
        assert reply == Document(7, b'content')

    run_with_server(work)


def test_calls_that_get_no_reply_raise_peer_error():
    """Raise PeerError, not CancelledError, in each of two concurrent calls.

    A CancelledError would end the whole node without a log line.
    """

    async def work(client):
        request = GrantRequest('a', [])
        failures = []

        async def ask(timeout_s):
            with pytest.raises(PeerError):
                await client.call(
                    ADDRESS,
                    'Grant',
                    request,
                    GrantReply,
                    timeout_s,
                )
            failures.append(timeout_s)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, 0.2)
            tasks.start_soon(ask, 0.4)
        assert failures == [0.2, 0.4]

    run_with_server(work)


async def post(address, path, body):
    """Return the status of the answer to a request."""
    async with HttpPool(parse_address(address), 0).connection() as connection:
        length = (b'content-length', b'%d' % len(body))
        await connection.send_head(b'POST', path.encode(), [length], body)
        return (await connection.read_head(5)).status


def test_malformed_message_is_refused():
    """Refuse a truncated message and continue to serve."""

    async def work(client):
        assert await post(ADDRESS, f'{PATH_PREFIX}Fetch', b'\x93\xa6pol') == 400
        assert await post(ADDRESS, f'{PATH_PREFIX}Nothing', b'') == 404
        request = FetchRequest('policy', 0)
        reply = await client.call(ADDRESS, 'Fetch', request, Document, 5)
        assert reply.version == 7

    run_with_server(work)


def test_message_without_end_is_refused():
    """Refuse a message that is larger than any of a node."""

    async def work(client):
        body = bytes(MAX_MESSAGE_BYTES + 1)
        assert await post(ADDRESS, f'{PATH_PREFIX}Fetch', body) == 413

    run_with_server(work)


def test_reply_of_another_kind_raises_peer_error():
    """Raise PeerError for a reply that cannot be decoded."""

    async def work(client):
        request = FetchRequest('policy', 0)
        with pytest.raises(PeerError):
            await client.call(ADDRESS, 'Fetch', request, GrantReply, 5)

    run_with_server(work)


def test_malformed_address_raises_peer_error():
    """Raise PeerError for the address of a member that another writer made."""

    async def work(client):
        request = FetchRequest('policy', 0)
        for address in ('', 'nowhere', '127.0.9.1:port'):
            with pytest.raises(PeerError):
                await client.call(address, 'Fetch', request, Document, 1)

    run_with_server(work)


def test_restarted_peer_is_called_on_a_new_connection():
    """Answer the first call after a restart of the peer."""
    request = FetchRequest('policy', 0)

    async def run():
        client = ControlClient(Metrics())
        for _ in range(2):
            async with run_server():
                reply = await client.call(
                    ADDRESS, 'Fetch', request, Document, 5
                )
                assert reply.version == 7
        client.close()

    anyio.run(run)
