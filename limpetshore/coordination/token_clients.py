"""Reach the nodes that grant tokens."""

from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.borrowing import LendClient
from limpetshore.coordination.fleet import FleetState
from limpetshore.coordination.prefetching import GrantClient
from limpetshore.errors import PeerError
from limpetshore.protocol.control import ControlClient
from limpetshore.protocol.messages import (
    GrantReply,
    GrantRequest,
    LendReply,
    LendRequest,
    TokenGrant,
    TokenRequest,
)
from limpetshore.state.members import Status

logger = Logger(__name__)

GRANT_TIMEOUT_S = 0.3
DOUBTFUL_S = 1.0
LEND_TIMEOUT_S = 0.1


class FleetGrantClient(GrantClient):
    """Ask the holder that the ledger names for each shard."""

    def __init__(self, fleet: FleetState, client: ControlClient) -> None:
        """Use the ledger and members of the fleet."""
        self.fleet = fleet
        self.client = client
        self.doubtful_until: dict[str, float] = {}

    def find_shards(self, customer: str) -> list[int]:
        """Return the shards of a customer, those held by living nodes first."""
        shards = self.fleet.local_shards.find_shards(customer)
        own = self.fleet.table.own_name
        if shards:
            turn = sum(own.encode()) % len(shards)
            shards = shards[turn:] + shards[:turn]
        return sorted(shards, key=self.is_doubtful)

    def is_doubtful(self, shard: int) -> bool:
        """Tell whether the holder of a shard may not answer."""
        name = self.fleet.local_shards.holder_name(shard)
        holder = self.fleet.table.get(name)
        if holder is None or holder.status >= Status.SUSPECT:
            return True
        return clock.now() < self.doubtful_until.get(name, 0)

    async def ask(self, ask: TokenRequest) -> TokenGrant | None:
        """Return what was granted, or None if no holder answered."""
        own = self.fleet.table.own
        request = GrantRequest(f'{own.name}#{own.incarnation}', [ask])
        reply = await self.send(ask.shard, request)
        if reply is None or not reply.grants:
            return None
        return reply.grants[0]

    async def send(
        self,
        shard: int,
        request: GrantRequest,
    ) -> GrantReply | None:
        """Pass a request to the holder of a shard, maybe this node."""
        name = self.fleet.local_shards.holder_name(shard)
        holder = self.fleet.table.get(name)
        if holder is None:
            return None
        if name == self.fleet.table.own_name:
            return self.fleet.local_shards.grant(request)
        try:
            return await self.client.call(
                holder.control,
                'Grant',
                request,
                GrantReply,
                GRANT_TIMEOUT_S,
            )
        except PeerError:
            self.doubtful_until[name] = clock.now() + DOUBTFUL_S
            return None


class FleetLendClient(LendClient):
    """Ask any node for tokens over its control address."""

    def __init__(self, fleet: FleetState, client: ControlClient) -> None:
        """Use the members of the fleet."""
        self.fleet = fleet
        self.client = client

    async def ask(self, name: str, request: LendRequest) -> int:
        """Return how many tokens a node gave, 0 if it did not answer."""
        state = self.fleet.table.get(name)
        if state is None:
            return 0
        try:
            reply = await self.client.call(
                state.control,
                'Lend',
                request,
                LendReply,
                LEND_TIMEOUT_S,
            )
        except PeerError as error:
            logger.info('no tokens from {0}: {1}', name, error)
            return 0
        return reply.given
