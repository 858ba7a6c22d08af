"""Reassign the shards of absent nodes in the ledger."""

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.fleet import (
    CURRENT_NAME,
    LEDGER_KIND,
    FleetState,
)
from limpetshore.coordination.gossip import Gossip
from limpetshore.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from limpetshore.protocol.messages import Document
from limpetshore.settings import FleetSection
from limpetshore.state.ledger import (
    encode_ledger,
    must_wait_for_members,
    reassign_shards,
    release_shards,
)
from limpetshore.state.store import ObjectStore

logger = Logger(__name__)

REPAIR_PERIOD_S = 1.0
REPAIR_STAGGER_S = 3.0
# Of the first assignment, for nodes whose server is not ready yet.
MEMBERS_WAIT_S = 3.0
RELEASE_TIMEOUT_S = 2.0


class LedgerRepair:
    """Repair the ledger where budgets are granted by the holders of shards."""

    def __init__(
        self,
        store: ObjectStore,
        fleet: FleetState,
        gossip: Gossip,
        settings: FleetSection,
    ) -> None:
        """Start with no repair due."""
        self.store = store
        self.fleet = fleet
        self.gossip = gossip
        self.settings = settings
        self.ranking = fleet.ranking
        self.due_since: float | None = None

    async def run(self) -> None:
        """Repair the ledger whenever it is due, until cancelled."""
        while True:
            await anyio.sleep(REPAIR_PERIOD_S)
            try:
                await self.repair()
            except StoreError as error:
                logger.info('ledger not written, reading it again: {0}', error)
                await self.reread()

    async def repair(self) -> None:
        """Replace shard holders that are gone, in the order of ranks.

        Each node of a lower rank has `REPAIR_STAGGER_S` to do so first.
        """
        fencing = self.fleet.fencing
        rank = self.ranking.rank()
        is_current = fencing.store_age_s <= self.settings.fence_s
        if not is_current or rank >= self.settings.watchers:
            return
        if not self.fleet.table.sees_majority():
            return
        current = self.fleet.local_shards.ledger
        planned = reassign_shards(
            current.ledger,
            self.fleet.table,
            self.settings.takeover_s,
        )
        if planned == current.ledger:
            self.due_since = None
            return
        if self.due_since is None:
            self.due_since = clock.now()
        due_for_s = clock.now() - self.due_since
        if due_for_s < MEMBERS_WAIT_S and must_wait_for_members(
            current.ledger, self.fleet.table
        ):
            return
        if due_for_s >= rank * REPAIR_STAGGER_S:
            await self.write(encode_ledger(planned), current.version)

    async def write(self, content: bytes, expected_version: int) -> None:
        """Replace the expected version of the ledger, and adopt it here."""
        version = await self.store.put(
            LEDGER_KIND, CURRENT_NAME, content, expected_version
        )
        self.gossip.adopt(LEDGER_KIND, Document(version, content))
        self.due_since = None
        logger.info('ledger written', extra={'version': version})

    async def reread(self) -> None:
        """Read the ledger after a failed write or one without an answer."""
        try:
            stored = await self.store.get(LEDGER_KIND, CURRENT_NAME)
        except StoreError:
            return
        if stored:
            document = Document(stored.version, stored.content)
            self.gossip.adopt(LEDGER_KIND, document)

    async def release(self) -> None:
        """Release the shards of this node before it leaves, if possible."""
        current = self.fleet.local_shards.ledger
        name = self.fleet.table.own_name
        released = release_shards(current.ledger, name)
        if released == current.ledger:
            return
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            try:
                await self.write(encode_ledger(released), current.version)
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.warning('shards not released before leaving: {0}', error)
