"""Query the health path of the local backend server for its instance id."""

import anyio
from logbook import Logger

from limpetshore.coordination.fleet import FleetState
from limpetshore.errors import TransportError
from limpetshore.platform import wire
from limpetshore.protocol.messages import get_header
from limpetshore.settings import BackendSection, parse_address
from limpetshore.state.policies import ServiceRecord
from limpetshore.transport.http_client import Address
from limpetshore.transport.http_pool import HttpPool

logger = Logger(__name__)

HEALTH_TIMEOUT_S = 0.5
POLICY_POLL_S = 0.05
OK = 200


class HealthQuery:
    """Query the health check that the policy names for the local server."""

    def __init__(self, backend: BackendSection, fleet: FleetState) -> None:
        """Query the server of `backend`, with the policy of `fleet`."""
        self.backend = backend
        self.fleet = fleet

    async def __call__(self) -> str | None:
        """Return the id of the server if it is ready, else None.

        Wait until there is a policy that has the service of the server.
        """
        record = self.find_service()
        while record is None:
            await anyio.sleep(POLICY_POLL_S)
            record = self.find_service()
        address = parse_address(self.backend.address)
        return await query_instance(address, record.health_path)

    def find_service(self) -> ServiceRecord | None:
        """Return the record of the service in the policy, if there is one."""
        index = self.fleet.policy
        if index is None:
            return None
        return index.policy.services.get(self.backend.service)


async def query_instance(address: Address, health_path: str) -> str | None:
    """Return the instance id of a healthy server, None if it is not healthy."""
    head = None
    try:
        with anyio.fail_after(HEALTH_TIMEOUT_S):
            async with HttpPool(address, 0).connection() as connection:
                await connection.send_head(
                    b'GET',
                    health_path.encode(),
                    [(b'host', str(address).encode())],
                )
                head = await connection.read_head()
    except (TransportError, TimeoutError) as error:
        logger.info('health query of the local server failed: {0!r}', error)
    if head is None or head.status != OK:
        return None
    instance = get_header(head.headers, wire.INSTANCE) or b''
    return instance.decode('latin-1')
