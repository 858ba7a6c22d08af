"""Read and write the headers and statuses of the platform's HTTP protocol."""

import math

from limpetshore.platform import wire
from limpetshore.protocol.dialects import (
    AUTHORIZATION,
    ID_BYTES,
    MS_PER_S,
    BackendCall,
    BackendDialect,
    CallerDialect,
    RenderedRefusal,
    RequestIdentity,
    count_ms_left,
    decode_key,
    decode_request_id,
    read_bearer,
)
from limpetshore.protocol.messages import get_header
from limpetshore.randomness import random_pool
from limpetshore.transport.responses import Headers, ResponseHead
from limpetshore.verdicts import HTTP_STATUS, Reason, Refusal, Verdict

MIN_TIMEOUT_MS = 1
# The id of a nested call contains the ids of its ancestors, one part per level.
MAX_REQUEST_ID_BYTES = 512
PARENT_SEPARATOR = '.'
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
MISDIRECTED = 421
MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
# Client error statuses that callers interpret as "not run" in every case.
NOT_RUN_CLIENT_STATUSES = frozenset((400, 401, 403, 404, 413, 429))


class PlatformCallerDialect(CallerDialect):
    """Exchange headers with the platform's clients and with calling servers."""

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
        """Return the id of this attempt; callers use a new id for a retry.

        For a request without an id, a random one is generated.
        """
        given = get_header(headers, wire.REQUEST_ID)
        if given:
            request_id = decode_request_id(given, MAX_REQUEST_ID_BYTES)
        else:
            request_id = random_pool.take_hex(ID_BYTES)
        root = request_id.partition(PARENT_SEPARATOR)[0]
        return RequestIdentity(request_id, is_from_caller=False, root=root)

    def read_key(self, headers: Headers) -> str | None:
        """Return the caller's bearer token as its key, None if not sent."""
        key = read_bearer(headers)
        return decode_key(key) if key else None

    def read_timeout_s(self, headers: Headers) -> float | None:
        """Return the caller's timeout in seconds, None if not specified.

        A value that is not a finite number is ignored. A value below one
        millisecond is raised to one millisecond, so that the request is
        refused because its deadline has expired.
        """
        given = get_header(headers, wire.DEADLINE_MS)
        try:
            given_ms = float(given or b'')
        except ValueError:
            return None
        if not math.isfinite(given_ms):
            return None
        return max(MIN_TIMEOUT_MS, given_ms) / MS_PER_S

    def read_token(self, headers: Headers) -> str | None:
        """Return None: nested calls on the platform carry no token."""

    def build_answer_headers(self, request_id: str) -> Headers:
        """Return no headers: backend servers echo the request id themselves."""
        return []

    def render(self, refusal: Refusal, request_id: str) -> RenderedRefusal:
        """Return a plain-text refusal whose status agrees with its verdict."""
        body = refusal.reason.value.encode()
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(body)),
        ]
        if request_id:
            headers.append((wire.REQUEST_ID, request_id.encode()))
        if refusal.retry_after_s:
            headers.append((wire.RETRY_AFTER, b'%.3f' % refusal.retry_after_s))
        return RenderedRefusal(choose_status(refusal), headers, body)


class PlatformBackendDialect(BackendDialect):
    """Exchange headers with the platform's backend servers."""

    def build_headers(self, call: BackendCall, instance: str) -> Headers:
        """Return deadline, caller service, customer and expected instance."""
        remaining_ms = count_ms_left(call.remaining_s)
        headers = [
            (wire.DEADLINE_MS, b'%d' % remaining_ms),
            (wire.CALLER_SERVICE, call.caller_service.encode()),
        ]
        if call.customer:
            headers.append((wire.TENANT, call.customer.encode()))
        if instance:
            headers.append((wire.EXPECTED_INSTANCE, instance.encode()))
        return headers

    def find_not_run_reason(self, head: ResponseHead) -> Reason | None:
        """Return why the server did not run a request, None if it may have.

        Status 421 means that another instance answered; a shed request is
        marked by a header.
        """
        if head.status < MIN_REDIRECT_STATUS:
            return None
        if head.status == MISDIRECTED:
            return Reason.NOT_OWNER
        if get_header(head.headers, wire.NOT_EXECUTED) is not None:
            return Reason.SERVER_SHED
        return None

    def is_stale(self, head: ResponseHead, request_id: str) -> bool:
        """Tell whether an answer carries the id of another request."""
        echoed = get_header(head.headers, wire.REQUEST_ID)
        return echoed is not None and echoed != request_id.encode()

    def is_anonymous(self, head: ResponseHead) -> bool:
        """Tell whether a server left out the id that it must echo."""
        return get_header(head.headers, wire.REQUEST_ID) is None

    def find_answer_error(self, head: ResponseHead, request_id: str) -> str:
        """Return why an answer must not be forwarded, empty if it may be."""
        if self.is_stale(head, request_id):
            return 'the answer is for another request'
        if not MIN_SUCCESS_STATUS <= head.status < MIN_REDIRECT_STATUS:
            return ''
        names = {name for name, _ in head.headers}
        if wire.SEAL not in names:
            return 'a success without a seal'
        if b'content-encoding' in names:
            return 'a body that was encoded on the way'
        return ''


def choose_status(refusal: Refusal) -> int:
    """Return the HTTP status for a refusal.

    Statuses that mean "not run" are used only for that verdict.

    >>> choose_status(Refusal(Reason.BROKEN, Verdict.MAY_HAVE_RUN))
    502
    >>> choose_status(Refusal(Reason.BROKEN, Verdict.NOT_RUN))
    503
    """
    if refusal.verdict == Verdict.MAY_HAVE_RUN:
        is_late = refusal.reason == Reason.DEADLINE
        return GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
    status = HTTP_STATUS[refusal.reason]
    return status if status in NOT_RUN_CLIENT_STATUSES else UNAVAILABLE
