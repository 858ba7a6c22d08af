"""Read request bodies and send answers with limits on memory and time."""

from collections.abc import AsyncIterator

import anyio

from limpetshore import clock
from limpetshore.errors import LimpetshoreError, refuse
from limpetshore.protocol.dialects import RenderedRefusal
from limpetshore.protocol.messages import get_header
from limpetshore.settings import CallSection
from limpetshore.transport.responses import Headers
from limpetshore.transport.server_request import ServerRequest
from limpetshore.verdicts import Reason


class CallerDisconnectedError(LimpetshoreError):
    """Report that the caller disconnected, or stopped sending or reading."""


class RequestBody:
    """Read the body of one request, up to `max_body_bytes`."""

    def __init__(
        self,
        request: ServerRequest,
        limits: CallSection,
        deadline: float = clock.NO_DEADLINE,
    ) -> None:
        """Refuse the request if its Content-Length exceeds the limit."""
        self.request = request
        self.deadline = deadline
        self.max_bytes = limits.max_body_bytes
        self.stall_s = limits.stall_s
        self.length = get_header(request.headers, b'content-length')
        self.bytes_read = 0
        if self.length is not None and int(self.length) > self.max_bytes:
            raise refuse(Reason.BODY_TOO_LARGE, f'over {self.max_bytes} bytes')

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole body was received and read."""
        return self.request.is_body_complete and not self.request.body

    async def read_chunk(self) -> bytes:
        """Return the bytes that arrived since the last call, or wait for some.

        Raise CallerDisconnectedError if the caller disconnects or sends
        nothing for `stall_s` seconds. Refuse a body that exceeds the limit,
        or that is not read by the deadline.
        """
        request = self.request
        chunk = b''
        if request.body or request.is_body_complete:
            chunk = await request.read_body()
        else:
            remaining_s = clock.seconds_until(self.deadline)
            with anyio.move_on_after(min(self.stall_s, remaining_s)):
                chunk = await request.read_body()
        if not chunk and clock.now() >= self.deadline:
            raise refuse(Reason.DEADLINE, 'the body came too slowly')
        if not chunk and not request.is_body_complete:
            raise CallerDisconnectedError(
                'the caller disconnected or stalled while sending its request'
            )
        self.bytes_read += len(chunk)
        if self.bytes_read > self.max_bytes:
            raise refuse(Reason.BODY_TOO_LARGE, f'over {self.max_bytes} bytes')
        return chunk

    async def read_prefix(self, limit_bytes: int) -> bytes:
        """Return the body, or its start if it is longer than `limit_bytes`.

        The start may exceed the limit by part of a chunk.
        """
        if self.is_complete:
            return b''
        chunks: list[bytes] = []
        while not self.is_complete and self.bytes_read <= limit_bytes:
            chunks.append(await self.read_chunk())
        return b''.join(chunks)

    async def read_remaining(self) -> AsyncIterator[bytes]:
        """Yield the chunks that follow those already read."""
        while not self.is_complete:
            chunk = await self.read_chunk()
            if chunk:
                yield chunk


class AnswerSender:
    """Send the answer to one request.

    A caller that reads nothing for `stall_s` seconds ends the answer, and so
    does one that has not read enough by `deadline`.
    """

    def __init__(self, request: ServerRequest, stall_s: float) -> None:
        """Prepare to answer; nothing is sent yet."""
        self.deadline = clock.NO_DEADLINE
        self.request = request
        self.stall_s = stall_s

    @property
    def has_started(self) -> bool:
        """Tell whether an answer was started, so that no other can be sent."""
        return self.request.has_started

    def start(self, status: int, headers: Headers) -> None:
        """Set the status and headers, sent together with the first chunk."""
        self.request.start_answer(status, headers)

    def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a short answer without waiting; it fits the send buffer."""
        self.request.send_complete(status, headers, body)

    async def send_body(self, chunk: bytes, *, is_last: bool) -> None:
        """Send a chunk of the body and wait while the send buffer is full.

        Raise CallerDisconnectedError if the caller reads nothing for
        `stall_s` seconds or until the deadline.
        """
        request = self.request
        request.send_body(chunk, is_last=is_last)
        if request.is_oldest and request.connection.write_waiter is None:
            return
        if is_last and not request.is_oldest:
            return
        remaining_s = clock.seconds_until(self.deadline)
        with anyio.move_on_after(min(self.stall_s, remaining_s)):
            await request.drain()
            return
        self.request.is_answered = False
        raise CallerDisconnectedError('the caller stopped reading its answer')


def send_refusal(
    sender: AnswerSender,
    rendered: RenderedRefusal,
    extra: Headers | None = None,
) -> None:
    """Send a refusal rendered by a dialect, with further headers."""
    headers = [*rendered.headers, *(extra or [])]
    sender.send_complete(rendered.status, headers, rendered.body)
