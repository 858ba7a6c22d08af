"""Time the ways to carry one call over one hop on loopback."""

import json
import sys
import time

import anyio
import grpc
import httpcore
from grpc import aio

from limpetshore.transport.asgi_server import AsgiServer
from limpetshore.transport.http_client import Address, HttpPool

BODY = b'x' * 1024
CALLS = 3000
WARM_UP = 300


async def application(scope, receive, send):
    """Answer every request with the body."""
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'1024')],
        }
    )
    await send({'type': 'http.response.body', 'body': BODY})


async def unary(request, context):
    """Answer one gRPC call."""
    return BODY


async def stream(requests, context):
    """Answer each message of one long-lived gRPC stream."""
    async for _ in requests:
        yield BODY


def handlers():
    """Return generic gRPC handlers, without generated code."""
    return grpc.method_handlers_generic_handler(
        't.T',
        {
            'Unary': grpc.unary_unary_rpc_method_handler(unary),
            'Stream': grpc.stream_stream_rpc_method_handler(stream),
        },
    )


async def measure(name, call):
    """Print latency and CPU per call, both ends in one process."""
    for _ in range(WARM_UP):
        await call()
    timings = []
    cpu = time.process_time()
    for _ in range(CALLS):
        started = time.perf_counter()
        await call()
        timings.append(time.perf_counter() - started)
    cpu = time.process_time() - cpu
    timings.sort()
    print(
        json.dumps(
            {
                'way': name,
                'p50_ms': round(timings[CALLS // 2] * 1000, 3),
                'p99_ms': round(timings[CALLS * 99 // 100] * 1000, 3),
                'cpu_ms_both_ends': round(cpu * 1000 / CALLS, 3),
            }
        ),
        flush=True,
    )


async def main():
    """Measure each way in turn."""
    address = Address('127.0.0.1', 18999)
    server = AsgiServer(application, address, graceful_s=1)
    grpc_server = aio.server()
    grpc_server.add_generic_rpc_handlers((handlers(),))
    grpc_server.add_insecure_port('127.0.0.1:18998')
    await grpc_server.start()
    async with anyio.create_task_group() as group:
        group.start_soon(server.run_until_stopped)
        await server.wait_started()
        pool = HttpPool(address, 30)

        async def kept_connection():
            connection = await pool.acquire()
            await connection.send_head(b'GET', b'/', [(b'host', b'x')])
            await connection.read_head()
            while await connection.read_chunk():
                pass
            pool.release(connection)

        await measure('httptools on a protocol', kept_connection)
        async with httpcore.AsyncConnectionPool() as core:

            async def core_call():
                await core.request('GET', 'http://127.0.0.1:18999/')

            await measure('httpcore pool', core_call)
        origin = httpcore.Origin(b'http', b'127.0.0.1', 18999)
        async with httpcore.AsyncHTTPConnection(origin) as one:

            async def one_call():
                await one.request('GET', 'http://127.0.0.1:18999/')

            await measure('httpcore connection', one_call)
        async with aio.insecure_channel('127.0.0.1:18998') as channel:
            method = channel.unary_unary('/t.T/Unary')

            async def unary_call():
                await method(b'request')

            await measure('grpc unary', unary_call)
            long_stream = channel.stream_stream('/t.T/Stream')()

            async def stream_call():
                await long_stream.write(b'request')
                await long_stream.read()

            await measure('grpc long-lived stream', stream_call)
            long_stream.cancel()
        server.stop()
    await grpc_server.stop(0)


if __name__ == '__main__':
    anyio.run(main, backend_options={'use_uvloop': 'asyncio' not in sys.argv})
