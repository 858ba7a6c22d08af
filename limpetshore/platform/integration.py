"""Put together all through which a node meets the platform."""

from limpetshore.integrations import Integration, NodeHandle
from limpetshore.metrics import Metrics
from limpetshore.platform.dialects import (
    PlatformBackendDialect,
    PlatformCallerDialect,
)
from limpetshore.platform.health import ask_server
from limpetshore.platform.heartbeats import HeartbeatApp
from limpetshore.platform.store import PlatformStore
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.backends import Announcement
from limpetshore.state.policies import Policy
from limpetshore.state.store import HttpStoreClient, ObjectStore
from limpetshore.transport.call_server import CallApp, CallServer, ServerRequest

CLOSE_WITHIN_S = 1
OK = 200
UNAVAILABLE = 503


class PlatformIntegration(Integration):
    """Meet the platform's clients, servers and store."""

    def __init__(self, settings: NodeSettings) -> None:
        """Choose the dialects."""
        super().__init__(settings)
        self.caller_dialect = PlatformCallerDialect()
        self.backend_dialect = PlatformBackendDialect()

    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return the store in which all that lasts is kept."""
        store = self.settings.store
        client = HttpStoreClient(
            parse_address(store.address),
            store.timeout_s,
            metrics,
        )
        return PlatformStore(client)

    async def query_backend(
        self,
        policy: Policy,
        slots: int,
    ) -> Announcement | None:
        """Ask the local server who it is, after a restart of the node."""
        service = policy.services.get(self.settings.backend.service)
        if service is None:
            return None
        return await ask_server(self.settings, service.health_path, slots)

    def build_extra_servers(self, node: NodeHandle) -> list[CallServer]:
        """Return the servers for heartbeats and readiness."""
        platform = self.settings.platform
        applications = {
            platform.heartbeats: HeartbeatApp(
                node.guard,
                node.publish_own_state,
            ),
            platform.readiness: ReadinessApp(node),
        }
        return [
            CallServer(
                application,
                parse_address(address),
                graceful_s=CLOSE_WITHIN_S,
            )
            for address, application in applications.items()
        ]


class ReadinessApp(CallApp):
    """Tell whether clients should come to this node."""

    def __init__(self, node: NodeHandle) -> None:
        """Tell what the node says of itself."""
        self.node = node

    async def serve(self, request: ServerRequest) -> None:
        """Answer one question."""
        status = OK if self.node.is_ready else UNAVAILABLE
        request.send_complete(status, [(b'content-length', b'0')], b'')
