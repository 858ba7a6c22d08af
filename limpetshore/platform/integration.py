"""Select the dialects, store and servers of a node on the platform."""

from limpetshore.integrations import Extension, Integration, NodeHandle
from limpetshore.metrics import Metrics
from limpetshore.platform.dialects import (
    PlatformBackendDialect,
    PlatformCallerDialect,
)
from limpetshore.platform.health import HealthQuery
from limpetshore.platform.heartbeats import HeartbeatApp
from limpetshore.platform.store import PlatformStore
from limpetshore.routing.local_server import LocalServer
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.store import HttpStoreClient, ObjectStore
from limpetshore.transport.call_server import CallServer
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.server_request import ServerRequest

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

    def extend(self, node: NodeHandle) -> Extension:
        """Return the servers for heartbeats and readiness checks.

        A background loop has announced servers confirm that they are ready.
        """
        local_server = LocalServer(
            node.guard,
            node.fleet.table,
            HealthQuery(self.settings.backend, node.fleet),
            node.publish_own_state,
        )
        platform = self.settings.platform
        applications = {
            platform.heartbeats: HeartbeatApp(node.guard, local_server),
            platform.readiness: ReadinessApp(node),
        }
        servers = [
            CallServer(
                application,
                parse_address(address),
                graceful_s=GRACEFUL_STOP_S,
            )
            for address, application in applications.items()
        ]
        return Extension(servers, [local_server.run])


class ReadinessApp(CallApp):
    """Serve readiness checks: 200 if clients may use the node, else 503."""

    def __init__(self, node: NodeHandle) -> None:
        """Report the readiness of `node`."""
        self.node = node

    async def serve(self, request: ServerRequest) -> None:
        """Answer one readiness check with an empty body."""
        status = OK if self.node.is_ready else UNAVAILABLE
        request.send_complete(status, [(b'content-length', b'0')], b'')
