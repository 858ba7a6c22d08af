"""Bundle all through which a node meets the world around the fleet."""

from abc import ABC, abstractmethod
from typing import Protocol

from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import (
    BackendDialect,
    CallerDialect,
    NativeBackendDialect,
    NativeCallerDialect,
)
from limpetshore.routing.guard import Guard
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.backends import Announcement
from limpetshore.state.policies import Policy
from limpetshore.state.store import HttpObjectStore, ObjectStore
from limpetshore.transport.call_server import CallServer


class NodeHandle(Protocol):
    """Describe what a surface may ask of its node."""

    guard: Guard

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come to this node."""

    def publish_own_state(self) -> None:
        """Publish whether the local server takes work."""


class Integration(ABC):
    """Choose dialects, store and further servers of a node."""

    caller_dialect: CallerDialect
    backend_dialect: BackendDialect

    def __init__(self, settings: NodeSettings) -> None:
        """Build for a node with these settings."""
        self.settings = settings

    @abstractmethod
    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the store in which all that lasts is kept."""

    async def query_backend(
        self,
        policy: Policy,
        slots: int,
    ) -> Announcement | None:
        """Ask the local server who it is; by default it tells by itself."""

    @abstractmethod
    def build_extra_servers(self, node: NodeHandle) -> list[CallServer]:
        """Return further servers that run beside those of the node."""


class NativeIntegration(Integration):
    """Offer the product's own interface."""

    def __init__(self, settings: NodeSettings) -> None:
        """Choose the dialects."""
        super().__init__(settings)
        self.caller_dialect = NativeCallerDialect()
        self.backend_dialect = NativeBackendDialect()

    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the store in which all that lasts is kept."""
        store = self.settings.store
        return HttpObjectStore(
            parse_address(store.address),
            store.timeout_s,
            metrics,
        )

    def build_extra_servers(self, node: NodeHandle) -> list[CallServer]:
        """Return none: the admin port takes announcements."""
        return []
