"""Take requests from callers and the local backend server to an answer."""

import random
from collections.abc import Callable

from anyio.abc import TaskGroup
from logbook import Logger

from limpetshore import clock
from limpetshore.balancing import Balancer
from limpetshore.bodies import (
    AnswerSender,
    CallerGoneError,
    RequestBody,
    send_refusal,
)
from limpetshore.budgets import RetryTokens, is_retry_safe
from limpetshore.callers import (
    ANONYMOUS,
    Callers,
    Origin,
)
from limpetshore.dialects import ID_BYTES, MS_IN_S, RequestName
from limpetshore.errors import RefusedError, TruncatedError, refuse
from limpetshore.exchanges import (
    Answer,
    AnswerRefusedError,
    Exchange,
    OutboundRequest,
)
from limpetshore.guard import Guard, GuardExchange
from limpetshore.httpclient import Headers, HttpPool
from limpetshore.latencies import LatencyEstimate
from limpetshore.levels import ReportedLevel, should_refuse
from limpetshore.messages import (
    AnswerMeta,
    CallMeta,
    NodeState,
    clean_headers,
    take_header,
)
from limpetshore.metrics import Metrics
from limpetshore.peers import (
    PeerExchange,
    pass_on,
    run_with_tasks,
)
from limpetshore.policies import Importance, PolicyIndex, RouteMatch
from limpetshore.randomness import random_pool
from limpetshore.repeats import find_owner
from limpetshore.serving import CallApp, ServerRequest
from limpetshore.settings import NodeSettings, parse_address
from limpetshore.shedding import CLEAR_SIGN, EdgeShedding
from limpetshore.splits import Splitter
from limpetshore.standing import Standing
from limpetshore.verdicts import UNSENT_REASONS, Reason, Refusal, Verdict

logger = Logger(__name__)

# How often a request that no server has seen is placed, by what refused it.
PLACEMENTS = {reason: 6 for reason in UNSENT_REASONS}
PLACEMENTS[Reason.OVERLOADED] = 3
QUICK_REFUSAL_S = 0.05
SERVER_ERROR = 500
RETURN_S = (0.4, 1.2)
NO_ROOM_REASONS = frozenset((Reason.OVERLOADED, Reason.DEADLINE))
SMALL_ANSWER_BYTES = 65536
DEEP_LEVEL_WEIGHT = 0.2


AnswerListener = Callable[[AnswerMeta, NodeState, float], None]


class Ingress(CallApp):
    """Hold what all requests that enter at this node share."""

    def __init__(  # noqa: WPS211
        self,
        settings: NodeSettings,
        metrics: Metrics,
        guard: Guard,
        balancer: Balancer,
        callers: Callers,
        standing: Standing,
        chance: random.Random,
        learn: AnswerListener,
    ) -> None:
        """Start without a policy; `learn` hears of each node's answer."""
        self.learn = learn
        self.settings = settings
        self.metrics = metrics
        self.guard = guard
        self.balancer = balancer
        self.callers = callers
        self.standing = standing
        self.chance = chance
        self.index: PolicyIndex | None = None
        self.pools: dict[str, HttpPool] = {}
        self.retry_tokens: dict[str, RetryTokens] = {}
        self.deep_levels: dict[str, ReportedLevel] = {}
        self.is_leaving = False
        self.splitter = Splitter()
        self.shedding = EdgeShedding(chance)
        self.latencies: dict[str, LatencyEstimate] = {}
        self.most_retry_tokens = settings.admission.retry_tokens
        self.share_retries(1)

    async def serve(self, request: ServerRequest) -> None:
        """Serve one request."""
        try:
            await Handling(self, request).run()
        except Exception:
            self.metrics.report_defect('ingress')
            raise

    def pool(self, address: str) -> HttpPool:
        """Return the connections to another node."""
        found = self.pools.get(address)
        if found is None:
            found = HttpPool(
                parse_address(address),
                self.settings.call.max_idle_s,
                self.settings.call.connect_s,
            )
            self.pools[address] = found
        return found

    def tokens(self, service: str) -> RetryTokens:
        """Return the retry tokens of a service."""
        found = self.retry_tokens.get(service)
        if found is None:
            earning = self.settings.admission.retry_earning
            found = RetryTokens(self.most_retry_tokens, earning)
            self.retry_tokens[service] = found
        return found

    def latency(self, route: str) -> LatencyEstimate:
        """Return the estimate for the answers on a route."""
        found = self.latencies.get(route)
        if found is None:
            found = LatencyEstimate()
            self.latencies[route] = found
        return found

    def share_retries(self, nodes: int) -> None:
        """Divide the retries that the fleet may save up among its nodes."""
        total = self.settings.admission.fleet_retry_tokens
        if not total:
            return
        self.most_retry_tokens = max(1, total / max(1, nodes))
        for tokens in self.retry_tokens.values():
            tokens.resize(self.most_retry_tokens)

    def deep_level(self, route: str) -> ReportedLevel:
        """Return the level met below a route."""
        found = self.deep_levels.get(route)
        if found is None:
            found = ReportedLevel(self.settings.admission.level_half_life_s)
            self.deep_levels[route] = found
        return found

    def open_exchange(self, server: NodeState) -> Exchange:
        """Return the way to a server: the local guard or another node."""
        if server.name == self.settings.node.name:
            return GuardExchange(self.guard)
        call = self.settings.call
        return PeerExchange(
            self.pool(server.peers),
            call.silence_s,
            call.stall_s,
            call.quiet_s,
        )


