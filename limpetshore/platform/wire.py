"""Decode what the platform sends, once, into types that say what they hold.

Field names follow `deploy/wire.toml`; fields that are not listed are ignored.
"""

from typing import Any

import msgspec

REQUEST_ID = b'limpetshore-request-id'
DEADLINE_MS = b'limpetshore-deadline-ms'
SEAL = b'limpetshore-response-seal'
TENANT = b'limpetshore-tenant-id'
EXPECTED_INSTANCE = b'limpetshore-expected-instance'
NOT_EXECUTED = b'limpetshore-not-executed'
CALLER_SERVICE = b'limpetshore-caller-service'
INSTANCE = b'limpetshore-instance-id'
RETRY_AFTER = b'retry-after'

READY = 'ready'
DRAINING = 'draining'
REPEATABLE_KINDS = frozenset(('idempotent', 'download'))

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'


class Heartbeat(msgspec.Struct):
    """Hold one announcement of the local backend server.

    `born` is the start of the server in Unix milliseconds; `sequence` counts
    its announcements from that start.
    """

    service: str
    address: str
    slots: int
    state: str
    sequence: int
    born: int = 0
    cold_ms: int = 0


class SplitEntry(msgspec.Struct):
    """Hold a service and its weight in a split."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct):
    """Hold one route; `attempts` counts the first send too."""

    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_ms: float
    service: str = ''
    split: list[SplitEntry] = []
    priority: int = 0
    attempts: int = 1
    is_open: bool = False


class CustomerEntry(msgspec.Struct):
    """Hold one customer; a rate or burst of zero means no limit."""

    keys: list[str] = []
    priority: int | None = None
    rate: float = 0
    burst: float = 0


class ServiceEntry(msgspec.Struct):
    """Hold one service."""

    health_path: str


class Configuration(msgspec.Struct):
    """Hold the whole configuration of one version."""

    version: int
    routes: dict[str, RouteEntry]
    customers: dict[str, CustomerEntry] = {}
    services: dict[str, ServiceEntry] = {}


class ObjectMetadata(msgspec.Struct):
    """Hold what the store says of an object; `revision` is of its change."""

    name: str
    revision: int


class ObjectEntry(msgspec.Struct):
    """Hold one object; `spec` is its content, not decoded yet."""

    metadata: ObjectMetadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ObjectList(msgspec.Struct):
    """Hold a page of objects and the revision of the store."""

    items: list[ObjectEntry]
    store_revision: int
    has_more: bool = False


class ObjectEvent(msgspec.Struct):
    """Hold one change; `removed` says that the object is gone."""

    object: ObjectEntry
    removed: bool = False


class ObjectEvents(msgspec.Struct):
    """Hold the changes since a revision."""

    events: list[ObjectEvent]
    store_revision: int


def decode(message_class: type, encoded: bytes) -> Any:
    """Return a message; raise `msgspec.MsgspecError` if it is damaged."""
    return msgspec.json.decode(encoded, type=message_class)
