"""Keep what is known of the local backend server true."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.routing.guard import Guard
from limpetshore.state.backends import DRAINING, READY, Announcement
from limpetshore.state.members import MemberTable

logger = Logger(__name__)

JOIN_POLL_S = 0.05
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 1.6
# The start is unknown until the first heartbeat after a restart of the node.
RECALLED_BORN = 0


InstanceQuery = Callable[[], Awaitable[str | None]]


class HeartbeatOrder(NamedTuple):
    """Order the heartbeats of a backend server, also over its restarts."""

    born: int
    sequence: int


class Candidate(NamedTuple):
    """Hold an announcement that the server has not confirmed yet."""

    announcement: Announcement
    order: HeartbeatOrder
    since: float


class LocalServer:
    """Use an announced server only once it has confirmed that it serves.

    A heartbeat may arrive long after its server has departed, and a node that
    has restarted does not remember the departure. Only the health check tells
    whether a server that is not in use yet is ready now.
    """

    def __init__(
        self,
        guard: Guard,
        table: MemberTable,
        query: InstanceQuery,
        on_change: Callable[[], None],
    ) -> None:
        """Call `on_change` after each announcement that the guard applies.

        `query` returns the id of the server if it is ready, else None.
        """
        self.guard = guard
        self.backend = guard.backend
        self.table = table
        self.query = query
        self.on_change = on_change
        self.order = HeartbeatOrder(RECALLED_BORN, 0)
        self.candidate: Candidate | None = None
        self.proposed = anyio.Event()
        self.departure_count = 0

    async def run(self) -> None:
        """Have candidates confirmed until cancelled."""
        await self.propose_previous()
        while True:
            await self.proposed.wait()
            self.proposed = anyio.Event()
            await self.confirm_candidate()

    def announce(
        self, announcement: Announcement, order: HeartbeatOrder
    ) -> None:
        """Apply an announcement, or propose it if the server is not in use."""
        is_current = not self.backend.has_lapsed
        if is_current and order < self.order:
            logger.info(
                'ignored a late heartbeat of {0}',
                announcement.instance,
                extra=order._asdict(),
            )
        elif announcement.state == DRAINING:
            self.withdraw(announcement.instance)
            self.apply(announcement, order)
        elif self.is_in_use(announcement):
            self.apply(announcement, order)
        elif announcement.boot not in self.backend.draining_boots:
            self.propose(announcement, order)

    def depart(self, instance: str) -> None:
        """Stop sending calls to the server with this instance id."""
        self.withdraw(instance)
        current = self.backend.announcement
        if current is not None and current.instance == instance:
            self.apply(current._replace(state=DRAINING), self.order)

    def is_in_use(self, announcement: Announcement) -> bool:
        """Tell whether this start of the server has been confirmed.

        The start of a server that was found by its health check becomes known
        by its first heartbeat.
        """
        current = self.backend.announcement
        if current is None or self.backend.has_lapsed:
            return False
        is_same_start = (
            current.boot == announcement.boot
            or self.order.born == RECALLED_BORN
        )
        is_same = current.instance == announcement.instance and is_same_start
        return is_same and current.state == READY

    def withdraw(self, instance: str) -> None:
        """Drop a candidate that departs, and any health answer under way."""
        self.departure_count += 1
        candidate = self.candidate
        if candidate and candidate.announcement.instance == instance:
            self.candidate = None

    def propose(
        self, announcement: Announcement, order: HeartbeatOrder
    ) -> None:
        """Have the server confirm an announcement."""
        self.candidate = Candidate(announcement, order, clock.now())
        self.proposed.set()

    async def propose_previous(self) -> None:
        """Propose the server that was here before a restart of the node.

        The node then accepts work without waiting for a heartbeat.
        """
        while self.table.is_joining:
            await anyio.sleep(JOIN_POLL_S)
        previous = self.table.previous_own
        if previous is None or self.candidate or self.backend.announcement:
            return
        announcement = Announcement(
            state=READY,
            slots=previous.slots,
            boot=f'{previous.instance}.asked',
            instance=previous.instance,
        )
        self.propose(announcement, HeartbeatOrder(RECALLED_BORN, 0))

    async def confirm_candidate(self) -> None:
        """Query the server until it confirms the candidate or that lapses."""
        pause_s = MIN_RETRY_PAUSE_S
        while not self.has_candidate_lapsed():
            count = self.departure_count
            instance = await self.query()
            is_valid = instance is not None and count == self.departure_count
            if is_valid and self.candidate:
                self.decide(self.candidate, instance)
                return
            with anyio.move_on_after(pause_s):
                await self.proposed.wait()
            self.proposed = anyio.Event()
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    def has_candidate_lapsed(self) -> bool:
        """Tell whether there is no candidate; drop one that is too old."""
        candidate = self.candidate
        if candidate is None:
            return True
        if clock.now() - candidate.since <= self.backend.lapse_s:
            return False
        self.candidate = None
        logger.info(
            'server {0} did not confirm that it is ready',
            candidate.announcement.instance,
            extra=candidate.order._asdict(),
        )
        return True

    def decide(self, candidate: Candidate, instance: str) -> None:
        """Use the candidate if it has the instance id that answered."""
        self.candidate = None
        announcement = candidate.announcement
        if instance == announcement.instance:
            self.apply(announcement, candidate.order)
            return
        logger.info(
            'ignored a heartbeat of {0}: server {1} answers',
            announcement.instance,
            instance,
            extra=candidate.order._asdict(),
        )

    def apply(self, announcement: Announcement, order: HeartbeatOrder) -> None:
        """Apply an announcement and log a change of server or state."""
        current = self.backend.announcement
        self.order = order
        is_new = self.backend.update(announcement)
        if is_new or (current and current.state != announcement.state):
            logger.info(
                'server {0} is {1}',
                announcement.instance,
                announcement.state,
                extra={
                    'slots': announcement.slots,
                    'boot': announcement.boot,
                    'sequence': order.sequence,
                },
            )
        self.guard.apply_announcement(is_new=is_new)
        self.on_change()
