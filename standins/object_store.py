"""Stand in for the object API of the platform, in memory."""

import base64
import json
import urllib.parse

import anyio

KINDS_OF_FAULT = ('up', 'down', 'slow', 'lose_answers')


class ObjectStoreApp:
    """Serve objects with versions, conditional updates and watches."""

    def __init__(self):
        """Start empty; `fault` is set over HTTP."""
        self.objects = {}
        self.revision = 0
        self.changed = anyio.Event()
        self.fault = 'up'
        self.calls = {}
        self.waiting_watches = 0
        self.most_waiting = 0

    async def __call__(self, scope, receive, send):
        """Answer one request, or fail it as the fault says."""
        target = scope['path'].strip('/').split('/')
        body = b''
        while True:
            message = await receive()
            body += message.get('body', b'')
            if not message.get('more_body'):
                break
        if target[0] == 'fault':
            self.fault = target[1]
            assert self.fault in KINDS_OF_FAULT
            return await answer(send, 200, b'{}')
        if target[0] == 'counts':
            counts = {
                'calls': self.calls,
                'waiting': self.waiting_watches,
                'most_waiting': self.most_waiting,
            }
            return await answer(send, 200, json.dumps(counts).encode())
        if self.fault == 'down':
            return await answer(send, 503, b'')
        if self.fault == 'slow':
            await anyio.sleep(5)
        kind = 'watch' if target[0] == 'watch' else scope['method']
        self.calls[kind] = self.calls.get(kind, 0) + 1
        headers = dict(scope['headers'])
        expected = int(headers.get(b'if-version', b'-1'))
        if target[0] == 'watch':
            return await self.watch(scope, send)
        if scope['method'] == 'GET' and len(target) == 2:
            found = [
                entry
                for (kind, _), entry in sorted(self.objects.items())
                if kind == target[1] and entry['content'] is not None
            ]
            return await answer(send, 200, self.listing(found))
        key = (target[1], target[2])
        entry = self.objects.get(key)
        exists = entry is not None and entry['content'] is not None
        if scope['method'] == 'GET':
            if not exists:
                return await answer(send, 404, b'')
            content = base64.b64decode(entry['content'])
            return await answer(send, 200, content, entry['version'])
        if expected != (entry['version'] if exists else 0):
            return await answer(send, 409, b'')
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
            return await answer(send, 504, b'')
        return await answer(send, 200, b'', self.revision)

    async def watch(self, scope, send):
        """Wait for a change after a revision."""
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        since = int(query['since'])
        self.waiting_watches += 1
        self.most_waiting = max(self.most_waiting, self.waiting_watches)
        try:
            with anyio.move_on_after(float(query['wait'])):
                while self.revision <= since and self.fault == 'up':
                    await self.changed.wait()
        finally:
            self.waiting_watches -= 1
        if self.fault == 'down':
            return await answer(send, 503, b'')
        found = [
            entry for entry in self.objects.values() if entry['version'] > since
        ]
        return await answer(send, 200, self.listing(found))

    def listing(self, entries):
        """Encode a list of objects."""
        return json.dumps(
            {
                'revision': self.revision,
                'objects': entries,
            }
        ).encode()


async def answer(send, status, body, version=None):
    """Send a whole answer."""
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
