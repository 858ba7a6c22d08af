"""Dispatch a request to servers with bounded retries.

The outcome of each attempt updates the state of the load balancer.
"""

from collections.abc import Awaitable

import anyio

from limpetshore import clock
from limpetshore.decisions.retry_budgets import is_retry_safe
from limpetshore.errors import (
    LateAnswerError,
    RefusedError,
    TruncatedError,
    refuse,
)
from limpetshore.protocol.bodies import AnswerSender, CallerDisconnectedError
from limpetshore.protocol.dialects import ID_BYTES, count_ms_left
from limpetshore.protocol.exchanges import (
    Answer,
    InboundRequest,
    OutboundRequest,
    forbid_retry,
)
from limpetshore.protocol.messages import CallMeta, NodeState
from limpetshore.randomness import random_pool
from limpetshore.routing.attempt import Attempt, RoutedCall
from limpetshore.routing.ingress_state import IngressState
from limpetshore.routing.races import Lane, find_failure, oppose
from limpetshore.state.deduplication import find_owner
from limpetshore.verdicts import UNSENT_REASONS, Reason, Refusal, Verdict

# Maximum dispatches of a request that no server has run, by refusal reason.
# These dispatches are not charged to the retry budget.
MAX_DISPATCHES = {reason: 6 for reason in UNSENT_REASONS}
MAX_DISPATCHES[Reason.OVERLOADED] = 2
QUICK_REFUSAL_S = 0.05


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
        self.is_racing = False

    async def run(
        self, inbound: InboundRequest, lane: Lane | None = None
    ) -> Exception | None:
        """Try servers until one answers; return the last failure or None.

        The failure is returned, not raised, because a task group would wrap
        it in an exception group.
        """
        has_run = False
        while True:
            failure = await self.attempt(inbound, lane)
            if not isinstance(failure, RefusedError):
                return failure
            refusal = failure.refusal
            has_run = has_run or refusal.verdict == Verdict.MAY_HAVE_RUN
            if not self.acquire_retry(inbound, failure, has_run=has_run):
                verdict = Verdict.MAY_HAVE_RUN if has_run else refusal.verdict
                return RefusedError(refusal._replace(verdict=verdict))

    async def attempt(
        self, inbound: InboundRequest, lane: Lane | None
    ) -> Exception | None:
        """Send the request to one server; return its failure or None."""
        try:
            server = self.choose_server()
        except RefusedError as error:
            return error
        self.tried.append(server.name)
        attempt = Attempt(self.state, self.call, self.sender, server)
        self.sent_at = attempt.sent_at
        request = self.build_request(inbound, attempt)
        try:
            return await self.complete(attempt, attempt.open(request), lane)
        except LateAnswerError:
            return await self.race(attempt, inbound)
        finally:
            await attempt.close()

    async def complete(
        self, attempt: Attempt, waiting: Awaitable[Answer], lane: Lane | None
    ) -> Exception | None:
        """Wait for an answer and deliver it; return the failure or None."""
        try:
            answer = await waiting
            body = await attempt.receive(answer)
            if lane is None or lane.claim():
                await attempt.deliver(answer, body)
        except (
            RefusedError,
            CallerDisconnectedError,
            TruncatedError,
        ) as error:
            attempt.record_failure(error)
            return error
        return None

    async def race(
        self, late: Attempt, inbound: InboundRequest
    ) -> Exception | None:
        """Wait on for a late answer, and ask another server beside it.

        The late attempt is given up only once the other one has an answer:
        its server may be at work, and the other server may refuse.
        """
        self.spend_retry(Reason.SILENT)
        self.is_racing = True
        waiting, retrying = oppose()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.wait_on, late, waiting)
            tasks.start_soon(self.retry_beside, inbound, retrying)
        self.is_racing = False
        if retrying.has_won and waiting.failure is None:
            late.stats.record_unanswered(Reason.SILENT)
        return find_failure(waiting, retrying)

    async def wait_on(self, late: Attempt, lane: Lane) -> None:
        """Wait for a late answer until the other lane has one."""
        with lane.scope:
            lane.failure = await self.complete(late, late.resume(), lane)

    async def retry_beside(self, inbound: InboundRequest, lane: Lane) -> None:
        """Try other servers until the late one has answered."""
        with lane.scope:
            lane.failure = await self.run(inbound, lane)

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
        """Tell whether to ask another server beside a late one.

        A node that is leaving only waits for its outstanding answers.
        """
        if not self.is_repeatable or not self.may_give_up():
            return False
        if self.is_racing:
            return False
        service = self.call.service
        return (
            self.call.origin.budget.remaining > 0
            and self.state.retry_tokens[service].tokens >= 1
            and self.state.balancer.has_untried(service, self.tried)
        )

    def may_give_up(self) -> bool:
        """Tell whether a node that seems dead may be given up.

        A node that is leaving waits for answers until their deadline.
        """
        return not self.state.guard.is_leaving

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

    def build_request(
        self,
        inbound: InboundRequest,
        attempt: Attempt,
    ) -> OutboundRequest:
        """Return the request with the metadata of one attempt.

        One whose body is still received cannot be sent twice.
        """
        call = self.call
        estimate = self.state.latencies[call.match.name]
        is_replayable = inbound.body_rest is None
        context = call.origin.context
        meta = CallMeta(
            random_pool.take_hex(ID_BYTES),
            call.identity.text,
            context.customer,
            call.match.name,
            context.importance,
            count_ms_left(context.deadline - attempt.sent_at),
            attempt.lent,
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
            self.may_retry_elsewhere if is_replayable else forbid_retry,
            estimate.late_after_s(),
            self.may_give_up,
        )
