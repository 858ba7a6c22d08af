"""Dispatch a request to servers with bounded retries.

The outcome of each attempt updates the state of the load balancer.
"""

from typing import NamedTuple

from limpetshore import clock
from limpetshore.decisions.latency_estimate import LatencyEstimate
from limpetshore.decisions.retry_budgets import is_retry_safe
from limpetshore.decisions.shedding import MIN_DOWNSTREAM_OVERLOAD_LEVEL
from limpetshore.errors import RefusedError, TruncatedError, refuse
from limpetshore.protocol.bodies import AnswerSender, CallerDisconnectedError
from limpetshore.protocol.dialects import (
    ID_BYTES,
    RequestIdentity,
    count_ms_left,
)
from limpetshore.protocol.exchanges import (
    Answer,
    Exchange,
    GuardRefusalError,
    InboundRequest,
    OutboundRequest,
)
from limpetshore.protocol.messages import (
    CallMeta,
    NodeState,
    get_header,
    strip_hop_headers,
)
from limpetshore.randomness import random_pool
from limpetshore.routing.authentication import Origin
from limpetshore.routing.ingress_state import IngressState
from limpetshore.routing.relaying import NO_DROPPED_HEADERS, relay_answer
from limpetshore.state.deduplication import find_owner
from limpetshore.state.policies import RouteMatch
from limpetshore.verdicts import UNSENT_REASONS, Reason, Refusal, Verdict

# Maximum dispatches of a request that no server has run, by refusal reason.
# These dispatches are not charged to the retry budget.
MAX_DISPATCHES = {reason: 6 for reason in UNSENT_REASONS}
MAX_DISPATCHES[Reason.OVERLOADED] = 2
QUICK_REFUSAL_S = 0.05
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


