"""Stand in for the platform's store, as its client sees it, in memory."""

import json
from urllib.parse import parse_qsl, urlsplit

import httpcore

from limpetshore.metrics import Metrics
from limpetshore.settings import parse_address
from limpetshore.state.store import HttpStoreClient

PAGE = 2


class PlatformStoreClient(HttpStoreClient):
    """Answer calls as the platform's store does, without a network."""

    def __init__(self):
        """Start empty; `oldest` is the first revision still in the history."""
        super().__init__(parse_address('127.0.0.1:1'), 0.5, Metrics())
        self.objects = {}
        self.revision = 1
        self.oldest = 0
        self.targets = []

    async def call(
        self,
        kind,
        method,
        target,
        *,
        headers=None,
        content=None,
        timeout_s=0,
    ):
        """Answer one call."""
        self.targets.append((method, target))
        parts = urlsplit(target)
        path = parts.path.strip('/').split('/')[1:]
        query = dict(parse_qsl(parts.query))
        body = json.loads(content) if content else None
        status, answer = self.answer(method, path, query, body)
        return await build_response(status, json.dumps(answer).encode())

    def answer(self, method, path, query, body):
        """Return the status and the body for one call."""
        if method == 'POST':
            return self.write(path[0], body['metadata']['name'], body, new=True)
        if method == 'PUT':
            return self.write(path[0], path[1], body, new=False)
        if method == 'DELETE':
            found = self.objects.pop((path[0], path[1]), None)
            return (200, found) if found else (404, None)
        if len(path) == 2:
            found = self.objects.get((path[0], path[1]))
            return (200, found) if found else (404, None)
        if 'watch' in query:
            return self.watch(path[0], int(query['watch']))
        return self.list(path[0], query.get('after', ''))

    def write(self, kind, name, body, *, new):
        """Write one object under its condition."""
        held = self.objects.get((kind, name))
        if new and held:
            return 409, held
        if not new and held is None:
            return 404, None
        asked = body['metadata'].get('revision')
        if held and asked not in {None, held['metadata']['revision']}:
            return 409, held
        self.revision += 1
        self.objects[kind, name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'createdAt': 1,
                'finalizers': [],
                'deletionRequested': False,
            },
            'spec': body['spec'],
            'status': None,
        }
        return 200, self.objects[kind, name]

    def watch(self, kind, since):
        """Return changes, or that the history is gone."""
        if since < self.oldest:
            return 410, None
        events = [
            {'object': entry, 'removed': False}
            for (held, _), entry in self.objects.items()
            if held == kind and entry['metadata']['revision'] > since
        ]
        return 200, {'events': events, 'store_revision': self.revision}

    def list(self, kind, after):
        """Return one page of a kind."""
        entries = [
            entry
            for (held, name), entry in sorted(self.objects.items())
            if held == kind and name > after
        ]
        return 200, {
            'items': entries[:PAGE],
            'has_more': len(entries) > PAGE,
            'store_revision': self.revision,
        }


async def build_response(status, content):
    """Return a response that has been read."""
    response = httpcore.Response(status, content=content)
    await response.aread()
    return response
