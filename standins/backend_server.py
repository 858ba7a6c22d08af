"""Stand in for a backend server: slots, nested calls, records of runs."""

import collections
import json
import time

import anyio

from limpetshore.transport.http_client import HttpPool


class BackendApp:
    """Work for `service_s` in one of `slots`, then answer.

    What to do comes with the request: `x-work-ms`, `x-size`, `x-nested`
    (paths called through the local node, one after the other), `x-cut`
    (close after so many bytes), `x-stall` (stand still after the head).
    """

    def __init__(self, name, slots, service_s, node_address):
        """Start idle."""
        self.name = name
        self.slots = anyio.CapacityLimiter(slots)
        self.service_s = service_s
        self.node = HttpPool(node_address, 5)
        self.slowdown = 1.0
        self.runs = collections.Counter()
        self.calls = 0
        self.cancelled = 0
        self.keys_seen = 0
        self.nested_failed = 0
        self.busy_s = 0.0
        self.wasted_s = 0.0

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        path = scope['path']
        if path == '/health':
            return await self.reply(send, 200, b'ok')
        if path == '/stand-in/counts':
            return await self.reply(send, 200, self.counts())
        if path.startswith('/stand-in/slowdown/'):
            self.slowdown = float(path.rpartition('/')[2])
            return await self.reply(send, 200, b'ok')
        headers = dict(scope['headers'])
        self.calls += 1
        if b'authorization' in headers or b'x-api-key' in headers:
            self.keys_seen += 1
        request_id = headers.get(b'x-request-id', b'').decode()
        self.runs[request_id] += 1
        try:
            await self.work(scope, receive, send, headers)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise

    async def work(self, scope, receive, send, headers):
        """Read the body, take a slot, call deeper, answer."""
        received = 0
        more = b'content-length' in headers or b'transfer-encoding' in headers
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            received += len(message.get('body', b''))
            more = message.get('more_body', False)
        nested = headers.get(b'x-nested', b'').decode()
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch_caller, receive, group.cancel_scope)
            async with self.slots:
                started = time.monotonic()
                work_ms = headers.get(b'x-work-ms')
                work_s = float(work_ms) / 1000 if work_ms else self.service_s
                if work_s:
                    await anyio.sleep(work_s * self.slowdown)
                statuses = []
                for path in filter(None, nested.split(',')):
                    statuses.append(await self.call_deeper(path, headers))
                self.busy_s += time.monotonic() - started
            if any(status != 200 for status in statuses):
                self.nested_failed += 1
                await self.reply(send, 502, b'nested call failed')
            else:
                await self.answer(send, headers, received, statuses)
            group.cancel_scope.cancel()

    async def watch_caller(self, receive, scope):
        """Cancel the work once the caller hangs up."""
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self.cancelled += 1
                scope.cancel()
                return

    async def call_deeper(self, path, headers):
        """Make a nested call through the local node."""
        path, _, rest = path.partition('>')
        sent = [
            (b'host', b'node'),
            (b'x-limpetshore-token', headers.get(b'x-limpetshore-token', b'')),
            (b'content-length', b'0'),
        ]
        if rest:
            sent.append((b'x-nested', rest.encode()))
        for name in (b'x-work-ms',):
            if name in headers:
                sent.append((name, headers[name]))
        connection = await self.node.acquire()
        try:
            await connection.send_head(b'POST', path.encode(), sent)
            head = await connection.read_head()
            while await connection.read_chunk():
                pass
        finally:
            self.node.release(connection)
        return head.status

    async def answer(self, send, headers, received, statuses):
        """Answer with the request's id, so that crossed answers show."""
        body = json.dumps(
            {
                'server': self.name,
                'id': headers.get(b'x-echo', b'').decode(),
                'received': received,
                'nested': statuses,
            }
        ).encode()
        size = int(headers.get(b'x-size', b'0'))
        total = max(size, len(body))
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', str(total).encode())],
            }
        )
        if b'x-stall' in headers:
            await anyio.sleep(3600)
        cut = int(headers.get(b'x-cut', b'0'))
        sent = len(body)
        await send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': total > sent,
            }
        )
        block = b'.' * 65536
        while sent < total:
            if cut and sent >= cut:
                return
            part = block[: total - sent]
            sent += len(part)
            await send(
                {
                    'type': 'http.response.body',
                    'body': part,
                    'more_body': sent < total,
                }
            )

    def counts(self):
        """Tell what really ran."""
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

    async def reply(self, send, status, body):
        """Send a short whole answer."""
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-length', str(len(body)).encode())],
            }
        )
        await send({'type': 'http.response.body', 'body': body})
