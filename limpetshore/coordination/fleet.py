"""Keep the state that all nodes agree on: members, policy and ledger."""

from abc import ABC, abstractmethod
from typing import Any

from logbook import Logger

from limpetshore import clock
from limpetshore.coordination.local_shards import LocalShards
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

POLICY_KIND = 'policy'
LEDGER_KIND = 'ledger'
NODE_KIND = 'nodes'
CURRENT_NAME = 'current'
MAX_CHANGES = 8
SPREAD_TIMES = 4


class PolicyListener(ABC):
    """Follow the policy in force."""

    @abstractmethod
    def adopt_policy(self, index: PolicyIndex) -> None:
        """Use a newer policy from now on."""


class FleetState:
    """Hold what this node knows of the fleet, which only moves forward."""

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
        self.spreading: dict[str, int] = {}

    def version(self, name: str) -> int:
        """Return the store version of a document, 0 if unknown."""
        document = self.documents.get(name)
        return document.version if document else 0

    def adopt(self, name: str, document: Document) -> bool:
        """Take in a document; return True if it is newer and sound."""
        if document.version <= self.version(name):
            return False
        try:
            self.use(name, document)
        except (ValueError, TypeError, LookupError) as error:
            self.metrics.bad_input.labels(name).inc()
            logger.error(
                'ignored version {0} of {1}, kept {2}: {3}',
                document.version,
                name,
                self.version(name),
                error,
            )
            return False
        self.documents[name] = document
        return True

    def use(self, name: str, document: Document) -> None:
        """Decode a document and put it in force."""
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
        for follower in self.policy_listeners:
            follower.adopt_policy(index)
        self.metrics.config_version.set(document.version)
        logger.info(
            'policy of ticket {0} in force',
            index.policy.number,
            extra={
                'version': document.version,
                'routes': len(index.policy.routes),
                'customers': {
                    name: customer.importance or customer.most_important
                    for name, customer in index.policy.customers.items()
                },
            },
        )

    def merge(self, state: NodeState) -> bool:
        """Take in what is said of a node and pass on what is news."""
        if not self.table.merge(state):
            return False
        self.disseminate(state.name)
        return True

    def disseminate(self, name: str) -> None:
        """Pass the state of a node on with the next exchanges."""
        self.spreading[name] = SPREAD_TIMES

    def take_changes(self) -> list[NodeState]:
        """Return the latest changes for one exchange."""
        chosen = sorted(
            self.spreading,
            key=self.spreading.__getitem__,
            reverse=True,
        )[:MAX_CHANGES]
        for name in chosen:
            self.spreading[name] -= 1
            if not self.spreading[name]:
                self.spreading.pop(name)
        return [self.table.records[name].state for name in chosen]

    def digest(self) -> Digest:
        """Sum up what this node knows."""
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
        """Tell whether a peer has newer documents."""
        return digest.policy_version > self.version(
            POLICY_KIND
        ) or digest.ledger_version > self.version(LEDGER_KIND)

    def confirm(self, digest: Digest, round_trip_s: float) -> None:
        """Take over a peer's confirmation, unless it knows more."""
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
        """Take over a confirmation that came with an answer.

        Return True if that node has a newer policy, which vouches for nothing.
        """
        if meta.policy_version > self.version(POLICY_KIND):
            return node.name != self.table.own_name
        self.fencing.confirm_store(meta.store_age_s + waited_s)
        return False

    def update_members(self) -> None:
        """Work out anew among which servers request ids are divided."""
        owners: dict[str, list[str]] = {}
        for state in sorted(self.table.states()):
            if state.status != Status.LEFT:
                owners.setdefault(state.service, []).append(state.name)
        self.fencing.request_id_owners = owners

    def describe(self) -> dict[str, Any]:
        """Return the state for operators."""
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
