"""Have one request answered, by the local server or through another node."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from anyio.abc import TaskGroup

from limpetshore import clock
from limpetshore.bodies import CallerGoneError
from limpetshore.errors import (
    LimpetshoreError,
    RefusedError,
    TruncatedError,
    refuse,
)
from limpetshore.httpclient import Headers, HttpConnection, ResponseHead
from limpetshore.messages import AnswerMeta, CallMeta
from limpetshore.serving import ServerRequest
from limpetshore.verdicts import Reason, Refusal, Verdict


def never() -> bool:
    """Forbid what may be forbidden."""
    return False


class OutboundRequest(NamedTuple):
    """Hold a request on its way; `deadline` is on the local clock.

    `first` is the part of the body already read, `rest` what follows, sent
    by a task of its own in `tasks`. `origin` is the request as it came in.
    After `patience_s` the answer is overdue; `may_abandon` tells whether the
    request may then be sent to another server instead.
    """

    method: bytes
    target: bytes
    headers: Headers
    first: bytes
    rest: AsyncIterator[bytes] | None
    length: bytes | None
    meta: CallMeta
    deadline: float
    tasks: TaskGroup | None
    origin: ServerRequest | None = None
    patience_s: float | None = None
    may_abandon: Callable[[], bool] = never


class Answer(NamedTuple):
    """Hold the beginning of an answer."""

    head: ResponseHead
    meta: AnswerMeta


class AnswerRefusedError(RefusedError):
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
    async def read_chunk(self) -> bytes:
        """Return the next piece of the answer, empty at its end."""

    @abstractmethod
    async def close(self) -> None:
        """Give back what the attempt holds; stop it if it still runs."""


async def send_request(
    connection: HttpConnection,
    request: OutboundRequest,
    headers: Headers,
) -> None:
    """Send the head and the body, a streamed body from a task of its own."""
    headers = [*headers, *frame_headers(request)]
    if request.rest is None:
        await connection.send_head(
            request.method,
            request.target,
            headers,
            request.first,
        )
        return
    await connection.send_head(request.method, request.target, headers)
    connection.is_request_sent = False
    request.tasks.start_soon(pump_body, connection, request)


def frame_headers(request: OutboundRequest) -> Headers:
    """Return the headers that tell how long the body is."""
    if request.length is not None:
        return [(b'content-length', request.length)]
    if request.rest is not None:
        return [(b'transfer-encoding', b'chunked')]
    if request.first:
        return [(b'content-length', b'%d' % len(request.first))]
    return []


async def pump_body(
    connection: HttpConnection,
    request: OutboundRequest,
) -> None:
    """Send a body as it comes; the reader of the answer sees a failure."""
    is_chunked = request.length is None
    try:
        await send_piece(connection, request.first, is_chunked=is_chunked)
        async for piece in request.rest:
            await send_piece(connection, piece, is_chunked=is_chunked)
        if is_chunked:
            await connection.send(b'0\r\n\r\n')
        connection.is_request_sent = True
    except CallerGoneError:
        request.tasks.cancel_scope.cancel()
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
