"""Reach the object API of the platform, where all that lasts is kept."""

import base64
from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio
import httpcore
import msgspec

from limpetshore.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from limpetshore.metrics import Metrics
from limpetshore.transport.http_client import Address

MUST_NOT_EXIST = 0
OK = 200
NOT_FOUND = 404
CONFLICT = 409
SERVER_ERROR = 500
WATCH_MARGIN_S = 2
KEEP_ALIVE_S = 10


class StoredObject(NamedTuple):
    """Hold one object of the store; `content` is None once deleted."""

    kind: str
    name: str
    version: int
    content: bytes | None


class Changes(NamedTuple):
    """Hold the objects that changed up to a revision of the store."""

    revision: int
    changed: list[StoredObject]


class ObjectStore(ABC):
    """Read, write and watch objects with versions."""

    @abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    @abstractmethod
    async def put(
        self,
        kind: str,
        name: str,
        content: bytes,
        expected_version: int,
    ) -> int:
        """Write if the version is still the expected one; return the new."""

    @abstractmethod
    async def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Delete if the version is still the expected one."""

    @abstractmethod
    async def list_objects(self, kind: str) -> Changes:
        """Return all objects of a kind."""

    @abstractmethod
    async def watch(self, since: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, at most `wait_s` seconds."""


class HttpStoreClient:
    """Send requests to an object API over HTTP and count them."""

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        metrics: Metrics,
    ) -> None:
        """Set where the API is and how long an answer may take."""
        self.base = f'http://{address}'
        self.timeout_s = timeout_s
        self.metrics = metrics
        self.pool = httpcore.AsyncConnectionPool(keepalive_expiry=KEEP_ALIVE_S)

    async def call(  # noqa: WPS211
        self,
        kind: str,
        method: str,
        target: str,
        *,
        headers: list[tuple[bytes, bytes]] | None = None,
        content: bytes | None = None,
        timeout_s: float = 0,
    ) -> httpcore.Response:
        """Send one request and count it."""
        try:
            with anyio.fail_after(timeout_s or self.timeout_s):
                response = await self.pool.request(
                    method,
                    self.base + target,
                    headers=headers,
                    content=content,
                )
        except (httpcore.ConnectError, OSError) as error:
            self.metrics.store_calls.labels(kind, 'unavailable').inc()
            raise StoreUnavailableError(f'{error!r}') from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            self.metrics.store_calls.labels(kind, 'lost').inc()
            raise StoreUnavailableError(f'{error!r}') from error
        self.metrics.store_calls.labels(kind, str(response.status)).inc()
        return response

    def raise_for_status(self, response: httpcore.Response, kind: str) -> None:
        """Raise what a status means."""
        if response.status == CONFLICT:
            raise StoreConflictError(f'{kind}: version has changed')
        if response.status >= SERVER_ERROR:
            raise StoreUnavailableError(f'{kind}: status {response.status}')
        if response.status != OK:
            raise StoreError(f'{kind}: status {response.status}')

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


class HttpObjectStore(ObjectStore):
    """Keep objects in the product's own object API."""

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        metrics: Metrics,
    ) -> None:
        """Set where the API is and how long an answer may take."""
        self.client = HttpStoreClient(address, timeout_s, metrics)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
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
        """Write if the version is still the expected one; return the new."""
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
        """Delete if the version is still the expected one."""
        response = await self.client.call(
            'delete',
            'DELETE',
            f'/objects/{kind}/{name}',
            headers=[(b'if-version', str(expected_version).encode())],
        )
        if response.status != NOT_FOUND:
            self.client.raise_for_status(response, 'delete')

    async def list_objects(self, kind: str) -> Changes:
        """Return all objects of a kind."""
        response = await self.client.call('list', 'GET', f'/objects/{kind}')
        self.client.raise_for_status(response, 'list')
        return read_changes(response)

    async def watch(self, since: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, at most `wait_s` seconds."""
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
        await self.client.close()


def read_version(response: httpcore.Response) -> int:
    """Return the version header of an answer."""
    return int(dict(response.headers).get(b'x-version', b'0'))


def read_changes(response: httpcore.Response) -> Changes:
    """Return the objects listed in an answer."""
    try:
        tables = msgspec.json.decode(response.content)
        changed = [
            StoredObject(
                table['kind'],
                table['name'],
                table['version'],
                decode_content(table['content']),
            )
            for table in tables['objects']
        ]
        return Changes(tables['revision'], changed)
    except (LookupError, TypeError, ValueError) as error:
        raise StoreError(f'unreadable list of objects: {error}') from error


def decode_content(encoded: str | None) -> bytes | None:
    """Return the bytes of an object, None if it was deleted."""
    return None if encoded is None else base64.b64decode(encoded)
