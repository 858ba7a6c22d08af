"""Send a request to one server and deliver its answer."""

from collections.abc import Awaitable
from typing import NamedTuple

from limpetshore import clock
from limpetshore.decisions.shedding import MIN_DOWNSTREAM_OVERLOAD_LEVEL
from limpetshore.errors import RefusedError, TruncatedError, refuse
from limpetshore.protocol.bodies import AnswerSender
from limpetshore.protocol.dialects import RequestIdentity
from limpetshore.protocol.exchanges import (
    Answer,
    Exchange,
    GuardRefusalError,
    OutboundRequest,
)
from limpetshore.protocol.messages import (
    NodeState,
    get_header,
    strip_hop_headers,
)
from limpetshore.routing.authentication import Origin
from limpetshore.routing.ingress_state import IngressState
from limpetshore.routing.relaying import NO_DROPPED_HEADERS, relay_answer
from limpetshore.state.policies import RouteMatch
from limpetshore.verdicts import Reason, Verdict

MIN_SERVER_ERROR_STATUS = 500
MAX_BUFFERED_ANSWER_BYTES = 65536
DOWNSTREAM_LEVEL_WEIGHT = 0.2


class RoutedCall(NamedTuple):
    """Describe a request whose route, caller and target service are known.

    `is_nested` is set for an anonymous call on an open route, which is treated
    as a call of the local backend server. `started_at` is on the local clock.
    """

    match: RouteMatch
    origin: Origin
    identity: RequestIdentity
    service: str
    started_at: float
    is_nested: bool

    def return_unspent_retries(self) -> None:
        """Return the unspent part of the retry budget to the parent call."""
        if self.origin.parent is not None:
            budget = self.origin.budget
            self.origin.parent.budget.settle(budget.granted, budget.spent)


class Attempt:
    """Send a request to one server and deliver its answer.

    `close` settles what the attempt has reserved.
    """

    def __init__(
        self,
        state: IngressState,
        call: RoutedCall,
        sender: AnswerSender,
        server: NodeState,
    ) -> None:
        """Reserve retries for the server and count the call as in flight."""
        self.state = state
        self.call = call
        self.sender = sender
        self.server = server
        self.sent_at = clock.now()
        self.sent: OutboundRequest | None = None
        self.exchange = state.open_exchange(server)
        self.lent = call.origin.budget.lend()
        # Assumed if the attempt ends without a report.
        self.spent = self.lent
        self.stats = state.balancer.stats(server.name)
        self.stats.in_flight += 1

    def open(self, request: OutboundRequest) -> Awaitable[Answer]:
        """Send the request and wait for the head of the answer.

        Raise LateAnswerError if it is late; `resume` waits on.
        """
        self.sent = request
        return self.exchange.open(request)

    def resume(self) -> Awaitable[Answer]:
        """Wait on for the head of a late answer."""
        return self.exchange.resume(self.sent._replace(overdue_after_s=None))

    async def receive(self, answer: Answer) -> bytes | None:
        """Record the head of an answer; return the body of a short one.

        A short answer is buffered until it is complete. One that is truncated
        can then still be refused, or lose to that of another server.
        """
        self.record_head(answer)
        exchange = self.exchange
        length = get_header(answer.head.headers, b'content-length')
        if length is None or int(length) > MAX_BUFFERED_ANSWER_BYTES:
            return None
        body = exchange.take_buffered_body()
        if body is None:
            deadline = self.call.origin.context.deadline
            body = await read_answer_body(exchange, deadline)
        # Free the slot first, so that a slow caller does not occupy it.
        await exchange.close()
        return body

    def record_head(self, answer: Answer) -> None:
        """Record what the head of an answer says."""
        state = self.state
        waited_s = clock.now() - self.sent_at
        self.spent = answer.meta.retries_spent
        state.latencies[self.call.match.name].observe(waited_s)
        state.on_answer(answer.meta, self.server, waited_s)
        has_failed = answer.head.status >= MIN_SERVER_ERROR_STATUS
        state.shedding.observe(
            self.call.match.name,
            is_downstream_overload=has_failed
            and answer.meta.downstream_level > MIN_DOWNSTREAM_OVERLOAD_LEVEL,
        )

    async def deliver(self, answer: Answer, body: bytes | None) -> None:
        """Relay an answer and record its outcome once it is complete.

        `body` is None if the answer has yet to be received.
        """
        await self.relay(answer, body)
        self.record_complete_answer(answer)
        if self.call.is_nested:
            self.state.guard.nested_refusals.count(is_refused=False)

    async def relay(self, answer: Answer, body: bytes | None) -> None:
        """Send an answer to the caller, a long one while it is received."""
        added_headers = self.state.authenticator.dialect.build_answer_headers(
            self.call.identity.text
        )
        if body is None:
            await relay_answer(
                self.exchange, self.sender, answer, added_headers
            )
            return
        headers = strip_hop_headers(answer.head.headers, NO_DROPPED_HEADERS)
        headers += added_headers
        self.sender.send_complete(answer.head.status, headers, body)

    def record_complete_answer(self, answer: Answer) -> None:
        """Update server statistics, retry tokens and latency metrics."""
        state = self.state
        # A failure caused by overload downstream does not count against the
        # server.
        is_own_failure = (
            answer.head.status >= MIN_SERVER_ERROR_STATUS
            and answer.meta.downstream_level <= MIN_DOWNSTREAM_OVERLOAD_LEVEL
        )
        self.stats.record_answer(answer.meta, has_failed=is_own_failure)
        state.retry_tokens[self.call.service].earn()
        self.report_downstream_levels(0, answer.meta.downstream_level)
        latency_s = clock.now() - self.call.started_at
        state.answer_latency.observe(latency_s)

    def record_failure(self, error: Exception) -> None:
        """Record what a failure says about the server."""
        if isinstance(error, GuardRefusalError):
            self.spent = error.meta.retries_spent
            self.stats.record_refusal(error.meta, error.refusal.reason)
            self.report_downstream_levels(
                error.meta.level, error.meta.downstream_level
            )
        elif isinstance(error, RefusedError):
            if error.refusal.verdict == Verdict.NOT_RUN:
                self.spent = 0
            self.stats.record_unanswered(error.refusal.reason)
        elif isinstance(error, TruncatedError):
            self.stats.record_failure()

    def report_downstream_levels(
        self,
        level: float,
        downstream_level: float,
    ) -> None:
        """Report admission levels to the route and to the parent call."""
        self.state.downstream_levels[self.call.match.name].report(
            downstream_level,
            DOWNSTREAM_LEVEL_WEIGHT,
        )
        if self.call.origin.parent:
            self.call.origin.parent.report_downstream_level(
                max(level, downstream_level)
            )

    async def close(self) -> None:
        """End the exchange; settle the retries lent to the server."""
        self.stats.in_flight -= 1
        self.call.origin.budget.settle(self.lent, self.spent)
        await self.exchange.close()


async def read_answer_body(exchange: Exchange, deadline: float) -> bytes:
    """Return the body of an answer, or refuse an answer that is truncated.

    After the deadline, this or the other node may have given it up.
    """
    chunks = []
    try:
        while chunk := await exchange.read_chunk():
            chunks.append(chunk)
    except TruncatedError as error:
        is_late = clock.now() >= deadline
        raise refuse(
            Reason.DEADLINE if is_late else Reason.TRUNCATED,
            str(error),
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
    return b''.join(chunks)
