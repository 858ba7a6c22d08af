"""Follow the store, write what this node owes it, and mend the ledger."""

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

FIRST_RETRY_S = 0.2
RETRY_S = 1.0
MOST_FAILURES = 8
JITTER = 0.5
STALE_S = 10
DUTY_PERIOD_S = 1.0
DUTY_STAGGER_S = 3.0
FORGET_DEAD_S = 600
LEAVE_TIMEOUT_S = 2.0


class StoreSync:
    """Stand between this node and the store."""

    def __init__(
        self,
        store: ObjectStore,
        fleet: FleetState,
        gossip: Gossip,
        settings: FleetSection,
        watch_s: float,
        rng: random.Random,
    ) -> None:
        """Start with nothing read."""
        self.store = store
        self.fleet = fleet
        self.gossip = gossip
        self.settings = settings
        self.watch_s = watch_s
        self.rng = rng
        self.revision: int | None = None
        self.plan_wanted_since: float | None = None
        self.own_version = MUST_NOT_EXIST
        self.needs_record_update = False
        self.is_lost = False
        self.has_read_members = False
        self.failures = 0
        self.previous_state: NodeState | None = None

    @property
    def is_joining(self) -> bool:
        """Tell whether this node has not recorded itself yet."""
        return self.fleet.table.is_joining

    async def run(self) -> None:
        """Join, then watch while it is this node's turn, for ever."""
        await self.read_all()
        while True:
            try:
                await self.follow()
                self.note_reached()
            except StoreHistoryError as error:
                logger.info('reading anew: {0}', error)
                self.revision = None
            except StoreError as error:
                self.note_lost(error)
                self.revision = None
                await self.pause()

    def note_reached(self) -> None:
        """Log once that the store answers again."""
        self.failures = 0
        if self.is_lost:
            self.is_lost = False
            logger.notice('the store answers again')

    def note_lost(self, error: StoreError) -> None:
        """Log once that the store does not answer, and how old its word is."""
        if not self.is_lost:
            self.is_lost = True
            age_s = min(
                MAX_STORE_AGE_S, round(self.fleet.fencing.store_age_s, 3)
            )
            logger.warning(
                'the store is lost: {0}',
                error,
                extra={'last_word_s_ago': age_s},
            )

    async def pause(self) -> None:
        """Wait before the next call, longer the more have failed."""
        backoff_s = FIRST_RETRY_S * 2**self.failures
        self.failures = min(MOST_FAILURES, self.failures + 1)
        await anyio.sleep(self.jitter(min(RETRY_S, backoff_s)))

    def jitter(self, seconds: float) -> float:
        """Return about as many seconds, so that nodes do not act at once."""
        return seconds * self.rng.uniform(1 - JITTER, 1 + JITTER)

    async def read_all(self) -> None:
        """Read once at the start; peers help when the store is down."""
        try:
            await self.catch_up()
        except StoreError as error:
            logger.warning('store at start: {0}', error)

    async def follow(self) -> None:
        """Watch once, or look whether watching is this node's turn."""
        if self.fleet.table.is_joining:
            await self.join()
            self.revision = None  # others may have joined since it was read
            await self.catch_up()
            await self.gossip.fetch_members()
        elif self.needs_record_update:
            await self.record_own()
        is_stale = self.fleet.fencing.store_age_s > STALE_S
        if not self.is_watcher() and not is_stale:
            self.revision = None
            await anyio.sleep(self.jitter(RETRY_S))
            return
        if self.revision is None:
            await self.catch_up()
        asked_at = clock.now()
        changes = await self.store.watch(self.revision, self.watch_s)
        for changed in changes.changed:
            self.take(changed)
        self.revision = changes.revision
        self.fleet.fencing.confirm_store(clock.now() - asked_at)

    async def catch_up(self) -> None:
        """Read everything anew."""
        asked_at = clock.now()
        for kind in (POLICY_KIND, LEDGER_KIND, NODE_KIND):
            changes = await self.store.list_objects(kind)
            for stored in changes.changed:
                self.take(stored)
            if self.revision is None:
                self.revision = changes.revision
        self.fleet.fencing.confirm_store(clock.now() - asked_at)
        self.has_read_members = not self.is_joining

    def take(self, stored: StoredObject) -> None:
        """Take in one object of the store."""
        if stored.kind == NODE_KIND:
            self.take_node(stored)
        elif stored.kind in {POLICY_KIND, LEDGER_KIND} and stored.content:
            document = Document(stored.version, stored.content)
            self.gossip.adopt(stored.kind, document)

    def take_node(self, stored: StoredObject) -> None:
        """Take in the record of a node."""
        if stored.content is None:
            self.fleet.table.mark(stored.name, Status.LEFT)
            return
        try:
            state = msgspec.json.decode(stored.content, type=NodeState)
        except msgspec.MsgspecError as error:
            self.fleet.metrics.bad_input.labels(NODE_KIND).inc()
            logger.error('ignored node {0}: {1}', stored.name, error)
            return
        self.fleet.merge(state)

    async def join(self) -> None:
        """Record this node with an incarnation above all earlier ones."""
        table = self.fleet.table
        name = table.own_name
        stored = await self.store.get(NODE_KIND, name)
        if stored is not None:
            self.take_node(stored)
            self.previous_state = read_ready_state(stored)
        expected = stored.version if stored else MUST_NOT_EXIST
        content = msgspec.json.encode(table.own)
        self.own_version = await self.store.put(
            NODE_KIND, name, content, expected
        )
        table.is_joining = False
        self.fleet.local_shards.incarnation = table.own.incarnation
        logger.info('joined', extra={'incarnation': table.own.incarnation})

    async def record_own(self) -> None:
        """Record this node as it is now, for those who join later."""
        self.needs_record_update = False
        table = self.fleet.table
        content = msgspec.json.encode(table.own)
        try:
            self.own_version = await self.store.put(
                NODE_KIND,
                table.own_name,
                content,
                self.own_version,
            )
        except StoreConflictError as error:
            logger.warning('own record not written: {0}', error)

    def is_watcher(self) -> bool:
        """Tell whether this node is among those that watch for its zone."""
        table = self.fleet.table
        near = [
            state.name
            for state in table.states()
            if state.zone == table.own.zone and state.status in ALIVE
        ]
        chosen = rank_by_rendezvous('watch', near)[
            : self.settings.watchers_per_zone
        ]
        return table.own_name in chosen

    async def run_ledger_repair(self) -> None:
        """Mend the ledger whenever it is due, for ever."""
        while True:
            await anyio.sleep(DUTY_PERIOD_S)
            try:
                await self.mend_ledger()
            except StoreError as error:
                logger.info('ledger not written: {0}', error)
                await self.reread_ledger()

    async def mend_ledger(self) -> None:
        """Replace holders that are gone, after those whose turn is earlier."""
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
            self.plan_wanted_since = None
            await self.forget_dead()
            return
        if self.plan_wanted_since is None:
            self.plan_wanted_since = clock.now()
        waited_s = clock.now() - self.plan_wanted_since
        if waited_s < self.duty_turn() * DUTY_STAGGER_S:
            return
        await self.write_ledger(encode_ledger(planned), current.version)

    async def write_ledger(self, content: bytes, expected: int) -> None:
        """Write the ledger and put it in force here."""
        version = await self.store.put(
            LEDGER_KIND, CURRENT_NAME, content, expected
        )
        self.gossip.adopt(LEDGER_KIND, Document(version, content))
        self.plan_wanted_since = None
        logger.info('ledger written', extra={'version': version})

    def duty_turn(self) -> int:
        """Return this node's place in the order of who mends first."""
        table = self.fleet.table
        able = [state.name for state in table.states() if state.status in ALIVE]
        return rank_by_rendezvous('duty', able).index(table.own_name)

    async def reread_ledger(self) -> None:
        """Read the ledger after a write that failed or got no answer."""
        try:
            stored = await self.store.get(LEDGER_KIND, CURRENT_NAME)
        except StoreError:
            return
        if stored:
            self.take(stored)

    async def forget_dead(self) -> None:
        """Remove the record of a node that has been dead for long."""
        if self.duty_turn():
            return
        table = self.fleet.table
        for state in table.states():
            since = table.find_status_start(state.name, Status.DEAD)
            if since is not None and clock.now() - since > FORGET_DEAD_S:
                await self.remove(state.name)

    async def remove(self, name: str) -> None:
        """Delete the record of a node and say that it has left."""
        stored = await self.store.get(NODE_KIND, name)
        if stored is not None:
            await self.store.delete(NODE_KIND, name, stored.version)
        if self.fleet.table.mark(name, Status.LEFT):
            self.fleet.disseminate(name)

    async def leave(self) -> None:
        """Give up the shards and the record of this node, if possible."""
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self.give_up()
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.warning('left without telling the store: {0}', error)

    async def give_up(self) -> None:
        """Write what a leaving node owes the store."""
        name = self.fleet.table.own_name
        current = self.fleet.local_shards.ledger
        without = release_shards(current.ledger, name)
        if without != current.ledger:
            await self.write_ledger(encode_ledger(without), current.version)
        await self.record_own()


def read_ready_state(stored: StoredObject) -> NodeState | None:
    """Return the state in the record of a node, if it had a server."""
    try:
        state = msgspec.json.decode(stored.content or b'', type=NodeState)
    except msgspec.MsgspecError:
        return None
    return state if state.status in {Status.READY, Status.LEFT} else None
