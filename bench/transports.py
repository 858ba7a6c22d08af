"""Compare transports for one call over one hop on loopback."""

import json
import sys
import time

import anyio
import grpc
import httpcore
from grpc import aio

from standins.asgi_server import AsgiServer
from limpetshore.transport.http_client import Address
from limpetshore.transport.http_pool import HttpPool

BODY = b'x' * 1024
CALL_COUNT = 3000
WARM_UP_CALL_COUNT = 300


async def application(scope, receive, send):
    """Answer every HTTP request with BODY."""
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'1024')],
        }
    )
    await send({'type': 'http.response.body', 'body': BODY})


async def unary(request, context):
    """Answer one unary gRPC call with BODY."""
    return BODY


async def stream(requests, context):
    """Answer each message of a long-lived gRPC stream with BODY."""
    async for _ in requests:
        yield BODY


def build_handlers():
    """Return generic gRPC handlers, which need no generated code."""
    return grpc.method_handlers_generic_handler(
        't.T',
        {
            'Unary': grpc.unary_unary_rpc_method_handler(unary),
            'Stream': grpc.stream_stream_rpc_method_handler(stream),
        },
    )


async def measure(name, call):
    """Print latency and processor time per call of both ends together."""
    for _ in range(WARM_UP_CALL_COUNT):
        await call()
    latencies_s = []
    cpu_s = time.process_time()
    for _ in range(CALL_COUNT):
        started = time.perf_counter()
        await call()
        latencies_s.append(time.perf_counter() - started)
    cpu_s = time.process_time() - cpu_s
    latencies_s.sort()
    print(
        json.dumps(
            {
                'way': name,
                'p50_ms': round(latencies_s[CALL_COUNT // 2] * 1000, 3),
                'p99_ms': round(latencies_s[CALL_COUNT * 99 // 100] * 1000, 3),
                'cpu_ms_both_ends': round(cpu_s * 1000 / CALL_COUNT, 3),
            }
        ),
        flush=True,
    )


async def main():
    """Measure each transport in turn."""
    address = Address('127.0.0.1', 18999)
    server = AsgiServer(application, address, graceful_s=1)
    grpc_server = aio.server()
    grpc_server.add_generic_rpc_handlers((build_handlers(),))
    grpc_server.add_insecure_port('127.0.0.1:18998')
    await grpc_server.start()
    async with anyio.create_task_group() as group:
        group.start_soon(server.run_until_stopped)
        await server.wait_started()
        pool = HttpPool(address, 30)

        async def pool_call():
            connection = await pool.acquire()
            await connection.send_head(b'GET', b'/', [(b'host', b'x')])
            await connection.read_head()
            while await connection.read_chunk():
                pass
            pool.release(connection)

        await measure('httptools on a protocol', pool_call)
        async with httpcore.AsyncConnectionPool() as core_pool:

            async def core_pool_call():
                await core_pool.request('GET', 'http://127.0.0.1:18999/')

            await measure('httpcore pool', core_pool_call)
        origin = httpcore.Origin(b'http', b'127.0.0.1', 18999)
        async with httpcore.AsyncHTTPConnection(origin) as core_connection:

            async def core_connection_call():
                await core_connection.request('GET', 'http://127.0.0.1:18999/')

            await measure('httpcore connection', core_connection_call)
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
