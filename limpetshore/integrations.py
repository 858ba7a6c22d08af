"""Integrate a node with the environment outside the fleet."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from limpetshore.coordination.fleet import FleetState
from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import (
    BackendDialect,
    CallerDialect,
    NativeBackendDialect,
    NativeCallerDialect,
)
from limpetshore.routing.guard import Guard
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.store import HttpObjectStore, ObjectStore
from limpetshore.transport.call_server import CallServer


class NodeHandle(Protocol):
    """Declare the part of a node that an integration may use."""

    guard: Guard
    fleet: FleetState

    @property
    def is_ready(self) -> bool:
        """Return whether callers may send requests to this node."""

    def publish_own_state(self) -> None:
        """Publish whether the local backend server accepts requests."""


BackgroundLoop = Callable[[], Awaitable[None]]


class Extension(NamedTuple):
    """List the servers and background loops that an integration adds."""

    servers: list[CallServer]
    loops: list[BackgroundLoop]


class Integration(ABC):
    """Provide the dialects, object store and extra servers of a node."""

    caller_dialect: CallerDialect
    backend_dialect: BackendDialect

    def __init__(self, settings: NodeSettings) -> None:
        """Store the settings of the node."""
        self.settings = settings

    @abstractmethod
    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the object store for durable state."""

    @abstractmethod
    def extend(self, node: NodeHandle) -> Extension:
        """Return what a node runs in addition to its own parts."""


class NativeIntegration(Integration):
    """Provide the native interfaces of limpetshore."""

    def __init__(self, settings: NodeSettings) -> None:
        """Use the native dialects for callers and backend servers."""
        super().__init__(settings)
        self.caller_dialect = NativeCallerDialect()
        self.backend_dialect = NativeBackendDialect()

    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the object store for durable state."""
        store = self.settings.store
        return HttpObjectStore(
            parse_address(store.address),
            store.timeout_s,
            metrics,
        )

    def extend(self, node: NodeHandle) -> Extension:
        """Return nothing: the admin port receives announcements."""
        return Extension([], [])
