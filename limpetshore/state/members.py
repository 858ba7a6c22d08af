"""Hold what is known of every node, merged the same way everywhere."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
import xxhash

from limpetshore import clock
from limpetshore.protocol.messages import NodeState


class Status(enum.IntEnum):
    """Rank what is said of a node; of two equally new words the higher wins."""

    READY = 0
    NOT_READY = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


ALIVE = frozenset((Status.READY, Status.NOT_READY))


class Sighting(NamedTuple):
    """Hold a state and since when it has been the latest, in local time."""

    state: NodeState
    since: float


def find_newest(left: NodeState, right: NodeState) -> NodeState:
    """Return the state that supersedes the other."""
    return max(
        left,
        right,
        key=lambda state: (state.incarnation, state.revision, state.status),
    )


class MemberTable:
    """Merge the states of all nodes; merging is idempotent and commutes.

    Statuses are ordered as in SWIM (Das, Gupta and Motivala, 2002): a node
    that hears it is suspected raises its own revision.
    """

    def __init__(self, own: NodeState) -> None:
        """Start knowing only this node."""
        self.own_name = own.name
        self.records: dict[str, Sighting] = {}
        self.is_joining = True
        self.conflicts = 0
        self.version = 0
        self.members_hash = 0
        self.by_service: dict[str, list[NodeState]] = {}
        self.insert(own)

    @property
    def own(self) -> NodeState:
        """Return the state of this node."""
        return self.records[self.own_name].state

    def get(self, name: str) -> NodeState | None:
        """Return the latest state of a node."""
        sighting = self.records.get(name)
        return sighting.state if sighting else None

    def states(self) -> list[NodeState]:
        """Return the latest state of every node."""
        return [sighting.state for sighting in self.records.values()]

    def update_own(
        self,
        status: Status,
        slots: int,
        instance: str = '',
    ) -> bool:
        """Publish a change of this node; return False if there is none."""
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

    def merge(self, heard: NodeState) -> bool:
        """Take in a state; return True if it is news."""
        if heard.name == self.own_name:
            return self.refute(heard)
        known = self.get(heard.name)
        if known is not None and find_newest(known, heard) == known:
            return False
        self.insert(heard)
        return True

    def refute(self, heard: NodeState) -> bool:
        """Contradict a wrong word about this node."""
        own = self.own
        if find_newest(own, heard) == own:
            return False
        if heard.incarnation > own.incarnation:
            return self.renumber(heard.incarnation + 1)
        self.insert(own._replace(revision=heard.revision + 1))
        return True

    def renumber(self, incarnation: int) -> bool:
        """Rise above an earlier incarnation, only while joining."""
        if not self.is_joining:
            self.conflicts += 1
            return False
        self.insert(self.own._replace(incarnation=incarnation, revision=0))
        return True

    def mark(self, name: str, status: Status) -> NodeState | None:
        """Lower the status of a node; return the state if it changed."""
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
        self.records[state.name] = Sighting(state, clock.now())
        self.version += 1
        self.by_service.clear()

    def find_usable_nodes(self, service: str) -> list[NodeState]:
        """Return the nodes of a service that may be given work.

        If none is left the dead ones are returned: after a mass
        disappearance the last known table is better than none.
        """
        found = self.by_service.get(service)
        if found is None:
            found = self.select_service(service)
            self.by_service[service] = found
        return found

    def list_latest_by_address(self) -> list[NodeState]:
        """Return the states of nodes whose address no newer node has."""
        newest: dict[str, NodeState] = {}
        for state in sorted(self.states(), key=read_incarnation):
            if state.status in ALIVE or state.peers not in newest:
                newest[state.peers] = state
        return [
            state
            for state in self.states()
            if state.incarnation >= newest[state.peers].incarnation
        ]

    def select_service(self, service: str) -> list[NodeState]:
        """Work out which nodes of a service may be given work."""
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
        """Return how many nodes are not suspected, dead or gone."""
        return sum(state.status in ALIVE for state in self.states())

    def count_present(self) -> int:
        """Return how many nodes have not left."""
        return sum(state.status != Status.LEFT for state in self.states())

    def sees_majority(self) -> bool:
        """Tell whether more than half of the members are alive."""
        return 2 * self.count_alive() > self.count_present()

    def find_status_start(self, name: str, status: Status) -> float | None:
        """Return since when a node has had a status, in local time."""
        sighting = self.records.get(name)
        if sighting is None or sighting.state.status != status:
            return None
        return sighting.since


def read_incarnation(state: NodeState) -> int:
    """Return the incarnation, by which states are sorted."""
    return state.incarnation


def hash_state(state: NodeState) -> int:
    """Return a hash of one state."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(state))


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Sort names by rendezvous rank for a key, the highest first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
        reverse=True,
    )
