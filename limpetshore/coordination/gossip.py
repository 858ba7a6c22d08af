"""Exchange state with a few peers, and detect failed nodes (SWIM)."""

import random
from typing import Any

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.fleet import LEDGER_KIND, POLICY_KIND, FleetState
from limpetshore.decisions.conserved_budgets import ConservedBudgets
from limpetshore.decisions.watching import (
    list_children,
    list_sources,
    plan_reading,
)
from limpetshore.errors import PeerError
from limpetshore.protocol.control import ControlClient, ControlHandler
from limpetshore.protocol.messages import (
    Digest,
    Document,
    FetchRequest,
    GossipMessage,
    GrantReply,
    GrantRequest,
    LendReply,
    LendRequest,
    NodeState,
)
from limpetshore.settings import FleetSection
from limpetshore.state.members import ALIVE, Status, rank_by_rendezvous

logger = Logger(__name__)

EXCHANGE_TIMEOUT_S = 0.8
FETCH_TIMEOUT_S = 2.0
JOIN_TIMEOUT_S = 0.6
JITTER_SHARE = 0.3
FULL_EXCHANGE_DELAY_S = 3  # shorter differences are changes in transit
PUSH_FANOUT = 3
MAX_INITIAL_EXCHANGES = 3


class Gossip(ControlHandler):
    """Exchange state with peers, one at a time, and answer their requests."""

    def __init__(
        self,
        fleet: FleetState,
        client: ControlClient,
        settings: FleetSection,
        rng: random.Random,
    ) -> None:
        """Start with the seeds as the only peers."""
        self.fleet = fleet
        self.client = client
        self.settings = settings
        self.plan = plan_reading(settings.reading_bound_s)
        self.rng = rng
        self.ranking = fleet.ranking
        self.peer_answered_at = float('-inf')
        self.members_differ_since: float | None = None
        self.peers: list[str] = []
        self.peers_version = -1
        self.push_requested = anyio.Event()
        self.newer_peers: list[str] = []
        self.budgets: ConservedBudgets | None = None

    async def run(self) -> None:
        """Exchange with one peer after the other until cancelled."""
        peer_index = 0
        while True:
            peers = self.find_peers()
            if peers:
                await self.exchange_with(peers[peer_index % len(peers)])
            peer_index += 1
            self.declare_dead()
            period_s = self.settings.gossip_period_s
            jitter = self.rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            await anyio.sleep(period_s * jitter)

    @property
    def peer_age_s(self) -> float:
        """Return the seconds since another node was last heard of."""
        return clock.now() - self.peer_answered_at

    async def run_refreshes(self) -> None:
        """Ask other nodes once the last read of the store that is known is old.

        Most nodes learn of a later one from the answers to their calls.
        """
        while True:
            # It cannot be that old any sooner.
            store_age_s = self.fleet.fencing.store_age_s
            remaining_s = self.plan.refresh_s - store_age_s
            if remaining_s < 0:
                await self.refresh()
            jitter = self.rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            period_s = self.plan.refresh_period_s * jitter
            await anyio.sleep(max(period_s, remaining_s))

    async def refresh(self) -> None:
        """Exchange with the nodes that may have read the store later."""
        store_age_s = self.fleet.fencing.store_age_s
        ranks = list_sources(
            self.ranking.rank(),
            self.settings.watchers,
            is_takeover_due=store_age_s > self.plan.takeover_s,
            rng=self.rng,
        )
        found = [self.ranking.find(rank) for rank in ranks]
        async with anyio.create_task_group() as tasks:
            for node in found:
                if node is not None:
                    tasks.start_soon(self.exchange_with, node.control)

    async def run_pushes(self) -> None:
        """Exchange with some peers at each requested push until cancelled.

        Peers known to have newer documents come first.
        """
        while True:
            await self.push_requested.wait()
            self.push_requested = anyio.Event()
            while self.newer_peers:
                await self.exchange_with(self.newer_peers.pop())
            async with anyio.create_task_group() as tasks:
                for address in self.choose_push_targets():
                    tasks.start_soon(self.exchange_with, address)

    def choose_push_targets(self) -> list[str]:
        """Return the peers to push to: own relay children and some others.

        They are sorted, since the order of a set differs between processes.
        """
        peers = self.find_peers()
        chosen = set(self.rng.sample(peers, min(PUSH_FANOUT, len(peers))))
        rank = self.ranking.rank()
        for child_rank in list_children(rank, self.settings.watchers):
            child = self.ranking.find(child_rank)
            if child is not None:
                chosen.add(child.control)
        return sorted(chosen)

    def find_peers(self) -> list[str]:
        """Return the addresses of the peers, chosen when members change."""
        version = self.fleet.table.version
        if version != self.peers_version:
            self.peers_version = version
            self.peers = self.choose_peers()
        return self.peers

    def choose_peers(self) -> list[str]:
        """Choose the peers by the current member table.

        Up to half are the next nodes in a ring of the nodes of the same
        availability zone, so that every node of a zone is the peer of another.
        The others are chosen by rendezvous hashing among all remaining nodes.
        """
        own = self.fleet.table.own
        others = sorted(
            state
            for state in self.fleet.table.states()
            if state.status != Status.LEFT and state.name != own.name
        )
        if not others:
            return [seed for seed in self.settings.seeds if seed != own.control]
        same_zone = [state for state in others if state.zone == own.zone]
        chosen = select_ring_successors(
            same_zone, own.name, max(1, self.settings.peers // 2)
        )
        remaining = [state for state in others if state not in chosen]
        remaining_count = self.settings.peers - len(chosen)
        chosen += rank_states(own.name, remaining)[: max(0, remaining_count)]
        return [state.control for state in chosen]

    def find_by_control_address(self, address: str) -> NodeState | None:
        """Return the node with a control address, None if there is none."""
        for state in self.fleet.table.states():
            if state.control == address:
                return state
        return None

    async def exchange_with(self, address: str) -> bool:
        """Exchange with one peer; return whether it answered."""
        sent_at = clock.now()
        peer = self.find_by_control_address(address)
        changes = self.fleet.take_changes()
        if peer and peer.status not in ALIVE:
            changes.append(peer)
        request = GossipMessage(self.fleet.digest(), changes)
        try:
            reply = await self.client.call(
                address,
                'Exchange',
                request,
                GossipMessage,
                EXCHANGE_TIMEOUT_S,
            )
        except PeerError as error:
            logger.debug('exchange with {0} failed: {1}', address, error)
            self.suspect(peer)
            return False
        self.peer_answered_at = clock.now()
        await self.process_reply(reply, address)
        self.fleet.confirm(reply.digest, clock.now() - sent_at)
        return True

    async def process_reply(self, reply: GossipMessage, address: str) -> None:
        """Merge the reply of a peer and fetch documents newer than here."""
        for state in reply.changes:
            self.fleet.merge(state)
        if self.fleet.is_behind(reply.digest):
            await self.fetch_newer(address, reply.digest)
        if (
            self.measure_members_difference_s(reply.digest)
            >= FULL_EXCHANGE_DELAY_S
        ):
            self.members_differ_since = None
            await self.exchange_full(address)

    def measure_members_difference_s(self, digest: Digest) -> float:
        """Return for how many seconds no peer has had the same member table.

        Changes in transit make tables differ for a moment; only a lasting
        difference justifies sending whole tables.
        """
        if digest.members_hash == self.fleet.table.members_hash:
            self.members_differ_since = None
            return 0
        if self.members_differ_since is None:
            self.members_differ_since = clock.now()
        return clock.now() - self.members_differ_since

    async def fetch_members(self) -> bool:
        """Ask a few nodes for all members; return whether one answered.

        The first answer is enough.
        """
        answered = False

        async def ask(address: str) -> None:  # noqa: WPS430
            nonlocal answered  # noqa: WPS420
            if await self.exchange_full(address, JOIN_TIMEOUT_S):
                answered = True
                tasks.cancel_scope.cancel()

        addresses = self.list_known_addresses()
        count = min(MAX_INITIAL_EXCHANGES, len(addresses))
        async with anyio.create_task_group() as tasks:
            for address in self.rng.sample(addresses, count):
                tasks.start_soon(ask, address)
        return answered

    def list_known_addresses(self) -> list[str]:
        """Return the addresses of the live members, or else of the seeds."""
        own = self.fleet.table.own
        found = [
            state.control
            for state in self.fleet.table.states()
            if state.status in ALIVE and state.name != own.name
        ]
        return found or [
            seed for seed in self.settings.seeds if seed != own.control
        ]

    async def exchange_full(
        self, address: str, timeout_s: float = FETCH_TIMEOUT_S
    ) -> bool:
        """Exchange whole member tables; return whether the peer answered."""
        request = GossipMessage(
            self.fleet.digest(),
            self.fleet.table.states(),
            wants_full_state=True,
        )
        sent_at = clock.now()
        try:
            reply = await self.client.call(
                address,
                'Exchange',
                request,
                GossipMessage,
                timeout_s,
            )
        except PeerError as error:
            logger.debug('full exchange with {0} failed: {1}', address, error)
            return False
        waited_s = clock.now() - sent_at
        self.peer_answered_at = clock.now()
        for state in reply.changes:
            self.fleet.merge(state)
        await self.fetch_newer(address, reply.digest)
        self.fleet.confirm(reply.digest, waited_s)
        return True

    async def fetch_newer(self, address: str, digest: Digest) -> None:
        """Fetch each document that a peer has in a newer version."""
        offered = {
            POLICY_KIND: digest.policy_version,
            LEDGER_KIND: digest.ledger_version,
        }
        for name, version in offered.items():
            if version > self.fleet.version(name):
                await self.fetch_from(address, name)

    async def fetch_from(self, address: str, name: str) -> None:
        """Fetch one document from a peer and apply it if it is newer."""
        request = FetchRequest(name, self.fleet.version(name))
        try:
            document = await self.client.call(
                address,
                'Fetch',
                request,
                Document,
                FETCH_TIMEOUT_S,
            )
        except PeerError as error:
            logger.debug('{0} not fetched from {1}: {2}', name, address, error)
            return
        self.adopt(name, document, address)

    def adopt(self, name: str, document: Document, source: str = '') -> None:
        """Apply a document and push it to peers if it is newer.

        `source` is the address of the node that sent it, if one did.
        """
        if self.fleet.adopt(name, document, source):
            self.request_push()

    def request_push(self) -> None:
        """Wake the push task, which exchanges with some peers."""
        self.push_requested.set()

    def suspect(self, peer: NodeState | None) -> None:
        """Mark a peer that did not answer an exchange as suspect."""
        if peer is None or peer.status not in ALIVE:
            return
        if self.fleet.table.mark(peer.name, Status.SUSPECT):
            logger.notice(
                '{0} did not answer an exchange and is suspected', peer.name
            )
            self.fleet.disseminate(peer.name)

    def declare_dead(self) -> None:
        """Mark nodes as dead that were suspect for `suspicion_s`."""
        table = self.fleet.table
        deadline = clock.now() - self.settings.suspicion_s
        for state in table.states():
            since = table.find_status_start(state.name, Status.SUSPECT)
            if since is not None and since <= deadline:
                table.mark(state.name, Status.DEAD)
                self.fleet.disseminate(state.name)
                logger.warning(
                    '{0} was suspected for too long and is considered dead',
                    state.name,
                )

    async def exchange(self, request: GossipMessage) -> GossipMessage:
        """Merge the changes of a peer and answer with those of this node."""
        self.peer_answered_at = clock.now()
        for state in request.changes:
            self.fleet.merge(state)
        digest = request.digest
        known = self.fleet.table.get(digest.sender)
        if self.fleet.is_behind(digest) and known:
            self.newer_peers.append(known.control)
            self.request_push()
        changes = self.fleet.take_changes()
        if request.wants_full_state:
            changes = self.fleet.table.states()
        elif known and known.status not in ALIVE:
            changes.append(known)
        return GossipMessage(self.fleet.digest(), changes)

    async def fetch(self, request: FetchRequest) -> Document:
        """Return a document if newer than the peer's, otherwise version 0."""
        document = self.fleet.documents.get(request.name)
        if document is None or document.version <= request.known_version:
            return Document(0, b'')
        return document

    async def grant(self, request: GrantRequest) -> GrantReply:
        """Grant tokens from the shards that this node holds."""
        return self.fleet.local_shards.grant(request)

    async def lend(self, request: LendRequest) -> LendReply:
        """Lend tokens of this node to another."""
        if self.budgets is None:
            return LendReply(0)
        return self.budgets.lend(request)


def select_ring_successors(
    states: list[NodeState],
    name: str,
    count: int,
) -> list[NodeState]:
    """Return the states that follow a name in the ring of sorted names."""
    after: list[Any] = [state for state in states if state.name > name]
    before = [state for state in states if state.name < name]
    return [*after, *before][:count]


def rank_states(key: str, states: list[NodeState]) -> list[NodeState]:
    """Sort nodes by their rendezvous hash for a key, the highest first."""
    by_name = {state.name: state for state in states}
    return [by_name[name] for name in rank_by_rendezvous(key, by_name)]
