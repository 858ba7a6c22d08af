"""Find out on whose behalf a request comes."""

import secrets
from typing import Any, NamedTuple

from limpetshore import clock
from limpetshore.budgets import RetryBudget
from limpetshore.calls import CallContext, RunningCall
from limpetshore.errors import refuse
from limpetshore.guard import Guard
from limpetshore.httpclient import Headers
from limpetshore.messages import (
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    TOKEN_HEADER,
    take_header,
)
from limpetshore.policies import PolicyIndex, RouteMatch
from limpetshore.purses import Purses
from limpetshore.standing import Standing
from limpetshore.verdicts import Reason

AUTHORIZATION = b'authorization'
BEARER = b'bearer '
API_KEY_HEADER = b'x-api-key'
CALLER_HEADERS_DROPPED = frozenset(
    (
        AUTHORIZATION,
        API_KEY_HEADER,
        REQUEST_ID_HEADER,
        TIMEOUT_HEADER,
        b'content-length',
    )
)
ANONYMOUS = ''
MS_IN_S = 1000
ID_BYTES = 9
MAX_REQUEST_ID_LENGTH = 128
MAX_KEY_LENGTH = 512


class Origin(NamedTuple):
    """Hold what a request inherits from its caller."""

    context: CallContext
    budget: RetryBudget
    parent: RunningCall | None


class RequestName(NamedTuple):
    """Hold the id of a request and who chose it."""

    text: str
    is_from_caller: bool


class Callers:
    """Tell callers apart by key, and nested calls by the token they carry."""

    def __init__(
        self,
        guard: Guard,
        standing: Standing,
        purses: Purses,
        max_depth: int,
    ) -> None:
        """Use the running calls of the guard and the purses of customers."""
        self.guard = guard
        self.standing = standing
        self.purses = purses
        self.max_depth = max_depth

    async def identify(
        self,
        scope: Any,
        index: PolicyIndex,
        match: RouteMatch,
        request_id: str,
    ) -> Origin:
        """Return the origin of a request, or refuse it."""
        headers = scope['headers']
        deadline = clock.now() + read_timeout(headers, match)
        token = take_header(headers, TOKEN_HEADER)
        if token is not None:
            return self.inherit(token, scope, deadline)
        customer = self.authenticate(scope, index, match)
        importance = match.importance
        if customer != ANONYMOUS:
            importance = index.cap_importance(customer, importance)
            await self.purses.spend(customer)
        context = CallContext(customer, importance, deadline, request_id, 0)
        return Origin(context, RetryBudget(match.route.retries), None)

    def inherit(self, token: bytes, scope: Any, deadline: float) -> Origin:
        """Return the origin of a nested call from the local server."""
        parent = self.guard.running.find(token.decode('latin-1'))
        is_local = scope['client'][0] == self.guard.calls_from
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
        scope: Any,
        index: PolicyIndex,
        match: RouteMatch,
    ) -> str:
        """Return the customer whose key came with the request."""
        key = read_key(scope['headers'])
        if key is not None and key.encode('latin-1') in scope['raw_path']:
            raise refuse(Reason.BAD_REQUEST, 'the key stands in the path')
        if match.route.is_open:
            return ANONYMOUS
        if key is None:
            raise refuse(Reason.KEY_MISSING, 'send a key as a bearer token')
        if self.standing.is_cut_off:
            raise refuse(Reason.CUT_OFF, 'keys may have been withdrawn unheard')
        customer = index.find_customer(key)
        if customer is None:
            raise refuse(Reason.KEY_UNKNOWN, 'the key is unknown or withdrawn')
        if not index.is_allowed(match, customer):
            raise refuse(Reason.FORBIDDEN, f'{customer} may not use the route')
        return customer


def read_key(headers: Headers) -> str | None:
    """Return the caller's key, if it sent one.

    >>> read_key([(b'authorization', b'Bearer ls_1')])
    'ls_1'
    """
    bearer = take_header(headers, AUTHORIZATION)
    if bearer is not None and bearer[: len(BEARER)].lower() == BEARER:
        key = bearer[len(BEARER) :].strip()
    else:
        key = take_header(headers, API_KEY_HEADER)
    if not key:
        return None
    if len(key) > MAX_KEY_LENGTH:
        raise refuse(Reason.KEY_UNKNOWN, 'no key is that long')
    return key.decode('latin-1')


def read_timeout(headers: Headers, match: RouteMatch) -> float:
    """Return the seconds a request may take."""
    given = take_header(headers, TIMEOUT_HEADER)
    if given is None:
        return match.route.timeout_s
    if not given.isdigit() or len(given) > ID_BYTES or not int(given):
        raise refuse(Reason.BAD_REQUEST, 'the timeout is no number of ms')
    return min(match.route.timeout_s, int(given) / MS_IN_S)


def read_request_name(headers: Headers) -> RequestName:
    """Return the caller's request id, or mint one."""
    given = take_header(headers, REQUEST_ID_HEADER)
    if given is None:
        birth = int(clock.wall_time() * MS_IN_S)
        minted = f'{birth}-{secrets.token_hex(ID_BYTES)}'
        return RequestName(minted, is_from_caller=False)
    is_plain = given.isascii() and given.decode('latin-1').isprintable()
    if not is_plain or not 0 < len(given) <= MAX_REQUEST_ID_LENGTH:
        raise refuse(Reason.REQUEST_ID, 'the id is empty, too long or not text')
    return RequestName(given.decode(), is_from_caller=True)
