"""Run a guard against a server that sends what a test says."""

import asyncio

import anyio

from limpetshore import clock
from limpetshore.errors import RefusedError, TruncatedError
from limpetshore.importance import Importance
from limpetshore.metrics import Metrics
from limpetshore.platform import wire
from limpetshore.platform.dialects import PlatformBackendDialect
from limpetshore.protocol.exchanges import InboundRequest, OutboundRequest
from limpetshore.protocol.messages import CallMeta
from limpetshore.routing.guard import Guard
from limpetshore.routing.guard_exchange import GuardExchange
from limpetshore.settings import check_settings
from limpetshore.state.backends import Announcement
from limpetshore.state.fencing import FencingState
from tests.support import LOOPBACK_HOST

HOST, PORT = LOOPBACK_HOST, 7413
REFUSED, RUN = 503, 200


def build_answer(status, request_id, body=b'body', *more):
    """Return the bytes of an answer; None leaves out the request id."""
    lines = [b'HTTP/1.1 %d X' % status, b'content-length: %d' % len(body)]
    if status == RUN:
        lines.append(wire.SEAL + b': s')
    else:
        lines.append(wire.NOT_EXECUTED + b': 1')
    if request_id is not None:
        lines.append(wire.REQUEST_ID + b': ' + request_id)
    return b'\r\n'.join([*lines, *more, b'', body])


def build_guard(stall_s=0.3):
    """Return a guard whose server has announced itself."""
    settings = check_settings(
        {
            'node': {'name': 'n', 'zone': 'z'},
            'listen': {
                name: f'{HOST}:1'
                for name in ('callers', 'peers', 'control', 'admin')
            },
            'backend': {'service': 'yard', 'address': f'{HOST}:{PORT}'},
            'store': {'address': f'{HOST}:2'},
            'call': {'stall_s': stall_s},
        }
    )
    fencing = FencingState('n', fence_s=8, cut_off_s=4)
    guard = Guard(settings, Metrics(), fencing, PlatformBackendDialect())
    guard.backend.update(Announcement('ready', 20, 'i-1.0', 'i-1'))
    guard.apply_announcement(is_new=True)
    return guard


def build_request(request_id, timeout_s=1.0):
    """Return a request that must not run twice."""
    meta = CallMeta(
        call_id=f'call-{request_id}',
        request_id=request_id,
        customer='harbour',
        route='hold',
        importance=Importance.NORMAL,
        timeout_ms=int(timeout_s * 1000),
        retries_left=0,
        depth=0,
        is_repeatable=False,
        is_id_from_caller=False,
        service='yard',
        caller_service='stock',
        precedence=0,
    )
    headers = [(wire.REQUEST_ID, request_id.encode())]
    inbound = InboundRequest(b'GET', b'/', headers, b'', None, None)
    return OutboundRequest(inbound, meta, clock.now() + timeout_s)


def run_against_server(script, work, stall_s=0.3):
    """Run `work` with a guard; the script lists what each request gets.

    None closes the connection.
    """
    pieces = iter(script)
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                for piece in next(pieces, []):
                    if piece is None:
                        writer.close()
                        return
                    if callable(piece):
                        await write_endlessly(writer, piece())
                        continue
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def run():
        server = await asyncio.start_server(serve, HOST, PORT)
        guard = build_guard(stall_s)
        try:
            return await work(guard)
        finally:
            guard.pool.close_idle()
            server.close()
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(0.01)

    return anyio.run(run)


async def write_endlessly(writer, piece):
    """Write a piece again and again until the caller closes."""
    while True:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)


async def send(guard, request_id, timeout_s=1.0):
    """Send one request; return the status or the verdict of the refusal."""
    exchange = GuardExchange(guard)
    try:
        answer = await exchange.open(build_request(request_id, timeout_s))
        body = exchange.take_buffered_body()
        while body is None:
            if not await exchange.read_chunk():
                break
        return answer.head.status
    except RefusedError as error:
        return error.refusal.verdict
    except TruncatedError:
        return TruncatedError
    finally:
        await exchange.close()
