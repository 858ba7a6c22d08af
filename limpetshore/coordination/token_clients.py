"""Request tokens from the nodes that grant or lend them."""

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
DEPRIORITIZED_S = 1.0  # a holder is asked last after a failed request
LEND_TIMEOUT_S = 0.1


class FleetGrantClient(GrantClient):
    """Send grant requests to the holders that the ledger names."""

    def __init__(self, fleet: FleetState, client: ControlClient) -> None:
        """Use the ledger and members of the fleet."""
        self.fleet = fleet
        self.client = client
        self.deprioritized_until: dict[str, float] = {}

    def find_shards(self, customer: str) -> list[int]:
        """Return the shards of a customer, those with live holders first.

        The offset derived from the name of the node spreads the load.
        """
        shards = self.fleet.local_shards.find_shards(customer)
        own = self.fleet.table.own_name
        if shards:
            offset = sum(own.encode()) % len(shards)
            shards = shards[offset:] + shards[:offset]
        return sorted(shards, key=self.is_deprioritized)

    def is_deprioritized(self, shard: int) -> bool:
        """Tell whether the holder of a shard is unlikely to answer."""
        name = self.fleet.local_shards.holder_name(shard)
        holder = self.fleet.table.get(name)
        if holder is None or holder.status >= Status.SUSPECT:
            return True
        return clock.now() < self.deprioritized_until.get(name, 0)

    async def ask(self, token_request: TokenRequest) -> TokenGrant | None:
        """Return the grant of the shard holder, None without an answer."""
        own = self.fleet.table.own
        request = GrantRequest(f'{own.name}#{own.incarnation}', [token_request])
        reply = await self.send_to_holder(token_request.shard, request)
        if reply is None or not reply.grants:
            return None
        return reply.grants[0]

    async def send_to_holder(
        self,
        shard: int,
        request: GrantRequest,
    ) -> GrantReply | None:
        """Send a request to the holder of a shard, or serve it locally."""
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
            self.deprioritized_until[name] = clock.now() + DEPRIORITIZED_S
            return None


class FleetLendClient(LendClient):
    """Send lend requests to the control addresses of other nodes."""

    def __init__(self, fleet: FleetState, client: ControlClient) -> None:
        """Use the members of the fleet."""
        self.fleet = fleet
        self.client = client

    async def ask(self, name: str, request: LendRequest) -> int:
        """Return the number of tokens lent by a node, 0 without an answer."""
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
            logger.info('no tokens borrowed from {0}: {1}', name, error)
            return 0
        if not 0 <= reply.lent <= request.wanted:
            self.client.metrics.bad_input.labels('lend_reply').inc()
            logger.error(
                'ignored {0} tokens from {1}, which was asked for {2}',
                reply.lent,
                name,
                request.wanted,
            )
            return 0
        return reply.lent
