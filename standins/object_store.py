"""Simulate the object store of the platform in memory."""

import base64
import json
import urllib.parse

import anyio

FAULT_MODES = ('up', 'down', 'slow', 'lose_answers')


class ObjectStoreApp:
    """Serve objects with versions, conditional updates and watches.

    Faults: `down` answers 503, `slow` delays each answer by 5 s,
    `lose_answers` applies a change but answers 504.
    """

    def __init__(self):
        """Create an empty store without a fault; `/fault/NAME` sets one."""
        self.objects = {}
        self.revision = 0
        self.changed = anyio.Event()
        self.fault = 'up'
        self.calls = {}
        self.waiting_watches = 0
        self.max_waiting_watches = 0

    async def __call__(self, scope, receive, send):
        """Answer one request, subject to the active fault."""
        path_parts = scope['path'].strip('/').split('/')
        body = b''
        while True:
            message = await receive()
            body += message.get('body', b'')
            if not message.get('more_body'):
                break
        if path_parts[0] == 'fault':
            self.fault = path_parts[1]
            assert self.fault in FAULT_MODES
            return await send_answer(send, 200, b'{}')
        if path_parts[0] == 'counts':
            counts = {
                'calls': self.calls,
                'waiting': self.waiting_watches,
                'most_waiting': self.max_waiting_watches,
            }
            return await send_answer(send, 200, json.dumps(counts).encode())
        if self.fault == 'down':
            return await send_answer(send, 503, b'')
        if self.fault == 'slow':
            await anyio.sleep(5)
        kind = 'watch' if path_parts[0] == 'watch' else scope['method']
        self.calls[kind] = self.calls.get(kind, 0) + 1
        headers = dict(scope['headers'])
        expected_version = int(headers.get(b'if-version', b'-1'))
        if path_parts[0] == 'watch':
            return await self.watch(scope, send)
        if scope['method'] == 'GET' and len(path_parts) == 2:
            matches = [
                entry
                for (kind, _), entry in sorted(self.objects.items())
                if kind == path_parts[1] and entry['content'] is not None
            ]
            return await send_answer(send, 200, self.encode_objects(matches))
        key = (path_parts[1], path_parts[2])
        entry = self.objects.get(key)
        exists = entry is not None and entry['content'] is not None
        if scope['method'] == 'GET':
            if not exists:
                return await send_answer(send, 404, b'')
            content = base64.b64decode(entry['content'])
            return await send_answer(send, 200, content, entry['version'])
        if expected_version != (entry['version'] if exists else 0):
            return await send_answer(send, 409, b'')
        content = None
        if scope['method'] == 'PUT':
            content = base64.b64encode(body).decode()
        self.revision += 1
        self.objects[key] = {
            'kind': key[0],
            'name': key[1],
            'version': self.revision,
            'content': content,
        }
        self.changed.set()
        self.changed = anyio.Event()
        if self.fault == 'lose_answers':
            return await send_answer(send, 504, b'')
        return await send_answer(send, 200, b'', self.revision)

    async def watch(self, scope, send):
        """Answer with the changes after `since`; wait up to `wait` seconds."""
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        since = int(query['since'])
        self.waiting_watches += 1
        self.max_waiting_watches = max(
            self.max_waiting_watches, self.waiting_watches
        )
        try:
            with anyio.move_on_after(float(query['wait'])):
                while self.revision <= since and self.fault == 'up':
                    await self.changed.wait()
        finally:
            self.waiting_watches -= 1
        if self.fault == 'down':
            return await send_answer(send, 503, b'')
        matches = [
            entry for entry in self.objects.values() if entry['version'] > since
        ]
        return await send_answer(send, 200, self.encode_objects(matches))

    def encode_objects(self, entries):
        """Return the JSON of the current revision and some objects."""
        return json.dumps(
            {
                'revision': self.revision,
                'objects': entries,
            }
        ).encode()


async def send_answer(send, status, body, version=None):
    """Send a complete answer, optionally with the version of an object."""
    headers = [(b'content-length', str(len(body)).encode())]
    if version is not None:
        headers.append((b'x-version', str(version).encode()))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})
