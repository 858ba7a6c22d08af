"""Join the fleet: find members in the roster, and learn the rest from them."""

import random

import anyio
import msgspec
from logbook import Logger

from limpetshore.coordination.fleet import (
    CURRENT_NAME,
    ROSTER_KIND,
    FleetState,
)
from limpetshore.coordination.gossip import Gossip
from limpetshore.errors import StoreConflictError, StoreError
from limpetshore.state.roster import decode_roster, encode_roster
from limpetshore.state.store import MUST_NOT_EXIST, ObjectStore, StoredObject

logger = Logger(__name__)

RETRY_PAUSE_S = 0.25
JITTER_SHARE = 0.5
# Where no member of the roster answers so often in a row, all are down.
MAX_SILENT_ATTEMPTS = 6
ATTEMPTS_PER_READ = 3
# All nodes of a new fleet start at once; few of them create the roster. The
# probability grows from attempt to attempt.
INITIAL_CREATION_PROBABILITY = 0.0015
CREATION_GROWTH = 3


class Joining:
    """Learn the members of the fleet after a start.

    A stale read of the roster names the members, one of these tells the rest.
    A start thus costs the store a tenth of a call in most cases.
    """

    def __init__(
        self,
        store: ObjectStore,
        fleet: FleetState,
        gossip: Gossip,
        rng: random.Random,
    ) -> None:
        """Prepare; `run` joins."""
        self.store = store
        self.fleet = fleet
        self.gossip = gossip
        self.rng = rng
        self.has_roster = False
        self.attempt = 0
        self.silent_attempts = 0

    async def run(self) -> None:
        """Try to join until it succeeds."""
        while not await self.try_to_join():
            self.attempt += 1
            jitter = self.rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            await anyio.sleep(RETRY_PAUSE_S * jitter)
        table = self.fleet.table
        table.is_joining = False
        self.fleet.local_shards.incarnation = table.own.incarnation
        self.fleet.disseminate(table.own_name)
        self.gossip.request_push()
        logger.info(
            'joined the fleet',
            extra={
                'incarnation': table.own.incarnation,
                'members': len(table.records),
                'attempts': self.attempt + 1,
            },
        )

    async def try_to_join(self) -> bool:
        """Read the roster if needed and ask members; return if it is done."""
        try:
            is_created = await self.read_roster()
        except StoreError as error:
            logger.warning('roster not read, relying on peers: {0}', error)
            is_created = False
        if is_created or await self.gossip.fetch_members():
            return True
        if self.has_roster:
            self.silent_attempts += 1
        return self.silent_attempts >= MAX_SILENT_ATTEMPTS

    async def read_roster(self) -> bool:
        """Read the roster; return True if this node has created it."""
        if self.has_roster and self.attempt % ATTEMPTS_PER_READ:
            return False
        # A stale read may miss what was written seconds ago, hence the
        # current state is read where the members found do not answer.
        stored = await self.store.get(
            ROSTER_KIND, CURRENT_NAME, allow_stale=not self.silent_attempts
        )
        if stored is None:
            return self.is_creator() and await self.create_roster()
        self.apply(stored)
        return False

    def apply(self, stored: StoredObject) -> None:
        """Merge the members of the roster into the table."""
        self.has_roster = True
        merge_roster(self.fleet, stored)

    def is_creator(self) -> bool:
        """Draw whether this node creates the roster in this attempt."""
        growth = CREATION_GROWTH**self.attempt
        return self.rng.random() < INITIAL_CREATION_PROBABILITY * growth

    async def create_roster(self) -> bool:
        """Create the roster; return False if another node was faster."""
        content = encode_roster([self.fleet.table.own])
        try:
            await self.store.put(
                ROSTER_KIND, CURRENT_NAME, content, MUST_NOT_EXIST
            )
        except StoreConflictError:
            stored = await self.store.get(ROSTER_KIND, CURRENT_NAME)
            if stored is not None:
                self.apply(stored)
            return False
        return True


def merge_roster(fleet: FleetState, stored: StoredObject) -> None:
    """Merge the valid members of a stored roster; log and count the others."""
    try:
        roster = decode_roster(stored.content or b'')
    except msgspec.MsgspecError as error:
        fleet.metrics.bad_input.labels(ROSTER_KIND).inc()
        logger.error('ignored an invalid roster: {0}', error)
        return
    if roster.invalid_count:
        fleet.metrics.bad_input.labels(ROSTER_KIND).inc(roster.invalid_count)
        logger.error(
            'ignored {0} invalid entries of the roster', roster.invalid_count
        )
    for state in roster.members:
        fleet.table.merge(state)
