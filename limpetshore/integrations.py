"""Bundle all through which a node meets the world around the fleet."""

from abc import ABC, abstractmethod
from typing import Protocol

from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import (
    BackendDialect,
    CallerDialect,
    OwnBackendDialect,
    OwnCallerDialect,
)
from limpetshore.routing.guard import Guard
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.backends import Announcement
from limpetshore.state.policies import Policy
from limpetshore.state.store import HttpObjectStore, ObjectStore
from limpetshore.transport.call_server import CallServer


class ServedNode(Protocol):
    """Describe what a surface may ask of its node."""

    guard: Guard

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come to this node."""

    def follow_own_state(self) -> None:
        """Publish whether the local server takes work."""


class Surface(ABC):
    """Choose dialects, store and further servers of a node."""

    callers: CallerDialect
    backends: BackendDialect

    def __init__(self, settings: NodeSettings) -> None:
        """Build for a node with these settings."""
        self.settings = settings

    @abstractmethod
    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the store in which all that lasts is kept."""

    async def ask_backend(
        self,
        policy: Policy,
        slots: int,
    ) -> Announcement | None:
        """Ask the local server who it is; by default it tells by itself."""

    @abstractmethod
    def build_servers(self, node: ServedNode) -> list[CallServer]:
        """Return further servers that run beside those of the node."""


class OwnSurface(Surface):
    """Offer the product's own interface."""

    def __init__(self, settings: NodeSettings) -> None:
        """Choose the dialects."""
        super().__init__(settings)
        self.callers = OwnCallerDialect()
        self.backends = OwnBackendDialect()

    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the store in which all that lasts is kept."""
        store = self.settings.store
        return HttpObjectStore(
            parse_address(store.address),
            store.timeout_s,
            metrics,
        )

    def build_servers(self, node: ServedNode) -> list[CallServer]:
        """Return none: the admin port takes announcements."""
        return []
