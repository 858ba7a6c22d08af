"""Test control messages over gRPC on loopback."""

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


def run_with_server(work):
    """Run `work` with a client and a server on the asyncio backend."""

    async def run():
        server = ControlServer(HangingHandler(), ADDRESS, Metrics())
        await server.start()
        client = ControlClient(Metrics())
        try:
            await work(client)
        finally:
            await client.close()
            await server.stop()

    anyio.run(run)


def test_reply_is_decoded():
    """Return the reply of the other node, decoded."""

    async def work(client):
        request = FetchRequest('policy', 0)
        reply = await client.call(ADDRESS, 'Fetch', request, Document, 5)
        assert reply == Document(7, b'content')

    run_with_server(work)


def test_call_on_closed_channel_raises_peer_error():
    """Raise PeerError, not CancelledError, when a shared channel is closed.

    One call that times out closes the channel, and gRPC then cancels the other
    call. A CancelledError would end the whole node without a log line.
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


def test_malformed_message_is_refused():
    """Refuse a truncated message and continue to serve."""

    async def work(client):
        call = client.get_channel(ADDRESS).unary_unary(
            '/limpetshore.Control/Fetch'
        )
        with pytest.raises(Exception, match='INVALID_ARGUMENT'):
            await call(b'\x93\xa6pol', timeout=5)
        request = FetchRequest('policy', 0)
        reply = await client.call(ADDRESS, 'Fetch', request, Document, 5)
        assert reply.version == 7

    run_with_server(work)
