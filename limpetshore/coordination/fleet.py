"""Keep the state that all nodes share: members, policy and ledger."""

from abc import ABC, abstractmethod
from typing import Any

from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.coordination.ranking import FleetRanking
from limpetshore.metrics import Metrics
from limpetshore.protocol.messages import (
    MAX_STORE_AGE_S,
    AnswerMeta,
    Digest,
    Document,
    NodeState,
)
from limpetshore.state.fencing import FencingState
from limpetshore.state.ledger import VersionedLedger, decode_ledger
from limpetshore.state.members import MemberTable, Status
from limpetshore.state.policies import PolicyIndex, decode_policy

logger = Logger(__name__)

# Kinds of objects in the store, and the name of the only one of each.
POLICY_KIND = 'policy'
LEDGER_KIND = 'ledger'
ROSTER_KIND = 'roster'
CURRENT_NAME = 'current'
MAX_CHANGES_PER_EXCHANGE = 8
INVALID_DOCUMENT_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
)
SENDS_PER_CHANGE = 4  # number of exchanges that carry each change


class PolicyListener(ABC):
    """Receive each newer policy."""

    @abstractmethod
    def adopt_policy(self, index: PolicyIndex) -> None:
        """Apply a newer policy; called in the order of versions."""


class FleetState:
    """Hold members, policy and ledger; versions never go back."""

    def __init__(
        self,
        table: MemberTable,
        fencing: FencingState,
        local_shards: LocalShards,
        metrics: Metrics,
    ) -> None:
        """Start without policy and ledger."""
        self.table = table
        self.fencing = fencing
        self.local_shards = local_shards
        self.metrics = metrics
        self.documents: dict[str, Document] = {}
        self.policy: PolicyIndex | None = None
        self.policy_listeners: list[PolicyListener] = []
        self.ranking = FleetRanking(table)
        self.sends_left: dict[str, int] = {}

    def version(self, name: str) -> int:
        """Return the store version of a document, 0 if there is none yet."""
        document = self.documents.get(name)
        return document.version if document else 0

    def adopt(self, name: str, document: Document, source: str = '') -> bool:
        """Apply a document if it is newer and valid; return True if applied.

        `source` is the node that sent it, for the log; empty for the store.
        """
        if document.version <= self.version(name):
            return False
        try:
            self.apply_document(name, document, source)
        except INVALID_DOCUMENT_ERRORS as error:
            self.metrics.bad_input.labels(name).inc()
            logger.error(
                'rejected invalid version {0} of {1}, keeping version {2}: {3}',
                document.version,
                name,
                self.version(name),
                error,
            )
            return False
        self.documents[name] = document
        return True

    def apply_document(
        self, name: str, document: Document, source: str
    ) -> None:
        """Decode a document and make it the current one."""
        if name == LEDGER_KIND:
            ledger = decode_ledger(document.content)
            self.local_shards.adopt_ledger(
                VersionedLedger(document.version, ledger)
            )
            return
        index = PolicyIndex(decode_policy(document.content), document.version)
        self.policy = index
        self.fencing.is_drained = self.fencing.name in index.drained
        self.local_shards.adopt_policy(index)
        for listener in self.policy_listeners:
            listener.adopt_policy(index)
        self.metrics.config_version.set(document.version)
        logger.info(
            'policy of ticket {0} is active',
            index.policy.number,
            extra={
                'version': document.version,
                'source': source or 'store',
                'store_age_s': min(
                    MAX_STORE_AGE_S, round(self.fencing.store_age_s, 3)
                ),
                'routes': len(index.policy.routes),
                'customers': {
                    name: customer.importance or customer.most_important
                    for name, customer in index.policy.customers.items()
                },
            },
        )

    def merge(self, state: NodeState) -> bool:
        """Merge a node state; disseminate it and return True if it is newer."""
        if not self.table.merge(state):
            return False
        self.disseminate(state.name)
        return True

    def disseminate(self, name: str) -> None:
        """Send the state of a node along with the next exchanges."""
        self.sends_left[name] = SENDS_PER_CHANGE

    def take_changes(self) -> list[NodeState]:
        """Return the changes to send with one exchange, least sent first."""
        chosen = sorted(
            self.sends_left,
            key=self.sends_left.__getitem__,
            reverse=True,
        )[:MAX_CHANGES_PER_EXCHANGE]
        for name in chosen:
            self.sends_left[name] -= 1
            if not self.sends_left[name]:
                self.sends_left.pop(name)
        return [self.table.records[name].state for name in chosen]

    def digest(self) -> Digest:
        """Return the versions and the members hash that peers compare."""
        own = self.table.own
        return Digest(
            sender=own.name,
            incarnation=own.incarnation,
            policy_version=self.version(POLICY_KIND),
            ledger_version=self.version(LEDGER_KIND),
            store_age_s=min(
                MAX_STORE_AGE_S, round(self.fencing.store_age_s, 2)
            ),
            members_hash=self.table.members_hash,
        )

    def is_behind(self, digest: Digest) -> bool:
        """Tell whether a peer has a newer policy or ledger."""
        return digest.policy_version > self.version(
            POLICY_KIND
        ) or digest.ledger_version > self.version(LEDGER_KIND)

    def confirm(self, digest: Digest, round_trip_s: float) -> None:
        """Take over the store confirmation of a peer.

        A peer with newer documents confirms nothing: until they are fetched,
        this node may act on an outdated policy or ledger.
        If most members are alive, the answer confirms this majority as well.
        """
        if self.is_behind(digest):
            return
        self.fencing.confirm_store(digest.store_age_s + round_trip_s)
        if self.table.sees_majority():
            self.fencing.confirm_majority()

    def confirm_by_answer(
        self,
        meta: AnswerMeta,
        node: NodeState,
        waited_s: float,
    ) -> bool:
        """Take over the store confirmation that came with an answer.

        A node with a newer policy confirms nothing; return True if the answer
        is from another node that has one.
        """
        if meta.policy_version > self.version(POLICY_KIND):
            return node.name != self.table.own_name
        self.fencing.confirm_store(meta.store_age_s + waited_s)
        return False

    def update_members(self) -> None:
        """Update the owners of request ids, by service, from the members."""
        owners: dict[str, list[str]] = {}
        for state in sorted(self.table.states()):
            if state.status != Status.LEFT:
                owners.setdefault(state.service, []).append(state.name)
        self.fencing.request_id_owners = owners

    def describe(self) -> dict[str, Any]:
        """Return the state that the status page shows to operators."""
        policy = self.policy
        return {
            'ticket': policy.policy.number if policy else None,
            'policy_version': self.version(POLICY_KIND),
            'ledger_version': self.version(LEDGER_KIND),
            'store_age_s': min(
                MAX_STORE_AGE_S, round(self.fencing.store_age_s, 1)
            ),
            'is_confirmed': self.fencing.is_confirmed,
            'is_cut_off': self.fencing.is_cut_off,
            'shards': sorted(self.local_shards.held),
            'members': [
                {
                    'name': state.name,
                    'service': state.service,
                    'zone': state.zone,
                    'status': Status(state.status).name.lower(),
                    'incarnation': state.incarnation,
                }
                for state in sorted(self.table.states())
            ],
            'time': clock.wall_time(),
        }
