"""Have one request answered, by the local server or through another node."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from anyio.abc import TaskGroup

from limpetshore import clock
from limpetshore.errors import (
    LimpetshoreError,
    RefusedError,
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
from limpetshore.transport.call_server import ServerRequest
from limpetshore.transport.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
)
from limpetshore.verdicts import Reason, Refusal, Verdict


def never() -> bool:
    """Forbid what may be forbidden."""
    return False


class InboundRequest(NamedTuple):
    """Hold a request as it came in, for as many attempts as it takes.

    `first` is the part of the body already read, `rest` what follows, sent
    by a task of its own in `tasks`.
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
) -> InboundRequest:
    """Read the head of a request and as much of its body as is kept."""
    headers = strip_hop_headers(request.headers, dropped)
    method, target = request.method, request.target
    if request.is_body_complete and not request.body:
        length = get_header(request.headers, b'content-length')
        return InboundRequest(method, target, headers, b'', None, length)
    body = RequestBody(request, limits)
    body_start = await body.read_prefix(limits.replay_bytes)
    body_rest = None if body.is_complete else body.read_rest()
    return InboundRequest(
        method, target, headers, body_start, body_rest, body.length
    )


class OutboundRequest(NamedTuple):
    """Hold one attempt at a request; `deadline` is on the local clock.

    `origin` is the request of another node that the attempt serves. After
    `patience_s` the answer is overdue; `may_abandon` tells whether the request
    may then be sent to another server instead.
    """

    inbound: InboundRequest
    meta: CallMeta
    deadline: float
    peer_request: ServerRequest | None = None
    overdue_after_s: float | None = None
    may_retry_elsewhere: Callable[[], bool] = never


class Answer(NamedTuple):
    """Hold the beginning of an answer."""

    head: ResponseHead
    meta: AnswerMeta


class GuardRefusalError(RefusedError):
    """Carry a refusal by a guard together with what the guard reported."""

    def __init__(self, refusal: Refusal, meta: AnswerMeta) -> None:
        """Keep both."""
        super().__init__(refusal)
        self.meta = meta


class Exchange(ABC):
    """Carry one attempt from its first byte to the end of its answer."""

    @abstractmethod
    async def open(self, request: OutboundRequest) -> Answer:
        """Send the request and wait for the answer to begin.

        Raise RefusedError with the verdict if there is none.
        """

    @property
    @abstractmethod
    def has_chunk(self) -> bool:
        """Tell whether `read_chunk` returns without waiting."""

    @abstractmethod
    def take_buffered_body(self) -> bytes | None:
        """Return the whole body if all of it is there, else None."""

    @abstractmethod
    async def read_chunk(self) -> bytes:
        """Return the next piece of the answer, empty at its end."""

    @abstractmethod
    async def close(self) -> None:
        """Give back what the attempt holds; stop it if it still runs."""


async def send_request(
    connection: HttpConnection,
    inbound: InboundRequest,
    extra: Headers,
) -> None:
    """Send the head and the body, a streamed body from a task of its own."""
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
    inbound.tasks.start_soon(pump_body, connection, inbound)


def frame_headers(inbound: InboundRequest) -> Headers:
    """Return the headers that tell how long the body is."""
    if inbound.length is not None:
        return [(b'content-length', inbound.length)]
    if inbound.body_rest is not None:
        return [(b'transfer-encoding', b'chunked')]
    if inbound.body_start:
        return [(b'content-length', b'%d' % len(inbound.body_start))]
    return []


async def pump_body(
    connection: HttpConnection, inbound: InboundRequest
) -> None:
    """Send a body as it comes; the reader of the answer sees a failure."""
    is_chunked = inbound.length is None
    try:
        await send_piece(connection, inbound.body_start, is_chunked=is_chunked)
        async for piece in inbound.body_rest:
            await send_piece(connection, piece, is_chunked=is_chunked)
        if is_chunked:
            await connection.send(b'0\r\n\r\n')
        connection.is_request_sent = True
    except CallerDisconnectedError:
        inbound.tasks.cancel_scope.cancel()
    except LimpetshoreError:
        connection.close()


async def send_piece(
    connection: HttpConnection,
    piece: bytes,
    *,
    is_chunked: bool,
) -> None:
    """Send one piece of a body."""
    if is_chunked and piece:
        piece = b'%x\r\n%b\r\n' % (len(piece), piece)
    if piece:
        await connection.send(piece)


async def read_chunk_within(
    connection: HttpConnection,
    stall_s: float,
) -> bytes:
    """Return the next piece of an answer that must not stand still."""
    try:
        return await connection.read_chunk(stall_s)
    except TimeoutError as error:
        raise TruncatedError(
            f'{connection.address} stopped sending its answer',
        ) from error


async def read_head_by(
    connection: HttpConnection,
    deadline: float,
) -> ResponseHead:
    """Wait for the head of an answer until a deadline."""
    try:
        return await connection.read_head(max(0, deadline - clock.now()))
    except TimeoutError as error:
        raise refuse(
            Reason.DEADLINE,
            'no answer before the deadline',
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error
