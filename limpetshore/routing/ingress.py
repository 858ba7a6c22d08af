"""Serve requests of callers and of the local backend server."""

from typing import Any

import anyio
from logbook import Logger

from limpetshore import clock
from limpetshore.decisions.admission_levels import should_refuse
from limpetshore.decisions.retry_schedule import suggest_retry_after
from limpetshore.errors import RefusedError, TruncatedError, refuse
from limpetshore.importance import Importance
from limpetshore.protocol.bodies import (
    AnswerSender,
    CallerDisconnectedError,
    send_refusal,
)
from limpetshore.protocol.dialects import RequestIdentity
from limpetshore.protocol.exchanges import (
    ANSWER_TAIL_S,
    InboundRequest,
    read_inbound_request,
)
from limpetshore.protocol.messages import get_header
from limpetshore.routing.attempt import RoutedCall
from limpetshore.routing.attempts import Attempts
from limpetshore.routing.authentication import ANONYMOUS
from limpetshore.routing.ingress_state import IngressState
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.responses import Headers
from limpetshore.transport.server_request import ServerRequest
from limpetshore.verdicts import Reason, Refusal, Verdict

logger = Logger(__name__)

CUT = 'cut'  # counted beside the reasons of refusals
CAPACITY_REASONS = frozenset((Reason.OVERLOADED, Reason.DEADLINE))


class Ingress(IngressState, CallApp):
    """Serve all requests that enter at this node."""

    async def serve(self, request: ServerRequest) -> None:
        """Answer one request or refuse it."""
        handler = RequestHandler(self, request)
        try:
            await handler.run()
        finally:
            if not request.is_answered:
                handler.log_cut()

    def count_lost_answer(self, ended_by: str) -> None:
        """Count an answer whose bytes were dropped."""
        self.metrics.lost_answers.labels('ingress', ended_by).inc()


def read_host(headers: Headers) -> str:
    """Return the host header in lower case, without the port.

    >>> read_host([(b'host', b'Yard.example:80')])
    'yard.example'
    """
    host = get_header(headers, b'host') or b''
    return host.decode('latin-1').partition(':')[0].lower()


