"""Access the object API, which stores all durable state of the fleet."""

import base64
from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio

from limpetshore.decoding import decode_json
from limpetshore.errors import (
    ConnectError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    TransportError,
)
from limpetshore.metrics import Metrics
from limpetshore.transport.http_client import Address
from limpetshore.transport.http_pool import HttpPool
from limpetshore.transport.responses import Headers

MUST_NOT_EXIST = 0
OK = 200
NOT_FOUND = 404
CONFLICT = 409
SERVER_ERROR = 500
WATCH_MARGIN_S = 2
KEEP_ALIVE_S = 10


class StoredObject(NamedTuple):
    """Hold an object of the store; `content` is None if it was deleted."""

    kind: str
    name: str
    version: int
    content: bytes | None


class Changes(NamedTuple):
    """List the objects changed up to and including a store revision."""

    revision: int
    changed: list[StoredObject]


class ObjectStore(ABC):
    """Store versioned objects, with conditional writes and a watch."""

    @abstractmethod
    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> StoredObject | None:
        """Return an object, or None if it does not exist.

        With `allow_stale`, the answer may be some seconds old.
        """

    @abstractmethod
    async def put(
        self,
        kind: str,
        name: str,
        content: bytes,
        expected_version: int,
    ) -> int:
        """Write if the version is `expected_version`; return the new one."""

    @abstractmethod
    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete if the version is `expected_version`."""

    @abstractmethod
    async def list_objects(self, kind: str) -> Changes:
        """Return all objects of a kind and the revision of the store."""

    @abstractmethod
    async def watch(self, since: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` seconds for changes after a revision."""


class StoreResponse(NamedTuple):
    """Hold a complete answer of the object API."""

    status: int
    headers: Headers
    content: bytes


class HttpStoreClient:
    """Send HTTP requests to an object API and count them."""

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        metrics: Metrics,
    ) -> None:
        """Configure the address of the API and the timeout of a request."""
        self.host = str(address).encode()
        self.timeout_s = timeout_s
        self.metrics = metrics
        self.pool = HttpPool(address, KEEP_ALIVE_S, timeout_s)

    async def call(  # noqa: WPS211
        self,
        operation: str,
        method: str,
        target: str,
        *,
        headers: Headers | None = None,
        content: bytes | None = None,
        timeout_s: float = 0,
    ) -> StoreResponse:
        """Send a request and count its result.

        `operation` is the label under which the result is counted. A
        `timeout_s` of 0 stands for the default timeout. Raise
        StoreUnavailableError if there is no answer.
        """
        all_headers = [(b'host', self.host), *(headers or [])]
        if content is not None:
            all_headers.append((b'content-length', b'%d' % len(content)))
        try:
            with anyio.fail_after(timeout_s or self.timeout_s):
                response = await self.send(
                    method, target, all_headers, content or b''
                )
        except ConnectError as error:
            self.metrics.store_calls.labels(operation, 'unavailable').inc()
            raise StoreUnavailableError(f'{error!r}') from error
        except (TransportError, TimeoutError) as error:
            # Other connections may have gone silent at the same time.
            self.pool.close_idle()
            self.metrics.store_calls.labels(operation, 'lost').inc()
            raise StoreUnavailableError(f'{error!r}') from error
        self.metrics.store_calls.labels(operation, str(response.status)).inc()
        return response

    async def send(
        self, method: str, target: str, headers: Headers, content: bytes
    ) -> StoreResponse:
        """Send a request and read its whole answer."""
        async with self.pool.connection() as connection:
            await connection.send_head(
                method.encode(), target.encode(), headers, content
            )
            head = await connection.read_head()
            body = await connection.read_all()
        return StoreResponse(head.status, head.headers, body)

    def raise_for_status(self, response: StoreResponse, operation: str) -> None:
        """Raise the error for the status of an answer unless it is 200."""
        if response.status == CONFLICT:
            raise StoreConflictError(
                f'{operation}: the object has another version'
            )
        if response.status >= SERVER_ERROR:
            raise StoreUnavailableError(
                f'{operation}: status {response.status}'
            )
        if response.status != OK:
            raise StoreError(f'{operation}: status {response.status}')

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close_idle()


class HttpObjectStore(ObjectStore):
    """Store objects through the native object API of limpetshore."""

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        metrics: Metrics,
    ) -> None:
        """Configure the address of the API and the timeout of a request."""
        self.client = HttpStoreClient(address, timeout_s, metrics)

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> StoredObject | None:
        """Return an object, or None if it does not exist; never a stale one."""
        response = await self.client.call(
            'get', 'GET', f'/objects/{kind}/{name}'
        )
        if response.status == NOT_FOUND:
            return None
        self.client.raise_for_status(response, 'get')
        version = read_version(response)
        return StoredObject(kind, name, version, response.content)

    async def put(
        self,
        kind: str,
        name: str,
        content: bytes,
        expected_version: int,
    ) -> int:
        """Write if the version is `expected_version`; return the new one."""
        response = await self.client.call(
            'put',
            'PUT',
            f'/objects/{kind}/{name}',
            headers=[(b'if-version', str(expected_version).encode())],
            content=content,
        )
        self.client.raise_for_status(response, 'put')
        return read_version(response)

    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete if the version is `expected_version`."""
        response = await self.client.call(
            'delete',
            'DELETE',
            f'/objects/{kind}/{name}',
            headers=[(b'if-version', str(expected_version).encode())],
        )
        if response.status != NOT_FOUND:
            self.client.raise_for_status(response, 'delete')

    async def list_objects(self, kind: str) -> Changes:
        """Return all objects of a kind and the revision of the store."""
        response = await self.client.call('list', 'GET', f'/objects/{kind}')
        self.client.raise_for_status(response, 'list')
        return read_changes(response)

    async def watch(self, since: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` seconds for changes after a revision."""
        response = await self.client.call(
            'watch',
            'GET',
            f'/watch?since={since}&wait={wait_s}',
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        self.client.raise_for_status(response, 'watch')
        return read_changes(response)

    async def close(self) -> None:
        """Close all connections."""
        self.client.close()


def read_version(response: StoreResponse) -> int:
    """Return the object version in the headers of an answer."""
    return int(dict(response.headers).get(b'x-version', b'0'))


def read_changes(response: StoreResponse) -> Changes:
    """Decode a list of objects; raise StoreError if it is malformed."""
    try:
        listing = decode_json(response.content)
        changed = [
            StoredObject(
                entry['kind'],
                entry['name'],
                entry['version'],
                decode_content(entry['content']),
            )
            for entry in listing['objects']
        ]
        return Changes(listing['revision'], changed)
    except (LookupError, TypeError, ValueError) as error:
        raise StoreError(f'malformed list of objects: {error}') from error


def decode_content(encoded: str | None) -> bytes | None:
    """Decode Base64 content; None marks a deleted object."""
    return None if encoded is None else base64.b64decode(encoded)
