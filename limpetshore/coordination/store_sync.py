"""Synchronize with the store, record this node, and repair the ledger."""

import random

import anyio
import msgspec
from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.fleet import (
    CURRENT_NAME,
    LEDGER_KIND,
    NODE_KIND,
    POLICY_KIND,
    FleetState,
)
from limpetshore.coordination.gossip import Gossip
from limpetshore.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryError,
    StoreUnavailableError,
)
from limpetshore.protocol.messages import MAX_STORE_AGE_S, Document, NodeState
from limpetshore.settings import FleetSection
from limpetshore.state.ledger import (
    encode_ledger,
    reassign_shards,
    release_shards,
)
from limpetshore.state.members import ALIVE, Status, rank_by_rendezvous
from limpetshore.state.store import MUST_NOT_EXIST, ObjectStore, StoredObject

logger = Logger(__name__)

INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0  # also the pause of a node that is not a watcher
MAX_COUNTED_FAILURES = 8
JITTER_SHARE = 0.5
STORE_STALE_S = 10  # a node that is not a watcher then reads the store
REPAIR_PERIOD_S = 1.0
REPAIR_STAGGER_S = 3.0
DEAD_RECORD_RETENTION_S = 600
LEAVE_TIMEOUT_S = 2.0


class StoreSync:
    """Read and watch the store, and write node records and the ledger."""

    def __init__(
        self,
        store: ObjectStore,
        fleet: FleetState,
        gossip: Gossip,
        settings: FleetSection,
        watch_s: float,
        rng: random.Random,
    ) -> None:
        """Start with nothing read; a watch waits `watch_s` for a change."""
        self.store = store
        self.fleet = fleet
        self.gossip = gossip
        self.settings = settings
        self.watch_s = watch_s
        self.rng = rng
        self.revision: int | None = None
        self.repair_due_since: float | None = None
        self.own_record_version = MUST_NOT_EXIST
        self.needs_record_update = False
        self.is_unavailable = False
        self.has_read_members = False
        self.failures = 0
        self.previous_state: NodeState | None = None

    @property
    def is_joining(self) -> bool:
        """Tell whether this node has not recorded itself yet."""
        return self.fleet.table.is_joining

    async def run(self) -> None:
        """Join, then watch the store while a watcher, until cancelled."""
        await self.read_at_start()
        while True:
            try:
                await self.sync_once()
                self.mark_available()
            except StoreHistoryError as error:
                logger.info(
                    'reading all objects of the store again: {0}', error
                )
                self.revision = None
            except StoreError as error:
                self.mark_unavailable(error)
                self.revision = None
                await self.back_off()

    def mark_available(self) -> None:
        """Reset the backoff, and log once that the store answers again."""
        self.failures = 0
        if self.is_unavailable:
            self.is_unavailable = False
            logger.notice('the store answers again')

    def mark_unavailable(self, error: StoreError) -> None:
        """Log once that the store fails, and how old its confirmation is."""
        if not self.is_unavailable:
            self.is_unavailable = True
            age_s = min(
                MAX_STORE_AGE_S, round(self.fleet.fencing.store_age_s, 3)
            )
            logger.warning(
                'the store is unavailable: {0}',
                error,
                extra={'last_word_s_ago': age_s},
            )

    async def back_off(self) -> None:
        """Wait before the next call, with exponential backoff and jitter."""
        backoff_s = INITIAL_PAUSE_S * 2**self.failures
        self.failures = min(MAX_COUNTED_FAILURES, self.failures + 1)
        await anyio.sleep(self.jitter(min(MAX_PAUSE_S, backoff_s)))

    def jitter(self, seconds: float) -> float:
        """Vary a period at random, so that nodes do not act simultaneously."""
        return seconds * self.rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    async def read_at_start(self) -> None:
        """Read once at the start; without the store, peers supply documents."""
        try:
            await self.read_all_objects()
        except StoreError as error:
            logger.warning(
                'store not read at start, relying on peers: {0}', error
            )

    async def sync_once(self) -> None:
        """Join or update the node record if needed, then watch the store once.

        A node that is not a watcher sleeps instead, unless it is stale.
        """
        if self.fleet.table.is_joining:
            await self.join()
            self.revision = None  # other nodes may have joined since then
            await self.read_all_objects()
            await self.gossip.fetch_members()
        elif self.needs_record_update:
            await self.write_own_record()
        is_stale = self.fleet.fencing.store_age_s > STORE_STALE_S
        if not self.is_watcher() and not is_stale:
            self.revision = None
            await anyio.sleep(self.jitter(MAX_PAUSE_S))
            return
        if self.revision is None:
            await self.read_all_objects()
        asked_at = clock.now()
        changes = await self.store.watch(self.revision, self.watch_s)
        for changed in changes.changed:
            self.apply_object(changed)
        self.revision = changes.revision
        self.fleet.fencing.confirm_store(clock.now() - asked_at)

    async def read_all_objects(self) -> None:
        """Read all documents and node records."""
        asked_at = clock.now()
        for kind in (POLICY_KIND, LEDGER_KIND, NODE_KIND):
            changes = await self.store.list_objects(kind)
            for stored in changes.changed:
                self.apply_object(stored)
            if self.revision is None:
                self.revision = changes.revision
        self.fleet.fencing.confirm_store(clock.now() - asked_at)
        self.has_read_members = not self.is_joining

    def apply_object(self, stored: StoredObject) -> None:
        """Apply one object of the store by its kind."""
        if stored.kind == NODE_KIND:
            self.apply_node_record(stored)
        elif stored.kind in {POLICY_KIND, LEDGER_KIND} and stored.content:
            document = Document(stored.version, stored.content)
            self.gossip.adopt(stored.kind, document)

    def apply_node_record(self, stored: StoredObject) -> None:
        """Merge the record of a node; a deleted one means that it has left."""
        if stored.content is None:
            self.fleet.table.mark(stored.name, Status.LEFT)
            return
        try:
            state = msgspec.json.decode(stored.content, type=NodeState)
        except msgspec.MsgspecError as error:
            self.fleet.metrics.bad_input.labels(NODE_KIND).inc()
            logger.error(
                'ignored the invalid record of node {0}: {1}',
                stored.name,
                error,
            )
            return
        self.fleet.merge(state)

    async def join(self) -> None:
        """Write the record of this node with the highest incarnation yet."""
        table = self.fleet.table
        name = table.own_name
        stored = await self.store.get(NODE_KIND, name)
        if stored is not None:
            self.apply_node_record(stored)
            self.previous_state = read_previous_state(stored)
        expected_version = stored.version if stored else MUST_NOT_EXIST
        content = msgspec.json.encode(table.own)
        self.own_record_version = await self.store.put(
            NODE_KIND, name, content, expected_version
        )
        table.is_joining = False
        self.fleet.local_shards.incarnation = table.own.incarnation
        logger.info(
            'joined the fleet', extra={'incarnation': table.own.incarnation}
        )

    async def write_own_record(self) -> None:
        """Write the current record of this node for nodes that join later."""
        self.needs_record_update = False
        table = self.fleet.table
        content = msgspec.json.encode(table.own)
        try:
            self.own_record_version = await self.store.put(
                NODE_KIND,
                table.own_name,
                content,
                self.own_record_version,
            )
        except StoreConflictError as error:
            logger.warning('own node record not written: {0}', error)

    def is_watcher(self) -> bool:
        """Tell whether this node is a watcher of its availability zone."""
        table = self.fleet.table
        same_zone = [
            state.name
            for state in table.states()
            if state.zone == table.own.zone and state.status in ALIVE
        ]
        chosen = rank_by_rendezvous('watch', same_zone)[
            : self.settings.watchers_per_zone
        ]
        return table.own_name in chosen

    async def run_ledger_repair(self) -> None:
        """Repair the ledger whenever it is due, until cancelled."""
        while True:
            await anyio.sleep(REPAIR_PERIOD_S)
            try:
                await self.repair_ledger()
            except StoreError as error:
                logger.info('ledger not written, reading it again: {0}', error)
                await self.reread_ledger()

    async def repair_ledger(self) -> None:
        """Replace shard holders that are gone, in the order of repair ranks.

        Each node of a lower rank has `REPAIR_STAGGER_S` to do so first.
        """
        fencing = self.fleet.fencing
        is_current = fencing.store_age_s <= self.settings.fence_s
        if not is_current or not self.is_watcher():
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
            self.repair_due_since = None
            await self.remove_dead_records()
            return
        if self.repair_due_since is None:
            self.repair_due_since = clock.now()
        waited_s = clock.now() - self.repair_due_since
        if waited_s < self.repair_rank() * REPAIR_STAGGER_S:
            return
        await self.write_ledger(encode_ledger(planned), current.version)

    async def write_ledger(self, content: bytes, expected_version: int) -> None:
        """Replace the expected version of the ledger, and adopt it here."""
        version = await self.store.put(
            LEDGER_KIND, CURRENT_NAME, content, expected_version
        )
        self.gossip.adopt(LEDGER_KIND, Document(version, content))
        self.repair_due_since = None
        logger.info('ledger written', extra={'version': version})

    def repair_rank(self) -> int:
        """Return the place of this node in the order of repair, 0 for first."""
        table = self.fleet.table
        candidates = [
            state.name for state in table.states() if state.status in ALIVE
        ]
        return rank_by_rendezvous('duty', candidates).index(table.own_name)

    async def reread_ledger(self) -> None:
        """Read the ledger after a failed write or one without an answer."""
        try:
            stored = await self.store.get(LEDGER_KIND, CURRENT_NAME)
        except StoreError:
            return
        if stored:
            self.apply_object(stored)

    async def remove_dead_records(self) -> None:
        """Remove nodes dead for long, if this node is the first to repair."""
        if self.repair_rank():
            return
        table = self.fleet.table
        for state in table.states():
            since = table.find_status_start(state.name, Status.DEAD)
            if (
                since is not None
                and clock.now() - since > DEAD_RECORD_RETENTION_S
            ):
                await self.remove_node(state.name)

    async def remove_node(self, name: str) -> None:
        """Delete the record of a node and tell peers that the node has left."""
        stored = await self.store.get(NODE_KIND, name)
        if stored is not None:
            await self.store.delete(NODE_KIND, name, stored.version)
        if self.fleet.table.mark(name, Status.LEFT):
            self.fleet.disseminate(name)

    async def leave(self) -> None:
        """Release the shards and record that this node left, if possible."""
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self.write_departure()
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.warning('store not updated before leaving: {0}', error)

    async def write_departure(self) -> None:
        """Write a ledger without this node and its record as having left."""
        name = self.fleet.table.own_name
        current = self.fleet.local_shards.ledger
        released = release_shards(current.ledger, name)
        if released != current.ledger:
            await self.write_ledger(encode_ledger(released), current.version)
        await self.write_own_record()


def read_previous_state(stored: StoredObject) -> NodeState | None:
    """Return the recorded state if the node was ready or had left."""
    try:
        state = msgspec.json.decode(stored.content or b'', type=NodeState)
    except msgspec.MsgspecError:
        return None
    return state if state.status in {Status.READY, Status.LEFT} else None
