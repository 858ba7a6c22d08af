"""Hold the state shared by all requests of an ingress."""

import random
from collections import defaultdict
from collections.abc import Callable

from limpetshore.decisions.admission_levels import ReportedLevel
from limpetshore.decisions.balancing import Balancer
from limpetshore.decisions.drain_schedule import DrainSchedule
from limpetshore.decisions.latency_estimate import LatencyEstimate
from limpetshore.decisions.retry_budgets import RetryTokens
from limpetshore.decisions.shedding import IngressShedding
from limpetshore.decisions.splits import Splitter
from limpetshore.metrics import Metrics
from limpetshore.protocol.exchanges import Exchange
from limpetshore.protocol.messages import AnswerMeta, NodeState
from limpetshore.routing.authentication import CallerAuthenticator
from limpetshore.routing.guard import Guard
from limpetshore.routing.guard_exchange import GuardExchange
from limpetshore.routing.peer_calls import PeerExchange
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.state.fencing import FencingState
from limpetshore.state.policies import PolicyIndex
from limpetshore.transport.http_pool import HttpPool

AnswerCallback = Callable[[AnswerMeta, NodeState, float], None]


class IngressState:
    """Hold the state shared by all requests that enter at this node."""

    def __init__(  # noqa: WPS211
        self,
        settings: NodeSettings,
        metrics: Metrics,
        guard: Guard,
        balancer: Balancer,
        authenticator: CallerAuthenticator,
        fencing: FencingState,
        rng: random.Random,
        on_answer: AnswerCallback,
    ) -> None:
        """Start without a policy.

        `on_answer` is called for each answer, with its metadata, the node
        that sent it and the seconds since the request was sent.
        """
        self.on_answer = on_answer
        self.settings = settings
        self.metrics = metrics
        self.answer_latency = metrics.answer_latency.roles['ingress']
        self.guard = guard
        self.balancer = balancer
        self.authenticator = authenticator
        self.fencing = fencing
        self.rng = rng
        self.index: PolicyIndex | None = None
        self.pools: dict[str, HttpPool] = {}
        self.retry_tokens: dict[str, RetryTokens] = defaultdict(
            self.build_retry_tokens,
        )
        self.downstream_levels: dict[str, ReportedLevel] = defaultdict(
            self.build_reported_level,
        )
        self.splitter = Splitter(rng)
        call = settings.call
        self.drain = DrainSchedule(call.graceful_s, call.drain_notice_s)
        self.shedding = IngressShedding(rng)
        self.latencies: dict[str, LatencyEstimate] = defaultdict(
            LatencyEstimate,
        )
        self.max_retry_tokens = settings.admission.retry_tokens
        self.divide_retry_tokens(1)

    def get_pool(self, address: str) -> HttpPool:
        """Return the connection pool of another node, creating it if needed."""
        found = self.pools.get(address)
        if found is None:
            found = HttpPool(
                parse_address(address),
                self.settings.call.max_idle_s,
                self.settings.call.connect_s,
            )
            self.pools[address] = found
        return found

    def build_retry_tokens(self) -> RetryTokens:
        """Return the retry tokens of a service at its first call."""
        earning = self.settings.admission.retry_earning
        return RetryTokens(self.max_retry_tokens, earning)

    def divide_retry_tokens(self, node_count: int) -> None:
        """Limit the retry tokens of this node to its share of the fleet."""
        total = self.settings.admission.fleet_retry_tokens
        if not total:
            return
        self.max_retry_tokens = max(1, total / max(1, node_count))
        for tokens in self.retry_tokens.values():
            tokens.resize(self.max_retry_tokens)

    def build_reported_level(self) -> ReportedLevel:
        """Return the downstream level of a route at its first call."""
        return ReportedLevel(self.settings.admission.level_half_life_s)

    def open_exchange(self, server: NodeState) -> Exchange:
        """Return an exchange with a server, local or through another node."""
        if server.name == self.settings.node.name:
            return GuardExchange(self.guard)
        call = self.settings.call
        return PeerExchange(
            self.get_pool(server.peers),
            call.silence_s,
            call.stall_s,
            call.quiet_s,
        )
