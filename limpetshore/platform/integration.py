"""Select the dialects, store and servers of a node on the platform."""

from limpetshore.integrations import Integration, NodeHandle
from limpetshore.metrics import Metrics
from limpetshore.platform.dialects import (
    PlatformBackendDialect,
    PlatformCallerDialect,
)
from limpetshore.platform.health import query_server
from limpetshore.platform.heartbeats import HeartbeatApp
from limpetshore.platform.store import PlatformStore
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.backends import Announcement
from limpetshore.state.policies import Policy
from limpetshore.state.store import HttpStoreClient, ObjectStore
from limpetshore.transport.call_server import CallApp, CallServer, ServerRequest

GRACEFUL_STOP_S = 1
OK = 200
UNAVAILABLE = 503


class PlatformIntegration(Integration):
    """Connect a node to the platform's clients, servers and store."""

    def __init__(self, settings: NodeSettings) -> None:
        """Select the dialects of the platform."""
        super().__init__(settings)
        self.caller_dialect = PlatformCallerDialect()
        self.backend_dialect = PlatformBackendDialect()

    def build_store(self, metrics: Metrics) -> ObjectStore:
        """Return a client of the platform's object store."""
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
        """Query the local server for its instance id after a node restart.

        Return None if the policy has no health path for its service.
        """
        service = policy.services.get(self.settings.backend.service)
        if service is None:
            return None
        return await query_server(self.settings, service.health_path, slots)

    def build_extra_servers(self, node: NodeHandle) -> list[CallServer]:
        """Return the HTTP servers for heartbeats and readiness checks."""
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
                graceful_s=GRACEFUL_STOP_S,
            )
            for address, application in applications.items()
        ]


class ReadinessApp(CallApp):
    """Serve readiness checks: 200 if clients may use the node, else 503."""

    def __init__(self, node: NodeHandle) -> None:
        """Report the readiness of `node`."""
        self.node = node

    async def serve(self, request: ServerRequest) -> None:
        """Answer one readiness check with an empty body."""
        status = OK if self.node.is_ready else UNAVAILABLE
        request.send_complete(status, [(b'content-length', b'0')], b'')
