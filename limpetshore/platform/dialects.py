"""Speak the platform's headers and statuses."""

import math

from limpetshore.platform import wire
from limpetshore.protocol.dialects import (
    AUTHORIZATION,
    ID_BYTES,
    MS_IN_S,
    BackendCall,
    BackendDialect,
    CallerDialect,
    RenderedRefusal,
    RequestIdentity,
    decode_key,
    decode_request_id,
    read_bearer,
)
from limpetshore.protocol.messages import get_header
from limpetshore.randomness import random_pool
from limpetshore.transport.http_client import Headers, ResponseHead
from limpetshore.verdicts import HTTP_STATUS, Reason, Refusal, Verdict

LEAST_TIMEOUT_MS = 1
# Ids of calls name their parents, each level with one more part.
MOST_REQUEST_ID_BYTES = 512
PARENT_SEPARATOR = '.'
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
MISDIRECTED = 421
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# Statuses that a caller takes for "has not run" whatever the verdict.
CLIENT_STATUSES = frozenset((400, 401, 403, 404, 413, 429))


class PlatformCallerDialect(CallerDialect):
    """Speak with the platform's clients and with calling servers."""

    dropped_headers = frozenset(
        (
            AUTHORIZATION,
            wire.DEADLINE_MS,
            wire.TENANT,
            wire.EXPECTED_INSTANCE,
            wire.CALLER_SERVICE,
            b'content-length',
        )
    )

    def read_request_id(self, headers: Headers) -> RequestIdentity:
        """Return the id of this attempt, which no caller sends again."""
        given = get_header(headers, wire.REQUEST_ID)
        if given:
            name = decode_request_id(given, MOST_REQUEST_ID_BYTES)
        else:
            name = random_pool.take_hex(ID_BYTES)
        root = name.partition(PARENT_SEPARATOR)[0]
        return RequestIdentity(name, is_from_caller=False, root=root)

    def read_key(self, headers: Headers) -> str | None:
        """Return the caller's key, if it sent one."""
        key = read_bearer(headers)
        return decode_key(key) if key else None

    def read_timeout_s(self, headers: Headers) -> float | None:
        """Return the seconds the caller will wait, if it says so.

        A value that is no number says nothing; one below a millisecond is
        taken for a millisecond, and the request is refused as too late.
        """
        given = get_header(headers, wire.DEADLINE_MS)
        try:
            given_ms = float(given or b'')
        except ValueError:
            return None
        if not math.isfinite(given_ms):
            return None
        return max(LEAST_TIMEOUT_MS, given_ms) / MS_IN_S

    def read_token(self, headers: Headers) -> str | None:
        """Return nothing: nested calls carry no token here."""

    def build_answer_headers(self, request_id: str) -> Headers:
        """Add nothing: servers echo the request id themselves."""
        return []

    def render(self, refusal: Refusal, request_id: str) -> RenderedRefusal:
        """Return a refusal whose status says no more than its verdict."""
        body = refusal.reason.value.encode()
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(body)),
        ]
        if request_id:
            headers.append((wire.REQUEST_ID, request_id.encode()))
        if refusal.retry_after_s:
            headers.append((wire.RETRY_AFTER, b'%.3f' % refusal.retry_after_s))
        return RenderedRefusal(find_status(refusal), headers, body)


class PlatformBackendDialect(BackendDialect):
    """Speak with the platform's servers."""

    def build_headers(self, call: BackendCall, instance: str) -> Headers:
        """Return deadline, caller service, customer and expected server."""
        left_ms = int(call.remaining_s * MS_IN_S)
        headers = [
            (wire.DEADLINE_MS, b'%d' % max(1, left_ms)),
            (wire.CALLER_SERVICE, call.caller_service.encode()),
        ]
        if call.customer:
            headers.append((wire.TENANT, call.customer.encode()))
        if instance:
            headers.append((wire.EXPECTED_INSTANCE, instance.encode()))
        return headers

    def find_not_run_reason(self, head: ResponseHead) -> Reason | None:
        """Return why the server did not run a request, None if it did."""
        if head.status < FIRST_REDIRECT:
            return None
        if head.status == MISDIRECTED:
            return Reason.NOT_OWNER
        if get_header(head.headers, wire.NOT_EXECUTED) is not None:
            return Reason.SERVER_SHED
        return None

    def is_stale(self, head: ResponseHead, request_id: str) -> bool:
        """Tell whether an answer names another request."""
        echoed = get_header(head.headers, wire.REQUEST_ID)
        return echoed is not None and echoed != request_id.encode()

    def find_answer_error(self, head: ResponseHead, request_id: str) -> str:
        """Return why an answer must not reach the caller, empty if it may."""
        if self.is_stale(head, request_id):
            return 'the answer is for another request'
        if not FIRST_SUCCESS <= head.status < FIRST_REDIRECT:
            return ''
        names = {name for name, _ in head.headers}
        if wire.SEAL not in names:
            return 'a success without a seal'
        if b'content-encoding' in names:
            return 'a body that was encoded on the way'
        return ''


def find_status(refusal: Refusal) -> int:
    """Return the status for a refusal; only "not run" may sound like it.

    >>> find_status(Refusal(Reason.BROKEN, Verdict.MAY_HAVE_RUN))
    502
    >>> find_status(Refusal(Reason.BROKEN, Verdict.NOT_RUN))
    503
    """
    if refusal.verdict == Verdict.MAY_HAVE_RUN:
        is_late = refusal.reason == Reason.DEADLINE
        return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
    status = HTTP_STATUS[refusal.reason]
    return status if status in CLIENT_STATUSES else UNAVAILABLE
