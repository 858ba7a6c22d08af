"""Define the headers and the JSON messages of the platform.

Field names follow `deploy/wire.toml`; unknown fields are ignored.
"""

from typing import Any

import msgspec

from limpetshore.decoding import Count, decode_json

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
# Costs the store a tenth of a current read.
STALE_QUERY = '?allowStale=1'


class Heartbeat(msgspec.Struct):
    """Represent one announcement of the local backend server.

    `born` is the start time of the server in Unix milliseconds; `sequence`
    counts the announcements since that time.
    """

    service: str
    address: str
    slots: Count
    state: str
    sequence: Count
    born: Count = 0


class SplitEntry(msgspec.Struct):
    """Represent a service and its weight in a traffic split."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct):
    """Represent one route; `attempts` includes the first send.

    A route has either a service or a split. A field that is null counts as
    left out, here and below.
    """

    host: str
    path_prefix: str
    kind: str
    timeout_ms: float | None = None
    target_ms: float | None = None
    service: str | None = None
    split: list[SplitEntry] | None = None
    priority: float | None = None
    attempts: float | None = None
    is_open: bool | None = None


class CustomerEntry(msgspec.Struct):
    """Represent one customer; without a rate it has no limit."""

    keys: list[str] | None = None
    priority: float | None = None
    rate: float | None = None
    burst: float | None = None


class ServiceEntry(msgspec.Struct):
    """Represent one service and the URL path of its health check."""

    health_path: str


Entries = dict[str, msgspec.Raw]


class Configuration(msgspec.Struct):
    """Represent one version of the whole configuration.

    Entries are decoded one by one, so that an odd one hides no other.
    """

    routes: Entries
    customers: Entries | None = None
    services: Entries | None = None
    version: int | float | str | None = None


class ObjectMetadata(msgspec.Struct):
    """Represent the name of an object and the revision of its last change."""

    name: str
    revision: int


class ObjectEntry(msgspec.Struct):
    """Represent one object; `spec` is its content as undecoded JSON."""

    metadata: ObjectMetadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ObjectList(msgspec.Struct):
    """Represent a page of objects and the revision of the store.

    Each of `items` is an `ObjectEntry`, unless another writer has left it.
    """

    items: list[msgspec.Raw]
    store_revision: int
    has_more: bool = False


class ObjectEvent(msgspec.Struct):
    """Represent one change; `removed` is set if the object was deleted."""

    object: ObjectEntry
    removed: bool = False


class ObjectEvents(msgspec.Struct):
    """Represent the changes since a revision.

    Each of `events` is an `ObjectEvent`, unless another writer caused it.
    """

    events: list[msgspec.Raw]
    store_revision: int


def decode(message_class: type, encoded: bytes) -> Any:
    """Return a decoded message; raise `msgspec.MsgspecError` if invalid."""
    return decode_json(encoded, message_class)
