"""Build the attempts of a request at nodes that answer by a script."""

from collections import defaultdict
from types import SimpleNamespace
from typing import NamedTuple

import anyio

from limpetshore import clock
from limpetshore.decisions.admission_levels import ReportedLevel
from limpetshore.decisions.latency_estimate import LatencyEstimate
from limpetshore.decisions.retry_budgets import RetryBudget, RetryTokens
from limpetshore.errors import ConnectionLostError, TruncatedError
from limpetshore.metrics import Metrics
from limpetshore.protocol.bodies import AnswerSender
from limpetshore.protocol.dialects import RequestIdentity
from limpetshore.protocol.exchanges import InboundRequest
from limpetshore.protocol.messages import (
    ANSWER_HEADER,
    AnswerMeta,
    ProbeReply,
    json_encoder,
)
from limpetshore.routing.attempt import RoutedCall
from limpetshore.routing.attempts import Attempts
from limpetshore.routing.authentication import Origin
from limpetshore.routing.calls import CallContext
from limpetshore.routing.peer_calls import PeerExchange
from limpetshore.state.policies import PolicyIndex
from limpetshore.transport.responses import ResponseHead
from limpetshore.verdicts import Reason, Verdict
from tests.builders import build_node_state, build_policy

TIMEOUT_S = 0.7
USUAL_LATENCY_S = 0.02
SILENCE_S, QUIET_S, STALL_S = 1.5, 0.25, 10
GET = InboundRequest(b'GET', b'/stock', [], b'', None, None)


class Script(NamedTuple):
    """Say what the node beside one server does with a call.

    It answers `status` after `delay_s`, or refuses for `reason`; with no
    `status` it never answers, and with `is_cut` it closes the connection; with
    `is_truncated` it does so behind the head of the answer.
    """

    delay_s: float = 0
    status: int | None = 200
    reason: Reason | None = None
    is_cut: bool = False
    is_truncated: bool = False


class ScriptedConnection:
    """Deliver the head of an answer as a script says."""

    has_chunk = True
    is_answer_complete = True

    def __init__(self, script):
        """Start before the request is sent."""
        self.script = script
        self.answered_at = clock.NO_DEADLINE
        self.is_request_sent = True
        self.is_open = True

    def end_by(self, deadline):
        """Take no notice of the deadline."""

    async def send_head(self, *parts):
        """Begin the time until the answer."""
        if self.script.status:
            self.answered_at = clock.now() + self.script.delay_s

    async def read_head(self, timeout_s):
        """Return the head, or raise TimeoutError."""
        end = min(clock.now() + timeout_s, self.answered_at)
        await anyio.sleep(max(0, end - clock.now()))
        if clock.now() < self.answered_at:
            raise TimeoutError
        if self.script.is_cut:
            raise ConnectionLostError('the other node hung up')
        return ResponseHead(self.script.status, build_answer(self.script))

    def take_buffered_body(self):
        """Return the body, unless it is not complete."""
        return None if self.script.is_truncated else b'whole'

    async def read_chunk(self, timeout_s):
        """Fail: the answer ends early."""
        raise TruncatedError('the other node hung up')

    async def read_all(self, max_bytes):
        """Return the body of a refusal."""
        return b''


class ScriptedPool:
    """Stand for the connections to the node beside one server."""

    def __init__(self, script):
        """Start with a byte received just now."""
        self.connection = ScriptedConnection(script)
        self.last_received_at = clock.now()

    async def acquire(self):
        """Return the only connection."""
        return self.connection

    def release(self, connection):
        """Close the connection."""
        connection.is_open = False

    def close_idle(self):
        """Close nothing."""


class ScriptedExchange(PeerExchange):
    """Answer probes: the call arrived, and runs."""

    async def probe(self, request):
        """Return that the call still runs."""
        await anyio.sleep(0.002)
        return ProbeReply(has_arrived=True, is_running=True)