def read_host(headers: Headers) -> str:
    """Return the host a request is for, without its port.

    >>> read_host([(b'host', b'Yard.example:80')])
    'yard.example'
    """
    host = take_header(headers, b'host') or b''
    return host.decode('latin-1').partition(':')[0].lower()


class Handling:
    """Take one request from its head to the end of its answer."""

    def __init__(
        self,
        ingress: Ingress,
        request: ServerRequest,
    ) -> None:
        """Look at the headers."""
        self.ingress = ingress
        self.request = request
        self.headers: Headers = request.headers
        self.sender = AnswerSender(request, ingress.settings.call.stall_s)
        self.started = clock.now()
        self.sent_at = self.started
        self.name = RequestName('', is_from_caller=False)
        self.tried: list[str] = []
        self.origin: Origin | None = None
        self.service = ''
        self.customer = ''
        self.is_repeatable = False
        self.is_nested = False
        self.dialect = ingress.callers.dialect

    async def run(self) -> None:
        """Answer the request or refuse it, never leave it without a word."""
        try:
            await self.serve()
        except RefusedError as error:
            self.ingress.metrics.count_refusal('ingress', error.refusal)
            self.log_refusal(error.refusal)
            if self.is_nested:
                self.learn_nested(error.refusal)
            if not self.sender.has_started:
                rendered = self.dialect.render(error.refusal, self.name.text)
                send_refusal(self.sender, rendered)
        except (CallerGoneError, TruncatedError) as error:
            # An answer left without its end is cut with its connection.
            logger.debug('answer cut: {0}', error)

    def log_refusal(self, refusal: Refusal) -> None:
        """Log why the request is refused, and what was known of it."""
        context = self.origin.context if self.origin else None
        logger.info(
            'refused: {0}',
            refusal.reason.value,
            extra={
                'request_id': self.name.text,
                'verdict': refusal.verdict.value,
                'detail': refusal.detail,
                'retry_after_s': round(refusal.retry_after, 3),
                'customer': context.customer if context else self.customer,
                'service': self.service,
                'tried': self.tried,
                'after_s': round(clock.now() - self.started, 3),
            },
        )

    async def serve(self) -> None:
        """Check the request, read its body and have it answered."""
        self.name = self.dialect.read_name(self.headers)
        index = self.ingress.index
        if index is None:
            raise refuse(Reason.NO_POLICY, 'this node has no policy yet')
        match = index.find_route(
            self.request.method.decode(),
            self.request.path,
            read_host(self.headers),
        )
        if match is None:
            raise refuse(Reason.ROUTE_UNKNOWN, 'no route for method and path')
        self.origin = await self.ingress.callers.identify(
            self.request,
            index,
            match,
            self.name.text,
        )
        self.service = self.ingress.splitter.choose(match)
        self.is_repeatable = match.route.is_repeatable
        is_anonymous = self.origin.context.customer == ANONYMOUS
        self.is_nested = is_anonymous and match.route.is_open
        try:
            await self.have_answered(match)
        finally:
            self.settle()

    async def have_answered(self, match: RouteMatch) -> None:
        """Read the body and try servers until one answers."""
        self.check_levels(match)
        if not match.route.is_repeatable:
            # A caller sends what stands behind a closing answer once more.
            await self.request.wait_turn()
        body = self.open_body()
        first = await body.read_first(self.ingress.settings.call.replay_bytes)
        request = self.build_request(match, body, first)
        if body.is_complete:
            failure = await self.attempt_until_answered(match, request)
        else:
            failure = await self.attempt_with_rest(match, request, body)
        if failure is not None:
            raise failure

    async def attempt_with_rest(
        self,
        match: RouteMatch,
        request: OutboundRequest,
        body: RequestBody,
    ) -> Exception | None:
        """Try servers while the rest of the body still comes."""
        failure: Exception | None = None

        async def try_servers(tasks: TaskGroup | None) -> None:  # noqa: WPS430
            nonlocal failure  # noqa: WPS420
            failure = await self.attempt_until_answered(
                match,
                request._replace(tasks=tasks),
            )

        await run_with_tasks(body, try_servers)
        return failure

    def check_levels(self, match: RouteMatch) -> None:
        """Refuse early what a server further down would refuse late."""
        if self.is_nested:
            return  # what has begun is finished first
        self.check_shedding(match)
        ingress = self.ingress
        importance = self.origin.context.importance
        levels = (
            ingress.balancer.service_level(self.service),
            ingress.deep_level(match.name).read(),
        )
        if should_refuse(max(levels), importance, ingress.chance):
            raise refuse(
                Reason.OVERLOADED,
                'a service on the way is overloaded',
                retry_after=1,
            )

    def check_shedding(self, match: RouteMatch) -> None:
        """Refuse early what servers would work on in vain."""
        shedding = self.ingress.shedding
        importance = self.origin.context.importance
        rank = importance * len(Importance) + match.importance
        if not shedding.admits(match.name, rank):
            raise refuse(
                Reason.OVERLOADED,
                'calls further down find no room',
                retry_after=self.ingress.chance.uniform(*RETURN_S),
            )

    def learn_nested(self, refusal: Refusal | None) -> None:
        """Note whether a call of the local server found room."""
        is_refused = refusal is not None and refusal.reason in NO_ROOM_REASONS
        self.ingress.guard.turned_away.count(is_refused=is_refused)

    def open_body(self) -> RequestBody:
        """Return the request body, to be read in bounded memory."""
        call = self.ingress.settings.call
        return RequestBody(
            self.request,
            max_bytes=call.max_body_bytes,
            stall_s=call.stall_s,
        )

    def build_request(
        self,
        match: RouteMatch,
        body: RequestBody,
        first: bytes,
    ) -> OutboundRequest:
        """Return what is sent on, without the caller's key."""
        context = self.origin.context
        meta = CallMeta(
            call_id='',
            request_id=self.name.text,
            customer=context.customer,
            route=match.name,
            importance=int(context.importance),
            timeout_ms=0,
            retries_left=0,
            depth=context.depth,
            is_repeatable=match.route.is_repeatable,
            is_id_from_caller=self.name.is_from_caller,
            service=self.service,
            caller_service=self.ingress.settings.backend.service,
        )
        return OutboundRequest(
            method=self.request.method,
            target=self.request.target,
            headers=clean_headers(
                self.headers,
                self.dialect.dropped_headers,
            ),
            first=first,
            rest=None if body.is_complete else body.read_rest(),
            length=body.length,
            meta=meta,
            deadline=context.deadline,
            tasks=None,
        )

    async def attempt_until_answered(
        self,
        match: RouteMatch,
        request: OutboundRequest,
    ) -> Exception | None:
        """Try servers until one answers; return the last failure.

        Failures are returned, not raised, since a task group would wrap them.
        """
        has_run = False
        while True:
            try:
                await self.attempt(match, request)
            except RefusedError as error:
                refusal = error.refusal
                has_run = has_run or refusal.verdict == Verdict.MAY_HAVE_RUN
                if self.may_retry(match, request, error, has_run=has_run):
                    continue
                verdict = Verdict.MAY_HAVE_RUN if has_run else refusal.verdict
                return RefusedError(refusal._replace(verdict=verdict))
            except (CallerGoneError, TruncatedError) as error:
                return error
            return None

    def may_retry(
        self,
        match: RouteMatch,
        request: OutboundRequest,
        error: RefusedError,
        *,
        has_run: bool,
    ) -> bool:
        """Decide on another attempt and pay for it."""
        if request.rest is not None or self.sender.has_started:
            return False
        if clock.now() >= request.deadline:
            return False
        reason = error.refusal.reason
        is_repeatable = match.route.is_repeatable
        if (is_repeatable or not has_run) and self.may_place(error.refusal):
            self.count_retry(reason)
            return True
        is_safe = is_retry_safe(
            reason,
            has_run=has_run,
            is_repeatable=is_repeatable,
        )
        return is_safe and self.pay_retry(reason)

    def may_place(self, refusal: Refusal) -> bool:
        """Tell whether to try a server that has not refused the request yet.

        No server has seen the request, so that it costs no retry.
        """
        if refusal.verdict != Verdict.NOT_RUN:
            return False
        if len(self.tried) >= PLACEMENTS.get(refusal.reason, 0):
            return False
        is_quick = clock.now() < self.sent_at + QUICK_REFUSAL_S
        if refusal.reason == Reason.OVERLOADED and not is_quick:
            return False
        balancer = self.ingress.balancer
        return balancer.has_untried(self.service, self.tried)

    def may_abandon(self) -> bool:
        """Tell whether an overdue answer can be asked for elsewhere."""
        return (
            self.is_repeatable
            and self.origin.budget.left > 0
            and self.ingress.tokens(self.service).tokens >= 1
        )

    def pay_retry(self, reason: Reason) -> bool:
        """Take a retry from both budgets; return False if one is empty."""
        metrics = self.ingress.metrics
        if not self.ingress.tokens(self.service).spend():
            metrics.retries_withheld.labels('service_tokens').inc()
            return False
        if not self.origin.budget.spend():
            metrics.retries_withheld.labels('request_budget').inc()
            return False
        self.count_retry(reason)
        return True

    def count_retry(self, reason: Reason) -> None:
        """Count another attempt by what ended the one before."""
        children = self.ingress.metrics.retry_children
        children[reason].inc()

    def choose_server(self, match: RouteMatch) -> NodeState:
        """Return the server for the next attempt."""
        ingress = self.ingress
        service = self.service
        server: NodeState | None = None
        if match.route.is_repeatable or not self.name.is_from_caller:
            server = ingress.balancer.choose(service, self.tried)
        else:
            owner = find_owner(
                self.name.text,
                ingress.standing.list_owners(service),
            )
            server = ingress.balancer.table.get(owner or '')
        if server is None:
            raise refuse(
                Reason.NO_SERVER,
                f'no server of {service} is known',
                retry_after=1,
            )
        return server

    async def attempt(
        self,
        match: RouteMatch,
        request: OutboundRequest,
    ) -> None:
        """Have one server answer, and pass the answer to the caller."""
        server = self.choose_server(match)
        self.tried.append(server.name)
        view = self.ingress.balancer.view(server.name)
        lent = self.origin.budget.lend()
        estimate = self.ingress.latency(match.name)
        self.sent_at = clock.now()
        sent = self.prepare_attempt(request, lent, estimate.patience())
        exchange = self.ingress.open_exchange(server)
        spent = lent  # what an attempt spent that ends without a word
        view.in_flight += 1
        try:
            answer = await exchange.open(sent)
            estimate.observe(clock.now() - self.sent_at)
            spent = answer.meta.retries_spent
            await self.deliver_and_learn(match, server, exchange, answer)
        except AnswerRefusedError as error:
            spent = error.meta.retries_spent
            view.learn_refusal(error.meta, error.refusal.reason)
            self.learn_deep(match, error.meta.level, error.meta.deep_level)
            raise
        except RefusedError as error:
            if error.refusal.verdict == Verdict.NOT_RUN:
                spent = 0
            view.learn_loss(error.refusal.reason)
            raise
        except TruncatedError:
            view.fail()
            raise
        finally:
            view.in_flight -= 1
            self.origin.budget.settle(lent, spent)
            await exchange.close()

    def prepare_attempt(
        self,
        request: OutboundRequest,
        lent: int,
        patience_s: float | None,
    ) -> OutboundRequest:
        """Return the request as one attempt sends it."""
        left_ms = int((request.deadline - clock.now()) * MS_IN_S)
        meta = request.meta._replace(
            call_id=random_pool.take_hex(ID_BYTES),
            timeout_ms=max(1, left_ms),
            retries_left=lent,
        )
        return request._replace(
            meta=meta,
            patience_s=patience_s,
            may_abandon=self.may_abandon,
        )

    async def deliver_and_learn(
        self,
        match: RouteMatch,
        server: NodeState,
        exchange: Exchange,
        answer: Answer,
    ) -> None:
        """Pass an answer on and learn once it is whole."""
        self.ingress.learn(answer.meta, server, clock.now() - self.sent_at)
        has_failed = answer.head.status >= SERVER_ERROR
        self.ingress.shedding.observe(
            match.name,
            is_wasted=has_failed and answer.meta.deep_level > CLEAR_SIGN,
        )
        await self.deliver(exchange, answer)
        self.learn_success(match, server, answer)
        if self.is_nested:
            self.learn_nested(None)

    def learn_success(
        self,
        match: RouteMatch,
        server: NodeState,
        answer: Answer,
    ) -> None:
        """Learn from a whole answer."""
        ingress = self.ingress
        # What failed for lack of room below is no fault of the server.
        is_own_failure = (
            answer.head.status >= SERVER_ERROR
            and answer.meta.deep_level <= CLEAR_SIGN
        )
        ingress.balancer.view(server.name).learn_answer(
            answer.meta,
            has_failed=is_own_failure,
        )
        ingress.tokens(self.service).earn()
        self.learn_deep(match, 0, answer.meta.deep_level)
        latency = clock.now() - self.started
        ingress.metrics.observe_answer('ingress', latency)

    def learn_deep(
        self,
        match: RouteMatch,
        level: float,
        deep_level: float,
    ) -> None:
        """Pass admission levels on to the route and to the call above."""
        self.ingress.deep_level(match.name).report(
            deep_level,
            DEEP_LEVEL_WEIGHT,
        )
        if self.origin.parent:
            self.origin.parent.report_deep_level(max(level, deep_level))

    async def deliver(self, exchange: Exchange, answer: Answer) -> None:
        """Pass an answer on; a short one only once it is whole."""
        length = take_header(answer.head.headers, b'content-length')
        marks = self.dialect.mark_answer(self.name.text)
        if length is None or int(length) > SMALL_ANSWER_BYTES:
            await pass_on(exchange, self.sender, answer, marks)
            return
        chunks = []
        try:
            while chunk := await exchange.read_chunk():
                chunks.append(chunk)
        except TruncatedError as error:
            raise refuse(
                Reason.TRUNCATED,
                str(error),
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        headers = clean_headers(answer.head.headers, frozenset())
        # The slot is free before a slow caller has read its answer.
        await exchange.close()
        self.sender.send_whole(
            answer.head.status,
            [*headers, *marks],
            b''.join(chunks),
        )

    def settle(self) -> None:
        """Give back to the call above what its nested call did not spend."""
        parent = self.origin.parent
        if parent is not None:
            budget = self.origin.budget
            parent.budget.settle(budget.granted, budget.spent)
            self.origin = self.origin._replace(parent=None)