class RequestHandler:
    """Handle one request from its head to the end of its answer."""

    def __init__(self, state: IngressState, request: ServerRequest) -> None:
        """Prepare; `run` reads the request id and serves the request."""
        self.state = state
        self.request = request
        self.headers: Headers = request.headers
        self.dialect = state.authenticator.dialect
        self.sender = AnswerSender(request, state.settings.call.stall_s)
        self.started_at = clock.now()
        self.identity = RequestIdentity('', is_from_caller=False, root='')
        self.call: RoutedCall | None = None
        self.attempts: Attempts | None = None
        self.cut_detail = ''

    async def run(self) -> None:
        """Answer the request or refuse it; count an unexpected error."""
        try:
            await self.serve()
        except RefusedError as error:
            self.finish_refused(
                suggest_retry_after(error.refusal, self.state.rng)
            )
        except (CallerDisconnectedError, TruncatedError) as error:
            # The server closes the connection of an incomplete answer.
            self.cut_detail = str(error)
        except Exception:
            self.cut_detail = 'unexpected exception'
            self.state.metrics.report_defect('ingress')
            raise

    def finish_refused(self, refusal: Refusal) -> None:
        """Count and log a refusal; send it unless an answer has started."""
        self.state.metrics.count_refusal('ingress', refusal)
        is_passed_on = self.was_passed_on(refusal)
        if is_passed_on and not self.sender.has_started:
            self.count_own_answer(refusal.reason)
        is_overdue = refusal.reason == Reason.DEADLINE and self.is_past_deadline
        self.log_refusal(
            refusal, 'NOTICE' if is_passed_on and not is_overdue else 'INFO'
        )
        if self.call and self.call.is_nested:
            is_capacity_refusal = refusal.reason in CAPACITY_REASONS
            self.state.guard.nested_refusals.count(
                is_refused=is_capacity_refusal
            )
        if self.call and refusal.verdict == Verdict.NOT_RUN:
            self.state.authenticator.refund(self.call.origin)
        if not self.sender.has_started:
            rendered = self.dialect.render(refusal, self.identity.text)
            send_refusal(self.sender, rendered)

    def was_passed_on(self, refusal: Refusal) -> bool:
        """Tell whether a server may have begun with the refused request.

        The reason `repeated` speaks of an earlier request of the same id.
        """
        return (
            self.attempts is not None
            and bool(self.attempts.tried)
            and refusal.verdict == Verdict.MAY_HAVE_RUN
            and refusal.reason != Reason.REPEATED
        )

    def count_own_answer(self, reason: str) -> None:
        """Count the end of a request that was passed on to a server."""
        is_leaving = self.state.drain.leaving_for_s is not None
        self.state.metrics.own_answers.labels(
            reason, str(is_leaving).lower()
        ).inc()

    def log_refusal(self, refusal: Refusal, level: str) -> None:
        """Log the reason of a refusal and the details of its request."""
        logger.log(
            level,
            'refused: {0}',
            refusal.reason.value,
            extra={
                'request_id': self.identity.text,
                'verdict': refusal.verdict.value,
                'detail': refusal.detail,
                'retry_after_s': round(refusal.retry_after_s, 3),
                **self.describe(),
            },
        )

    def log_cut(self) -> None:
        """Log why a request ends without a complete answer.

        One that was passed on and has time left is lost, unless its caller has
        disconnected.
        """
        request = self.request
        is_left = request.is_disconnected and not request.is_ended_here
        cause = 'the caller disconnected' if is_left else 'the node stops'
        if request.is_ended_here:
            cause = 'an earlier answer closed the connection'
        is_passed_on = bool(self.attempts and self.attempts.tried)
        if is_passed_on and not is_left:
            self.count_own_answer(CUT)
        is_lost = is_passed_on and not is_left and not self.is_past_deadline
        logger.log(
            'NOTICE' if is_lost else 'INFO',
            'connection closed without a complete answer',
            extra={
                'request_id': self.identity.text,
                'detail': self.cut_detail or cause,
                'has_started': self.sender.has_started,
                **self.describe(),
            },
        )

    def describe(self) -> dict[str, Any]:
        """Return the details of the request that each log line has."""
        call = self.call
        return {
            'customer': call.origin.context.customer if call else '',
            'service': call.service if call else '',
            'tried': self.attempts.tried if self.attempts else [],
            'after_s': round(clock.now() - self.started_at, 3),
            'left_s': self.left_s,
            'leaving_for_s': self.state.drain.leaving_for_s,
        }

    @property
    def left_s(self) -> float | None:
        """Return the seconds until the deadline; None if it is not known."""
        if self.call is None:
            return None
        return round(self.call.origin.context.deadline - clock.now(), 3)

    @property
    def is_past_deadline(self) -> bool:
        """Tell whether the request has used up its time."""
        return self.left_s is not None and self.left_s <= 0

    async def serve(self) -> None:
        """Resolve the call, then forward it to a server."""
        self.identity = self.dialect.read_request_id(self.headers)
        self.request.request_id = self.identity.text
        self.call = await self.resolve_call()
        self.attempts = Attempts(self.state, self.call, self.sender)
        try:
            await self.forward(self.call)
        finally:
            self.call.return_unspent_retries()

    async def resolve_call(self) -> RoutedCall:
        """Find the route, the caller and the service of the request."""
        index = self.state.index
        if index is None:
            raise refuse(Reason.NO_POLICY, 'this node has no policy yet')
        match = index.find_route(
            self.request.method.decode(),
            self.request.path,
            read_host(self.headers),
        )
        if match is None:
            raise refuse(Reason.ROUTE_UNKNOWN, 'no route for method and path')
        origin = await self.state.authenticator.identify(
            self.request,
            index,
            match,
            self.identity,
        )
        is_anonymous = origin.context.customer == ANONYMOUS
        return RoutedCall(
            match=match,
            origin=origin,
            identity=self.identity,
            service=self.state.splitter.choose(match),
            started_at=self.started_at,
            is_nested=is_anonymous and match.route.is_open,
        )

    async def forward(self, call: RoutedCall) -> None:
        """Read the body and try servers until one answers.

        A nested call is not shed here, so that requests already begun are
        finished first.
        """
        if not call.is_nested:
            self.check_shedding(call)
            self.check_admission_levels(call)
        if not call.match.route.is_repeatable:
            # A caller resends pipelined requests that follow an answer with
            # "connection: close", so this one must not run before its turn.
            await self.request.wait_turn()
        deadline = call.origin.context.deadline
        end_at = deadline + ANSWER_TAIL_S
        self.sender.deadline = end_at
        inbound = await read_inbound_request(
            self.request,
            self.dialect.dropped_headers,
            self.state.settings.call,
            deadline,
        )
        if self.state.guard.is_leaving:
            self.check_drain(end_at)
        if inbound.body_rest is None:
            failure = await self.attempts.run(inbound)
        else:
            failure = await self.run_attempts_streaming(inbound)
        if failure is not None:
            raise failure

    async def run_attempts_streaming(
        self, inbound: InboundRequest
    ) -> Exception | None:
        """Try servers while the rest of the request body is received."""
        async with anyio.create_task_group() as tasks:
            failure = await self.attempts.run(inbound._replace(tasks=tasks))
            tasks.cancel_scope.cancel()
        return failure

    def check_drain(self, end_at: float) -> None:
        """Refuse a request that could outlast a node that stops.

        It may return once the node has been started again.
        """
        drain = self.state.drain
        if not drain.may_take(end_at):
            raise refuse(
                Reason.DRAINING,
                'the node stops before the deadline',
                retry_after_s=drain.remaining_s,
            )

    def check_admission_levels(self, call: RoutedCall) -> None:
        """Refuse a request that a downstream service would likely refuse."""
        levels = (
            self.state.balancer.lowest_admission_level(call.service),
            self.state.downstream_levels[call.match.name].read(),
        )
        importance = call.origin.context.importance
        if should_refuse(max(levels), importance, self.state.rng):
            raise refuse(
                Reason.OVERLOADED,
                'a service on the way is overloaded',
            )

    def check_shedding(self, call: RoutedCall) -> None:
        """Shed requests that would fail for lack of capacity downstream."""
        importance = call.origin.context.importance
        rank = importance * len(Importance) + call.match.importance
        if not self.state.shedding.admits(call.match.name, rank):
            raise refuse(
                Reason.OVERLOADED,
                'calls further down find no room',
            )
