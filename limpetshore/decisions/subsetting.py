"""Choose the servers of a service that one node sends requests to.

Each node uses a bounded subset, or its connections, its statistics and the work
for each choice would grow with the fleet.
"""

from limpetshore.protocol.messages import NodeState
from limpetshore.state.members import hash_for_rendezvous

MAX_LOCAL_SERVERS = 12
# Servers of other zones take the overflow and stand in for lost zones.
MAX_REMOTE_SERVERS = 8


def choose_subset(
    own_name: str, zone: str, servers: list[NodeState]
) -> list[NodeState]:
    """Return the servers that a node uses, those of its zone first.

    Rendezvous hashing spreads the nodes over the servers: when one server
    leaves, only the nodes that used it take another one instead.
    """
    local = [server for server in servers if server.zone == zone]
    remote = [server for server in servers if server.zone != zone]
    room = max(0, MAX_LOCAL_SERVERS - len(local))
    return [
        *take_highest(own_name, local, MAX_LOCAL_SERVERS),
        *take_highest(own_name, remote, MAX_REMOTE_SERVERS + room),
    ]


def take_highest(
    own_name: str, servers: list[NodeState], count: int
) -> list[NodeState]:
    """Return the servers with the highest rendezvous hash for a node."""
    if len(servers) <= count:
        return servers
    ranked = sorted(
        servers,
        key=lambda server: hash_for_rendezvous(own_name, server.name),
        reverse=True,
    )
    return ranked[:count]
