"""Translate between internal values and the headers of an HTTP interface.

A dialect is one such interface: with callers, or with backend servers.
"""

import math
from abc import ABC, abstractmethod
from typing import NamedTuple

import msgspec

from limpetshore import clock
from limpetshore.errors import refuse
from limpetshore.protocol.messages import (
    CUSTOMER_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    TOKEN_HEADER,
    VERDICT_HEADER,
    get_header,
)
from limpetshore.randomness import random_pool
from limpetshore.transport.responses import Headers, ResponseHead
from limpetshore.verdicts import Reason, Refusal

AUTHORIZATION = b'authorization'
BEARER_PREFIX = b'bearer '
API_KEY_HEADER = b'x-api-key'
SHED_HEADER = b'x-shed'
SHED_STATUS = 503
MS_PER_S = 1000
ID_BYTES = 9
MAX_REQUEST_ID_BYTES = 128
MAX_KEY_BYTES = 512


class RequestIdentity(NamedTuple):
    """Hold the id of a request and whether the caller chose it.

    A caller that chose the id may send the request again under the same id.
    `root` is the id of the request at the root of the call graph, if the id
    names it, else the id itself.
    """

    text: str
    is_from_caller: bool
    root: str


class RenderedRefusal(NamedTuple):
    """Hold the HTTP answer that tells a caller of a refusal."""

    status: int
    headers: Headers
    body: bytes


class BackendCall(NamedTuple):
    """Hold what the headers of a call tell the backend server.

    `remaining_s` is the time until the deadline, in seconds.
    """

    request_id: str
    customer: str
    caller_service: str
    token: str
    remaining_s: float


class CallerDialect(ABC):
    """Read the headers of callers' requests and write those of answers."""

    dropped_headers: frozenset[bytes]

    @abstractmethod
    def read_request_id(self, headers: Headers) -> RequestIdentity:
        """Return the caller's request id, or a generated one."""

    @abstractmethod
    def read_key(self, headers: Headers) -> str | None:
        """Return the API key of the request, or None."""

    @abstractmethod
    def read_timeout_s(self, headers: Headers) -> float | None:
        """Return how many seconds the caller waits, or None if not stated."""

    @abstractmethod
    def read_token(self, headers: Headers) -> str | None:
        """Return the token of the enclosing call, or None if not nested."""

    @abstractmethod
    def build_answer_headers(self, request_id: str) -> Headers:
        """Return the headers to add to each answer of a backend server."""

    @abstractmethod
    def render(self, refusal: Refusal, request_id: str) -> RenderedRefusal:
        """Return the HTTP answer that tells the caller of a refusal."""


class BackendDialect(ABC):
    """Write the headers for backend servers and read those of answers."""

    @abstractmethod
    def build_headers(self, call: BackendCall, instance: str) -> Headers:
        """Return the headers of a call to the server with id `instance`."""

    @abstractmethod
    def find_not_run_reason(self, head: ResponseHead) -> Reason | None:
        """Return why the server did not run a request, None if it may have."""

    @abstractmethod
    def is_stale(self, head: ResponseHead, request_id: str) -> bool:
        """Tell whether an answer belongs to an earlier request."""

    @abstractmethod
    def is_anonymous(self, head: ResponseHead) -> bool:
        """Tell whether an answer lacks the id by which requests are told."""

    @abstractmethod
    def find_answer_error(self, head: ResponseHead, request_id: str) -> str:
        """Return why an answer must not reach the caller, or an empty text."""


