"""Send a request to the local server or to another node; read the answer."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from anyio.abc import TaskGroup

from limpetshore import clock
from limpetshore.errors import (
    LimpetshoreError,
    OverdueError,
    RefusedError,
    TransportError,
    TruncatedError,
    refuse,
)
from limpetshore.protocol.bodies import CallerDisconnectedError, RequestBody
from limpetshore.protocol.messages import (
    AnswerMeta,
    CallMeta,
    get_header,
    strip_hop_headers,
)
from limpetshore.settings import CallSection
from limpetshore.transport.http_client import HttpConnection
from limpetshore.transport.responses import Headers, ResponseHead
from limpetshore.transport.server_request import ServerRequest
from limpetshore.verdicts import Reason, Refusal, Verdict

# An answer that has begun may end so long after the deadline of its request.
ANSWER_TAIL_S = 0.2


def forbid_retry() -> bool:
    """Return False: the request must not be sent to another server."""
    return False


def allow_giving_up() -> bool:
    """Return True: a node that seems dead need not be waited for."""
    return True


class InboundRequest(NamedTuple):
    """Hold a received request, which may be sent several times.

    `body_start` is the part of the body read so far. `body_rest` yields the
    other chunks, which a task in `tasks` sends; a request that has it is sent
    only once, since those chunks are not kept. `length` is its Content-Length.
    """

    method: bytes
    target: bytes
    headers: Headers
    body_start: bytes
    body_rest: AsyncIterator[bytes] | None
    length: bytes | None
    tasks: TaskGroup | None = None


async def read_inbound_request(
    request: ServerRequest,
    dropped: frozenset[bytes],
    limits: CallSection,
    deadline: float,
) -> InboundRequest:
    """Read the head of a request and about `replay_bytes` of its body.

    Refuse the request if that takes longer than until the deadline.
    """
    headers = strip_hop_headers(request.headers, dropped)
    method, target = request.method, request.target
    if request.is_body_complete and not request.body:
        length = get_header(request.headers, b'content-length')
        return InboundRequest(method, target, headers, b'', None, length)
    body = RequestBody(request, limits, deadline)
    body_start = await body.read_prefix(limits.replay_bytes)
    body_rest = None if body.is_complete else body.read_remaining()
    return InboundRequest(
        method, target, headers, body_start, body_rest, body.length
    )


class OutboundRequest(NamedTuple):
    """Hold one attempt at a request; `deadline` is on the local clock.

    `peer_request` is the request of another node that this attempt serves, if
    any. Most answers arrive within `late_after_s`. The answer is overdue after
    `overdue_after_s`; `may_retry_elsewhere` tells whether the request may then
    be sent to another server, too. `may_give_up` tells whether to wait no
    longer for a node that answers no probe.
    """

    inbound: InboundRequest
    meta: CallMeta
    deadline: float
    peer_request: ServerRequest | None = None
    overdue_after_s: float | None = None
    may_retry_elsewhere: Callable[[], bool] = forbid_retry
    late_after_s: float = 0
    may_give_up: Callable[[], bool] = allow_giving_up


class Answer(NamedTuple):
    """Hold the head of an answer and what the guard reports with it."""

    head: ResponseHead
    meta: AnswerMeta


class GuardRefusalError(RefusedError):
    """Report a refusal by a guard, with the load that the guard reported."""

    def __init__(self, refusal: Refusal, meta: AnswerMeta) -> None:
        """Set the refusal and the report of the guard."""
        super().__init__(refusal)
        self.meta = meta


class Exchange(ABC):
    """Define one attempt: a request that is sent and its answer."""

    @abstractmethod
    async def open(self, request: OutboundRequest) -> Answer:
        """Send the request and wait for the head of the answer.

        Raise RefusedError, with a verdict, if there is no answer, and
        LateAnswerError if another server may be asked beside this one.
        """

    async def resume(self, request: OutboundRequest) -> Answer:
        """Wait on after LateAnswerError, which by default is not raised."""
        raise NotImplementedError

    @property
    @abstractmethod
    def has_chunk(self) -> bool:
        """Tell whether `read_chunk` returns without waiting."""

    @abstractmethod
    def take_buffered_body(self) -> bytes | None:
        """Return the body if all of it was received, else None."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Tell whether all of the answer was received."""

    @abstractmethod
    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, empty at its end.

        Raise OverdueError if the body does not end in time.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release slot and connection; cancel an attempt that still runs."""


async def send_request(
    connection: HttpConnection,
    inbound: InboundRequest,
    extra: Headers,
) -> None:
    """Send the head and the body; a task sends a body not yet received."""
    headers = [*inbound.headers, *extra, *frame_headers(inbound)]
    if inbound.body_rest is None:
        await connection.send_head(
            inbound.method,
            inbound.target,
            headers,
            inbound.body_start,
        )
        return
    await connection.send_head(inbound.method, inbound.target, headers)
    connection.is_request_sent = False
    inbound.tasks.start_soon(stream_body, connection, inbound)


def frame_headers(inbound: InboundRequest) -> Headers:
    """Return the headers that state the length of the body."""
    if inbound.length is not None:
        return [(b'content-length', inbound.length)]
    if inbound.body_rest is not None:
        return [(b'transfer-encoding', b'chunked')]
    if inbound.body_start:
        return [(b'content-length', b'%d' % len(inbound.body_start))]
    return []


async def stream_body(
    connection: HttpConnection, inbound: InboundRequest
) -> None:
    """Send a body as it is received.

    If the caller disconnects, the tasks of the request are cancelled. Any
    other failure closes the connection, which fails the reader of the answer.
    """
    is_chunked = inbound.length is None
    try:
        await send_chunk(connection, inbound.body_start, is_chunked=is_chunked)
        async for chunk in inbound.body_rest:
            await send_chunk(connection, chunk, is_chunked=is_chunked)
        if is_chunked:
            await connection.send(b'0\r\n\r\n')
        connection.is_request_sent = True
    except CallerDisconnectedError:
        inbound.tasks.cancel_scope.cancel()
    except LimpetshoreError:
        connection.close()


async def send_chunk(
    connection: HttpConnection,
    chunk: bytes,
    *,
    is_chunked: bool,
) -> None:
    """Send a chunk of a body; skip an empty one, which would end the body."""
    if is_chunked and chunk:
        chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
    if chunk:
        await connection.send(chunk)


async def read_chunk_within(
    connection: HttpConnection,
    stall_s: float,
) -> bytes:
    """Return the next chunk; raise TruncatedError after `stall_s` seconds."""
    try:
        return await connection.read_chunk(stall_s)
    except TimeoutError as error:
        error_class = OverdueError if connection.is_overdue else TruncatedError
        raise error_class(
            f'{connection.address} stopped sending its answer',
        ) from error


def find_failure_reason(error: TransportError) -> Reason:
    """Return the reason of a refusal for an exchange that failed."""
    if isinstance(error, OverdueError):
        return Reason.DEADLINE
    return Reason.BROKEN


async def read_head_by(
    connection: HttpConnection,
    deadline: float,
) -> ResponseHead:
    """Return the head of an answer; refuse the request at the deadline."""
    try:
        return await connection.read_head(max(0, deadline - clock.now()))
    except TimeoutError as error:
        raise refuse(
            Reason.DEADLINE,
            'no answer before the deadline',
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error


async def skip_answer_by(connection: HttpConnection, deadline: float) -> None:
    """Discard a stray answer; refuse the request at the deadline."""
    try:
        await connection.skip_answer(clock.seconds_until(deadline))
    except TimeoutError as error:
        raise refuse(
            Reason.DEADLINE,
            'a stray answer did not end before the deadline',
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
