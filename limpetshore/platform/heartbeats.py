"""Process heartbeats and departures of the local backend server."""

from collections.abc import Callable

import msgspec
from logbook import Logger

from limpetshore import clock
from limpetshore.errors import RefusedError
from limpetshore.platform import wire
from limpetshore.protocol.bodies import CallerDisconnectedError, RequestBody
from limpetshore.routing.guard import Guard
from limpetshore.settings import CallSection
from limpetshore.state.backends import Announcement
from limpetshore.transport.call_server import CallApp, ServerRequest

logger = Logger(__name__)

INSTANCES_PATH = '/instances/'
MAX_HEARTBEAT_BYTES = 16384
HEARTBEAT_LIMITS = CallSection(max_body_bytes=MAX_HEARTBEAT_BYTES, stall_s=2)
MS_PER_S = 1000
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404


class HeartbeatApp(CallApp):
    """Serve the address to which the local server sends its heartbeats."""

    def __init__(
        self,
        guard: Guard,
        on_announcement: Callable[[], None],
    ) -> None:
        """Call `on_announcement` after each update of the guard."""
        self.guard = guard
        self.on_announcement = on_announcement
        # Start and sequence number of the newest heartbeat.
        self.newest_order = (0, 0)
        # Start of each departed server in Unix milliseconds, by instance id;
        # a heartbeat with a later start is from a restarted server.
        self.departed_births: dict[str, int] = {}

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
            self.handle_departure(instance)
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
        """Apply a heartbeat of the local server; return the HTTP status.

        A heartbeat that does not match the settings of the local server is
        rejected. One that is older than the newest heartbeat, or sent by a
        server that has departed, is acknowledged and ignored.
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
        order = (heartbeat.born, heartbeat.sequence)
        if (
            order < self.newest_order
            or heartbeat.born <= self.departed_births.get(instance, -1)
        ):
            logger.info(
                'ignored a late heartbeat of {0}',
                instance,
                extra={'born': heartbeat.born, 'sequence': heartbeat.sequence},
            )
            return OK
        self.newest_order = order
        self.update_backend(
            Announcement(
                state=heartbeat.state,
                slots=max(1, heartbeat.slots),
                boot=f'{instance}.{heartbeat.born}',
                instance=instance,
            ),
            heartbeat.sequence,
        )
        return OK

    def handle_departure(self, instance: str) -> None:
        """Stop sending calls to the server with this instance id.

        For an instance other than the announced one, the current time is used
        in place of its unknown start.
        """
        self.departed_births[instance] = int(clock.wall_time() * MS_PER_S)
        current = self.guard.backend.announcement
        if current is not None and current.instance == instance:
            self.departed_births[instance] = self.newest_order[0]
            self.update_backend(
                current._replace(state=wire.DRAINING), self.newest_order[1]
            )

    def update_backend(self, announcement: Announcement, sequence: int) -> None:
        """Apply an announcement and log a change of server or state."""
        current = self.guard.backend.announcement
        is_new = self.guard.backend.update(announcement)
        if is_new or (current and current.state != announcement.state):
            logger.info(
                'server {0} is {1}',
                announcement.instance,
                announcement.state,
                extra={
                    'slots': announcement.slots,
                    'boot': announcement.boot,
                    'sequence': sequence,
                },
            )
        self.guard.apply_announcement(is_new=is_new)
        self.on_announcement()
