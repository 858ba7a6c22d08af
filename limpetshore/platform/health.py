"""Query the health path of the local backend server for its instance id."""

import anyio
from logbook import Logger

from limpetshore.errors import TransportError
from limpetshore.platform import wire
from limpetshore.protocol.messages import get_header
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.backends import Announcement
from limpetshore.transport.http_client import HttpPool

logger = Logger(__name__)

HEALTH_TIMEOUT_S = 0.5
OK = 200


async def query_server(
    settings: NodeSettings,
    health_path: str,
    slots: int,
) -> Announcement | None:
    """Return an announcement built from the health answer of the server.

    The answer does not contain the number of slots; `slots` is the number
    known before the node restarted. Return None if the server is not healthy.
    """
    address = parse_address(settings.backend.address)
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
        logger.info('health query of the local server failed: {0}', error)
    if head is None or head.status != OK:
        return None
    instance = get_header(head.headers, wire.INSTANCE) or b''
    instance = instance.decode('latin-1')
    return Announcement(
        state=wire.READY,
        slots=slots,
        boot=f'{instance}.asked',
        instance=instance,
    )
