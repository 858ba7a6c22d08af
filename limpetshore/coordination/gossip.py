"""Exchange state with a few peers, and notice who has gone silent."""

import random
from typing import Any

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.fleet import LEDGER_KIND, POLICY_KIND, FleetState
from limpetshore.decisions.conserved_budgets import ConservedBudgets
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
JITTER = 0.3
FULL_EXCHANGE_S = 3
PUSH_FANOUT = 3
GREETED = 3


class Gossip(ControlHandler):
    """Exchange state with peers, one task for the whole node."""

    def __init__(
        self,
        fleet: FleetState,
        client: ControlClient,
        settings: FleetSection,
        rng: random.Random,
    ) -> None:
        """Start without peers but the seeds."""
        self.fleet = fleet
        self.client = client
        self.settings = settings
        self.rng = rng
        self.differs_since: float | None = None
        self.peers: list[str] = []
        self.peers_version = -1
        self.push_wanted = anyio.Event()
        self.newer_peers: list[str] = []
        self.budgets: ConservedBudgets | None = None

    async def run(self) -> None:
        """Exchange with one peer after the other, for ever."""
        turn = 0
        while True:
            peers = self.find_peers()
            if peers:
                await self.exchange_with(peers[turn % len(peers)])
            turn += 1
            self.declare_dead()
            period_s = self.settings.gossip_period_s
            jitter = self.rng.uniform(1 - JITTER, 1 + JITTER)
            await anyio.sleep(period_s * jitter)

    async def run_pushes(self) -> None:
        """Tell some peers at once of a newer policy or ledger, for ever."""
        while True:
            await self.push_wanted.wait()
            self.push_wanted = anyio.Event()
            while self.newer_peers:
                await self.exchange_with(self.newer_peers.pop())
            peers = self.find_peers()
            chosen = self.rng.sample(peers, min(PUSH_FANOUT, len(peers)))
            for address in chosen:
                await self.exchange_with(address)

    def find_peers(self) -> list[str]:
        """Return the control addresses this node exchanges with."""
        version = self.fleet.table.version
        if version != self.peers_version:
            self.peers_version = version
            self.peers = self.choose_peers()
        return self.peers

    def choose_peers(self) -> list[str]:
        """Choose anew whom to exchange with.

        Half are the next in the ring of the own zone, half anywhere; the
        ring makes sure that every node is somebody's peer.
        """
        own = self.fleet.table.own
        others = sorted(
            state
            for state in self.fleet.table.states()
            if state.status != Status.LEFT and state.name != own.name
        )
        if not others:
            return [seed for seed in self.settings.seeds if seed != own.control]
        near = [state for state in others if state.zone == own.zone]
        chosen = take_next(near, own.name, max(1, self.settings.peers // 2))
        far = [state for state in others if state not in chosen]
        spare = self.settings.peers - len(chosen)
        chosen += rank_states(own.name, far)[: max(0, spare)]
        return [state.control for state in chosen]

    def find_by_control(self, address: str) -> NodeState | None:
        """Return the node that has a control address."""
        for state in self.fleet.table.states():
            if state.control == address:
                return state
        return None

    async def exchange_with(self, address: str) -> bool:
        """Exchange with one peer; return whether it answered."""
        sent_at = clock.now()
        peer = self.find_by_control(address)
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
            logger.debug('no exchange with {0}: {1}', address, error)
            self.suspect(peer)
            return False
        await self.take_in(reply, address)
        self.fleet.confirm(reply.digest, clock.now() - sent_at)
        return True

    async def take_in(self, reply: GossipMessage, address: str) -> None:
        """Take in the reply of a peer and fetch what is newer there."""
        for state in reply.changes:
            self.fleet.merge(state)
        if self.fleet.is_behind(reply.digest):
            await self.fetch_newer(address, reply.digest)
        if self.differs_for(reply.digest) >= FULL_EXCHANGE_S:
            self.differs_since = None
            await self.exchange_all(address)

    def differs_for(self, digest: Digest) -> float:
        """Return for how many seconds no peer has had the same members.

        News on its way makes tables differ for a moment; only a difference
        that stays is worth sending whole tables.
        """
        if digest.members_hash == self.fleet.table.members_hash:
            self.differs_since = None
            return 0
        if self.differs_since is None:
            self.differs_since = clock.now()
        return clock.now() - self.differs_since

    async def fetch_members(self) -> None:
        """Learn from some peer what the records of the store leave out."""
        for address in self.find_peers()[:GREETED]:
            if await self.exchange_all(address):
                return

    async def exchange_all(self, address: str) -> bool:
        """Compare whole member tables; return whether the peer answered."""
        request = GossipMessage(
            self.fleet.digest(),
            self.fleet.table.states(),
            wants_full_state=True,
        )
        try:
            reply = await self.client.call(
                address,
                'Exchange',
                request,
                GossipMessage,
                FETCH_TIMEOUT_S,
            )
        except PeerError as error:
            logger.debug('no full exchange with {0}: {1}', address, error)
            return False
        for state in reply.changes:
            self.fleet.merge(state)
        return True

    async def fetch_newer(self, address: str, digest: Digest) -> None:
        """Fetch documents that a peer has in a newer version."""
        offered = {
            POLICY_KIND: digest.policy_version,
            LEDGER_KIND: digest.ledger_version,
        }
        for name, version in offered.items():
            if version > self.fleet.version(name):
                await self.fetch_from(address, name)

    async def fetch_from(self, address: str, name: str) -> None:
        """Fetch one document from a peer."""
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
            logger.debug('no {0} from {1}: {2}', name, address, error)
            return
        self.adopt(name, document)

    def adopt(self, name: str, document: Document) -> None:
        """Put a document in force and push it on if it is newer."""
        if self.fleet.adopt(name, document):
            self.request_push()

    def request_push(self) -> None:
        """Tell peers soon."""
        self.push_wanted.set()

    def suspect(self, peer: NodeState | None) -> None:
        """Note that a peer did not answer."""
        if peer is None or peer.status not in ALIVE:
            return
        if self.fleet.table.mark(peer.name, Status.SUSPECT):
            logger.notice('{0} is suspected', peer.name)
            self.fleet.disseminate(peer.name)

    def declare_dead(self) -> None:
        """Call nodes dead that were suspected for long enough."""
        table = self.fleet.table
        deadline = clock.now() - self.settings.suspicion_s
        for state in table.states():
            since = table.find_status_start(state.name, Status.SUSPECT)
            if since is not None and since <= deadline:
                table.mark(state.name, Status.DEAD)
                self.fleet.disseminate(state.name)
                logger.warning('{0} is dead', state.name)

    async def exchange(self, request: GossipMessage) -> GossipMessage:
        """Answer an exchange."""
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
        """Return a document if it is newer than what the peer has."""
        document = self.fleet.documents.get(request.name)
        if document is None or document.version <= request.known_version:
            return Document(0, b'')
        return document

    async def grant(self, request: GrantRequest) -> GrantReply:
        """Grant tokens from the shards held here."""
        return self.fleet.local_shards.grant(request)

    async def lend(self, request: LendRequest) -> LendReply:
        """Give tokens of this node away."""
        if self.budgets is None:
            return LendReply(0)
        return self.budgets.lend(request)


def take_next(
    states: list[NodeState],
    name: str,
    count: int,
) -> list[NodeState]:
    """Return the states that follow a name in a ring sorted by name."""
    after: list[Any] = [state for state in states if state.name > name]
    before = [state for state in states if state.name < name]
    return [*after, *before][:count]


def rank_states(key: str, states: list[NodeState]) -> list[NodeState]:
    """Sort nodes by rendezvous rank for a key, the highest first."""
    by_name = {state.name: state for state in states}
    return [by_name[name] for name in rank_by_rendezvous(key, by_name)]
