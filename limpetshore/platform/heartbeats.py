"""Process heartbeats and departures of the local backend server."""

import msgspec
from logbook import Logger

from limpetshore.errors import RefusedError
from limpetshore.platform import wire
from limpetshore.protocol.bodies import CallerDisconnectedError, RequestBody
from limpetshore.routing.guard import Guard
from limpetshore.routing.local_server import HeartbeatOrder, LocalServer
from limpetshore.settings import CallSection
from limpetshore.state.backends import Announcement
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.server_request import ServerRequest

logger = Logger(__name__)

INSTANCES_PATH = '/instances/'
MAX_HEARTBEAT_BYTES = 16384
HEARTBEAT_LIMITS = CallSection(max_body_bytes=MAX_HEARTBEAT_BYTES, stall_s=2)
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404


class HeartbeatApp(CallApp):
    """Serve the address to which the local server sends its heartbeats."""

    def __init__(self, guard: Guard, local_server: LocalServer) -> None:
        """Pass what the server says of itself on to `local_server`."""
        self.guard = guard
        self.local_server = local_server

    async def serve(self, request: ServerRequest) -> None:
        """Process and acknowledge one heartbeat or departure."""
        try:
            status = await self.answer(request)
        except (RefusedError, CallerDisconnectedError) as error:
            logger.info('failed to read a heartbeat: {0}', error)
            status = BAD_REQUEST
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'2'),
        ]
        request.send_complete(status, headers, b'{}')

    async def answer(self, request: ServerRequest) -> int:
        """Process one request; return its HTTP status."""
        path = request.path
        if not path.startswith(INSTANCES_PATH):
            return NOT_FOUND
        instance = path[len(INSTANCES_PATH) :]
        if request.method == b'DELETE':
            self.local_server.depart(instance)
            return OK
        body = RequestBody(request, HEARTBEAT_LIMITS)
        content = await body.read_prefix(MAX_HEARTBEAT_BYTES)
        try:
            heartbeat = wire.decode(wire.Heartbeat, content)
        except msgspec.MsgspecError as error:
            self.guard.metrics.bad_input.labels('announcement').inc()
            logger.warning('rejected a heartbeat of {0}: {1}', instance, error)
            return BAD_REQUEST
        return self.handle_heartbeat(instance, heartbeat)

    def handle_heartbeat(self, instance: str, heartbeat: wire.Heartbeat) -> int:
        """Pass on a heartbeat of the local server; return the HTTP status.

        A heartbeat that does not match the settings of the local server is
        rejected.
        """
        backend = self.guard.settings.backend
        is_local = heartbeat.address == backend.address
        is_known_state = heartbeat.state in {wire.READY, wire.DRAINING}
        if (
            not is_local
            or not is_known_state
            or heartbeat.service != backend.service
        ):
            self.guard.metrics.bad_input.labels('announcement').inc()
            logger.warning(
                'rejected a heartbeat of {0}: not the local server',
                instance,
                extra={'address': heartbeat.address, 'state': heartbeat.state},
            )
            return BAD_REQUEST
        self.local_server.announce(
            Announcement(
                state=heartbeat.state,
                slots=max(1, heartbeat.slots),
                boot=f'{instance}.{heartbeat.born}',
                instance=instance,
            ),
            HeartbeatOrder(heartbeat.born, heartbeat.sequence),
        )
        return OK
