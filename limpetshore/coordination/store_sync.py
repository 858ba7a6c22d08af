"""Follow the documents in the store, for the whole fleet or in its absence."""

import random

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.fleet import (
    LEDGER_KIND,
    POLICY_KIND,
    FleetState,
)
from limpetshore.coordination.gossip import Gossip
from limpetshore.coordination.joining import Joining
from limpetshore.decisions.watching import (
    SUBSTITUTION_S,
    find_reading_age,
    is_substitute,
    plan_reading,
)
from limpetshore.errors import StoreError, StoreHistoryError
from limpetshore.protocol.messages import MAX_STORE_AGE_S, Document
from limpetshore.settings import GRANTED_BUDGETS, FleetSection
from limpetshore.state.store import ObjectStore, StoredObject

logger = Logger(__name__)

INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0
MAX_COUNTED_FAILURES = 8
JITTER_SHARE = 0.5
# Of a node that does not read the store, until it checks whether it has to.
MIN_IDLE_PAUSE_S = 0.02
# Longest pauses, as shares of the time in which a change must be active.
IDLE_PAUSE_SHARE = 0.2
BACKOFF_SHARE = 0.4


class StoreSync:
    """Read and watch the documents in the store.

    A few nodes of the fleet do so all the time, the others when these fail.
    """

    def __init__(
        self,
        store: ObjectStore,
        fleet: FleetState,
        gossip: Gossip,
        settings: FleetSection,
        watch_s: float,
        rng: random.Random,
    ) -> None:
        """Start with nothing read.

        A watch waits `watch_s` for a change, less if changes must be active
        soon.
        """
        self.store = store
        self.fleet = fleet
        self.gossip = gossip
        self.settings = settings
        self.plan = plan_reading(settings.reading_bound_s)
        self.watch_s = min(watch_s, self.plan.watch_s)
        self.rng = rng
        self.ranking = fleet.ranking
        self.joining = Joining(store, fleet, gossip, rng)
        self.kinds = [POLICY_KIND]
        if settings.budgets == GRANTED_BUDGETS:
            self.kinds.append(LEDGER_KIND)
        self.revision: int | None = None
        self.is_unavailable = False
        self.failures = 0
        self.started_at = clock.now()
        self.substitutes_until = float('-inf')
        self.random_share = rng.random()

    async def run(self) -> None:
        """Join, then read the store while it falls to this node."""
        await self.joining.run()
        while True:
            try:
                await self.sync_once()
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
        longest_s = BACKOFF_SHARE * self.settings.reading_bound_s
        longest_s = min(MAX_PAUSE_S, longest_s)
        await anyio.sleep(self.jitter(min(longest_s, backoff_s)))

    def jitter(self, seconds: float) -> float:
        """Vary a period at random, so that nodes do not act simultaneously."""
        return seconds * self.rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    @property
    def known_age_s(self) -> float:
        """Return the age of the last read of the store that is known here.

        A node that has heard of none since its start lets the substitutes
        begin.
        """
        since_start_s = clock.now() - self.started_at
        return min(
            self.fleet.fencing.store_age_s,
            self.plan.takeover_s + since_start_s,
        )

    async def sync_once(self) -> None:
        """Read or watch the store once, or wait if others do that."""
        rank = self.ranking.rank()
        watchers = self.settings.watchers
        reading_age_s = find_reading_age(
            rank, watchers, self.plan, self.random_share
        )
        remaining_s = reading_age_s - self.known_age_s
        if remaining_s > 0 and clock.now() >= self.substitutes_until:
            self.revision = None
            await anyio.sleep(self.choose_pause_s(remaining_s))
            return
        if self.revision is None:
            await self.read_documents()
        else:
            await self.watch()
        self.mark_available()
        if remaining_s <= 0 and is_substitute(rank, watchers):
            self.substitutes_until = clock.now() + SUBSTITUTION_S

    def choose_pause_s(self, remaining_s: float) -> float:
        """Return how long the store need not be read by this node.

        It may have to be read earlier than in `remaining_s` if ranks change.
        """
        longest_s = IDLE_PAUSE_SHARE * self.settings.reading_bound_s
        return min(longest_s, max(MIN_IDLE_PAUSE_S, remaining_s))

    async def read_documents(self) -> None:
        """Read all documents."""
        asked_at = clock.now()
        for kind in self.kinds:
            changes = await self.store.list_objects(kind)
            for stored in changes.changed:
                self.apply_object(stored)
            if self.revision is None:
                self.revision = changes.revision
        self.fleet.fencing.confirm_store(clock.now() - asked_at)

    async def watch(self) -> None:
        """Wait for a change of the documents."""
        asked_at = clock.now()
        changes = await self.store.watch(self.revision, self.watch_s)
        for changed in changes.changed:
            self.apply_object(changed)
        self.revision = changes.revision
        self.fleet.fencing.confirm_store(clock.now() - asked_at)

    def apply_object(self, stored: StoredObject) -> None:
        """Adopt a document if it is newer than the known one."""
        if stored.kind in self.kinds and stored.content:
            document = Document(stored.version, stored.content)
            self.gossip.adopt(stored.kind, document)
