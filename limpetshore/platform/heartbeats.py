"""Take the announcements of the local backend server."""

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

PREFIX = '/instances/'
MAX_HEARTBEAT_BYTES = 16384
HEARTBEAT_LIMITS = CallSection(max_body_bytes=MAX_HEARTBEAT_BYTES, stall_s=2)
MS_IN_S = 1000
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404


class HeartbeatApp(CallApp):
    """Serve the address to which the local server announces itself."""

    def __init__(
        self,
        guard: Guard,
        on_announcement: Callable[[], None],
    ) -> None:
        """Tell the guard, then whoever follows it."""
        self.guard = guard
        self.on_announcement = on_announcement
        self.newest = (0, 0)
        self.left: dict[str, int] = {}  # by id, the birth it left with

    async def serve(self, request: ServerRequest) -> None:
        """Acknowledge one announcement or departure."""
        try:
            status = await self.answer(request)
        except (RefusedError, CallerDisconnectedError) as error:
            logger.info('heartbeat not read: {0}', error)
            status = BAD_REQUEST
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'2'),
        ]
        request.send_complete(status, headers, b'{}')

    async def answer(self, request: ServerRequest) -> int:
        """Return the status for one request."""
        path = request.path
        if not path.startswith(PREFIX):
            return NOT_FOUND
        instance = path[len(PREFIX) :]
        if request.method == b'DELETE':
            self.take_departure(instance)
            return OK
        body = RequestBody(request, HEARTBEAT_LIMITS)
        content = await body.read_prefix(MAX_HEARTBEAT_BYTES)
        try:
            heartbeat = wire.decode(wire.Heartbeat, content)
        except msgspec.MsgspecError as error:
            self.guard.metrics.bad_input.labels('announcement').inc()
            logger.warning('ignored a heartbeat of {0}: {1}', instance, error)
            return BAD_REQUEST
        return self.take_heartbeat(instance, heartbeat)

    def take_heartbeat(self, instance: str, heartbeat: wire.Heartbeat) -> int:
        """Follow the server unless the heartbeat is late or forged."""
        backend = self.guard.settings.backend
        is_local = heartbeat.address == backend.address
        is_known = heartbeat.state in {wire.READY, wire.DRAINING}
        if not is_local or not is_known or heartbeat.service != backend.service:
            self.guard.metrics.bad_input.labels('announcement').inc()
            logger.warning(
                'ignored a heartbeat of {0}: not the local server',
                instance,
                extra={'address': heartbeat.address, 'state': heartbeat.state},
            )
            return BAD_REQUEST
        order = (heartbeat.born, heartbeat.sequence)
        if order < self.newest or heartbeat.born <= self.left.get(instance, -1):
            return OK
        self.newest = order
        self.follow(
            Announcement(
                state=heartbeat.state,
                slots=max(1, heartbeat.slots),
                boot=f'{instance}.{heartbeat.born}',
                instance=instance,
            ),
        )
        return OK

    def take_departure(self, instance: str) -> None:
        """Give the server nothing more."""
        self.left[instance] = int(clock.wall_time() * MS_IN_S)
        known = self.guard.backend.announcement
        if known is not None and known.instance == instance:
            self.left[instance] = self.newest[0]
            self.follow(known._replace(state=wire.DRAINING))

    def follow(self, announcement: Announcement) -> None:
        """Put an announcement in force and log a change of state."""
        known = self.guard.backend.announcement
        is_new = self.guard.backend.update(announcement)
        if is_new or (known and known.state != announcement.state):
            logger.info(
                'server {0} is {1}',
                announcement.instance,
                announcement.state,
                extra={'slots': announcement.slots},
            )
        self.guard.apply_announcement(is_new=is_new)
        self.on_announcement()
