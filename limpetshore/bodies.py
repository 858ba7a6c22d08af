"""Read request bodies and send answers through ASGI."""

from collections.abc import AsyncIterator
from typing import Any

import anyio

from limpetshore.dialects import RenderedRefusal
from limpetshore.errors import LimpetshoreError, refuse
from limpetshore.httpclient import Headers
from limpetshore.httpserver import BoundedHttpProtocol, find_connection
from limpetshore.messages import take_header
from limpetshore.verdicts import Reason

LAST_PIECE = {'type': 'http.response.body', 'body': b''}


class CallerGoneError(LimpetshoreError):
    """Report that the caller hung up or stopped sending."""


class RequestBody:
    """Read the body of one request, in bounded memory."""

    def __init__(
        self,
        scope: Any,
        receive: Any,
        *,
        max_bytes: int,
        stall_s: float,
    ) -> None:
        """Look at the headers; refuse a body that is announced too large."""
        headers: Headers = scope['headers']
        self.connection = find_connection(scope)
        self.receive = receive
        self.max_bytes = max_bytes
        self.stall_s = stall_s
        self.length = take_header(headers, b'content-length')
        is_chunked = take_header(headers, b'transfer-encoding') is not None
        self.is_complete = not is_chunked and self.length in {None, b'0'}
        self.bytes_read = 0
        if self.length is not None and int(self.length) > max_bytes:
            raise refuse(Reason.BODY_TOO_LARGE, f'over {max_bytes} bytes')

    async def read_piece(self) -> bytes:
        """Return the next piece as it comes."""
        message = {'type': 'http.disconnect'}
        with anyio.move_on_after(self.stall_s):
            message = await self.receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError('the caller went while sending its request')
        piece = message.get('body', b'')
        self.bytes_read += len(piece)
        if self.bytes_read > self.max_bytes:
            raise refuse(Reason.BODY_TOO_LARGE, f'over {self.max_bytes} bytes')
        self.is_complete = not message.get('more_body', False)
        return piece

    async def read_first(self, up_to: int) -> bytes:
        """Return the whole body if it is short, else its beginning."""
        if self.is_complete:
            return b''
        whole = self.connection.take_whole_body()
        if whole is not None:
            self.is_complete = True
            return whole
        pieces: list[bytes] = []
        while not self.is_complete and self.bytes_read <= up_to:
            pieces.append(await self.read_piece())
        return b''.join(pieces)

    async def read_rest(self) -> AsyncIterator[bytes]:
        """Yield what follows the beginning."""
        while not self.is_complete:
            yield await self.read_piece()


class AnswerSender:
    """Send an answer to one request, with a bound on standing still."""

    def __init__(
        self,
        send: Any,
        stall_s: float,
        connection: BoundedHttpProtocol | None = None,
    ) -> None:
        """Start before the head."""
        self.connection = connection
        self.send = send
        self.stall_s = stall_s
        self.has_started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.has_started = True
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def send_whole(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a short answer at once, which the socket's buffer takes."""
        await self.start(status, headers)
        await self.send({'type': 'http.response.body', 'body': body})

    async def send_body(self, chunk: bytes, *, is_last: bool) -> None:
        """Send a piece of the body; give up on a caller that reads nothing."""
        if is_last and not chunk:
            await self.send(LAST_PIECE)
            return
        message = {
            'type': 'http.response.body',
            'body': chunk,
            'more_body': not is_last,
        }
        if self.connection is None or not self.connection.flow.write_paused:
            await self.send(message)
            return
        with anyio.move_on_after(self.stall_s):
            await self.send(message)
            return
        raise CallerGoneError('the caller stopped reading its answer')


async def send_refusal(
    sender: AnswerSender,
    rendered: RenderedRefusal,
    extra: Headers | None = None,
) -> None:
    """Send a refusal as its reader understands it."""
    headers = [*rendered.headers, *(extra or [])]
    await sender.send_whole(rendered.status, headers, rendered.body)
