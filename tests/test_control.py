"""Test control messages over real gRPC."""

import anyio
import pytest

from limpetshore.errors import PeerError
from limpetshore.metrics import Metrics
from limpetshore.protocol.control import (
    ControlClient,
    ControlHandler,
    ControlServer,
)
from limpetshore.protocol.messages import (
    Document,
    FetchRequest,
    GrantReply,
    GrantRequest,
)

ADDRESS = '127.0.9.1:7002'


class SlowHandler(ControlHandler):
    """Answer fetches at once, and grants and exchanges never."""

    async def exchange(self, request):
        """Never answer."""
        await anyio.sleep_forever()

    async def fetch(self, request):
        """Answer at once."""
        return Document(7, b'content')

    async def grant(self, request):
        """Never answer."""
        await anyio.sleep_forever()


def run_with_server(work):
    """Run some work against a server on the asyncio backend."""

    async def run():
        server = ControlServer(SlowHandler(), ADDRESS, Metrics())
        await server.start()
        client = ControlClient(Metrics())
        try:
            await work(client)
        finally:
            await client.close()
            await server.stop()

    anyio.run(run)


def test_reply_comes_back():
    """Return what the other node answers."""

    async def work(client):
        request = FetchRequest('policy', 0)
        reply = await client.call(ADDRESS, 'Fetch', request, Document, 5)
        assert reply == Document(7, b'content')

    run_with_server(work)


def test_call_beside_one_that_times_out_fails_alone():
    """Raise PeerError, not a cancellation, when a shared channel closes.

    The cancellation would end the whole node without a word.
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
            tasks.start_soon(ask, 30)
        assert sorted(failures) == [0.2, 30]

    run_with_server(work)


def test_damaged_message_is_refused_and_counted():
    """Refuse a message cut short, and go on serving."""

    async def work(client):
        call = client.channel(ADDRESS).unary_unary('/limpetshore.Control/Fetch')
        with pytest.raises(Exception, match='INVALID_ARGUMENT'):
            await call(b'\x93\xa6pol', timeout=5)
        request = FetchRequest('policy', 0)
        reply = await client.call(ADDRESS, 'Fetch', request, Document, 5)
        assert reply.version == 7

    run_with_server(work)
