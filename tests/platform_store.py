"""Provide an in-memory fake of the platform's store for its client."""

import json
from urllib.parse import parse_qsl, urlsplit

from limpetshore.metrics import Metrics
from limpetshore.settings import parse_address
from limpetshore.state.store import HttpStoreClient, StoreResponse

PAGE_SIZE = 2


class PlatformStoreClient(HttpStoreClient):
    """Answer store calls like the platform's store, without a network."""

    def __init__(self):
        """Start without objects.

        A watch from before `oldest_revision` is answered with status 410.
        """
        super().__init__(parse_address('127.0.0.1:1'), 0.5, Metrics())
        self.objects = {}
        self.revision = 1
        self.oldest_revision = 0
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
        """Record the target of one call and return its response."""
        self.targets.append((method, target))
        parts = urlsplit(target)
        path = parts.path.strip('/').split('/')[1:]
        query = dict(parse_qsl(parts.query))
        body = json.loads(content) if content else None
        status, answer = self.answer(method, path, query, body)
        return StoreResponse(status, [], json.dumps(answer).encode())

    def answer(self, method, path, query, body):
        """Return the status and the JSON body for one call."""
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
        """Create or replace one object if its revision is as expected."""
        stored = self.objects.get((kind, name))
        if new and stored:
            return 409, stored
        if not new and stored is None:
            return 404, None
        expected_revision = body['metadata'].get('revision')
        if stored and expected_revision not in {
            None,
            stored['metadata']['revision'],
        }:
            return 409, stored
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
        """Return the changes since a revision, or 410 if it is too old."""
        if since < self.oldest_revision:
            return 410, None
        events = [
            {'object': entry, 'removed': False}
            for (entry_kind, _), entry in self.objects.items()
            if entry_kind == kind and entry['metadata']['revision'] > since
        ]
        return 200, {'events': events, 'store_revision': self.revision}

    def list(self, kind, after):
        """Return one page of the objects of a kind, sorted by name."""
        entries = [
            entry
            for (entry_kind, name), entry in sorted(self.objects.items())
            if entry_kind == kind and name > after
        ]
        return 200, {
            'items': entries[:PAGE_SIZE],
            'has_more': len(entries) > PAGE_SIZE,
            'store_revision': self.revision,
        }
