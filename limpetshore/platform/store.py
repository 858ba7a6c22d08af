"""Reach the platform's store as an object store of the product."""

from urllib.parse import quote

import msgspec
from logbook import Logger

from limpetshore.coordination.fleet import POLICY_KIND
from limpetshore.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryError,
)
from limpetshore.platform import wire
from limpetshore.platform.configuration import build_policy
from limpetshore.state.policies import encode_policy
from limpetshore.state.store import (
    MUST_NOT_EXIST,
    NOT_FOUND,
    Changes,
    HttpStoreClient,
    ObjectStore,
    StoredObject,
)

logger = Logger(__name__)

OWN_KIND_PREFIX = 'limpetshore-'
CREATED = 201
GONE = 410
MS_IN_S = 1000


class PlatformStore(ObjectStore):
    """Keep the product's objects in the platform's store.

    The policy is the platform's configuration, which only operators write.
    """

    def __init__(self, client: HttpStoreClient) -> None:
        """Use a client of the store."""
        self.client = client

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        response = await self.client.call('get', 'GET', find_path(kind, name))
        if response.status == NOT_FOUND:
            return None
        self.client.raise_for_status(response, 'get')
        return to_stored(kind, read(wire.ObjectEntry, response.content))

    async def put(
        self,
        kind: str,
        name: str,
        content: bytes,
        expected_version: int,
    ) -> int:
        """Write if the version is still the expected one; return the new."""
        metadata = {'name': name}
        if expected_version != MUST_NOT_EXIST:
            metadata['revision'] = expected_version
        body = msgspec.json.encode(
            {'metadata': metadata, 'spec': msgspec.Raw(content)},
        )
        is_new = expected_version == MUST_NOT_EXIST
        response = await self.client.call(
            'put',
            'POST' if is_new else 'PUT',
            find_path(kind) if is_new else find_path(kind, name),
            headers=[(b'content-type', b'application/json')],
            content=body,
        )
        if response.status == NOT_FOUND:
            raise StoreConflictError(f'put: {kind}/{name} is gone')
        if response.status != CREATED:
            self.client.raise_for_status(response, 'put')
        return read(wire.ObjectEntry, response.content).metadata.revision

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete if the version is still the expected one."""
        path = find_path(kind, name)
        response = await self.client.call(
            'delete',
            'DELETE',
            f'{path}?revision={expected_version}',
        )
        if response.status != NOT_FOUND:
            self.client.raise_for_status(response, 'delete')

    async def list_objects(self, kind: str) -> Changes:
        """Return all objects of a kind, page by page."""
        entries: list[wire.ObjectEntry] = []
        after = ''
        while True:
            response = await self.client.call(
                'list',
                'GET',
                find_path(kind) + after,
            )
            if response.status == NOT_FOUND:
                return Changes(0, [])
            self.client.raise_for_status(response, 'list')
            page = read(wire.ObjectList, response.content)
            entries += page.items
            if not page.has_more or not page.items:
                break
            last = quote(page.items[-1].metadata.name)
            after = f'?after={last}'
        stored = [to_stored(kind, entry) for entry in entries]
        return Changes(page.store_revision, stored)

    async def watch(self, since: int, wait_s: float) -> Changes:
        """Wait for a new configuration; the platform watches one kind a call.

        The revision moves on only with a change: the store may hold back
        changes for a while, and tells so only to one who asks from before.
        """
        path = find_path(POLICY_KIND)
        wait_ms = int(wait_s * MS_IN_S)
        response = await self.client.call(
            'watch',
            'GET',
            f'{path}?watch={since}&wait_ms={wait_ms}',
            timeout_s=wait_s + self.client.timeout_s,
        )
        if response.status == GONE:
            raise StoreHistoryError('watch: the history is gone')
        self.client.raise_for_status(response, 'watch')
        reply = read(wire.ObjectEvents, response.content)
        changed = [
            to_stored(POLICY_KIND, event.object)
            for event in reply.events
            if not event.removed
        ]
        return Changes(reply.store_revision if changed else since, changed)


def find_path(kind: str, name: str = '') -> str:
    """Return the path of an object or of all objects of a kind.

    >>> find_path('nodes', 'one')
    '/objects/limpetshore-nodes/one'
    """
    kept_as = OWN_KIND_PREFIX + kind
    if kind == POLICY_KIND:
        kept_as = wire.CONFIG_KIND
    path = f'/objects/{kept_as}'
    return '/'.join((path, quote(name))) if name else path


def read(message_class: type, encoded: bytes) -> msgspec.Struct:
    """Return a message of the store, or raise that it is unreadable."""
    try:
        return wire.decode(message_class, encoded)
    except msgspec.MsgspecError as error:
        raise StoreError(f'unreadable answer of the store: {error}') from error


def to_stored(kind: str, entry: wire.ObjectEntry) -> StoredObject:
    """Return an object as the product knows it."""
    content = bytes(entry.spec)
    if kind == POLICY_KIND:
        content = read_policy(content)
    return StoredObject(
        kind,
        entry.metadata.name,
        entry.metadata.revision,
        content,
    )


def read_policy(content: bytes) -> bytes | None:
    """Return a configuration as an encoded policy, None if unreadable."""
    try:
        configuration = wire.decode(wire.Configuration, content)
        return encode_policy(build_policy(configuration))
    except (msgspec.MsgspecError, LookupError, ValueError) as error:
        logger.error('ignored a configuration: {0}', error)
        return None