class SentAnswer:
    """Keep the answer that is sent to the caller."""

    has_started = False
    is_oldest = True
    answer = None

    def send_complete(self, status, headers, body):
        """Keep a complete answer."""
        self.has_started = True
        self.answer = (status, body, clock.now())


class ScriptedCall:
    """Hold the attempts of one request and the nodes that they go to."""

    def __init__(self, scripts, *, is_leaving=False, retries=2, tokens=5):
        """Prepare a call to servers that are chosen in the order given."""
        self.pools = {
            name: ScriptedPool(script) for name, script in scripts.items()
        }
        self.nodes = [build_node_state(name) for name in scripts]
        self.stats = defaultdict(self.build_stats)
        self.state = self.build_state(is_leaving, tokens)
        self.sent = SentAnswer()
        index = PolicyIndex(build_policy(), 1)
        match = index.find_route('GET', '/stock')
        deadline = clock.now() + TIMEOUT_S
        context = CallContext('harbour', match.importance, deadline, 'id', 0)
        call = RoutedCall(
            match=match,
            origin=Origin(context, RetryBudget(retries), None),
            identity=RequestIdentity('id', is_from_caller=False, root='id'),
            service='stock',
            started_at=clock.now(),
            is_nested=False,
        )
        self.attempts = Attempts(
            self.state, call, AnswerSender(self.sent, STALL_S)
        )

    async def run(self, inbound=GET):
        """Run the attempts; return the failure and the answer sent."""
        failure = await self.attempts.run(inbound)
        return failure, self.sent.answer

    def build_state(self, is_leaving, tokens):
        """Return the state of an ingress that knows the usual latency."""
        estimate = LatencyEstimate()
        for _ in range(100):
            estimate.observe(USUAL_LATENCY_S)
        dialect = SimpleNamespace(build_answer_headers=lambda request_id: [])
        return SimpleNamespace(
            answer_latency=SimpleNamespace(observe=lambda latency_s: None),
            authenticator=SimpleNamespace(dialect=dialect),
            balancer=SimpleNamespace(
                choose=self.choose,
                has_untried=self.has_untried,
                stats=self.stats.__getitem__,
            ),
            downstream_levels=defaultdict(lambda: ReportedLevel(1)),
            guard=SimpleNamespace(is_leaving=is_leaving),
            latencies=defaultdict(lambda: estimate),
            metrics=Metrics(),
            on_answer=lambda meta, server, waited_s: None,
            open_exchange=self.open_exchange,
            retry_tokens={'stock': RetryTokens(tokens, 0.1)},
            settings=SimpleNamespace(backend=SimpleNamespace(service='yard')),
            shedding=SimpleNamespace(observe=lambda name, **seen: None),
        )

    def build_stats(self):
        """Return the statistics of a server, which keep failures only."""
        stats = SimpleNamespace(in_flight=0, failures=[])
        stats.record_refusal = lambda meta, reason: None
        stats.record_unanswered = stats.failures.append
        stats.record_answer = lambda meta, has_failed: None
        stats.record_failure = lambda: stats.failures.append(Reason.TRUNCATED)
        return stats

    def choose(self, service, tried):
        """Return the first server that was not tried, else the first."""
        untried = [node for node in self.nodes if node.name not in tried]
        return (untried or self.nodes)[0]

    def has_untried(self, service, tried):
        """Tell whether a server is left that was not tried."""
        return any(node.name not in tried for node in self.nodes)

    def open_exchange(self, server):
        """Return an exchange with the node beside a server."""
        pool = self.pools[server.name]
        return ScriptedExchange(pool, SILENCE_S, STALL_S, QUIET_S)


def build_answer(script):
    """Return the headers of an answer or refusal."""
    verdict = Verdict.NOT_RUN if script.reason else ''
    meta = AnswerMeta(verdict, script.reason or '', 0, 0, 0, 0, 0)
    length = (b'content-length', b'5')
    return [(ANSWER_HEADER, json_encoder.encode(meta)), length]
