"""Read request bodies and send answers, in bounded memory and time."""

from collections.abc import AsyncIterator

import anyio

from limpetshore.errors import LimpetshoreError, refuse
from limpetshore.protocol.dialects import RenderedRefusal
from limpetshore.protocol.messages import get_header
from limpetshore.settings import CallSection
from limpetshore.transport.call_server import ServerRequest
from limpetshore.transport.http_client import Headers
from limpetshore.verdicts import Reason


class CallerDisconnectedError(LimpetshoreError):
    """Report that the caller hung up or stopped sending."""


class RequestBody:
    """Read the body of one request, in bounded memory."""

    def __init__(self, request: ServerRequest, limits: CallSection) -> None:
        """Look at the headers; refuse a body that is announced too large."""
        self.request = request
        self.max_bytes = limits.max_body_bytes
        self.stall_s = limits.stall_s
        self.length = get_header(request.headers, b'content-length')
        self.bytes_read = 0
        if self.length is not None and int(self.length) > self.max_bytes:
            raise refuse(Reason.BODY_TOO_LARGE, f'over {self.max_bytes} bytes')

    @property
    def is_complete(self) -> bool:
        """Tell whether nothing is left to be read."""
        return self.request.is_body_complete and not self.request.body

    async def read_piece(self) -> bytes:
        """Return the next piece as it comes."""
        request = self.request
        piece = b''
        if request.body or request.is_body_complete:
            piece = await request.read_body()
        else:
            with anyio.move_on_after(self.stall_s):
                piece = await request.read_body()
        if not piece and not request.is_body_complete:
            raise CallerDisconnectedError(
                'the caller went while sending its request'
            )
        self.bytes_read += len(piece)
        if self.bytes_read > self.max_bytes:
            raise refuse(Reason.BODY_TOO_LARGE, f'over {self.max_bytes} bytes')
        return piece

    async def read_prefix(self, up_to: int) -> bytes:
        """Return the whole body if it is short, else its beginning."""
        if self.is_complete:
            return b''
        pieces: list[bytes] = []
        while not self.is_complete and self.bytes_read <= up_to:
            pieces.append(await self.read_piece())
        return b''.join(pieces)

    async def read_rest(self) -> AsyncIterator[bytes]:
        """Yield what follows the beginning."""
        while not self.is_complete:
            piece = await self.read_piece()
            if piece:
                yield piece


class AnswerSender:
    """Send an answer to one request, with a bound on standing still."""

    def __init__(self, request: ServerRequest, stall_s: float) -> None:
        """Start before the head."""
        self.request = request
        self.stall_s = stall_s

    @property
    def has_started(self) -> bool:
        """Tell whether the head of an answer was sent."""
        return self.request.has_started

    def start(self, status: int, headers: Headers) -> None:
        """Prepare the status and headers; they go out with the body."""
        self.request.start_answer(status, headers)

    def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a short answer at once, which the socket's buffer takes."""
        self.request.send_complete(status, headers, body)

    async def send_body(self, chunk: bytes, *, is_last: bool) -> None:
        """Send a piece of the body; give up on a caller that reads nothing."""
        request = self.request
        request.send_body(chunk, is_last=is_last)
        if request.is_first and request.connection.writable is None:
            return
        if is_last and not request.is_first:
            return
        with anyio.move_on_after(self.stall_s):
            await request.drain()
            return
        self.request.is_answered = False
        raise CallerDisconnectedError('the caller stopped reading its answer')


def send_refusal(
    sender: AnswerSender,
    rendered: RenderedRefusal,
    extra: Headers | None = None,
) -> None:
    """Send a refusal as its reader understands it."""
    headers = [*rendered.headers, *(extra or [])]
    sender.send_complete(rendered.status, headers, rendered.body)
