"""Simulate a backend server with slots and nested calls; count what it runs."""

import collections
import json
import time

import anyio

from limpetshore.transport.http_pool import HttpPool


class BackendApp:
    """Hold one of `slots` for `service_s` per request, then answer.

    Request headers change this: `x-work-ms` (replaces `service_s`), `x-size`
    (least size of the body in bytes), `x-nested` (comma-separated paths to
    call in sequence through the local node; what follows `>` is sent along
    as the `x-nested` of that call), `x-cut` (end the body early, after so
    many bytes), `x-stall` (send the head and no body for an hour),
    `x-trickle` (send a byte of the body now and then for an hour; its value
    is the content length, empty for chunks).
    """

    def __init__(self, name, slots, service_s, node_address):
        """Create an idle server that makes nested calls through a node."""
        self.name = name
        self.slots = anyio.CapacityLimiter(slots)
        self.service_s = service_s
        self.node_pool = HttpPool(node_address, 5)
        self.slowdown_factor = 1.0
        self.runs = collections.Counter()
        self.calls = 0
        self.cancelled = 0
        self.keys_seen = 0
        self.nested_failed = 0
        self.busy_s = 0.0
        self.wasted_s = 0.0

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request, including those that control the stand-in."""
        path = scope['path']
        if path == '/health':
            return await self.send_answer(send, 200, b'ok')
        if path == '/stand-in/counts':
            return await self.send_answer(send, 200, self.counts())
        if path.startswith('/stand-in/slowdown/'):
            self.slowdown_factor = float(path.rpartition('/')[2])
            return await self.send_answer(send, 200, b'ok')
        headers = dict(scope['headers'])
        self.calls += 1
        if b'authorization' in headers or b'x-api-key' in headers:
            self.keys_seen += 1
        request_id = headers.get(b'x-request-id', b'').decode()
        self.runs[request_id] += 1
        try:
            await self.run_request(scope, receive, send, headers)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise

    async def run_request(self, scope, receive, send, headers):
        """Read the body, occupy a slot, make nested calls and answer."""
        received_bytes = 0
        more_body = (
            b'content-length' in headers or b'transfer-encoding' in headers
        )
        while more_body:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            received_bytes += len(message.get('body', b''))
            more_body = message.get('more_body', False)
        nested_paths = headers.get(b'x-nested', b'').decode()
        async with anyio.create_task_group() as group:
            group.start_soon(
                self.cancel_on_disconnect, receive, group.cancel_scope
            )
            async with self.slots:
                started = time.monotonic()
                work_ms = headers.get(b'x-work-ms')
                work_s = float(work_ms) / 1000 if work_ms else self.service_s
                if work_s:
                    await anyio.sleep(work_s * self.slowdown_factor)
                statuses = []
                for path in filter(None, nested_paths.split(',')):
                    statuses.append(await self.make_nested_call(path, headers))
                self.busy_s += time.monotonic() - started
            if any(status != 200 for status in statuses):
                self.nested_failed += 1
                await self.send_answer(send, 502, b'nested call failed')
            else:
                await self.send_result(send, headers, received_bytes, statuses)
            group.cancel_scope.cancel()

    async def cancel_on_disconnect(self, receive, scope):
        """Cancel the work when the caller disconnects."""
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self.cancelled += 1
                scope.cancel()
                return

    async def make_nested_call(self, path, headers):
        """Make a nested call through the local node and return its status."""
        path, _, deeper_paths = path.partition('>')
        nested_headers = [
            (b'host', b'node'),
            (b'x-limpetshore-token', headers.get(b'x-limpetshore-token', b'')),
            (b'content-length', b'0'),
        ]
        if deeper_paths:
            nested_headers.append((b'x-nested', deeper_paths.encode()))
        for name in (b'x-work-ms',):
            if name in headers:
                nested_headers.append((name, headers[name]))
        connection = await self.node_pool.acquire()
        try:
            await connection.send_head(b'POST', path.encode(), nested_headers)
            head = await connection.read_head()
            while await connection.read_chunk():
                pass
        finally:
            self.node_pool.release(connection)
        return head.status

    async def send_result(self, send, headers, received_bytes, statuses):
        """Answer with the request's `x-echo`, which reveals swapped answers."""
        body = json.dumps(
            {
                'server': self.name,
                'id': headers.get(b'x-echo', b'').decode(),
                'received': received_bytes,
                'nested': statuses,
            }
        ).encode()
        if b'x-trickle' in headers:
            return await self.trickle(send, headers[b'x-trickle'])
        min_bytes = int(headers.get(b'x-size', b'0'))
        total_bytes = max(min_bytes, len(body))
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', str(total_bytes).encode())],
            }
        )
        if b'x-stall' in headers:
            await anyio.sleep(3600)
        cut_after_bytes = int(headers.get(b'x-cut', b'0'))
        sent_bytes = len(body)
        await send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': total_bytes > sent_bytes,
            }
        )
        padding = b'.' * 65536
        while sent_bytes < total_bytes:
            if cut_after_bytes and sent_bytes >= cut_after_bytes:
                return
            chunk = padding[: total_bytes - sent_bytes]
            sent_bytes += len(chunk)
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': sent_bytes < total_bytes,
                }
            )

    async def trickle(self, send, content_length):
        """Send a body that does not end for an hour."""
        lengths = [(b'content-length', content_length)]
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': lengths if content_length else [],
            }
        )
        for _ in range(36000):
            await send(
                {
                    'type': 'http.response.body',
                    'body': b'.',
                    'more_body': True,
                }
            )
            await anyio.sleep(0.1)

    def counts(self):
        """Return the counts of calls and runs as JSON."""
        return json.dumps(
            {
                'name': self.name,
                'calls': self.calls,
                'cancelled': self.cancelled,
                'keys_seen': self.keys_seen,
                'nested_failed': self.nested_failed,
                'busy_s': self.busy_s,
                'runs': self.runs,
            }
        ).encode()

    async def send_answer(self, send, status, body):
        """Send a complete answer."""
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-length', str(len(body)).encode())],
            }
        )
        await send({'type': 'http.response.body', 'body': body})
