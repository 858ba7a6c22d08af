"""Keep the roster in the store true, for nodes that start later."""

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.fleet import (
    CURRENT_NAME,
    ROSTER_KIND,
    FleetState,
)
from limpetshore.coordination.joining import merge_roster
from limpetshore.errors import StoreError
from limpetshore.protocol.messages import NodeState
from limpetshore.state.members import Status
from limpetshore.state.roster import (
    MemberKey,
    decode_roster,
    encode_roster,
    summarize_roster,
)
from limpetshore.state.store import MUST_NOT_EXIST, ObjectStore, StoredObject

logger = Logger(__name__)

CHECK_PERIOD_S = 1.0
WRITE_PERIOD_S = 2.0
REREAD_PERIOD_S = 5.0
DEAD_MEMBER_RETENTION_S = 5.0
DEAD_RECORD_RETENTION_S = 600


class RosterKeeper:
    """Write the roster when members change, as the node of the first rank.

    Two nodes may take themselves for the first one for a while; a conditional
    write then fails, and the roster that was read names the other one.
    """

    def __init__(self, store: ObjectStore, fleet: FleetState) -> None:
        """Start without knowing the stored roster."""
        self.store = store
        self.fleet = fleet
        self.ranking = fleet.ranking
        self.version: int | None = None
        self.stored_keys: frozenset[MemberKey] = frozenset()
        self.reread_at: float = 0
        self.write_at: float = 0

    async def run(self) -> None:
        """Check the roster periodically, until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            if self.fleet.table.is_joining or self.ranking.rank():
                self.version = None
                continue
            self.remove_dead_records()
            try:
                await self.keep()
            except StoreError as error:
                logger.info('roster not written: {0}', error)
                self.version = None

    async def keep(self) -> None:
        """Read the roster from time to time and write it if it differs."""
        now = clock.now()
        if self.version is None or now >= self.reread_at:
            await self.read()
        members = select_members(self.fleet)
        keys = summarize_roster(members)
        if keys == self.stored_keys or now < self.write_at:
            return
        self.write_at = now + WRITE_PERIOD_S
        self.version = await self.store.put(
            ROSTER_KIND, CURRENT_NAME, encode_roster(members), self.version
        )
        self.stored_keys = keys
        logger.info(
            'roster written',
            extra={'version': self.version, 'members': len(members)},
        )

    async def read(self) -> None:
        """Read the roster, which another node may have changed."""
        is_known = self.version is not None
        stored = await self.store.get(
            ROSTER_KIND, CURRENT_NAME, allow_stale=is_known
        )
        self.reread_at = clock.now() + REREAD_PERIOD_S
        if stored is None:
            self.version = self.version or MUST_NOT_EXIST
        elif not is_known or stored.version > self.version:
            self.apply(stored)

    def apply(self, stored: StoredObject) -> None:
        """Take over a version of the roster and the members it names."""
        self.version = stored.version
        merge_roster(self.fleet, stored)
        try:
            roster = decode_roster(stored.content or b'')
        except ValueError:
            self.stored_keys = frozenset()
            return
        self.stored_keys = summarize_roster(roster.members)

    def remove_dead_records(self) -> None:
        """Mark nodes that have been dead for long as having left."""
        table = self.fleet.table
        deadline = clock.now() - DEAD_RECORD_RETENTION_S
        for state in table.states():
            since = table.find_status_start(state.name, Status.DEAD)
            if since is not None and since < deadline:
                table.mark(state.name, Status.LEFT)
                self.fleet.disseminate(state.name)


def select_members(fleet: FleetState) -> list[NodeState]:
    """Return the nodes to name in the roster: all but left and dead ones."""
    table = fleet.table
    deadline = clock.now() - DEAD_MEMBER_RETENTION_S
    members = []
    for state in table.list_latest_by_address():
        dead_since = table.find_status_start(state.name, Status.DEAD)
        is_dead = dead_since is not None and dead_since < deadline
        if state.status != Status.LEFT and not is_dead:
            members.append(state)
    return members
