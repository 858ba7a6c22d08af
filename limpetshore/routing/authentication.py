"""Authenticate callers and resolve the parent of nested calls."""

from typing import NamedTuple

from limpetshore import clock
from limpetshore.coordination.borrowing import RateLimiter
from limpetshore.decisions.precedence import compute_precedence
from limpetshore.decisions.retry_budgets import RetryBudget
from limpetshore.errors import refuse
from limpetshore.protocol.dialects import CallerDialect, RequestIdentity
from limpetshore.routing.calls import CallContext, RunningCall
from limpetshore.routing.guard import Guard
from limpetshore.state.fencing import FencingState
from limpetshore.state.policies import PolicyIndex, RouteMatch
from limpetshore.transport.server_request import ServerRequest
from limpetshore.verdicts import Reason

ANONYMOUS = ''


class Origin(NamedTuple):
    """Hold the context, retry budget and parent call of a request.

    `parent` is None for a request that is not nested in another call.
    `is_counted` tells whether it was charged to the limit of its customer.
    """

    context: CallContext
    budget: RetryBudget
    parent: RunningCall | None
    is_counted: bool = False


class CallerAuthenticator:
    """Identify callers by API key and nested calls by call token."""

    def __init__(
        self,
        guard: Guard,
        fencing: FencingState,
        rate_limiter: RateLimiter,
        max_depth: int,
        dialect: CallerDialect,
    ) -> None:
        """Find parent calls at `guard`; apply the rate limits of customers."""
        self.dialect = dialect
        self.guard = guard
        self.fencing = fencing
        self.rate_limiter = rate_limiter
        self.max_depth = max_depth

    async def identify(
        self,
        request: ServerRequest,
        index: PolicyIndex,
        match: RouteMatch,
        identity: RequestIdentity,
    ) -> Origin:
        """Return the origin of a request, or refuse it.

        A request with an API key is charged to the rate limit of its
        customer; a nested call is not charged again.
        """
        headers = request.headers
        timeout_s = self.dialect.read_timeout_s(headers)
        if timeout_s is None:
            timeout_s = match.route.timeout_s
        deadline = clock.now() + min(timeout_s, match.route.timeout_s)
        token = self.dialect.read_token(headers)
        if token is not None:
            return self.inherit(token, request, deadline)
        customer = self.authenticate(request, index, match)
        importance = match.importance
        is_counted = customer != ANONYMOUS and index.is_limited(customer)
        if customer != ANONYMOUS:
            importance = index.cap_importance(customer, importance)
        if is_counted:
            await self.rate_limiter.spend(customer)
        context = CallContext(
            customer,
            importance,
            deadline,
            identity.text,
            0,
            compute_precedence(identity.root),
        )
        budget = RetryBudget(match.route.retries)
        return Origin(context, budget, None, is_counted)

    def refund(self, origin: Origin) -> None:
        """Return the rate limit token of a request that did not run."""
        if origin.is_counted:
            self.rate_limiter.refund(origin.context.customer)

    def inherit(
        self,
        token: str,
        request: ServerRequest,
        deadline: float,
    ) -> Origin:
        """Return the origin of a nested call of the local backend server."""
        parent = self.guard.running_calls.find(token)
        is_local = request.peer_host == self.guard.calls_from
        if parent is None or not is_local:
            raise refuse(
                Reason.TOKEN_UNKNOWN,
                'the token names no call that runs beside this node',
            )
        context = parent.context
        if context.depth + 1 >= self.max_depth:
            raise refuse(Reason.TOO_DEEP, 'the chain of calls is too deep')
        nested = context._replace(
            deadline=min(context.deadline, deadline),
            depth=context.depth + 1,
        )
        return Origin(nested, RetryBudget(parent.budget.lend()), parent)

    def authenticate(
        self,
        request: ServerRequest,
        index: PolicyIndex,
        match: RouteMatch,
    ) -> str:
        """Return the customer of the API key; ANONYMOUS on an open route."""
        key = self.dialect.read_key(request.headers)
        if key is not None and key in request.path:
            raise refuse(Reason.BAD_REQUEST, 'the key stands in the path')
        if match.route.is_open:
            return ANONYMOUS
        if key is None:
            raise refuse(Reason.KEY_MISSING, 'send a key as a bearer token')
        if self.fencing.is_cut_off:
            raise refuse(Reason.CUT_OFF, 'keys may have been withdrawn unheard')
        customer = index.find_customer(key)
        if customer is None:
            raise refuse(Reason.KEY_UNKNOWN, 'the key is unknown or withdrawn')
        if not index.is_allowed(match, customer):
            raise refuse(Reason.FORBIDDEN, f'{customer} may not use the route')
        return customer