class NativeCallerDialect(CallerDialect):
    """Implement the headers that this project defines for callers."""

    dropped_headers = frozenset(
        (
            AUTHORIZATION,
            API_KEY_HEADER,
            REQUEST_ID_HEADER,
            TIMEOUT_HEADER,
            b'content-length',
        )
    )

    def read_request_id(self, headers: Headers) -> RequestIdentity:
        """Return the caller's request id, or a generated one."""
        given = get_header(headers, REQUEST_ID_HEADER)
        if given is None:
            issued_at_ms = int(clock.wall_time() * MS_PER_S)
            generated = f'{issued_at_ms}-{random_pool.take_hex(ID_BYTES)}'
            return RequestIdentity(
                generated, is_from_caller=False, root=generated
            )
        request_id = decode_request_id(given)
        return RequestIdentity(request_id, is_from_caller=True, root=request_id)

    def read_key(self, headers: Headers) -> str | None:
        """Return the API key of the request, or None."""
        key = read_bearer(headers) or get_header(headers, API_KEY_HEADER)
        return decode_key(key) if key else None

    def read_timeout_s(self, headers: Headers) -> float | None:
        """Return how many seconds the caller waits, or None if not stated."""
        return read_timeout(headers, TIMEOUT_HEADER)

    def read_token(self, headers: Headers) -> str | None:
        """Return the token of the enclosing call, or None if not nested."""
        token = get_header(headers, TOKEN_HEADER)
        return None if token is None else token.decode('latin-1')

    def build_answer_headers(self, request_id: str) -> Headers:
        """Return the request id: a generated one is unknown to the caller."""
        return [(REQUEST_ID_HEADER, request_id.encode('latin-1'))]

    def render(self, refusal: Refusal, request_id: str) -> RenderedRefusal:
        """Return an answer with the verdict in its headers and JSON body."""
        body = msgspec.json.encode(
            {
                'verdict': refusal.verdict.value,
                'reason': refusal.reason.value,
                'retry_after_s': round(refusal.retry_after_s, 3),
                'request_id': request_id,
                'detail': refusal.detail,
            }
        )
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (VERDICT_HEADER, refusal.verdict.value.encode()),
            (REASON_HEADER, refusal.reason.value.encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
        ]
        if refusal.retry_after_s:
            seconds = max(1, round(refusal.retry_after_s))
            headers.append((b'retry-after', b'%d' % seconds))
        return RenderedRefusal(refusal.status, headers, body)


class NativeBackendDialect(BackendDialect):
    """Implement the headers that this project defines for servers."""

    def build_headers(self, call: BackendCall, instance: str) -> Headers:
        """Return token, customer, request id and remaining time in ms."""
        remaining_ms = count_ms_left(call.remaining_s)
        return [
            (TOKEN_HEADER, call.token.encode()),
            (CUSTOMER_HEADER, call.customer.encode()),
            (REQUEST_ID_HEADER, call.request_id.encode()),
            (TIMEOUT_HEADER, b'%d' % remaining_ms),
        ]

    def find_not_run_reason(self, head: ResponseHead) -> Reason | None:
        """Return SERVER_SHED for a 503 with `x-shed: 1`, else None.

        >>> head = ResponseHead(503, [(b'x-shed', b'1')])
        >>> NativeBackendDialect().find_not_run_reason(head)
        <Reason.SERVER_SHED: 'server_shed'>
        """
        is_marked = get_header(head.headers, SHED_HEADER) == b'1'
        if head.status == SHED_STATUS and is_marked:
            return Reason.SERVER_SHED
        return None

    def is_stale(self, head: ResponseHead, request_id: str) -> bool:
        """Return False: answers on this interface carry no request id."""
        return False

    def is_anonymous(self, head: ResponseHead) -> bool:
        """Return False: no request can be told from another."""
        return False

    def find_answer_error(self, head: ResponseHead, request_id: str) -> str:
        """Accept every answer: each connection carries one call at a time."""
        return ''


def count_ms_left(remaining_s: float) -> int:
    """Return the time left in ms, at least 1; never less than is left.

    >>> count_ms_left(1.2341)
    1235
    """
    return max(1, math.ceil(remaining_s * MS_PER_S))


def read_bearer(headers: Headers) -> bytes | None:
    """Return the bearer token of the Authorization header, or None.

    >>> read_bearer([(b'authorization', b'Bearer ls_1')])
    b'ls_1'
    """
    bearer = get_header(headers, AUTHORIZATION)
    if bearer is None or bearer[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    return bearer[len(BEARER_PREFIX) :].strip()


def decode_key(key: bytes) -> str:
    """Return a key as text, or refuse one over `MAX_KEY_BYTES`."""
    if len(key) > MAX_KEY_BYTES:
        raise refuse(Reason.KEY_UNKNOWN, 'no key is that long')
    return key.decode('latin-1')


def read_timeout(headers: Headers, name: bytes) -> float | None:
    """Return the seconds that a header states in milliseconds.

    >>> read_timeout([(b'wait', b'250')], b'wait')
    0.25
    """
    given = get_header(headers, name)
    if given is None:
        return None
    if not given.isdigit() or len(given) > ID_BYTES or not int(given):
        raise refuse(Reason.BAD_REQUEST, 'the timeout is no number of ms')
    return int(given) / MS_PER_S


def decode_request_id(
    given: bytes,
    max_bytes: int = MAX_REQUEST_ID_BYTES,
) -> str:
    """Return a request id as text; refuse one empty, long or unprintable."""
    is_plain = given.isascii() and given.decode('latin-1').isprintable()
    if not is_plain or not 0 < len(given) <= max_bytes:
        raise refuse(Reason.REQUEST_ID, 'the id is empty, too long or not text')
    return given.decode()
