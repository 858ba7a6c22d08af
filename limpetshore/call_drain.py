"""Finish the calls of a node that leaves, then stop its servers."""

from collections.abc import Sequence

import anyio
from logbook import Logger

from limpetshore.decisions.drain_schedule import DrainSchedule
from limpetshore.routing.guard import Guard
from limpetshore.transport.call_server import CallServer

logger = Logger(__name__)

LEAVE_POLL_S = 0.05


class CallDrain:
    """Finish the calls of a node that leaves, then stop its servers."""

    def __init__(
        self,
        guard: Guard,
        schedule: DrainSchedule,
        callers_server: CallServer,
        peers_server: CallServer,
        side_servers: Sequence[CallServer],
    ) -> None:
        """Drain the servers of callers and of other nodes, then stop all."""
        self.guard = guard
        self.schedule = schedule
        self.callers_server = callers_server
        self.peers_server = peers_server
        self.side_servers = side_servers

    def start(self, signalled_at: float) -> None:
        """Begin the notice; answers tell callers to connect elsewhere."""
        logger.notice(
            'the node is leaving the fleet', extra=self.count_open('open')
        )
        self.schedule.start(signalled_at)
        self.guard.is_leaving = True
        self.callers_server.disable_keep_alive()
        self.peers_server.disable_keep_alive()

    async def finish_calls(self, timeout_s: float) -> None:
        """Wait for open requests, then stop all servers.

        The ports stay open while calls are open: the backend server makes its
        nested calls through that of callers, and other nodes probe their calls
        at that of peers. Requests that are still open after `timeout_s`
        seconds are aborted.
        """
        call_servers = (self.callers_server, self.peers_server)
        with anyio.move_on_after(timeout_s):
            while self.guard.open_calls:
                await anyio.sleep(LEAVE_POLL_S)
            for server in call_servers:
                server.stop()
            for server in call_servers:
                await server.wait_stopped()
        for server in (*call_servers, *self.side_servers):
            server.stop()

    def log_left(self) -> None:
        """Log what is still open, and is aborted with the event loop."""
        logger.notice(
            'the node has left the fleet',
            extra={
                'leaving_for_s': self.schedule.leaving_for_s,
                **self.count_open('aborted'),
            },
        )

    def count_open(self, prefix: str) -> dict[str, int]:
        """Count what is open: requests, calls of other nodes, calls at work."""
        return {
            f'{prefix}_requests': self.callers_server.open_request_count,
            f'{prefix}_peer_calls': self.peers_server.open_request_count,
            f'{prefix}_running_calls': len(self.guard.running_calls),
        }
