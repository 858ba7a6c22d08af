"""Rank the live nodes of the fleet, alike on each of them."""

from limpetshore.protocol.messages import NodeState
from limpetshore.state.members import ALIVE, MemberTable, rank_by_rendezvous


class FleetRanking:
    """Hold the live nodes in an order on which all nodes agree."""

    def __init__(self, table: MemberTable) -> None:
        """Rank the nodes of `table`; the own node counts as alive."""
        self.table = table
        self.version = -1
        self.names: list[str] = []
        self.own_rank = 0

    def update(self) -> None:
        """Rank the nodes again if the member table has changed."""
        if self.version == self.table.version:
            return
        self.version = self.table.version
        own = self.table.own_name
        alive = {
            state.name for state in self.table.states() if state.status in ALIVE
        }
        self.names = rank_by_rendezvous('watch', alive | {own})
        self.own_rank = self.names.index(own)

    def rank(self) -> int:
        """Return the rank of this node, 0 for the first."""
        self.update()
        return self.own_rank

    def find(self, rank: int | None) -> NodeState | None:
        """Return the node of a rank, None if there is no such other node."""
        self.update()
        if rank is None or rank >= len(self.names) or rank == self.own_rank:
            return None
        return self.table.get(self.names[rank])
