"""Merge the latest state of every node into a member table, as in SWIM."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
import xxhash

from limpetshore import clock
from limpetshore.protocol.messages import NodeState


class Status(enum.IntEnum):
    """Rank the statuses of a node.

    Of two states with equal incarnation and revision, the one with the higher
    status supersedes the other.
    """

    READY = 0
    NOT_READY = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


ALIVE = frozenset((Status.READY, Status.NOT_READY))


class StateRecord(NamedTuple):
    """Hold a state and the local time at which it became the latest one."""

    state: NodeState
    since: float


def pick_newer(left: NodeState, right: NodeState) -> NodeState:
    """Return which of two states supersedes the other."""
    return max(
        left,
        right,
        key=lambda state: (state.incarnation, state.revision, state.status),
    )


class MemberTable:
    """Hold the latest states of all nodes.

    Merging is idempotent and commutative.

    Statuses are ordered as in SWIM (Das, Gupta and Motivala, 2002): a node
    that receives a suspicion of itself refutes it with a higher revision.
    """

    def __init__(self, own: NodeState) -> None:
        """Start with only this node in the table."""
        self.own_name = own.name
        self.records: dict[str, StateRecord] = {}
        self.is_joining = True
        self.previous_own: NodeState | None = None
        self.name_conflicts = 0
        self.version = 0
        self.members_hash = 0
        self.usable_by_service: dict[str, list[NodeState]] = {}
        self.insert(own)

    @property
    def own(self) -> NodeState:
        """Return the state of this node."""
        return self.records[self.own_name].state

    def get(self, name: str) -> NodeState | None:
        """Return the latest state of a node."""
        record = self.records.get(name)
        return record.state if record else None

    def states(self) -> list[NodeState]:
        """Return the latest state of every node."""
        return [record.state for record in self.records.values()]

    def update_own(
        self,
        status: Status,
        slots: int,
        instance: str = '',
    ) -> bool:
        """Change the state of this node; return False if nothing differs."""
        own = self.own
        if (own.status, own.slots, own.instance) == (status, slots, instance):
            return False
        self.insert(
            own._replace(
                status=int(status),
                slots=slots,
                instance=instance,
                revision=own.revision + 1,
            ),
        )
        return True

    def merge(self, received: NodeState) -> bool:
        """Merge a received state; return True if the table changed."""
        if received.name == self.own_name:
            return self.refute(received)
        known = self.get(received.name)
        if known is not None and pick_newer(known, received) == known:
            return False
        self.insert(received)
        return True

    def refute(self, received: NodeState) -> bool:
        """Supersede a received state of this node if it is the newer one.

        Return True if the table changed.
        """
        own = self.own
        if self.is_joining:
            self.remember_previous(received)
        if pick_newer(own, received) == own:
            return False
        if received.incarnation > own.incarnation:
            return self.raise_incarnation(received.incarnation + 1)
        self.insert(own._replace(revision=received.revision + 1))
        return True

    def remember_previous(self, received: NodeState) -> None:
        """Keep the latest state of this node before its restart."""
        previous = self.previous_own
        if received.instance and previous:
            self.previous_own = pick_newer(previous, received)
        elif received.instance:
            self.previous_own = received

    def raise_incarnation(self, incarnation: int) -> bool:
        """Set a higher own incarnation while joining; return True if set.

        After joining, a higher incarnation comes from another process of the
        same name; it is counted as a conflict and not superseded.
        """
        if not self.is_joining:
            self.name_conflicts += 1
            return False
        self.insert(self.own._replace(incarnation=incarnation, revision=0))
        return True

    def mark(self, name: str, status: Status) -> NodeState | None:
        """Set a higher status of a node; return the state if it changed."""
        known = self.get(name)
        if known is None or known.status >= status:
            return None
        self.insert(known._replace(status=int(status)))
        return self.get(name)

    def insert(self, state: NodeState) -> None:
        """Replace the state of a node."""
        known = self.get(state.name)
        if known is not None:
            self.members_hash ^= hash_state(known)
        self.members_hash ^= hash_state(state)
        self.records[state.name] = StateRecord(state, clock.now())
        self.version += 1
        self.usable_by_service.clear()

    def find_usable_nodes(self, service: str) -> list[NodeState]:
        """Return the nodes of a service to which requests may be sent.

        If there are none, the dead ones are returned: if all nodes disappear
        at once, the last known table is better than an empty one.
        """
        found = self.usable_by_service.get(service)
        if found is None:
            found = self.select_usable_nodes(service)
            self.usable_by_service[service] = found
        return found

    def list_latest_by_address(self) -> list[NodeState]:
        """Return the states of nodes whose address no newer node uses."""
        newest: dict[str, NodeState] = {}
        for state in sorted(self.states(), key=read_incarnation):
            if state.status in ALIVE or state.peers not in newest:
                newest[state.peers] = state
        return [
            state
            for state in self.states()
            if state.incarnation >= newest[state.peers].incarnation
        ]

    def select_usable_nodes(self, service: str) -> list[NodeState]:
        """Select the usable nodes of a service, sorted by name."""
        states = sorted(
            state
            for state in self.list_latest_by_address()
            if state.service == service
        )
        usable = {Status.READY, Status.SUSPECT}
        chosen = [state for state in states if state.status in usable]
        if chosen:
            return chosen
        return [state for state in states if state.status == Status.DEAD]

    def count_alive(self) -> int:
        """Return how many nodes are neither suspected, dead nor left."""
        return sum(state.status in ALIVE for state in self.states())

    def count_present(self) -> int:
        """Return how many nodes have not left, dead ones included."""
        return sum(state.status != Status.LEFT for state in self.states())

    def sees_majority(self) -> bool:
        """Return whether more than half of the present nodes are alive."""
        return 2 * self.count_alive() > self.count_present()

    def find_status_start(self, name: str, status: Status) -> float | None:
        """Return the local time at which the latest state of a node arrived.

        Return None if the node is unknown or has another status.
        """
        record = self.records.get(name)
        if record is None or record.state.status != status:
            return None
        return record.since


def read_incarnation(state: NodeState) -> int:
    """Return the incarnation of a state, as a sort key."""
    return state.incarnation


def hash_state(state: NodeState) -> int:
    """Return a 64-bit hash of a state, to be combined by XOR."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(state))


def hash_for_rendezvous(key: str, name: str) -> int:
    """Return the weight of a name for a key in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Sort names by rendezvous hash for a key, the highest first."""
    return sorted(
        names,
        key=lambda name: hash_for_rendezvous(key, name),
        reverse=True,
    )