class Attempts:
    """Dispatch one request to servers in turn until one answers."""

    def __init__(
        self,
        state: IngressState,
        call: RoutedCall,
        sender: AnswerSender,
    ) -> None:
        """Prepare; `run` makes the first attempt."""
        self.state = state
        self.call = call
        self.sender = sender
        self.is_repeatable = call.match.route.is_repeatable
        self.tried: list[str] = []
        self.sent_at = call.started_at

    async def run(self, inbound: InboundRequest) -> Exception | None:
        """Try servers until one answers; return the last failure or None.

        The failure is returned, not raised, because a task group would wrap
        it in an exception group.
        """
        has_run = False
        while True:
            try:
                await self.attempt(inbound)
            except RefusedError as error:
                refusal = error.refusal
                has_run = has_run or refusal.verdict == Verdict.MAY_HAVE_RUN
                if self.acquire_retry(inbound, error, has_run=has_run):
                    continue
                verdict = Verdict.MAY_HAVE_RUN if has_run else refusal.verdict
                return RefusedError(refusal._replace(verdict=verdict))
            except (CallerDisconnectedError, TruncatedError) as error:
                return error
            return None

    def acquire_retry(
        self,
        inbound: InboundRequest,
        error: RefusedError,
        *,
        has_run: bool,
    ) -> bool:
        """Tell whether to make another attempt, and charge it to the budgets.

        A request is not retried if its body exceeds the replay buffer, its
        answer has started or its deadline has passed.
        """
        if inbound.body_rest is not None or self.sender.has_started:
            return False
        if clock.now() >= self.call.origin.context.deadline:
            return False
        reason = error.refusal.reason
        is_repeatable = self.is_repeatable
        if (is_repeatable or not has_run) and self.may_redispatch(
            error.refusal
        ):
            self.count_retry(reason)
            return True
        is_safe = is_retry_safe(
            reason,
            has_run=has_run,
            is_repeatable=is_repeatable,
        )
        return is_safe and self.spend_retry(reason)

    def may_redispatch(self, refusal: Refusal) -> bool:
        """Tell whether to dispatch the request to a server not tried yet.

        The request did not run anywhere, so the dispatch costs no retry.
        """
        if refusal.verdict != Verdict.NOT_RUN:
            return False
        if len(self.tried) >= MAX_DISPATCHES.get(refusal.reason, 0):
            return False
        is_quick = clock.now() < self.sent_at + QUICK_REFUSAL_S
        if refusal.reason == Reason.OVERLOADED and not is_quick:
            return False
        balancer = self.state.balancer
        return balancer.has_untried(self.call.service, self.tried)

    def may_retry_elsewhere(self) -> bool:
        """Tell whether an overdue attempt may be retried at another server.

        A node that is leaving keeps waiting for its outstanding answers, and
        so does one that knows no other server: the attempt would be given up
        for nothing.
        """
        if not self.is_repeatable or self.state.guard.is_leaving:
            return False
        service = self.call.service
        return (
            self.call.origin.budget.remaining > 0
            and self.state.retry_tokens[service].tokens >= 1
            and self.state.balancer.has_untried(service, self.tried)
        )

    def spend_retry(self, reason: Reason) -> bool:
        """Spend a retry of the request and a token of the service.

        Return False, and spend neither, if one of the two is exhausted.
        """
        withheld = self.state.metrics.retries_withheld
        budget = self.call.origin.budget
        if not budget.remaining:
            withheld.labels('request_budget').inc()
            return False
        if not self.state.retry_tokens[self.call.service].spend():
            withheld.labels('service_tokens').inc()
            return False
        budget.spend()
        self.count_retry(reason)
        return True

    def count_retry(self, reason: Reason) -> None:
        """Count a retry in the metrics under the reason it follows."""
        children = self.state.metrics.retry_children
        children[reason].inc()

    def choose_server(self) -> NodeState:
        """Return the server for the next attempt.

        A non-repeatable request with an id of its caller goes to the server
        that owns the id; any other one to the choice of the load balancer.
        """
        state = self.state
        service = self.call.service
        server: NodeState | None = None
        if self.is_repeatable or not self.call.identity.is_from_caller:
            server = state.balancer.choose(service, self.tried)
        else:
            owner = find_owner(
                self.call.identity.text,
                state.fencing.list_request_id_owners(service),
            )
            server = state.balancer.table.get(owner or '')
        if server is None:
            raise refuse(
                Reason.NO_SERVER,
                f'no server of {service} is known',
            )
        return server

    async def attempt(self, inbound: InboundRequest) -> None:
        """Send the request to one server and relay its answer to the caller."""
        server = self.choose_server()
        self.tried.append(server.name)
        stats = self.state.balancer.stats(server.name)
        lent = self.call.origin.budget.lend()
        estimate = self.state.latencies[self.call.match.name]
        self.sent_at = clock.now()
        sent = self.build_request(inbound, lent, estimate)
        exchange = self.state.open_exchange(server)
        spent = lent  # assumed if the attempt ends without a report
        stats.in_flight += 1
        try:
            answer = await exchange.open(sent)
            estimate.observe(clock.now() - self.sent_at)
            spent = answer.meta.retries_spent
            await self.deliver_and_record(server, exchange, answer)
        except GuardRefusalError as error:
            spent = error.meta.retries_spent
            stats.record_refusal(error.meta, error.refusal.reason)
            self.report_downstream_levels(
                error.meta.level, error.meta.downstream_level
            )
            raise
        except RefusedError as error:
            if error.refusal.verdict == Verdict.NOT_RUN:
                spent = 0
            stats.record_unanswered(error.refusal.reason)
            raise
        except TruncatedError:
            stats.record_failure()
            raise
        finally:
            stats.in_flight -= 1
            self.call.origin.budget.settle(lent, spent)
            await exchange.close()

    def build_request(
        self,
        inbound: InboundRequest,
        lent: int,
        estimate: LatencyEstimate,
    ) -> OutboundRequest:
        """Return the request with the metadata of one attempt.

        `lent` is the number of retries that the next hop may spend.
        """
        call = self.call
        context = call.origin.context
        meta = CallMeta(
            random_pool.take_hex(ID_BYTES),
            call.identity.text,
            context.customer,
            call.match.name,
            context.importance,
            count_ms_left(context.deadline - self.sent_at),
            lent,
            context.depth,
            self.is_repeatable,
            call.identity.is_from_caller,
            call.service,
            self.state.settings.backend.service,
            context.precedence,
        )
        return OutboundRequest(
            inbound,
            meta,
            context.deadline,
            None,
            estimate.overdue_after_s(),
            self.may_retry_elsewhere,
            estimate.late_after_s(),
        )

    async def deliver_and_record(
        self,
        server: NodeState,
        exchange: Exchange,
        answer: Answer,
    ) -> None:
        """Relay an answer and record its outcome once it is complete."""
        self.state.on_answer(answer.meta, server, clock.now() - self.sent_at)
        has_failed = answer.head.status >= MIN_SERVER_ERROR_STATUS
        self.state.shedding.observe(
            self.call.match.name,
            is_downstream_overload=has_failed
            and answer.meta.downstream_level > MIN_DOWNSTREAM_OVERLOAD_LEVEL,
        )
        await self.deliver(exchange, answer)
        self.record_complete_answer(server, answer)
        if self.call.is_nested:
            self.state.guard.nested_refusals.count(is_refused=False)

    def record_complete_answer(
        self,
        server: NodeState,
        answer: Answer,
    ) -> None:
        """Update server statistics, retry tokens and latency metrics."""
        state = self.state
        # A failure caused by overload downstream does not count against the
        # server.
        is_own_failure = (
            answer.head.status >= MIN_SERVER_ERROR_STATUS
            and answer.meta.downstream_level <= MIN_DOWNSTREAM_OVERLOAD_LEVEL
        )
        state.balancer.stats(server.name).record_answer(
            answer.meta,
            has_failed=is_own_failure,
        )
        state.retry_tokens[self.call.service].earn()
        self.report_downstream_levels(0, answer.meta.downstream_level)
        latency_s = clock.now() - self.call.started_at
        state.answer_latency.observe(latency_s)

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

    async def deliver(self, exchange: Exchange, answer: Answer) -> None:
        """Relay an answer; a short one is buffered until it is complete.

        A short answer that is truncated can then still be refused.
        """
        length = get_header(answer.head.headers, b'content-length')
        added_headers = self.state.authenticator.dialect.build_answer_headers(
            self.call.identity.text
        )
        if length is None or int(length) > MAX_BUFFERED_ANSWER_BYTES:
            await relay_answer(exchange, self.sender, answer, added_headers)
            return
        body = exchange.take_buffered_body()
        if body is None:
            deadline = self.call.origin.context.deadline
            body = await read_answer_body(exchange, deadline)
        headers = strip_hop_headers(answer.head.headers, NO_DROPPED_HEADERS)
        headers += added_headers
        # Free the slot first, so that a slow caller does not occupy it.
        await exchange.close()
        self.sender.send_complete(answer.head.status, headers, body)


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
